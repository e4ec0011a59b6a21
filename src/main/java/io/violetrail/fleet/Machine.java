package io.violetrail.fleet;

import io.violetrail.config.Settings.HostPort;
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
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** A machine of an entity that this controller owns. */
public final class Machine {
  private MachineRow row;
  private final MachineType type;

  /**
   * The version under which this controller's hold on the machine began; older reports prove no
   * absence.
   */
  private final Version acquiredVersion;

  private final Map<TaskId, TaskPlacement> placements = new LinkedHashMap<>();
  private final Set<String> cachedImages = new HashSet<>();

  /**
   * Tasks of jobs that are over, or that nobody knows, seen here: they count until they are gone.
   */
  private final Map<TaskId, Resources> unknownTasks = new HashMap<>();

  /** What is free, worked out anew only after a change: placement asks far more often. */
  private Resources freeCapacity;

  private long lastSession;
  private long lastSequence;

  /** Reports of earlier sessions are leftovers: those sessions' leases are surely over. */
  private long firstValidSession;

  /** It reported under our term, so what it holds is known. */
  private boolean tasksKnown;

  /** Until then, an unheard machine may hold any task. */
  private double unreportedTasksGoneAtSeconds;

  private double lastHeartbeatAtSeconds;
  private double lastAnsweredAtSeconds;
  private final double rentedAtSeconds;
  private double idleSinceSeconds;
  private Double preemptionNoticeSeconds;
  private boolean draining;
  private boolean returning;

  /**
   * The cloud was asked to take it back and may still do so. Where it only said no, as in an outage
   * of its own, the machine may be used again: idle machines were out of use for all of an outage.
   */
  private boolean returnUncertain;

  private boolean unresponsive;

  /** Promised to another entity until then; nothing starts here meanwhile. */
  private boolean transferInFlight;

  /** A more urgent job for which room is being made here; others keep out until then. */
  private Job reservedForJob;

  private double reservedUntilSeconds;

  /** No spare work is started here until then: others need the machine. */
  private double bestEffortBarredUntilSeconds;

  /** Nothing is started here until then: it is emptied for another entity. */
  private double reservedForTransferUntilSeconds = Double.NEGATIVE_INFINITY;

  /** When it came to this entity's present owner. */
  private final double joinedAtSeconds;

  /** Where its worker answers; null until it has reported here. */
  private HostPort endpoint;

  /** Tasks here that are not spare work. */
  private int regularTaskCount;

  private boolean rowWriteInFlight;

  /** Failures here of each job since something ended well here. */
  private final Map<Job, Integer> failuresByJob = new HashMap<>();

  /** It fails what it starts, by what its failures say now. */
  private boolean quarantined;

  /** Seconds of full use so far, by the scarcer of processors and accelerators. */
  private double fullUseSeconds;

  /** A machine that joins an entity now, rented just now and certain to hold nothing. */
  public Machine(MachineRow row, MachineType type, Version acquiredVersion, double nowSeconds) {
    this(row, type, acquiredVersion, nowSeconds, nowSeconds, 0);
  }

  /**
   * A machine that joins an entity.
   *
   * @param acquiredVersion the version under which this controller's hold on it begins
   * @param nowSeconds seconds of the steady clock
   * @param rentedS when it was rented, in the same seconds
   * @param unheardGoneS until when it may hold tasks that nobody here knows of
   */
  public Machine(
      MachineRow row,
      MachineType type,
      Version acquiredVersion,
      double nowSeconds,
      double rentedS,
      double unheardGoneS) {
    this.row = row;
    this.type = type;
    this.acquiredVersion = acquiredVersion;
    this.rentedAtSeconds = rentedS;
    this.unreportedTasksGoneAtSeconds = unheardGoneS;
    this.joinedAtSeconds = nowSeconds;
    this.idleSinceSeconds = nowSeconds;
    this.lastHeartbeatAtSeconds = nowSeconds;
    this.lastAnsweredAtSeconds = nowSeconds;
    this.tasksKnown = !row.hasReported();
  }

