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
 * An entity while this controller owns it: its jobs, machines and placements as known here.
 *
 * <p>Its life begins with the transaction by which it came here and goes through the {@link Phase}s
 * in their order; a handover that is refused leads back to {@code ACTIVE}. An entity that comes
 * here once more is a new object with a new row. These always hold:
 *
 * <ul>
 *   <li>The row never changes, so its version stands in every fencing token, and its revision in
 *       every {@link #fencedTransaction}: no write of an object that is out of date is applied.
 *   <li>The phase says what may be decided, not whether this controller is entitled to it: that is
 *       the lease's business, and both must be asked.
 *   <li>A placement is known to its job and its machine alike, and is counted once against its
 *       team's limit from {@link #addPlacement} to {@link #removePlacement}.
 * </ul>
 *
 * <p>Used on the event loop's thread. Nothing of it survives a crash: the next owner reads the
 * stored rows and learns the rest from the workers' heartbeats.
 */
public final class OwnedEntity {
  /** How far it is between the move to this controller and the next one. */
  public enum Phase {
    /** Its rows are being read; nothing is decided for it. */
    LOADING,
    /** It is led from here. */
    ACTIVE,
    /** It is being handed over; nothing is launched for it any more. */
    RELEASING,
    /** Another controller owns it, or may. */
    LOST
  }

  /** Above any number of attempts that an owner starts under one version. */
  private static final long MAX_ATTEMPTS_PER_VERSION = 1_000_000;

  private final EntityRow row;
  private final boolean acquiredGracefully;
  private final double acquiredAtSeconds;
  private Phase phase = Phase.LOADING;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Map<JobId, Job> jobsView = Collections.unmodifiableMap(jobs);
  private final Map<MachineId, Machine> machines = new LinkedHashMap<>();
  private final Map<MachineId, Machine> machinesView = Collections.unmodifiableMap(machines);

  private final PlacementUsage placementUsage = new PlacementUsage();

  /** Whether each of its machines has reported since the move, or is known to have no tasks. */
  private boolean machinesReconciled;

  /** The writer of its machines' records; set once, right after construction. */
  private MachineRecords machineRecords;

  private long attemptCount;
  private long scaleOutRequestCount;

  /**
   * Creates the state of an entity that this controller owns from now on.
   *
   * @param row the row under which it is owned here
   * @param acquiredGracefully whether the previous owner released the entity itself
   * @param nowSeconds steady clock reading, in seconds
   * @throws IllegalArgumentException if the row's version is no fencing token
   */
  public OwnedEntity(EntityRow row, boolean acquiredGracefully, double nowSeconds) {
    row.version().requireToken();
    this.row = row;
    this.acquiredGracefully = acquiredGracefully;
    this.acquiredAtSeconds = nowSeconds;
  }

  /** The row under which it is owned here. */
  public EntityRow row() {
    return row;
  }

  /**
   * Whether its former owner handed it over, or there was none. Otherwise it was taken over after
   * lease expiry, and that owner may still keep workers' leases alive for the grace period.
   */
  public boolean acquiredGracefully() {
    return acquiredGracefully;
  }

  /** When it was acquired, in seconds of the steady clock. */
  public double acquiredAtSeconds() {
    return acquiredAtSeconds;
  }

  /** How far it is between the move to this controller and the next one. */
  public Phase phase() {
    return phase;
  }

  /** Whether decisions are made for it here, as far as the lease allows. */
  public boolean isActive() {
    return phase == Phase.ACTIVE;
  }

  /**
   * Its rows were read: it is led from here.
   *
   * @throws IllegalStateException unless its rows were being read
   */
  public void activate() {
    requirePhase(Phase.LOADING);
    phase = Phase.ACTIVE;
  }

  /** Its handover begins. */
  void startRelease() {
    requirePhase(Phase.ACTIVE);
    phase = Phase.RELEASING;
  }

  /**
   * Its handover was refused, though its row had not changed. This does not check the phase: the
   * entity may have been given up meanwhile, and then is no longer among the owned ones.
   */
  void releaseFailed() {
    phase = Phase.ACTIVE;
  }

  /** Another controller owns it, or may; possible in every phase. */
  void markLost() {
    phase = Phase.LOST;
  }

  private void requirePhase(Phase required) {
    if (phase != required) {
      throw new IllegalStateException("entity " + id() + " is " + phase + ", not " + required);
    }
  }

  /** Its open jobs; not to be changed. */
  public Map<JobId, Job> jobs() {
    return jobsView;
  }

  /** Adds an open job. */
  public void addJob(Job job) {
    jobs.put(job.spec().id(), job);
  }

  /** Adds an open job unless it is here already. */
  public void addJobIfAbsent(Job job) {
    jobs.putIfAbsent(job.spec().id(), job);
  }

  /** Removes a job that is over. */
  public void removeJob(Job job) {
    jobs.remove(job.spec().id(), job);
  }

  /** Its machines as known here; not to be changed. */
  public Map<MachineId, Machine> machines() {
    return machinesView;
  }

  /** Adds a machine. */
  public void addMachine(Machine machine) {
    machines.put(machine.id(), machine);
  }

  /** Removes a machine that has left the entity. */
  public void removeMachine(Machine machine) {
    machines.remove(machine.id(), machine);
  }

  /** Removes all machines. */
  public void removeAllMachines() {
    machines.clear();
  }

  /** Whether each of its machines has reported since the move, or is known to have no tasks. */
  public boolean machinesReconciled() {
    return machinesReconciled;
  }

  /** Each of its machines has reported since the move, or is known to have no tasks. */
  public void markMachinesReconciled() {
    machinesReconciled = true;
  }

  /** The writer of its machines' records. */
  public MachineRecords machineRecords() {
    return machineRecords;
  }

  /** Connects it with the writer of its machines' records, which needs this object itself. */
  void setMachineRecords(MachineRecords records) {
    machineRecords = records;
  }

  /** The entity's id, which is that of its home controller. */
  public ControllerId id() {
    return row.entity();
  }

  /** The fencing token for a machine's worker. */
  public Version fencingTokenFor(Machine machine) {
    return fencingToken(machine.row());
  }

  /** The fencing token for the worker of a machine: the higher of this version and its term. */
  public Version fencingToken(MachineRow machine) {
    return row.version().compareTo(machine.term()) >= 0 ? row.version() : machine.term();
  }

  /** A transaction that applies only while this version of the entity stands. */
  public Transaction fencedTransaction() {
    return new Transaction().ifRevision(StateSchema.entityKey(id()), row.modRevision());
  }

  /** An attempt number that no owner has used before: it begins with the version. */
  public long nextAttemptId() {
    return row.version().value() * MAX_ATTEMPTS_PER_VERSION + ++attemptCount;
  }

  /** A name that no owner has used before for a scale-out request. */
  public String nextScaleOutRequestId() {
    return id() + "-" + row.version() + "-" + ++scaleOutRequestCount;
  }

  /** Whether some machine may have tasks that this controller does not know of. */
  public boolean hasUncertainMachine(double nowSeconds) {
    for (Machine machine : machines.values()) {
      if (machine.mayHoldUnreportedTasks(nowSeconds)) {
        return true;
      }
    }
    return false;
  }

  /**
   * What a team's tasks may be using at most. Unknown tasks, and machines that may have tasks that
   * were not reported, count in full for every team: nobody can say whose tasks those are.
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

  /** Whether any task of a lower priority is placed. */
  public boolean hasPlacedTaskBelow(Priority priority) {
    return placementUsage.hasTaskBelow(priority);
  }

  /**
   * Records a placement and counts its resources against the team's limits.
   *
   * @throws IllegalStateException if the placement is counted already
   */
  public void addPlacement(TaskPlacement placement) {
    if (placement.countedAsUsed()) {
      throw new IllegalStateException(placement.taskId() + " is placed twice");
    }
    TaskPlacement former = placement.job().findPlacement(placement.taskIndex());
    if (former != null) {
      // Reported by another machine than was assumed: the older placement no longer counts.
      placementUsage.subtract(former);
    }
    placement.job().addPlacement(placement);
    placement.machine().addPlacement(placement);
    placementUsage.add(placement);
  }

  /**
   * Removes a placement, on evidence that the task is gone. The job keeps a record of the departure
   * unless the task was never sent or its end no longer matters.
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
   * Best-effort work does not keep an ordinary machine rented: its idle time begins when the last
   * task of another kind leaves. A spot machine's begins when it is empty.
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
