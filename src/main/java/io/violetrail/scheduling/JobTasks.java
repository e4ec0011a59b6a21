package io.violetrail.scheduling;

import io.violetrail.evidence.TaskDeparture;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agrona.collections.Int2ObjectHashMap;

/**
 * The states of a job's tasks, by task index. A task is pending, placed, done, or done and stored
 * as done in the state store. Also keeps the last departure of each pending task: the machine that
 * the task left, and the evidence that it no longer runs there.
 *
 * <p>Invariants: {@link #doneOrPlaced} contains exactly the tasks that are done or placed, and
 * every stored task is done.
 *
 * <p>Part of one {@link Job}, used on the event loop's thread. After a crash the next owner loads
 * the stored tasks and rebuilds the placements from the workers' heartbeats. Departures are lost.
 */
final class JobTasks {
  private final int taskCount;
  private final BitSet done = new BitSet();
  private int doneCount;

  /** The done tasks that are stored as done. */
  private final BitSet storedDone = new BitSet();

  private final Int2ObjectHashMap<TaskPlacement> placementsByIndex = new Int2ObjectHashMap<>();

  /** Zones without placements are absent. Kept in addition, as wide jobs are asked often. */
  private final Map<String, Integer> placedCountByZone = new HashMap<>();

  /** Kept in addition, so that the next unplaced task of a wide job is found quickly. */
  private final BitSet doneOrPlaced = new BitSet();

  /** The last departures of tasks that are to be started again. */
  private final Int2ObjectHashMap<TaskDeparture> lastDepartures = new Int2ObjectHashMap<>();

  JobTasks(int taskCount) {
    this.taskCount = taskCount;
  }

  boolean isDone(int index) {
    return done.get(index);
  }

  void markDone(int index) {
    if (!done.get(index)) {
      done.set(index);
      doneCount++;
      doneOrPlaced.set(index);
    }
  }

  int doneCount() {
    return doneCount;
  }

  boolean areAllDone() {
    return doneCount == taskCount;
  }

  /** Returns a copy. */
  BitSet doneTasks() {
    return (BitSet) done.clone();
  }

  boolean isStored(int index) {
    return storedDone.get(index);
  }

  void markStored(int index) {
    storedDone.set(index);
  }

  void markAllStored() {
    storedDone.or(done);
  }

  boolean areAllDoneStored() {
    return storedDone.cardinality() >= doneCount;
  }

  /** Returns indices relative to {@code from}; {@code to} is exclusive. */
  BitSet doneNotStored(int from, int to) {
    BitSet notStored = done.get(from, to);
    notStored.andNot(storedDone.get(from, to));
    return notStored;
  }

  int unplacedCount() {
    return taskCount - doneOrPlaced.cardinality();
  }

  /** Returns the first task at or after {@code from} that is neither done nor placed, or -1. */
  int findNextUnplaced(int from) {
    int index = doneOrPlaced.nextClearBit(from);
    return index < taskCount ? index : -1;
  }

  /** Returns null if the task is not placed. */
  TaskPlacement findPlacement(int index) {
    return placementsByIndex.get(index);
  }

  /** Returns a copy. */
  List<TaskPlacement> placements() {
    return List.copyOf(placementsByIndex.values());
  }

  boolean hasNoPlacements() {
    return placementsByIndex.isEmpty();
  }

  int runningCount() {
    int runningCount = 0;
    for (TaskPlacement placement : placementsByIndex.values()) {
      runningCount += placement.isRunning() ? 1 : 0;
    }
    return runningCount;
  }

  int placedCount() {
    return placementsByIndex.size();
  }

  /** Returns a copy. */
  Map<String, Integer> placedCountByZone() {
    return new HashMap<>(placedCountByZone);
  }

  private void changePlacedCountInZoneOf(TaskPlacement placement, int delta) {
    placedCountByZone.merge(
        placement.machine().row().zone(),
        delta,
        (count, change) -> count + change == 0 ? null : count + change);
  }

  void addPlacement(TaskPlacement placement) {
    TaskPlacement replaced = placementsByIndex.put(placement.taskIndex(), placement);
    if (replaced != null) {
      changePlacedCountInZoneOf(replaced, -1);
    }
    changePlacedCountInZoneOf(placement, 1);
    doneOrPlaced.set(placement.taskIndex());
  }

  /** Does nothing if the task has another placement by now. */
  void removePlacement(TaskPlacement placement) {
    int index = placement.taskIndex();
    if (placementsByIndex.get(index) == placement) {
      placementsByIndex.remove(index);
      changePlacedCountInZoneOf(placement, -1);
      doneOrPlaced.set(index, done.get(index));
    }
  }

  void recordDeparture(int index, TaskDeparture departure) {
    lastDepartures.put(index, departure);
  }

  Optional<TaskDeparture> removeLastDeparture(int index) {
    return lastDepartures.isEmpty()
        ? Optional.empty()
        : Optional.ofNullable(lastDepartures.remove(index));
  }
}