  public MachineId id() {
    return row.id();
  }

  /** The machine's record as it was last stored. */
  public MachineRow row() {
    return row;
  }

  /** The type of machine that the cloud rents out under its name. */
  public MachineType type() {
    return type;
  }

  /**
   * The version under which this controller's hold on the machine began; older reports prove no
   * absence.
   */
  public Version acquiredVersion() {
    return acquiredVersion;
  }

  /** The newest report was in this session of the worker; 0 before the first. */
  public long lastSession() {
    return lastSession;
  }

  /** The newest report's number within its session. */
  public long lastSequence() {
    return lastSequence;
  }

  /** Reports of earlier sessions are leftovers: those sessions' leases are surely over. */
  public long firstValidSession() {
    return firstValidSession;
  }

  /** A report has come: nothing is concluded from it yet. */
  public void reportArrived(HostPort workerEndpoint, double now) {
    lastHeartbeatAtSeconds = now;
    lastAnsweredAtSeconds = now;
    endpoint = workerEndpoint;
  }

  /** A report that was kept open is answered now. */
  public void reportAnswered(double now) {
    lastAnsweredAtSeconds = now;
  }

  /** Notes which report of the worker is the newest. */
  public void newestReport(long newSession, long newSequence) {
    lastSession = newSession;
    lastSequence = newSequence;
  }

  /** A report under the current term was taken: what the machine holds is known. */
  public void reportTaken(Double newNoticeS) {
    preemptionNoticeSeconds = newNoticeS;
    tasksKnown = true;
    unresponsive = false;
  }

  /** It has come empty from another entity, so what it holds is known. */
  void joinedEmpty() {
    tasksKnown = true;
  }

  /** Whether it has reported under our term, so that what it holds is known. */
  public boolean tasksKnown() {
    return tasksKnown;
  }

  /** Until then, in seconds of the steady clock, a machine that has not reported may hold tasks. */
  public double unreportedTasksGoneAtSeconds() {
    return unreportedTasksGoneAtSeconds;
  }

  /** Its worker's lease may be kept until then by another controller. */
  public void mayHoldTasksUntil(double untilSeconds) {
    unreportedTasksGoneAtSeconds = Math.max(unreportedTasksGoneAtSeconds, untilSeconds);
  }

  /** When its last report came, in seconds of the steady clock. */
  public double lastHeartbeatAtSeconds() {
    return lastHeartbeatAtSeconds;
  }

  /** When its last report was answered, in seconds of the steady clock. */
  public double lastAnsweredAtSeconds() {
    return lastAnsweredAtSeconds;
  }

  /** When it was rented, in seconds of the steady clock. */
  public double rentedAtSeconds() {
    return rentedAtSeconds;
  }

  /** Since when nothing but spare work has been here. */
  public double idleSinceSeconds() {
    return idleSinceSeconds;
  }

  /** It has nothing to do from now on. */
  public void becameIdle(double now) {
    idleSinceSeconds = now;
  }

  /** Seconds until the cloud takes it back, as last reported; null if there is no notice. */
  public Double preemptionNoticeSeconds() {
    return preemptionNoticeSeconds;
  }

  /** Whether it goes out of use: what runs is saved, and nothing new starts. */
  public boolean draining() {
    return draining;
  }

  /** Takes it out of use, or back into use. */
  public void setDraining(boolean nowDraining) {
    draining = nowDraining;
  }

  /** Whether it is being returned to the cloud. */
  public boolean returning() {
    return returning;
  }

  /** It is to be returned to the cloud. */
  void startReturn() {
    returning = true;
  }

  /**
   * The cloud has refused to take it back, and will not do so late, unless it was unclear before.
   */
  void returnRefused() {
    returning = returnUncertain;
  }

