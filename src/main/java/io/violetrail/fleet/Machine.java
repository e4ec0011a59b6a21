package io.violetrail.fleet;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.model.TaskId;
import io.violetrail.model.Version;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.TaskPlacement;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A machine of an entity that this controller owns: its type, its stored record and life cycle, its
 * worker's status, the tasks placed on it, and what is reserved on it. Each of these is an object
 * of its own; what depends on several of them is decided here.
 *
 * <p>Called on the event loop's thread only, by scheduling, by the heartbeats' handling and by
 * scaling. Only the record ({@link #row()}) survives a crash. All times are seconds of the steady
 * clock.
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
  private final Set<String> cachedImages = new HashSet<>();
  private final Map<Job, Integer> failuresByJob = new HashMap<>();
  private boolean quarantined;
  private double idleSinceSeconds;
  private double fullUseSeconds;

  /** Creates a machine that was rented just now for the entity, so certainly without tasks. */
  public Machine(MachineRow row, MachineType type, Version acquiredVersion, double nowSeconds) {
    this(row, type, acquiredVersion, nowSeconds, nowSeconds, 0);
  }

  /**
   * Creates a machine that joins an entity.
   *
   * @param acquiredVersion the version under which this controller's ownership of it begins
   * @param nowSeconds steady clock reading, in seconds
   * @param rentedAtSeconds when it was rented, by the same clock
   * @param unreportedTasksGoneAtSeconds until when it may hold tasks that this controller does not
   *     know, by the same clock
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

  /** The machine type, as the provider offers it under its name. */
  public MachineType type() {
    return type;
  }

  /**
   * The version under which this controller's ownership of the machine began. Heartbeats with an
   * older fencing token do not prove that a task is absent.
   */
  public Version acquiredVersion() {
    return acquiredVersion;
  }

  /** When it was rented. */
  public double rentedAtSeconds() {
    return rentedAtSeconds;
  }

  /** When it came to this entity's present owner. */
  public double joinedAtSeconds() {
    return joinedAtSeconds;
  }

  /** Whether new tasks may be placed on this machine. */
  public boolean isSchedulable() {
    return lifecycle.isInService() && worker.isReadyForTasks();
  }

  /** Whether the job's constraints on types, zones and spot machines allow this machine. */
  public boolean isAllowedFor(JobSpec job) {
    return job.allowsMachine(row().type(), row().zone(), row().spot());
  }

  // ---- the stored record and the life cycle

  /** The machine's record as it was last stored. */
  public MachineRow row() {
    return lifecycle.row();
  }

  /** Whether a write of its record is in flight. */
  boolean rowWriteInFlight() {
    return lifecycle.isRowWriteInFlight();
  }

  /** A write of its record begins. */
  void startRowWrite() {
    lifecycle.startRowWrite();
  }

  /** The write of its record has ended, with or without effect. */
  void endRowWrite() {
    lifecycle.endRowWrite();
  }

  /** Its record was stored. */
  void replaceRow(MachineRow stored) {
    lifecycle.replaceRow(stored);
  }

  /** Whether it goes out of service: what runs is checkpointed, and nothing new starts. */
  public boolean draining() {
    return lifecycle.isDraining();
  }

  /** Takes it out of service: what runs is checkpointed, and nothing new starts. */
  public void startDraining() {
    lifecycle.startDraining();
  }

  /** Takes it back into service. */
  public void stopDraining() {
    lifecycle.stopDraining();
  }

  /** Whether it is being returned to the provider. */
  public boolean returning() {
    return lifecycle.isReturning();
  }

  /** It is to be returned to the provider. */
  void startReturn() {
    lifecycle.startReturn();
  }

  /**
   * The provider has refused to take it back. It is in service again, unless an earlier request had
   * an uncertain outcome and may still be carried out: without this, idle machines were out of use
   * for all of a provider outage.
   */
  void cancelReturn() {
    lifecycle.cancelReturn();
  }

  /** A return request had an uncertain outcome: the provider may still carry it out. */
  void markReturnUncertain() {
    lifecycle.markReturnUncertain();
  }

  /** Whether its transfer to another entity is in flight. */
  boolean transferInFlight() {
    return lifecycle.isTransferInFlight();
  }

  /** Its transfer to another entity begins: nothing starts here meanwhile. */
  void startTransfer() {
    lifecycle.startTransfer();
  }

  /** It was not transferred after all; its record is now the one given. */
  void transferFailed(MachineRow stored) {
    lifecycle.transferFailed(stored);
  }

  // ---- the worker's status

  /** The worker session of the newest heartbeat; 0 before the first. */
  public long lastSession() {
    return worker.lastSession();
  }

  /** The newest heartbeat's number within its session. */
  public long lastSequence() {
    return worker.lastSequence();
  }

  /** Heartbeats of earlier sessions are outdated: the leases of those sessions have expired. */
  public long firstValidSession() {
    return worker.firstValidSession();
  }

  /** A heartbeat has arrived; nothing is concluded from its contents yet. */
  public void recordHeartbeat(HostPort workerEndpoint, double nowSeconds) {
    worker.recordHeartbeat(workerEndpoint, nowSeconds);
  }

  /** A heartbeat that was kept open as a long poll is answered now. */
  public void recordReply(double nowSeconds) {
    worker.recordReply(nowSeconds);
  }

  /** Records which heartbeat of the worker is the newest. */
  public void recordNewestReport(long session, long sequence) {
    worker.recordNewestReport(session, sequence);
  }

  /**
   * A heartbeat under the current fencing token was reconciled: the machine's tasks are known.
   *
   * @param preemptionNoticeSeconds seconds until the provider preempts it; null without a notice
   */
  public void markReconciled(Double preemptionNoticeSeconds) {
    worker.recordStatus(preemptionNoticeSeconds);
  }

  /** It was transferred here empty, so its tasks are known. */
  void markJoinedEmpty() {
    worker.markTasksKnown();
  }

  /** Whether it has reported under this controller's fencing token, so that its tasks are known. */
  public boolean tasksKnown() {
    return worker.tasksKnown();
  }

  /** Until then, a machine that has not reported may hold tasks. */
  public double unreportedTasksGoneAtSeconds() {
    return worker.unreportedTasksGoneAtSeconds();
  }

  /** Another controller may renew its worker's lease until then. */
  public void extendUnreportedTasksUntil(double untilSeconds) {
    worker.extendUnreportedTasksUntil(untilSeconds);
  }

  /** Whether it may hold a task that this controller does not know of. */
  public boolean mayHoldUnreportedTasks(double nowSeconds) {
    return worker.mayHoldUnreportedTasks(nowSeconds);
  }

  /** When its last heartbeat came. */
  public double lastHeartbeatAtSeconds() {
    return worker.lastHeartbeatAtSeconds();
  }

  /**
   * The latest time at which a reply may have renewed its worker's lease, in seconds of the steady
   * clock; when it joined the entity, before the first heartbeat.
   */
  public double latestRenewalAtSeconds() {
    return worker.latestRenewalAtSeconds();
  }

  /** Seconds until the provider preempts it, as last reported; null if there is no notice. */
  public Double preemptionNoticeSeconds() {
    return worker.preemptionNoticeSeconds();
  }

  /** Whether its heartbeats have stopped coming. */
  public boolean unresponsive() {
    return worker.unresponsive();
  }

  /** Its heartbeats have stopped coming. */
  public void markUnresponsive() {
    worker.markUnresponsive();
  }

  /**
   * Its worker's lease has certainly expired, and with it its session and its unknown tasks; the
   * caller removes the placements.
   */
  public void expireLease() {
    worker.expireLease();
    tasks.replaceUnknownTasks(Map.of());
  }

  /** Where its worker answers; null before the first heartbeat here. */
  public HostPort endpoint() {
    return worker.endpoint();
  }

  // ---- reservations

  /** A more urgent job for which room is being made here; null if there is none. */
  public Job reservedForJob() {
    return reservations.job();
  }

  /** Until when other jobs keep out of the reserved room. */
  public double reservedUntilSeconds() {
    return reservations.jobUntilSeconds();
  }

  /** Reserves the room that is made here for a more urgent job. */
  public void reserve(Job job, double untilSeconds) {
    reservations.reserveForJob(job, untilSeconds);
  }

  /** No best-effort work is started here until then: others need the machine. */
  public double bestEffortBarredUntilSeconds() {
    return reservations.bestEffortBarredUntilSeconds();
  }

  /** Starts no best-effort work here until then. */
  public void barBestEffortUntil(double untilSeconds) {
    reservations.barBestEffortUntil(untilSeconds);
  }

  /** Nothing is started here until then: it is drained for another entity. */
  public double reservedForTransferUntilSeconds() {
    return reservations.transferUntilSeconds();
  }

  /** Starts nothing here until then. */
  public void reserveForTransferUntil(double untilSeconds) {
    reservations.reserveForTransferUntil(untilSeconds);
  }

  // ---- images, failures and use

  /** Whether the image is cached there, as far as heartbeats have shown. */
  public boolean hasImage(String image) {
    return cachedImages.contains(image);
  }

  /** A task with the image has run here. */
  public void recordImage(String image) {
    cachedImages.add(image);
  }

  /** Failures here of each job since a task last succeeded here; not to be changed. */
  public Map<Job, Integer> failuresByJob() {
    return Collections.unmodifiableMap(failuresByJob);
  }

  /** A task of the job has failed here. */
  public void countFailure(Job job) {
    failuresByJob.merge(job, 1, Integer::sum);
  }

  /** A task has succeeded here. */
  public void clearFailures() {
    failuresByJob.clear();
  }

  /** Whether it fails what it starts, by what its failures say now. */
  public boolean quarantined() {
    return quarantined;
  }

  /** Says whether it fails what it starts. */
  public void setQuarantined(boolean nowQuarantined) {
    quarantined = nowQuarantined;
  }

  /** Since when nothing but best-effort work has been here. */
  public double idleSinceSeconds() {
    return idleSinceSeconds;
  }

  /** It has no regular work from now on. */
  public void markIdle(double nowSeconds) {
    idleSinceSeconds = nowSeconds;
  }

  /** Seconds of full use so far, by the scarcer of processors and accelerators. */
  public double fullUseSeconds() {
    return fullUseSeconds;
  }

  /** Counts the present use for so many seconds more. */
  public void countUse(double seconds) {
    fullUseSeconds += seconds * utilization();
  }

  // ---- tasks and free capacity

  /** Tasks placed here, by name, in the order of their placement; not to be changed. */
  public Map<TaskId, TaskPlacement> placements() {
    return tasks.placements();
  }

  /** Returns the task's placement here, or null if it has none. */
  public TaskPlacement findPlacement(TaskId taskId) {
    return tasks.find(taskId);
  }

  /** Adds a task; a placement of the same task is replaced. */
  public void addPlacement(TaskPlacement placement) {
    tasks.add(placement);
  }

  /** Removes a task if exactly this placement is recorded, and returns whether it was. */
  public boolean removePlacement(TaskPlacement placement) {
    return tasks.remove(placement);
  }

  /** Tasks that the worker reports but no open job has, with what they use; not to be changed. */
  public Map<TaskId, Resources> unknownTasks() {
    return tasks.unknownTasks();
  }

  /** Replaces the tasks that the worker reports but no open job has, with what they use. */
  public void replaceUnknownTasks(Map<TaskId, Resources> reported) {
    tasks.replaceUnknownTasks(reported);
  }

  /** The free resources; computed again only after the tasks have changed. */
  public Resources freeCapacity() {
    return tasks.freeCapacity();
  }

  /** What would be free without the best-effort work here. */
  public Resources freeCapacityWithoutBestEffort() {
    return tasks.freeCapacityWithoutBestEffort();
  }

  /** The fraction in use now, by the scarcer of processors and accelerators. */
  public double utilization() {
    return tasks.utilization();
  }

  public boolean isEmpty() {
    return tasks.isEmpty();
  }

  /** Whether nothing but best-effort work is here, if anything. */
  public boolean hasOnlyBestEffortTasks() {
    return tasks.hasOnlyBestEffortTasks();
  }
}
