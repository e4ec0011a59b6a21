package io.violetrail.fleet;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.model.TaskId;
import io.violetrail.model.Version;
import io.violetrail.ownership.LeaseTiming;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.TaskPlacement;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A machine of an entity that this controller owns. It combines the machine's type, its stored
 * record and lifecycle ({@link MachineLifecycle}), its worker's status ({@link WorkerStatus}), the
 * tasks placed on it ({@link PlacedTasks}) and its reservations ({@link MachineReservations}), and
 * decides what depends on several of them.
 *
 * <p>Called only on the event loop's thread, by scheduling, heartbeat handling and scaling. Only
 * the record ({@link #row()}) survives a crash. All times are seconds of the monotonic clock.
 */
public final class Machine {
  private final MachineType type;
  private final Version acquiredVersion;
  private final double rentedAtSeconds;
  private final double joinedAtSeconds;
  private final MachineLifecycle lifecycle;
  private final WorkerStatus worker;
  private final PlacedTasks tasks;
  private final MachineReservations reservations = new MachineReservations();
  private final RecentLaunches recentLaunches = new RecentLaunches();
  private final Set<String> cachedImages = new HashSet<>();
  private final Map<Job, Integer> failuresByJob = new HashMap<>();
  private boolean quarantined;
  private double idleSinceSeconds;
  private double fullUseSeconds;

  /** Creates a machine that was rented just now for the entity and therefore has no tasks. */
  public Machine(MachineRow row, MachineType type, Version acquiredVersion, double nowSeconds) {
    this(row, type, acquiredVersion, nowSeconds, nowSeconds, 0);
  }

  /**
   * Creates a machine that joins an entity.
   *
   * @param acquiredVersion the fencing token at the start of this controller's ownership of the
   *     machine
   * @param nowSeconds the present time
   * @param rentedAtSeconds when the machine was rented
   * @param unreportedTasksGoneAtSeconds until when the machine may run tasks that this controller
   *     does not know of
   */
  public Machine(
      MachineRow row,
      MachineType type,
      Version acquiredVersion,
      double nowSeconds,
      double rentedAtSeconds,
      double unreportedTasksGoneAtSeconds) {
    this.type = type;
    this.acquiredVersion = acquiredVersion;
    this.rentedAtSeconds = rentedAtSeconds;
    this.joinedAtSeconds = nowSeconds;
    this.idleSinceSeconds = nowSeconds;
    this.lifecycle = new MachineLifecycle(row);
    this.worker = new WorkerStatus(!row.hasReported(), unreportedTasksGoneAtSeconds, nowSeconds);
    this.tasks = new PlacedTasks(type.capacity());
  }

  public MachineId id() {
    return row().id();
  }

  /** Returns the machine type as the provider offers it. */
  public MachineType type() {
    return type;
  }

  /**
   * Returns the fencing token at the start of this controller's ownership of the machine. A
   * heartbeat with an older fencing token does not prove that a task is absent.
   */
  public Version acquiredVersion() {
    return acquiredVersion;
  }

  public double rentedAtSeconds() {
    return rentedAtSeconds;
  }

  /** Returns when the machine joined the entity under its present owner. */
  public double joinedAtSeconds() {
    return joinedAtSeconds;
  }

  /** Returns whether new tasks may be placed on this machine. */
  public boolean isSchedulable() {
    return lifecycle.isInService() && worker.isReadyForTasks();
  }

  /** Returns whether the job's constraints on types, zones and spot machines allow this machine. */
  public boolean isAllowedFor(JobSpec job) {
    return job.allowsMachine(row().type(), row().zone(), row().spot());
  }

  // ---- the stored record and the lifecycle

  /** Returns the machine's record as it was last stored. */
  public MachineRow row() {
    return lifecycle.row();
  }

  boolean isRowWriteInFlight() {
    return lifecycle.isRowWriteInFlight();
  }

  void startRowWrite() {
    lifecycle.startRowWrite();
  }

  /** Records that the write of the machine's record has ended, whether it was applied or not. */
  void endRowWrite() {
    lifecycle.endRowWrite();
  }

  /** Replaces the record by the record that was stored. */
  void replaceRow(MachineRow stored) {
    lifecycle.replaceRow(stored);
  }

  /** Returns whether the machine is draining: its tasks are checkpointed, and none are started. */
  public boolean isDraining() {
    return lifecycle.isDraining();
  }

  /** Starts to drain the machine: its tasks are checkpointed, and none are started. */
  public void startDraining() {
    lifecycle.startDraining();
  }

  /** Stops draining, so that tasks may be placed here again. */
  public void stopDraining() {
    lifecycle.stopDraining();
  }

  public boolean isReturning() {
    return lifecycle.isReturning();
  }

  /** Marks the machine as being returned to the provider. */
  void startReturn() {
    lifecycle.startReturn();
  }

  /**
   * Puts the machine back into service after the provider has refused its return, unless the
   * outcome of an earlier return request is uncertain, as that request may still be carried out. If
   * refused machines stayed out of service, idle machines could not be used during a provider
   * outage.
   */
  void cancelReturn() {
    lifecycle.cancelReturn();
  }

  /** Records that the provider may still carry out a return request whose outcome is uncertain. */
  void markReturnUncertain() {
    lifecycle.markReturnUncertain();
  }

  /** Returns whether the machine's transfer to another entity is in flight. */
  boolean isTransferInFlight() {
    return lifecycle.isTransferInFlight();
  }

  /** Marks the transfer to another entity as in flight; no task is placed here meanwhile. */
  void startTransfer() {
    lifecycle.startTransfer();
  }

  /** Ends a transfer that did not take place, and replaces the record by the stored record. */
  void abortTransfer(MachineRow stored) {
    lifecycle.abortTransfer(stored);
  }

  // ---- the worker's status

  /** Returns the worker session of the newest heartbeat, or 0 before the first one. */
  public long lastSession() {
    return worker.lastSession();
  }

  /** Returns the newest heartbeat's sequence number within its session. */
  public long lastSequence() {
    return worker.lastSequence();
  }

  /**
   * Returns the first worker session whose lease is not known to have expired. Heartbeats of
   * earlier sessions are outdated.
   */
  public long firstValidSession() {
    return worker.firstValidSession();
  }

  /** Records when a heartbeat arrived and the worker's endpoint, but nothing about its tasks. */
  public void recordHeartbeat(HostPort workerEndpoint, double nowSeconds) {
    worker.recordHeartbeat(workerEndpoint, nowSeconds);
  }

  /**
   * Records the reply to a heartbeat that was held open as a long poll; the reply may renew the
   * worker's lease.
   */
  public void recordReply(double nowSeconds) {
    worker.recordReply(nowSeconds);
  }

  /** Records the session and sequence number of the worker's newest heartbeat. */
  public void recordNewestReport(long session, long sequence) {
    worker.recordNewestReport(session, sequence);
  }

  /**
   * Records that a heartbeat under the current fencing token was reconciled: the machine's tasks
   * are known, and it is responsive.
   *
   * @param preemptionNoticeSeconds seconds until the provider preempts the machine; null without a
   *     notice
   */
  public void recordReconciledStatus(Double preemptionNoticeSeconds) {
    worker.recordStatus(preemptionNoticeSeconds);
  }

  /** Marks the tasks as known for a machine that was transferred here empty. */
  void markTasksKnown() {
    worker.markTasksKnown();
  }

  /**
   * Returns whether the machine's tasks are known: it has reported under this controller's fencing
   * token, or cannot hold unreported tasks since it joined empty.
   */
  public boolean tasksKnown() {
    return worker.tasksKnown();
  }

  /** Returns until when the machine may hold unreported tasks if its tasks are not known. */
  public double unreportedTasksGoneAtSeconds() {
    return worker.unreportedTasksGoneAtSeconds();
  }

  /**
   * Extends the time for which the machine may hold unreported tasks, as its worker's lease may
   * have been renewed since. Never shortens it.
   */
  public void extendUnreportedTasksUntil(double untilSeconds) {
    worker.extendUnreportedTasksUntil(untilSeconds);
  }

  /** Returns whether the machine may hold a task that this controller does not know of. */
  public boolean mayHoldUnreportedTasks(double nowSeconds) {
    return worker.mayHoldUnreportedTasks(nowSeconds);
  }

  /** Returns when the last heartbeat arrived, or when the machine joined if none has. */
  public double lastHeartbeatAtSeconds() {
    return worker.lastHeartbeatAtSeconds();
  }

  /**
   * Returns the latest time at which a reply may have renewed the worker's lease, or when the
   * machine joined the entity if no heartbeat has arrived.
   */
  public double latestRenewalAtSeconds() {
    return worker.latestRenewalAtSeconds();
  }

  /**
   * Returns the seconds until the provider preempts the machine, as last reported, or null without
   * a preemption notice.
   */
  public Double preemptionNoticeSeconds() {
    return worker.preemptionNoticeSeconds();
  }

  /** Returns whether the worker's heartbeats have stopped arriving. */
  public boolean isUnresponsive() {
    return worker.isUnresponsive();
  }

  /** Records that the worker's heartbeats have stopped arriving. */
  public void markUnresponsive() {
    worker.markUnresponsive();
  }

  /**
   * Records that the worker's lease has certainly expired: heartbeats of its last session are
   * outdated, and its unknown tasks are gone. The caller removes the placements.
   */
  public void expireLease() {
    worker.expireLease();
    tasks.replaceUnknownTasks(Map.of());
    tasks.setExitedReportBytes(0);
  }

  /** Returns the worker's endpoint, or null before this controller has received a heartbeat. */
  public HostPort endpoint() {
    return worker.endpoint();
  }

  // ---- reservations

  /** Returns the more urgent job that tasks are preempted for here, or null if there is none. */
  public Job reservedForJob() {
    return reservations.job();
  }

  /** Returns until when no tasks of jobs other than {@link #reservedForJob()} are placed here. */
  public double reservedUntilSeconds() {
    return reservations.jobUntilSeconds();
  }

  /** Reserves the machine for the more urgent job that tasks are preempted for. */
  public void reserve(Job job, double untilSeconds) {
    reservations.reserveForJob(job, untilSeconds);
  }

  /** Returns until when no best-effort work is placed here, as other work needs the machine. */
  public double bestEffortBarredUntilSeconds() {
    return reservations.bestEffortBarredUntilSeconds();
  }

  /** Keeps best-effort work off the machine until the given time. */
  public void barBestEffortUntil(double untilSeconds) {
    reservations.barBestEffortUntil(untilSeconds);
  }

  /** Returns until when no task is placed here, as the machine is drained for another entity. */
  public double reservedForTransferUntilSeconds() {
    return reservations.transferUntilSeconds();
  }

  /** Keeps all new tasks off the machine until the given time, for a transfer to another entity. */
  public void reserveForTransferUntil(double untilSeconds) {
    reservations.reserveForTransferUntil(untilSeconds);
  }

  // ---- images, failures and use

  /** Returns whether the image is cached on the machine, as far as heartbeats have shown. */
  public boolean hasImage(String image) {
    return cachedImages.contains(image);
  }

  /** Records that a task with the image has run here. */
  public void recordImage(String image) {
    cachedImages.add(image);
  }

  /** Returns an unmodifiable view of each job's failure count since a task last succeeded here. */
  public Map<Job, Integer> failuresByJob() {
    return Collections.unmodifiableMap(failuresByJob);
  }

  public void countFailure(Job job) {
    failuresByJob.merge(job, 1, Integer::sum);
  }

  /** Forgets the failures of all jobs, after a task has succeeded here. */
  public void clearFailures() {
    failuresByJob.clear();
  }

  /** Returns whether the machine is quarantined because tasks keep failing on it. */
  public boolean isQuarantined() {
    return quarantined;
  }

  public void setQuarantined(boolean newQuarantined) {
    quarantined = newQuarantined;
  }

  /**
   * Returns since when the machine has had only best-effort work, or since when it has been empty
   * if it is a spot machine.
   */
  public double idleSinceSeconds() {
    return idleSinceSeconds;
  }

  /** Sets {@link #idleSinceSeconds} to {@code nowSeconds}. */
  public void markIdle(double nowSeconds) {
    idleSinceSeconds = nowSeconds;
  }

  /**
   * Returns the seconds of use so far, weighted by {@link #utilization()}: a machine that is half
   * used for two seconds counts one second.
   */
  public double fullUseSeconds() {
    return fullUseSeconds;
  }

  /** Adds the given number of seconds at the present utilization to the use. */
  public void recordUse(double seconds) {
    fullUseSeconds += seconds * utilization();
  }

  // ---- tasks and free capacity

  /** Returns an unmodifiable view of the tasks placed here, in the order of their placement. */
  public Map<TaskId, TaskPlacement> placements() {
    return tasks.placements();
  }

  /** Returns the task's placement on this machine, or null if it has none. */
  public TaskPlacement findPlacement(TaskId taskId) {
    return tasks.find(taskId);
  }

  /** Adds a placement, replacing a former one of the same task. */
  public void addPlacement(TaskPlacement placement) {
    tasks.add(placement);
  }

  /** Removes exactly this placement, and returns false if it is not recorded here. */
  public boolean removePlacement(TaskPlacement placement) {
    return tasks.remove(placement);
  }

  /**
   * Returns an unmodifiable view of the unknown tasks: those that the worker reports as not exited
   * but that are not placed on this machine, because the entity holds no job with that task (for
   * example, since the job has ended) or because the task is placed on another machine. The values
   * are the resources counted for each task; if its job is not known, that is the machine's whole
   * capacity.
   */
  public Map<TaskId, Resources> unknownTasks() {
    return tasks.unknownTasks();
  }

  /**
   * Replaces the unknown tasks, see {@link #unknownTasks()}.
   *
   * @param reported the unknown tasks in the worker's latest report, with the resources counted for
   *     each
   */
  public void replaceUnknownTasks(Map<TaskId, Resources> reported) {
    tasks.replaceUnknownTasks(reported);
  }

  /**
   * Records the room that exited tasks take in the worker's latest report, in bytes. It is free
   * again once a report no longer shows them.
   */
  public void setExitedReportBytes(double bytes) {
    tasks.setExitedReportBytes(bytes);
  }

  /**
   * Records that a report has shown the placement's attempt as exited before its launch was
   * settled. Its room is free; the placement stays, so that the task is not started elsewhere yet.
   */
  public void recordUnsettledExit(TaskPlacement placement) {
    tasks.setExitReported(placement, true);
  }

  /** Records that a report shows the attempt as running, whatever an earlier one has shown. */
  public void recordNotExited(TaskPlacement placement) {
    if (placement.isExitReported()) {
      tasks.setExitReported(placement, false);
    }
  }

  /** Returns how many of the placed tasks use room here. */
  public int countTasksUsingRoom() {
    return tasks.countUsingRoom();
  }

  /** Records that a launch of the placement is sent to the worker now. */
  public void recordLaunch(TaskPlacement placement, double nowSeconds) {
    placement.markLaunched();
    recentLaunches.record(placement.taskId(), placement.attempt(), nowSeconds);
  }

  /**
   * Returns whether no copy of a launch of this attempt can be executed here any more. Before, no
   * report in the same session proves that the attempt is over, and it must not be forgotten.
   */
  public boolean isLaunchSettled(TaskId taskId, long attempt, double nowSeconds) {
    return recentLaunches.isSettled(taskId, attempt, nowSeconds);
  }

  /**
   * Returns the latest time at which the worker's lease may have begun or may have been renewed. If
   * the machine has restarted, its lease began anew, and a copy of a launch may have been executed
   * under it for as long as the worker accepts the reply.
   */
  public double latestLeaseStartSeconds() {
    return Math.max(
        latestRenewalAtSeconds(),
        recentLaunches.latestSentAtSeconds() + LeaseTiming.WORKER_REPLY_VALIDITY_SECONDS);
  }

  /** Returns the free resources. The value is cached until the tasks change. */
  public Resources freeCapacity() {
    return tasks.freeCapacity();
  }

  /** Returns the resources that would be free without the best-effort work on this machine. */
  public Resources freeCapacityWithoutBestEffort() {
    return tasks.freeCapacityWithoutBestEffort();
  }

  /** Returns the most accelerators that one of the placed tasks uses; 0 without placements. */
  public double largestAcceleratorUse() {
    return tasks.largestAcceleratorUse();
  }

  /** Returns the fraction of the processors or accelerators in use, whichever is higher. */
  public double utilization() {
    return tasks.utilization();
  }

  public boolean isEmpty() {
    return tasks.isEmpty();
  }

  /**
   * Returns whether the machine has no tasks except best-effort work. True for an empty machine.
   */
  public boolean hasOnlyBestEffortTasks() {
    return tasks.hasOnlyBestEffortTasks();
  }
}
