package io.violetrail.scheduling;

import io.violetrail.evidence.TaskDeparture;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.agrona.collections.Int2ObjectHashMap;

/** An open job of an entity that this controller owns. */
public final class Job {
  /** Where a job is between intake and its stored end. */
  public enum Phase {
    /** Its tasks run or wait. */
    OPEN,
    /** All of its tasks are done; that is being stored. */
    CLOSING,
    /** Its user has cancelled it; that is being stored. */
    CANCELLING,
    /** Its end is stored and never changes. */
    FINISHED
  }

  /** Waiting for longer, a job is starving: it no longer keeps to what is merely better. */
  private static final double STARVATION_SECONDS = 60;

  /** After so long it takes accelerators that are kept for work yet to come. */
  private static final double LAST_RESORT_SECONDS = 75;

  /** A job that can't use what it withholds from others lets go of it for as long, in turns. */
  private static final double RESERVATION_TURN_SECONDS = 80;

  private final JobSpec spec;
  private final long arrivedAtMillis;

  /**
   * When it arrived on this controller's steady clock; before this process started for older jobs.
   */
  private final double arrivedAtSeconds;

  /** Loaded from the state service: tasks of it may be on machines that have not reported yet. */
  private final boolean loadedFromStore;

  /**
   * Run in room and on machines that nobody else needs; see {@link
   * ServiceLevelObjectives#isBestEffort}.
   */
  private final boolean bestEffort;

  private final BitSet doneTasks = new BitSet();
  private int doneCount;

  /** The part of what is done that the state service has. */
  private final BitSet storedDoneTasks = new BitSet();

  private final Int2ObjectHashMap<TaskPlacement> placementsByIndex = new Int2ObjectHashMap<>();

  /** Done or placed, so that the next free task of a wide job is found without a search. */
  private final BitSet doneOrPlacedTasks = new BitSet();

  /** Where tasks were last that wait to start anew. */
  private final Int2ObjectHashMap<TaskDeparture> lastDepartures = new Int2ObjectHashMap<>();

  /** When each failed task may be tried again. */
  private final Int2ObjectHashMap<Double> retryNotBeforeSeconds = new Int2ObjectHashMap<>();

  /** What its failures say. */
  private final JobFailureHistory failureHistory = new JobFailureHistory();

  /** What a waiting task is worth, as of a moment: asked for each machine, the same for all. */
  private double maxPriceRatio;

  private double maxPriceRatioAtSeconds = Double.NEGATIVE_INFINITY;

  /** Failures of its own tasks, for whoever counts them. */
  private int errorCount;

  /** Not before then is room for it made again. */
  private double nextPreemptionAtSeconds;

  private Phase phase = Phase.OPEN;
  private JobStatus finalStatus;

  /** It has waited too long for its first task, and goes before others for that one alone. */
  private boolean prioritizedForFirstTask;

  /** When a task of it was placed last. */
  private double lastPlacedAtSeconds = Double.NEGATIVE_INFINITY;

  private final ArrayDeque<Supplier<CompletableFuture<?>>> queuedWrites = new ArrayDeque<>();
  private boolean writeInFlight;

  /** An open job that is not spare work. */
  public Job(JobSpec spec, long arrivedAtMillis, double arrivedAtSeconds, boolean loadedFromStore) {
    this(spec, arrivedAtMillis, arrivedAtSeconds, loadedFromStore, false);
  }

  /** An open job with no task placed. */
  public Job(
      JobSpec spec,
      long arrivedAtMillis,
      double arrivedAtSeconds,
      boolean loadedFromStore,
      boolean bestEffort) {
    this.bestEffort = bestEffort;
    this.spec = spec;
    this.arrivedAtMillis = arrivedAtMillis;
    this.arrivedAtSeconds = arrivedAtSeconds;
    this.loadedFromStore = loadedFromStore;
  }

  /** What was submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** When it was accepted, in milliseconds of the time of day. */
  public long arrivedAtMillis() {
    return arrivedAtMillis;
  }

  /**
   * When it arrived on this controller's steady clock, in seconds; before this process started for
   * older jobs.
   */
  public double arrivedAtSeconds() {
    return arrivedAtSeconds;
  }

  /**
   * Whether it was loaded from the state service: tasks of it may be on machines that have not
   * reported yet.
   */
  public boolean loadedFromStore() {
    return loadedFromStore;
  }

  /** Whether it is run in room and on machines that nobody else needs. */
  public boolean bestEffort() {
    return bestEffort;
  }

  /** Whether the state service has it that the task is done. */
  public boolean isStored(int index) {
    return storedDoneTasks.get(index);
  }

  /** The state service has it that the task is done. */
  public void markStored(int index) {
    storedDoneTasks.set(index);
  }

