package io.violetrail.scheduling;

import io.violetrail.evidence.TaskDeparture;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * A job of an entity that this controller owns. Holds its phase, the states of its tasks ({@link
 * JobTasks}), its failures ({@link JobFailureHistory}, {@link TaskRetries}), its waiting time, and
 * the order of its writes to the state store ({@link SerializedWrites}).
 *
 * <p>Used on the event loop's thread. The specification, the done tasks and the final status are
 * stored. After a crash or failover the next owner loads them; all other state starts afresh.
 */
public final class Job {
  /**
   * The phases of a job. Transitions: {@link #OPEN} to {@link #CLOSING} or {@link #CANCELLING}, and
   * any of these to {@link #FINISHED}.
   */
  public enum Phase {
    /** Tasks of the job are running or pending. */
    OPEN,
    /** All tasks are done; this outcome is being stored. */
    CLOSING,
    /** The user has cancelled the job; the cancellation is being stored. */
    CANCELLING,
    /** The final status is stored and never changes. */
    FINISHED
  }

  /** A job that has waited for longer than this is starving; see {@link #isStarving}. */
  private static final double STARVATION_SECONDS = 60;

  /**
   * A job without placed tasks that has waited for longer than this may use the resources that are
   * kept free for accelerator jobs yet to arrive.
   */
  private static final double ACCELERATOR_RESERVE_WAIT_SECONDS = 75;

  /**
   * A job that has waited for longer than this may use any room that its constraints allow. Less
   * than the 90 s for which no job may wait beside a machine that has room for it.
   */
  private static final double ANY_ROOM_WAIT_SECONDS = 82;

  /**
   * The length of the alternating periods in which a waiting job may and may not hold reservations;
   * see {@link #mayHoldReservations}.
   */
  private static final double RESERVATION_PERIOD_SECONDS = 80;

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

  /**
   * The price ratio computed at {@link #maxPriceRatioAtSeconds}. It is cached, as it is needed for
   * each machine and is the same for all machines.
   */
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

  public JobSpec spec() {
    return spec;
  }

  /** Returns when the job was accepted, in milliseconds of wall-clock time. */
  public long arrivedAtMillis() {
    return arrivedAtMillis;
  }

  /**
   * Returns when the job was accepted, in seconds of this controller's monotonic clock. For a job
   * that was accepted before this process started, the value lies before the start.
   */
  public double arrivedAtSeconds() {
    return arrivedAtSeconds;
  }

  /**
   * Returns whether the job was loaded from the state store, so that its tasks may be running on
   * machines that have not reported yet.
   */
  public boolean loadedFromStore() {
    return loadedFromStore;
  }

  /**
   * Returns whether the job uses only capacity that no other job needs; see {@link
   * ServiceLevelObjectives#isBestEffort}.
   */
  public boolean bestEffort() {
    return bestEffort;
  }

  // Phase

  public Phase phase() {
    return phase;
  }

  /** Returns the stored final status; null unless the job is {@link Phase#FINISHED}. */
  public JobStatus finalStatus() {
    return finalStatus;
  }

  /**
   * Moves the job to {@link Phase#CLOSING}, since all of its tasks are done.
   *
   * @throws IllegalStateException if the job is not open
   */
  public void startClosing() {
    requireOpen();
    phase = Phase.CLOSING;
  }

  /**
   * Moves the job to {@link Phase#CANCELLING}, since its user has cancelled it.
   *
   * @throws IllegalStateException if the job is not open
   */
  public void startCancelling() {
    requireOpen();
    phase = Phase.CANCELLING;
  }

  private void requireOpen() {
    if (phase != Phase.OPEN) {
      throw new IllegalStateException("job " + spec.id() + " is " + phase + ", not " + Phase.OPEN);
    }
  }

  /** Moves the job to {@link Phase#FINISHED}: its final status and all done tasks are stored. */
  public void markFinished(JobStatus status) {
    phase = Phase.FINISHED;
    finalStatus = status;
    tasks.markAllStored();
  }

  /**
   * Returns whether the final status is being written and the outcome of the write is unknown. The
   * status may be stored already, and other controllers may have read it.
   */
  public boolean isFinalStatusUncertain() {
    return phase == Phase.CLOSING || phase == Phase.CANCELLING;
  }

