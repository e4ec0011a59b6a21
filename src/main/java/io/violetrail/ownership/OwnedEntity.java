package io.violetrail.ownership;

import io.violetrail.evidence.TaskDeparture;
import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.fleet.Machine;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.MachineId;
import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.model.Version;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The in-memory state of an entity that this controller owns: its open jobs, machines and task
 * placements. An entity is a shard of the cluster's jobs and machines, with one owner at a time.
 * Its version is an epoch that grows with every change of owner and serves as a fencing token.
 *
 * <p>An instance is created when this controller has read or written an entity row that names it as
 * the owner. The {@link Phase} is {@code LOADING} while the entity's rows are read, then {@code
 * ACTIVE}, and {@code RELEASING} during a handover to another controller. If the handover is
 * refused although the entity's row has not changed, the phase returns to {@code ACTIVE}. The phase
 * can become {@code LOST} at any time, when another controller owns the entity or may own it. If
 * this controller acquires the same entity again later, it creates a new instance with a new row.
 *
 * <p>The following invariants hold:
 *
 * <ul>
 *   <li>No other instance, of this or a former process, has acted under the same row and version.
 *       Attempt numbers and scale-out request ids, which are counted from 1, are therefore unique,
 *       and a report whose fencing token is the version was sent under this ownership.
 *   <li>The row of an instance never changes. Its version is a lower bound of every fencing token
 *       that the instance issues. Every {@link #fencedTransaction} is conditional on the row's
 *       revision, so the state service refuses it if the entity has moved since.
 *   <li>The phase determines which decisions can be made for the entity, but it does not show
 *       whether this controller may still act as the owner. That requires a valid controller lease
 *       ({@link Membership#isLeaseValid}). Callers must check both.
 *   <li>A placement is registered with both its job and its machine. It is counted exactly once
 *       against its team's limit, from {@link #addPlacement} to {@link #removePlacement}.
 * </ul>
 *
 * <p>Must be used on the event loop's thread. The state is lost in a crash: the next owner reads
 * the stored rows and learns the rest from the workers' heartbeats.
 */
public final class OwnedEntity {
  /** The stages of an entity's ownership by this controller. */
  public enum Phase {
    /** The entity's rows are being read. No decisions are made for the entity. */
    LOADING,
    /** This controller makes the decisions for the entity while its lease is valid. */
    ACTIVE,
    /** The entity is being handed over to another controller. No more tasks are launched. */
    RELEASING,
    /** Another controller owns the entity, or may own it. */
    LOST
  }

  /**
   * Greater than the number of task attempts that an owner starts under one version: at a thousand
   * a second it takes two years to use them up. Attempt numbers of one version are therefore below
   * those of the next.
   */
  private static final long MAX_ATTEMPTS_PER_VERSION = 1L << 36;

  private final EntityRow row;
  private final boolean acquiredGracefully;
  private final double acquiredAtSeconds;
  private Phase phase = Phase.LOADING;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Map<JobId, Job> jobsView = Collections.unmodifiableMap(jobs);
  private final Map<MachineId, Machine> machines = new LinkedHashMap<>();
  private final Map<MachineId, Machine> machinesView = Collections.unmodifiableMap(machines);

  private final PlacementUsage placementUsage = new PlacementUsage();

  private boolean machinesReconciled;

  /** Set once, right after construction. */
  private MachineRecords machineRecords;

  private long attemptCount;
  private long scaleOutRequestCount;

  /**
   * Creates the state of an entity that this controller has just acquired.
   *
   * @param row the stored row that names this controller as the owner
   * @param acquiredGracefully whether the previous owner handed the entity over, or there was none
   * @param nowSeconds steady clock reading, in seconds
   * @throws IllegalArgumentException if the row's version is too low to serve as a fencing token
   */
  public OwnedEntity(EntityRow row, boolean acquiredGracefully, double nowSeconds) {
    row.version().requireFencingToken();
    this.row = row;
    this.acquiredGracefully = acquiredGracefully;
    this.acquiredAtSeconds = nowSeconds;
  }

  /** Returns the stored row of this ownership, with its version and revision. */
  public EntityRow row() {
    return row;
  }

  /**
   * Returns whether the previous owner handed the entity over, or there was no previous owner.
   * Otherwise the entity was taken over after lease expiry, and the previous owner may still renew
   * workers' leases during its keep-alive grace period.
   */
  public boolean acquiredGracefully() {
    return acquiredGracefully;
  }

  /** Returns when this controller acquired the entity, in seconds of the steady clock. */
  public double acquiredAtSeconds() {
    return acquiredAtSeconds;
  }

  public Phase phase() {
    return phase;
  }

  /** Returns whether the phase is {@code ACTIVE}. Acting also requires a valid lease. */
  public boolean isActive() {
    return phase == Phase.ACTIVE;
  }

  /**
   * Moves the entity from {@code LOADING} to {@code ACTIVE}, after its rows have been read.
   *
   * @throws IllegalStateException if the phase is not {@code LOADING}
   */
  public void activate() {
    requirePhase(Phase.LOADING);
    phase = Phase.ACTIVE;
  }

  /** Moves the entity from {@code ACTIVE} to {@code RELEASING}, at the start of a handover. */
  void startRelease() {
    requirePhase(Phase.ACTIVE);
    phase = Phase.RELEASING;
  }

  /**
   * Returns the entity to {@code ACTIVE} after the handover transaction was refused although the
   * entity's row had not changed. The phase is not checked: the entity may have been given up in
   * the meantime, but then this instance is no longer among the owned entities.
   */
  void releaseFailed() {
    phase = Phase.ACTIVE;
  }

  /** Moves the entity to {@code LOST}, from any phase. */
  void markLost() {
    phase = Phase.LOST;
  }

  private void requirePhase(Phase required) {
    if (phase != required) {
      throw new IllegalStateException(
          "entity " + id() + " must be " + required + " but is " + phase);
    }
  }

  /** Returns an unmodifiable view of the open jobs. */
  public Map<JobId, Job> jobs() {
    return jobsView;
  }

  /** Adds an open job. */
  public void addJob(Job job) {
    jobs.put(job.spec().id(), job);
  }

  /** Adds an open job unless the entity already has a job with the same id. */
  public void addJobIfAbsent(Job job) {
    jobs.putIfAbsent(job.spec().id(), job);
  }

  /** Removes a job that has ended. */
  public void removeJob(Job job) {
    jobs.remove(job.spec().id(), job);
  }

  /** Returns an unmodifiable view of the entity's machines. */
  public Map<MachineId, Machine> machines() {
    return machinesView;
  }

  public void addMachine(Machine machine) {
    machines.put(machine.id(), machine);
  }

  /** Removes a machine that has left the entity. */
  public void removeMachine(Machine machine) {
    machines.remove(machine.id(), machine);
  }

  public void removeAllMachines() {
    machines.clear();
  }

  /**
   * Returns whether every machine has reported since this controller acquired the entity, or is
   * known to have no tasks.
   */
  public boolean machinesReconciled() {
    return machinesReconciled;
  }

  /** Records that the condition of {@link #machinesReconciled()} holds. */
  public void markMachinesReconciled() {
    machinesReconciled = true;
  }

  /** Returns the writer of the stored records of this entity's machines. */
  public MachineRecords machineRecords() {
    return machineRecords;
  }

  /** Sets the writer of the machine records. Its constructor needs this instance. */
  void setMachineRecords(MachineRecords records) {
    machineRecords = records;
  }

  /** Returns the entity's id, which is the id of its home controller. */
  public ControllerId id() {
    return row.entity();
  }

  /** Returns the fencing token for a machine's worker, as {@link #fencingToken} does. */
  public Version fencingTokenFor(Machine machine) {
    return fencingToken(machine.row());
  }

  /** Returns the fencing token for a machine's worker: the higher of this version and its term. */
  public Version fencingToken(MachineRow machine) {
    return row.version().compareTo(machine.term()) >= 0 ? row.version() : machine.term();
  }

  /** Returns a new transaction that is applied only if the entity's row has not changed. */
  public Transaction fencedTransaction() {
    return new Transaction().ifRevision(StateSchema.entityKey(id()), row.modRevision());
  }

  /** Returns an attempt number that was never used before. It is prefixed by the version. */
  public long nextAttemptId() {
    return row.version().value() * MAX_ATTEMPTS_PER_VERSION + ++attemptCount;
  }

  /** Returns a scale-out request id that was never used before. It contains the version. */
  public String nextScaleOutRequestId() {
    return id() + "-" + row.version() + "-" + ++scaleOutRequestCount;
  }

  /** Returns whether any machine may hold tasks that have not been reported to this controller. */
  public boolean hasUncertainMachine(double nowSeconds) {
    for (Machine machine : machines.values()) {
      if (machine.mayHoldUnreportedTasks(nowSeconds)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns an upper bound of the resources that a team's tasks use. Unknown tasks ({@link
   * Machine#unknownTasks}), and the whole capacity of machines that may hold unreported tasks, are
   * counted for every team: unknown tasks are recorded without a team, and the teams of unreported
   * tasks are not known.
   */
  public Resources usageOf(String team, double nowSeconds) {
    Resources total = placementUsage.usageOf(team);
    for (Machine machine : machines.values()) {
      if (machine.mayHoldUnreportedTasks(nowSeconds)) {
        total = total.plus(machine.type().capacity());
      }
      for (Resources unknownTaskResources : machine.unknownTasks().values()) {
        total = total.plus(unknownTaskResources);
      }
    }
    return total;
  }

  /**
   * Returns how many pending tasks of the job may be started now: as many as its own state and the
   * entity's {@link TaskCountLimit} allow. Placement, scale-out and requests for other entities'
   * machines all ask this method, so that none of them provides for tasks that another refuses.
   */
  public int startableCount(Job job, double nowSeconds) {
    return Math.min(
        job.startableCount(nowSeconds),
        TaskCountLimit.additionalTasks(job, placementUsage.placedCount()));
  }

  /** Returns whether any placed task has a lower priority than the given one. */
  public boolean hasPlacedTaskOfLowerPriority(Priority priority) {
    return placementUsage.hasTaskOfLowerPriority(priority);
  }

  /**
   * Registers a placement with its job and machine, and counts its resources against the team's
   * limits.
   *
   * @throws IllegalStateException if the placement is already counted
   */
  public void addPlacement(TaskPlacement placement) {
    if (placement.countedAsUsed()) {
      throw new IllegalStateException(
          "placement of task " + placement.taskId() + " has already been added");
    }
    TaskPlacement former = placement.job().findPlacement(placement.taskIndex());
    if (former != null) {
      // A different machine than assumed has reported the task. Stop counting the old placement.
      placementUsage.subtract(former);
    }
    placement.job().addPlacement(placement);
    placement.machine().addPlacement(placement);
    placementUsage.add(placement);
  }

  /**
   * Removes a placement, given the evidence that the task no longer runs on the machine. The job
   * keeps a record of the departure, unless the launch was never sent, the job is no longer open or
   * the task is done. A finished job is removed with its last placement.
   */
  public void removePlacement(
      TaskPlacement placement, double nowSeconds, TerminationEvidence evidence) {
    placementUsage.subtract(placement);
    Job job = placement.job();
    if (evidence != TerminationEvidence.NEVER_SENT
        && job.phase() == Job.Phase.OPEN
        && !job.isDone(placement.taskIndex())) {
      job.recordDeparture(placement.taskIndex(), departureOf(placement, nowSeconds, evidence));
    }
    job.removePlacement(placement);
    removeFromMachine(placement, nowSeconds);
    if (job.phase() == Job.Phase.FINISHED && job.hasNoPlacements()) {
      removeJob(job);
    }
  }

  private static TaskDeparture departureOf(
      TaskPlacement placement, double nowSeconds, TerminationEvidence evidence) {
    return new TaskDeparture(
        placement.machine().id(),
        placement.attempt(),
        evidence,
        nowSeconds,
        placement.machine().latestRenewalAtSeconds());
  }

  /**
   * Removes the placement from its machine and starts the machine's idle time if necessary.
   * Best-effort tasks do not keep an on-demand machine rented, so its idle time starts when its
   * last task of another kind is removed. The idle time of a spot machine starts when it is empty.
   */
  private static void removeFromMachine(TaskPlacement placement, double nowSeconds) {
    Machine machine = placement.machine();
    boolean hadOnlyBestEffortTasks = machine.hasOnlyBestEffortTasks();
    machine.removePlacement(placement);
    if ((!hadOnlyBestEffortTasks && machine.hasOnlyBestEffortTasks())
        || (machine.isEmpty() && machine.row().spot())) {
      machine.markIdle(nowSeconds);
    }
  }
}