  /** The state service has all that is done, with the job's end. */
  private void markAllStored() {
    storedDoneTasks.or(doneTasks);
  }

  /** Which tasks from {@code from} to before {@code to} are done without that being stored. */
  public BitSet doneNotStored(int from, int to) {
    BitSet fresh = doneTasks.get(from, to);
    fresh.andNot(storedDoneTasks.get(from, to));
    return fresh;
  }

  /** When a failed task may be tried again, in seconds; null if it may be at any time. */
  public Double retryNotBeforeSeconds(int index) {
    return retryNotBeforeSeconds.get(index);
  }

  /** Whether some failed task may not be tried again yet. */
  public boolean anyRetryLater(double nowSeconds) {
    for (Double retryAt : retryNotBeforeSeconds.values()) {
      if (retryAt > nowSeconds) {
        return true;
      }
    }
    return false;
  }

  /** A failed task may be tried again at that second. */
  public void retryNotBefore(int index, double atSeconds) {
    retryNotBeforeSeconds.put(index, (Double) atSeconds);
  }

  /** A task may be tried again at once. */
  public void retryAtOnce(int index) {
    retryNotBeforeSeconds.remove(index);
  }

  /** All failed tasks may be tried again at once. */
  public void retryAllAtOnce() {
    retryNotBeforeSeconds.clear();
  }

  /** What its failures say. */
  public JobFailureHistory failureHistory() {
    return failureHistory;
  }

  /** What a waiting task is worth, worked out once for each moment. */
  double worthAt(double nowSeconds, DoubleSupplier worthNow) {
    if (maxPriceRatioAtSeconds != nowSeconds) {
      maxPriceRatioAtSeconds = nowSeconds;
      maxPriceRatio = worthNow.getAsDouble();
    }
    return maxPriceRatio;
  }

  /** Failures of its own tasks so far. */
  public int errorCount() {
    return errorCount;
  }

  /** A task of its own has failed. */
  public void countError() {
    errorCount++;
  }

  /** Not before then, in seconds, is room for it made again. */
  double nextPreemptionAtSeconds() {
    return nextPreemptionAtSeconds;
  }

  /** Room is made for it now, and not again before then. */
  void makeRoomNotBefore(double atSeconds) {
    nextPreemptionAtSeconds = atSeconds;
  }

  /** Where it is between intake and its stored end. */
  public Phase phase() {
    return phase;
  }

  /** Its end as stored; null before. */
  public JobStatus finalStatus() {
    return finalStatus;
  }

  /** All of its tasks are done: what remains is to store that. */
  public void startClosing() {
    requirePhase(Phase.OPEN);
    phase = Phase.CLOSING;
  }

  /** Its user has cancelled it: what remains is to store that. */
  public void startCancelling() {
    requirePhase(Phase.OPEN);
    phase = Phase.CANCELLING;
  }

  private void requirePhase(Phase required) {
    if (phase != required) {
      throw new IllegalStateException("job " + spec.id() + " is " + phase);
    }
  }

  /** Its end is stored. */
  public void ended(JobStatus status) {
    phase = Phase.FINISHED;
    finalStatus = status;
    markAllStored();
  }

  /** Whether it goes before others for its first task, since it has waited too long. */
  boolean prioritizedForFirstTask() {
    return prioritizedForFirstTask;
  }

  /** Says whether it goes before others for its first task. */
  void setToBegin(boolean first) {
    prioritizedForFirstTask = first;
  }

  /** Whether all of its tasks are done. */
  public boolean isComplete() {
    return doneCount == spec.taskCount();
  }

  /** How many tasks are neither done nor placed. */
  public int unplacedCount() {
    return spec.taskCount() - doneOrPlacedTasks.cardinality();
  }

  /**
   * How many of its tasks may be started now. A suspect job gets one probe (a gang is one), and
   * nothing during its pauses.
   */
  public int startableCount(double nowSeconds) {
    int unplacedCount = unplacedCount();
    if (!failureHistory.isSuspect() || unplacedCount == 0) {
      return unplacedCount;
    }
    if (failureHistory.isBackingOff(nowSeconds)) {
      return 0;
    }
    if (spec.shape() == JobShape.GANG) {
      return unplacedCount;
    }
    return placementsByIndex.isEmpty() ? 1 : 0;
  }

  /** Whether the task is done. */
  public boolean isDone(int index) {
    return doneTasks.get(index);
  }

  /** The task is done. */
  public void markDone(int index) {
    if (!doneTasks.get(index)) {
      doneTasks.set(index);
      doneCount++;
      doneOrPlacedTasks.set(index);
    }
  }

  /** How many tasks are done. */
  public int doneCount() {
    return doneCount;
  }

