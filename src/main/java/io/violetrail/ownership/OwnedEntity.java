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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** An entity while this controller owns it: its jobs and machines as known here. */
public final class OwnedEntity {
  /** From the move's transaction to the next one. */
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

  private final EntityRow row;
  private final boolean acquiredGracefully;
  private final double acquiredAtSeconds;
  private Phase phase = Phase.LOADING;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Map<JobId, Job> jobsView = Collections.unmodifiableMap(jobs);
  private final Map<MachineId, Machine> machines = new LinkedHashMap<>();
  private final Map<MachineId, Machine> machinesView = Collections.unmodifiableMap(machines);

  /** What each team's placed tasks take, kept up to date instead of summed up for each decision. */
  private final Map<String, Usage> usageByTeam = new HashMap<>();

  /** How many tasks of each priority are placed, so that none is looked for in vain. */
  private final int[] placedCountByPriority = new int[Priority.values().length];

  /** Whether each of its machines has reported since the move, or is known to hold nothing. */
  private boolean machinesReconciled;

  /** Where its machines are recorded. */
  private MachineRecords machineRecords;

  private long attemptCount;
  private long scaleOutRequestCount;

  /**
   * Creates the state of an entity that this controller owns from now on.
   *
   * @param acquiredGracefully whether the previous owner released the entity itself
   * @param nowSeconds steady clock reading, in seconds
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

  /** Whether it was handed over by its former owner, or had none, rather than seized. */
  public boolean acquiredGracefully() {
    return acquiredGracefully;
  }

  /** When it was acquired, in seconds of the steady clock. */
  public double acquiredAtSeconds() {
    return acquiredAtSeconds;
  }

  /** Where it is between the move to this controller and the next one. */
  public Phase phase() {
    return phase;
  }

  /** Its rows were read: it is led from here. */
  public void activate() {
    if (phase != Phase.LOADING) {
      throw new IllegalStateException("entity " + id() + " is " + phase);
    }
    phase = Phase.ACTIVE;
  }

  /** It is being handed over. */
  void startRelease() {
    phase = Phase.RELEASING;
  }

  /** It was not handed over after all. */
  void releaseFailed() {
    phase = Phase.ACTIVE;
  }

  /** Another controller owns it, or may. */
  void markLost() {
    phase = Phase.LOST;
  }

  /** Its open jobs; not to be changed. */
  public Map<JobId, Job> jobs() {
    return jobsView;
  }

  /** Takes up an open job. */
  public void addJob(Job job) {
    jobs.put(job.spec().id(), job);
  }

  /** Takes up an open job unless it is here already. */
  public void addJobIfAbsent(Job job) {
    jobs.putIfAbsent(job.spec().id(), job);
  }

  /** Lets go of a job that is over. */
  public void removeJob(Job job) {
    jobs.remove(job.spec().id(), job);
  }

  /** Its machines as known here; not to be changed. */
  public Map<MachineId, Machine> machines() {
    return machinesView;
  }

  /** Takes up a machine. */
  public void addMachine(Machine machine) {
    machines.put(machine.id(), machine);
  }

  /** Lets go of a machine that has left the entity. */
  public void removeMachine(Machine machine) {
    machines.remove(machine.id(), machine);
  }

  /** Lets go of all machines. */
  public void removeAllMachines() {
    machines.clear();
  }

  /** Whether each of its machines has reported since the move, or is known to hold nothing. */
  public boolean machinesReconciled() {
    return machinesReconciled;
  }

  /** Each of its machines has reported since the move, or is known to hold nothing. */
  public void markRecovered() {
    machinesReconciled = true;
  }

  /** Where its machines are recorded. */
  public MachineRecords machineRecords() {
    return machineRecords;
  }

  /** Connects it with the records of its machines, once. */
  void setMachineRecords(MachineRecords records) {
    machineRecords = records;
  }

  /** The entity's name, which is that of its home controller. */
  public ControllerId id() {
    return row.entity();
  }

