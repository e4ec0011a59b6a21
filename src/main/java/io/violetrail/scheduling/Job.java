package io.violetrail.scheduling;

import io.violetrail.evidence.TaskDeparture;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * An open job of an entity that this controller owns: its phase, its tasks' states ({@link
 * JobTasks}), its failures ({@link JobFailureHistory}, {@link TaskRetries}), how long it waits, and
 * the order of its writes ({@link SerializedWrites}).
 *
 * <p>Used on the event loop's thread. After a crash the next owner loads its specification, its
 * done tasks and its end from the state store and begins with everything else anew.
 */
public final class Job {
  /**
   * Where a job is between admission and its stored end. Transitions: {@link #OPEN} to {@link
   * #CLOSING} or {@link #CANCELLING}, and any of these to {@link #FINISHED}.
   */
  public enum Phase {
    /** Its tasks run or are pending. */
    OPEN,
    /** All of its tasks are done; that is being stored. */
    CLOSING,
    /** Its user has cancelled it; that is being stored. */
    CANCELLING,
    /** Its end is stored and never changes. */
    FINISHED
  }

  /** After waiting so long a job is starving: it no longer keeps to what is merely better. */
  private static final double STARVATION_SECONDS = 60;

  /** After waiting so long it takes accelerators that are reserved for work yet to arrive. */
  private static final double LAST_RESORT_SECONDS = 75;

  /** Turns in which a job may and may not reserve what it cannot use yet have this length. */
  private static final double RESERVATION_TURN_SECONDS = 80;

  private final JobSpec spec;
  private final long arrivedAtMillis;
  private final double arrivedAtSeconds;
  private final boolean loadedFromStore;
  private final boolean bestEffort;
  private final JobTasks tasks;
  private final JobFailureHistory failureHistory = new JobFailureHistory();
  private final TaskRetries retries = new TaskRetries();
  private final SerializedWrites writes = new SerializedWrites();
  private Phase phase = Phase.OPEN;
  private JobStatus finalStatus;

  /** Valid at {@link #maxPriceRatioAtSeconds}: asked for each machine, the same for all. */
  private double maxPriceRatio;

  private double maxPriceRatioAtSeconds = Double.NEGATIVE_INFINITY;
  private double nextPreemptionAtSeconds;
  private boolean prioritizedForFirstTask;
  private double lastPlacedAtSeconds = Double.NEGATIVE_INFINITY;

  /** Creates an open job that is not best effort. */
  public Job(JobSpec spec, long arrivedAtMillis, double arrivedAtSeconds, boolean loadedFromStore) {
    this(spec, arrivedAtMillis, arrivedAtSeconds, loadedFromStore, false);
  }