  /** The cloud may still take it back. */
  void returnUnclear() {
    returnUncertain = true;
  }

  /** Whether its reports have stopped coming. */
  public boolean unresponsive() {
    return unresponsive;
  }

  /** Its reports have stopped coming. */
  public void markSilent() {
    unresponsive = true;
  }

  /** Its worker's lease is certainly over, and so are its tasks and its session. */
  public void leaseExpired() {
    firstValidSession = lastSession + 1;
    replaceUnknownTasks(Map.of());
  }

  /** Whether it is being passed to another entity. */
  boolean transferInFlight() {
    return transferInFlight;
  }

  /** It is being passed to another entity: nothing starts here meanwhile. */
  void promise() {
    transferInFlight = true;
  }

  /** It was not passed to another entity after all. */
  void promiseFailed(MachineRow stored) {
    row = stored;
    transferInFlight = false;
  }

  /** A more urgent job for which room is being made here; null if there is none. */
  public Job reservedForJob() {
    return reservedForJob;
  }

  /** Until when others keep out of the reserved room. */
  public double reservedUntilSeconds() {
    return reservedUntilSeconds;
  }

  /** Keeps the room that is made here for a more urgent job. */
  public void reserve(Job job, double untilSeconds) {
    reservedForJob = job;
    reservedUntilSeconds = untilSeconds;
  }

  /** No spare work is started here until then: others need the machine. */
  public double bestEffortBarredUntilSeconds() {
    return bestEffortBarredUntilSeconds;
  }

  /** Keeps spare work away until then. */
  public void keepSpareWorkAway(double untilSeconds) {
    bestEffortBarredUntilSeconds = untilSeconds;
  }

  /** Nothing is started here until then: it is emptied for another entity. */
  public double reservedForTransferUntilSeconds() {
    return reservedForTransferUntilSeconds;
  }

  /** Starts nothing here until then. */
  public void keepEmpty(double untilSeconds) {
    reservedForTransferUntilSeconds = untilSeconds;
  }

  /** When it came to this entity's present owner. */
  public double joinedAtSeconds() {
    return joinedAtSeconds;
  }

  /** Where its worker answers; null until it has reported here. */
  public HostPort endpoint() {
    return endpoint;
  }

  /** Whether a write of its record is under way. */
  boolean rowWriteInFlight() {
    return rowWriteInFlight;
  }

  /** A write of its record begins. */
  void startRewrite() {
    rowWriteInFlight = true;
  }

  /** A write of its record has ended, as it may be without effect. */
  void endRewrite() {
    rowWriteInFlight = false;
  }

  /** Its record was stored. */
  void rewritten(MachineRow stored) {
    row = stored;
  }

  /** Whether the image is there, as far as reports have shown. */
  public boolean hasImage(String image) {
    return cachedImages.contains(image);
  }

  /** A task with the image has run here. */
  public void imageSeen(String image) {
    cachedImages.add(image);
  }

  /** Failures here of each job since something ended well here; not to be changed. */
  public Map<Job, Integer> failuresByJob() {
    return Collections.unmodifiableMap(failuresByJob);
  }

  /** A task of the job has failed here. */
  public void countFailure(Job job) {
    failuresByJob.merge(job, 1, Integer::sum);
  }

  /** Something has ended well here. */
  public void clearFailures() {
    failuresByJob.clear();
  }

  /** Whether it fails what it starts, by what its failures say now. */
  public boolean quarantined() {
    return quarantined;
  }

  /** Says whether it fails what it starts. */
  public void setSick(boolean nowSick) {
    quarantined = nowSick;
  }

  /** Seconds of full use so far, by the scarcer of processors and accelerators. */
  public double fullUseSeconds() {
    return fullUseSeconds;
  }

  /** Counts the present use for so many seconds more. */
  public void countUse(double seconds) {
    fullUseSeconds += seconds * utilization();
  }