  /** Returns the state of the job as shown to its user. */
  public JobView toView() {
    if (phase == Phase.FINISHED) {
      return new JobView(spec.id().value(), finalStatus, tasks.doneCount(), 0);
    }
    int runningCount = tasks.runningCount();
    JobStatus status = runningCount > 0 ? JobStatus.RUNNING : JobStatus.QUEUED;
    return new JobView(spec.id().value(), status, tasks.doneCount(), runningCount);
  }

  /** Starts the write once all earlier writes of this job have completed. */
  public void enqueueWrite(Supplier<CompletableFuture<?>> write) {
    writes.enqueue(write);
  }

  // Done tasks

  public boolean isDone(int index) {
    return tasks.isDone(index);
  }

  /** Records that the task is done. A done task never changes its state again. */
  public void markDone(int index) {
    tasks.markDone(index);
  }

  public int doneCount() {
    return tasks.doneCount();
  }

  /** Returns whether all tasks are done. */
  public boolean isComplete() {
    return tasks.areAllDone();
  }

  /** Returns a copy of the set of done tasks, by index. */
  public BitSet doneTasks() {
    return tasks.doneTasks();
  }

  /** Returns whether the task is stored as done in the state store. */
  public boolean isStored(int index) {
    return tasks.isStored(index);
  }

  /** Records that the task is stored as done in the state store. */
  public void markStored(int index) {
    tasks.markStored(index);
  }

  /** Returns whether all done tasks are stored as done. */
  public boolean isProgressStored() {
    return tasks.areAllDoneStored();
  }

  /**
   * Returns the tasks from {@code from}, inclusive, to {@code to}, exclusive, that are done but not
   * stored as done.
   *
   * @return indices relative to {@code from}
   */
  public BitSet doneNotStored(int from, int to) {
    return tasks.doneNotStored(from, to);
  }

  // Placements

  /** Returns how many tasks are neither done nor placed. */
  public int unplacedCount() {
    return tasks.unplacedCount();
  }

  /**
   * Returns how many of the tasks must start at the same time if any does: all that are not done of
   * a gang, otherwise one. A gang's tasks complete together, but a machine may be lost before it
   * has reported its tasks as done; then only these are started again.
   */
  public int startTogetherCount() {
    return spec.shape() == JobShape.GANG ? spec.taskCount() - doneCount() : 1;
  }

  /**
   * Returns the first task at or after {@code from} that is neither done nor placed; -1 if there is
   * none.
   */
  public int findNextUnplaced(int from) {
    return tasks.findNextUnplaced(from);
  }

  /** Returns the placement of the task; null if it is not placed. */
  public TaskPlacement findPlacement(int index) {
    return tasks.findPlacement(index);
  }

  /** Returns a copy of all placements. */
  public List<TaskPlacement> placements() {
    return tasks.placements();
  }

  /** Returns how many tasks are placed. */
  public int placedCount() {
    return tasks.placedCount();
  }

  /** Returns a copy of the numbers of placed tasks by zone; zones without any are absent. */
  Map<String, Integer> placedCountByZone() {
    return tasks.placedCountByZone();
  }

  public boolean hasNoPlacements() {
    return tasks.hasNoPlacements();
  }

  /** Adds a placement. Called only by the owned entity, which accounts for the resources used. */
  public void addPlacement(TaskPlacement placement) {
    lastPlacedAtSeconds = placement.placedAtSeconds();
    tasks.addPlacement(placement);
  }

  /**
   * Removes a placement; has no effect if the task has another placement by now. Called only by the
   * owned entity, which accounts for the resources used.
   */
  public void removePlacement(TaskPlacement placement) {
    tasks.removePlacement(placement);
  }

  /** Records that a task that is not done has left its machine. */
  public void recordDeparture(int index, TaskDeparture departure) {
    tasks.recordDeparture(index, departure);
  }

  /**
   * Removes and returns the last departure of a task that is started again; empty if this
   * controller has recorded none.
   */
  public Optional<TaskDeparture> removeLastDeparture(int index) {
    return tasks.removeLastDeparture(index);
  }