  /**
   * Creates an open job with no task placed or done.
   *
   * @param arrivedAtMillis see {@link #arrivedAtMillis()}
   * @param arrivedAtSeconds see {@link #arrivedAtSeconds()}
   * @param loadedFromStore see {@link #loadedFromStore()}
   * @param bestEffort see {@link #bestEffort()}
   */
  public Job(
      JobSpec spec,
      long arrivedAtMillis,
      double arrivedAtSeconds,
      boolean loadedFromStore,
      boolean bestEffort) {
    this.spec = spec;
    this.arrivedAtMillis = arrivedAtMillis;
    this.arrivedAtSeconds = arrivedAtSeconds;
    this.loadedFromStore = loadedFromStore;
    this.bestEffort = bestEffort;
    this.tasks = new JobTasks(spec.taskCount());
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
   * When it was accepted, in seconds of this controller's monotonic clock; before this process
   * started for older jobs.
   */
  public double arrivedAtSeconds() {
    return arrivedAtSeconds;
  }

  /**
   * Whether it was loaded from the state store: tasks of it may run on machines that have not
   * reported yet.
   */
  public boolean loadedFromStore() {
    return loadedFromStore;
  }

  /**
   * Whether it runs only in room and on machines that nobody else needs; see {@link
   * ServiceLevelObjectives#isBestEffort}.
   */
  public boolean bestEffort() {
    return bestEffort;
  }

  // Phase

  /** Where it is between admission and its stored end. */
  public Phase phase() {
    return phase;
  }

  /** Its end as stored; null before. */
  public JobStatus finalStatus() {
    return finalStatus;
  }

  /**
   * All of its tasks are done: what remains is to store that.
   *
   * @throws IllegalStateException if it is not open
   */
  public void startClosing() {
    requireOpen();
    phase = Phase.CLOSING;
  }

  /**
   * Its user has cancelled it: what remains is to store that.
   *
   * @throws IllegalStateException if it is not open
   */
  public void startCancelling() {
    requireOpen();
    phase = Phase.CANCELLING;
  }

  private void requireOpen() {
    if (phase != Phase.OPEN) {
      throw new IllegalStateException("job " + spec.id() + " is " + phase);
    }
  }

  /** Its end is stored, and all that is done with it. */
  public void ended(JobStatus status) {
    phase = Phase.FINISHED;
    finalStatus = status;
    tasks.markAllStored();
  }

  /**
   * Whether its end was requested and is not known to be stored: it may be stored, and other
   * controllers may know.
   */
  public boolean isEndUndecided() {
    return phase == Phase.CLOSING || phase == Phase.CANCELLING;
  }

  /** What its user is shown of it. */
  public JobView toView() {
    if (phase == Phase.FINISHED) {
      return new JobView(spec.id().value(), finalStatus, tasks.doneCount(), 0);
    }
    int runningCount = tasks.runningCount();
    JobStatus status = runningCount > 0 ? JobStatus.RUNNING : JobStatus.QUEUED;
    return new JobView(spec.id().value(), status, tasks.doneCount(), runningCount);
  }

  /** Runs this job's writes one after the other, so that none overtakes another. */
  public void enqueueWrite(Supplier<CompletableFuture<?>> write) {
    writes.enqueue(write);
  }

  // Done tasks

  /** Whether the task is done. */
  public boolean isDone(int index) {
    return tasks.isDone(index);
  }

  /** Records that the task is done, which is final. */
  public void markDone(int index) {
    tasks.markDone(index);
  }

  /** How many tasks are done. */
  public int doneCount() {
    return tasks.doneCount();
  }

  /** Whether all of its tasks are done. */
  public boolean isComplete() {
    return tasks.areAllDone();
  }

  /** A copy of which tasks are done. */
  public BitSet doneTasks() {
    return tasks.doneTasks();
  }

  /** Whether the state store has the task as done. */
  public boolean isStored(int index) {
    return tasks.isStored(index);
  }

  /** Records that the state store has the task as done. */
  public void markStored(int index) {
    tasks.markStored(index);
  }

  /** Whether the state store has all tasks as done that are. */
  public boolean isProgressStored() {
    return tasks.areAllDoneStored();
  }

  /**
   * Which tasks from {@code from} to before {@code to} are done without that being stored.
   *
   * @return indices relative to {@code from}
   */
  public BitSet doneNotStored(int from, int to) {
    return tasks.doneNotStored(from, to);
  }

  // Placements

  /** How many tasks are neither done nor placed. */
  public int unplacedCount() {
    return tasks.unplacedCount();
  }

  /**
   * The next task at or after {@code from} that is neither done nor placed; -1 if there is none.
   */
  public int findNextUnplaced(int from) {
    return tasks.findNextUnplaced(from);
  }

  /** Where the task is placed; null if it is not. */
  public TaskPlacement findPlacement(int index) {
    return tasks.findPlacement(index);
  }

  /** A copy of all placements. */
  public List<TaskPlacement> placements() {
    return tasks.placements();
  }

  /** Whether no task is placed. */
  public boolean hasNoPlacements() {
    return tasks.hasNoPlacements();
  }

  /** Called by the owned entity alone, which accounts for what is placed. */
  public void addPlacement(TaskPlacement placement) {
    lastPlacedAtSeconds = placement.placedAtSeconds();
    tasks.addPlacement(placement);
  }

  /**
   * Removes a placement, unless the task has another one by now. Called by the owned entity alone.
   */
  public void removePlacement(TaskPlacement placement) {
    tasks.removePlacement(placement);
  }

  /** A task that is not done has left its machine. */
  public void recordDeparture(int index, TaskDeparture departure) {
    tasks.recordDeparture(index, departure);
  }

  /** Where a task that starts again was last; empty if it was nowhere as far as is known here. */
  public Optional<TaskDeparture> removeLastDeparture(int index) {
    return tasks.removeLastDeparture(index);
  }

  // Failures

  /** What its failures say about the job and about the machines where they happened. */
  public JobFailureHistory failureHistory() {
    return failureHistory;
  }

  /** Whether it fails wherever it runs; see {@link JobFailureHistory}. */
  public boolean isSuspect() {
    return failureHistory.isSuspect();
  }

  /** How many times tasks of it have failed by an error of their own. */
  public int errorCount() {
    return failureHistory.errorCount();
  }

  /** When its failed tasks may be retried. */
  TaskRetries retries() {
    return retries;
  }

  /**
   * How many of its tasks may be started now. A suspect job gets one probe (a whole gang is one
   * probe), and nothing during its backoff.
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
    return hasNoPlacements() ? 1 : 0;
  }

  // Urgency

  /** When it should be complete, in seconds of the monotonic clock; infinite without a deadline. */
  public double deadlineAtSeconds() {
    return spec.deadlineSeconds() == null
        ? Double.POSITIVE_INFINITY
        : arrivedAtSeconds + spec.deadlineSeconds();
  }

  /** How long none of its pending tasks has been placed. */
  private double waitedSeconds(double nowSeconds) {
    return Math.max(0, nowSeconds - Math.max(arrivedAtSeconds, lastPlacedAtSeconds));
  }

  /**
   * Whether it has waited so long that other entities make room for it. Nothing may wait for long
   * while a machine that fits has room.
   */
  public boolean isStarving(double nowSeconds) {
    return waitedSeconds(nowSeconds) > STARVATION_SECONDS;
  }

  /** Whether it may take what is reserved for work yet to arrive: no task of it runs at all. */
  boolean isAtLastResort(double nowSeconds) {
    return waitedSeconds(nowSeconds) > LAST_RESORT_SECONDS && hasNoPlacements();
  }

  /**
   * Whether it may reserve what it cannot use yet, machines or quota shares, and keep others from
   * it. That is so in every other turn only: a job that reserves in vain would otherwise keep the
   * rest from running for as long as it waits.
   */
  public boolean mayHoldReservations(double nowSeconds) {
    return waitedSeconds(nowSeconds) % (2 * RESERVATION_TURN_SECONDS) < RESERVATION_TURN_SECONDS;
  }

  /**
   * The highest price ratio at which it is worth starting a task, computed once for each moment.
   *
   * @param compute asked if {@code nowSeconds} differs from that of the last call
   */
  double maxPriceRatio(double nowSeconds, DoubleSupplier compute) {
    if (maxPriceRatioAtSeconds != nowSeconds) {
      maxPriceRatioAtSeconds = nowSeconds;
      maxPriceRatio = compute.getAsDouble();
    }
    return maxPriceRatio;
  }

  /** Whether tasks of others may be preempted for it now. */
  boolean mayPreempt(double nowSeconds) {
    return nowSeconds >= nextPreemptionAtSeconds;
  }

  /** No task of others is preempted for it before that second. */
  void preemptNotBefore(double atSeconds) {
    nextPreemptionAtSeconds = atSeconds;
  }

  /** Whether it goes before others until it has its first task, since it has waited too long. */
  boolean prioritizedForFirstTask() {
    return prioritizedForFirstTask;
  }

  /** Sets whether it goes before others until it has its first task. */
  void prioritizeForFirstTask(boolean prioritized) {
    prioritizedForFirstTask = prioritized;
  }
}