  /** Tasks placed here, by name; not to be changed. */
  public Map<TaskId, TaskPlacement> placements() {
    return Collections.unmodifiableMap(placements);
  }

  public TaskPlacement findPlacement(TaskId taskId) {
    return placements.get(taskId);
  }

  /**
   * Adds a task and invalidates the cached free resources; a placement of the same task is
   * replaced.
   */
  public void addPlacement(TaskPlacement placement) {
    TaskPlacement previous = placements.put(placement.taskId(), placement);
    regularTaskCount +=
        (placement.job().bestEffort() ? 0 : 1)
            - (previous == null || previous.job().bestEffort() ? 0 : 1);
    freeCapacity = null;
  }

  /** Removes a task if exactly this placement is recorded, and returns whether it was. */
  public boolean removePlacement(TaskPlacement placement) {
    freeCapacity = null;
    boolean removed = placements.remove(placement.taskId(), placement);
    regularTaskCount -= removed && !placement.job().bestEffort() ? 1 : 0;
    return removed;
  }

  public Map<TaskId, Resources> unknownTasks() {
    return Collections.unmodifiableMap(unknownTasks);
  }

  /**
   * Replaces the tasks that the worker reports but the controller does not know, with what they
   * use.
   */
  public void replaceUnknownTasks(Map<TaskId, Resources> reported) {
    if (!reported.isEmpty() || !unknownTasks.isEmpty()) {
      unknownTasks.clear();
      unknownTasks.putAll(reported);
      freeCapacity = null;
    }
  }

  /** Returns the free resources, which are computed again only after the tasks have changed. */
  public Resources freeCapacity() {
    if (freeCapacity == null) {
      freeCapacity = computeFreeCapacity();
    }
    return freeCapacity;
  }

  private Resources computeFreeCapacity() {
    double cpus = type.capacity().cpus();
    double gpus = type.capacity().gpus();
    double memory = type.capacity().memoryGb();
    for (TaskPlacement placement : placements.values()) {
      Resources amounts = placement.job().spec().taskResources();
      cpus -= amounts.cpus();
      gpus -= amounts.gpus();
      memory -= amounts.memoryGb();
    }
    for (Resources amounts : unknownTasks.values()) {
      cpus -= amounts.cpus();
      gpus -= amounts.gpus();
      memory -= amounts.memoryGb();
    }
    return new Resources(cpus, gpus, memory);
  }

  /** What would be free without the spare work here. */
  public Resources freeCapacityWithoutBestEffort() {
    Resources capacity = freeCapacity();
    if (placements.size() > regularTaskCount) {
      for (TaskPlacement placement : placements.values()) {
        capacity =
            placement.job().bestEffort()
                ? capacity.plus(placement.job().spec().taskResources())
                : capacity;
      }
    }
    return capacity;
  }

  /** Whether new tasks may be decided for this machine. */
  public boolean isSchedulable() {
    return row.hasReported()
        && tasksKnown
        && !draining
        && !returning
        && !unresponsive
        && !transferInFlight
        && preemptionNoticeSeconds == null;
  }

  /** The share in use now. */
  public double utilization() {
    Resources used = type.capacity().minus(freeCapacity());
    double gpus = type.capacity().gpus() > 0 ? used.gpus() / type.capacity().gpus() : 0;
    return Math.max(used.cpus() / type.capacity().cpus(), gpus);
  }

  public boolean isEmpty() {
    return placements.isEmpty() && unknownTasks.isEmpty();
  }

  /** Whether nothing but spare work is here, if anything. */
  public boolean hasOnlyBestEffortTasks() {
    return regularTaskCount == 0 && unknownTasks.isEmpty();
  }

  /** Whether it may still hold a task that this controller does not know of. */
  public boolean mayHoldUnreportedTasks(double nowSeconds) {
    return !tasksKnown && nowSeconds < unreportedTasksGoneAtSeconds;
  }
}