  public boolean isActive() {
    return phase == Phase.ACTIVE;
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

  /** Never given before by any owner: the version leads. */
  public long nextAttemptId() {
    return row.version().value() * 1_000_000 + ++attemptCount;
  }

  /** Never given before by any owner. */
  public String nextScaleOutRequestId() {
    return id() + "-" + row.version() + "-" + ++scaleOutRequestCount;
  }

  /** Whether some machine may hold tasks that this controller does not know of. */
  public boolean hasUncertainMachine(double nowSeconds) {
    for (Machine machine : machines.values()) {
      if (machine.mayHoldUnreportedTasks(nowSeconds)) {
        return true;
      }
    }
    return false;
  }

  /** What a team's tasks may be using, silent machines counted in full. */
  public Resources usageOf(String team, double nowSeconds) {
    Usage teamUsage = usageByTeam.get(team);
    Resources total = teamUsage == null ? Resources.NONE : teamUsage.amounts;
    for (Machine machine : machines.values()) {
      if (machine.mayHoldUnreportedTasks(nowSeconds)) {
        total = total.plus(machine.type().capacity());
      }
      for (Resources strayAmounts : machine.unknownTasks().values()) {
        total = total.plus(strayAmounts);
      }
    }
    return total;
  }

  /** Whether any task of a lower priority is placed. */
  public boolean hasPlacedTaskBelow(Priority priority) {
    for (int ordinal = priority.ordinal() + 1; ordinal < placedCountByPriority.length; ordinal++) {
      if (placedCountByPriority[ordinal] > 0) {
        return true;
      }
    }
    return false;
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
      // Seen on another machine than was thought: the older belief no longer counts for the job.
      updateUsage(former, -1);
    }
    placement.job().addPlacement(placement);
    placement.machine().addPlacement(placement);
    updateUsage(placement, 1);
  }

  private void updateUsage(TaskPlacement placement, int delta) {
    if (placement.countedAsUsed() == delta > 0) {
      return;
    }
    placement.setCounted(delta > 0);
    placedCountByPriority[placement.job().spec().priority().ordinal()] += delta;
    Usage teamUsage =
        usageByTeam.computeIfAbsent(placement.job().spec().team(), team -> new Usage());
    teamUsage.taskCount += delta;
    // Nothing placed is exactly nothing: rounding does not pile up.
    teamUsage.amounts =
        teamUsage.taskCount == 0
            ? Resources.NONE
            : teamUsage.amounts.plus(placement.job().spec().taskResources().times(delta));
  }

  private static final class Usage {
    Resources amounts = Resources.NONE;
    int taskCount;
  }

  /** Takes a placement away, on evidence that the task is gone. */
  public void removePlacement(
      TaskPlacement placement, double nowSeconds, TerminationEvidence evidence) {
    updateUsage(placement, -1);
    if (evidence != TerminationEvidence.NEVER_SENT
        && placement.job().phase() == Job.Phase.OPEN
        && !placement.job().isDone(placement.taskIndex())) {
      placement
          .job()
          .recordDeparture(
              placement.taskIndex(),
              new TaskDeparture(
                  placement.machine().id(),
                  placement.attempt(),
                  evidence,
                  nowSeconds,
                  placement.machine().lastAnsweredAtSeconds()));
    }
    placement.job().removePlacement(placement);
    boolean wasSpare = placement.machine().hasOnlyBestEffortTasks();
    placement.machine().removePlacement(placement);
    // Spare work does not keep an ordinary machine rented: its idleness began before.
    if ((!wasSpare && placement.machine().hasOnlyBestEffortTasks())
        || (placement.machine().isEmpty() && placement.machine().row().spot())) {
      placement.machine().markIdle(nowSeconds);
    }
    if (placement.job().phase() == Job.Phase.FINISHED && placement.job().hasNoPlacements()) {
      removeJob(placement.job());
    }
  }
}