  /** A copy of which tasks are done. */
  public BitSet doneTasks() {
    return (BitSet) doneTasks.clone();
  }

  /** Whether the state service has all that is done. */
  public boolean isProgressStored() {
    return storedDoneTasks.cardinality() >= doneCount;
  }

  /** Where the task is placed; null if it is not. */
  public TaskPlacement findPlacement(int index) {
    return placementsByIndex.get(index);
  }

  /** All placements; changes while they are walked are safe. */
  public List<TaskPlacement> placements() {
    return List.copyOf(placementsByIndex.values());
  }

  /** Whether no task is placed. */
  public boolean hasNoPlacements() {
    return placementsByIndex.isEmpty();
  }

  /** For the holding alone, which counts what is placed. */
  public void addPlacement(TaskPlacement placement) {
    lastPlacedAtSeconds = placement.placedAtSeconds();
    placementsByIndex.put(placement.taskIndex(), placement);
    doneOrPlacedTasks.set(placement.taskIndex());
  }

  /** Takes a placement away, unless the task has another one by now. */
  public void removePlacement(TaskPlacement placement) {
    if (placementsByIndex.get(placement.taskIndex()) == placement) {
      placementsByIndex.remove(placement.taskIndex());
      doneOrPlacedTasks.set(placement.taskIndex(), doneTasks.get(placement.taskIndex()));
    }
  }

  /** A task that is not done has left its machine. */
  public void recordDeparture(int index, TaskDeparture departure) {
    lastDepartures.put(index, departure);
  }

  /** Where a task that starts anew was last; null if it was nowhere as far as known here. */
  public TaskDeparture removeLastDeparture(int index) {
    return lastDepartures.isEmpty() ? null : lastDepartures.remove(index);
  }

  /**
   * The next task at or after {@code from} that is neither done nor placed; -1 if there is none.
   */
  public int findNextUnplaced(int from) {
    int index = doneOrPlacedTasks.nextClearBit(from);
    return index < spec.taskCount() ? index : -1;
  }

  /** When it should be complete, in seconds of the steady clock; infinite without a deadline. */
  public double deadlineAtSeconds() {
    return spec.deadlineSeconds() == null
        ? Double.POSITIVE_INFINITY
        : arrivedAtSeconds + spec.deadlineSeconds();
  }

  /** How long none of its waiting tasks has found a place. */
  public double waitedSeconds(double nowSeconds) {
    return Math.max(0, nowSeconds - Math.max(arrivedAtSeconds, lastPlacedAtSeconds));
  }

  /**
   * Whether it has waited so long that other entities make room for it. Nothing may wait for long
   * while a machine that fits has room.
   */
  public boolean isStarving(double nowSeconds) {
    return waitedSeconds(nowSeconds) > STARVATION_SECONDS;
  }

  /** Whether it may take what is kept for work that is not there: nothing of it runs at all. */
  public boolean isAtLastResort(double nowSeconds) {
    return waitedSeconds(nowSeconds) > LAST_RESORT_SECONDS && hasNoPlacements();
  }

  /**
   * Whether it may gather what it cannot use yet, machines or parts of a limit, and keep others
   * from it. A job that gathers in vain would keep the rest from running for as long as it waits.
   */
  public boolean mayHoldReservations(double nowSeconds) {
    return waitedSeconds(nowSeconds) % (2 * RESERVATION_TURN_SECONDS) < RESERVATION_TURN_SECONDS;
  }

  /** Whether its end is asked for and not known to be stored: it may be, and others may know. */
  public boolean isEndUndecided() {
    return phase == Phase.CLOSING || phase == Phase.CANCELLING;
  }

  /** What its user is told of it. */
  public JobView toView() {
    if (phase == Phase.FINISHED) {
      return new JobView(spec.id().value(), finalStatus, doneCount, 0);
    }
    int runningCount = 0;
    for (TaskPlacement placement : placementsByIndex.values()) {
      runningCount += placement.isRunning() ? 1 : 0;
    }
    JobStatus status = runningCount > 0 ? JobStatus.RUNNING : JobStatus.QUEUED;
    return new JobView(spec.id().value(), status, doneCount, runningCount);
  }

  /** Runs this job's writes one after the other, so that none overtakes another. */
  public void enqueueWrite(Supplier<CompletableFuture<?>> next) {
    queuedWrites.add(next);
    startNextWrite();
  }

  /** Whether one of its writes is under way. */
  public boolean isWriteInFlight() {
    return writeInFlight;
  }

  private void startNextWrite() {
    if (writeInFlight || queuedWrites.isEmpty()) {
      return;
    }
    writeInFlight = true;
    queuedWrites
        .poll()
        .get()
        .whenComplete(
            (result, failure) -> {
              writeInFlight = false;
              startNextWrite();
            });
  }
}