  // Failures

  public JobFailureHistory failureHistory() {
    return failureHistory;
  }

  /** Returns whether the job fails on every machine; see {@link JobFailureHistory}. */
  public boolean isSuspect() {
    return failureHistory.isSuspect();
  }

  /** Returns how many times tasks of the job have exited with an error. */
  public int errorCount() {
    return failureHistory.errorCount();
  }

  TaskRetries retries() {
    return retries;
  }

  /**
   * Returns how many tasks of the job may be started now. For a suspect job that is none during its
   * backoff, and then one probe at a time: a single task, or the whole gang.
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

  /** Returns the deadline in seconds of the monotonic clock; infinite if the job has none. */
  public double deadlineAtSeconds() {
    return spec.deadlineSeconds() == null
        ? Double.POSITIVE_INFINITY
        : arrivedAtSeconds + spec.deadlineSeconds();
  }

  /** Returns the time since the last placement of a task, or since the arrival if there is none. */
  private double waitedSeconds(double nowSeconds) {
    return Math.max(0, nowSeconds - Math.max(arrivedAtSeconds, lastPlacedAtSeconds));
  }

  /**
   * Returns whether the job has waited for longer than {@link #STARVATION_SECONDS}. Rules that only
   * improve placement do not apply to a starving job, and other entities make room for it: no job
   * may wait for long while a suitable machine has room.
   */
  public boolean isStarving(double nowSeconds) {
    return waitedSeconds(nowSeconds) > STARVATION_SECONDS;
  }

  /**
   * Returns whether the job may use the resources that are kept free for accelerator jobs yet to
   * arrive: it has waited for longer than {@link #ACCELERATOR_RESERVE_WAIT_SECONDS}, and none of
   * its tasks is placed.
   */
  boolean mayUseAcceleratorReserve(double nowSeconds) {
    return waitedSeconds(nowSeconds) > ACCELERATOR_RESERVE_WAIT_SECONDS && hasNoPlacements();
  }

  /**
   * Returns whether the job has waited for longer than {@link #ANY_ROOM_WAIT_SECONDS}. Then no
   * preference of other jobs keeps its next task from a machine with room. Each placement starts
   * the wait anew.
   */
  boolean mayUseAnyRoom(double nowSeconds) {
    return waitedSeconds(nowSeconds) > ANY_ROOM_WAIT_SECONDS;
  }

  /**
   * Returns whether the job may reserve machines or quota shares that it cannot use yet, and
   * thereby block other jobs. The result alternates while the job waits: otherwise a job whose
   * reservations never suffice would block the others for as long as it waits.
   */
  public boolean mayHoldReservations(double nowSeconds) {
    return waitedSeconds(nowSeconds) % (2 * RESERVATION_PERIOD_SECONDS)
        < RESERVATION_PERIOD_SECONDS;
  }

  /**
   * Returns the highest price ratio at which it is worth starting a task. The value is cached for
   * calls with the same {@code nowSeconds}.
   *
   * @param computeRatio computes the value if {@code nowSeconds} differs from that of the last call
   */
  double maxPriceRatio(double nowSeconds, DoubleSupplier computeRatio) {
    if (maxPriceRatioAtSeconds != nowSeconds) {
      maxPriceRatioAtSeconds = nowSeconds;
      maxPriceRatio = computeRatio.getAsDouble();
    }
    return maxPriceRatio;
  }

  /** Returns whether tasks of other jobs may be preempted for this job now. */
  boolean mayPreempt(double nowSeconds) {
    return nowSeconds >= nextPreemptionAtSeconds;
  }

  /** Prevents preemption of other jobs' tasks for this job before {@code untilSeconds}. */
  void deferPreemptionUntil(double untilSeconds) {
    nextPreemptionAtSeconds = untilSeconds;
  }

  /**
   * Returns whether the job is ordered before others until its first task is placed, since it has
   * waited too long.
   */
  boolean prioritizedForFirstTask() {
    return prioritizedForFirstTask;
  }

  /** Sets whether the job is ordered before others until its first task is placed. */
  void prioritizeForFirstTask(boolean prioritized) {
    prioritizedForFirstTask = prioritized;
  }
}
