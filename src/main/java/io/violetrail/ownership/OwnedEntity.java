package io.violetrail.ownership;

import io.violetrail.evidence.Departure;
import io.violetrail.evidence.GoneProof;
import io.violetrail.fleet.Machine;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.MachineId;
import io.violetrail.model.Priority;
import io.violetrail.model.Version;
import io.violetrail.ownership.Rows.EntityRow;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import io.violetrail.wire.StateWire.Txn;
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
  private final boolean calm;
  private final double gainedS;
  private Phase phase = Phase.LOADING;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Map<JobId, Job> jobsView = Collections.unmodifiableMap(jobs);
  private final Map<MachineId, Machine> machines = new LinkedHashMap<>();
  private final Map<MachineId, Machine> machinesView = Collections.unmodifiableMap(machines);

  /** What each team's placed tasks take, kept up to date instead of summed up for each decision. */
  private final Map<String, Usage> usage = new HashMap<>();

  /** How many tasks of each priority are placed, so that none is looked for in vain. */
  private final int[] placedByPriority = new int[Priority.values().length];

  /** Whether each of its machines has reported since the move, or is known to hold nothing. */
  private boolean recovered;

  /** Where its machines are recorded. */
  private Register register;

  private long attempts;
  private long hires;

  /**
   * Creates the state of an entity that this controller owns from now on.
   *
   * @param calm whether the previous owner released the entity itself
   * @param now steady clock reading, in seconds
   */
  public OwnedEntity(EntityRow row, boolean calm, double now) {
    row.version().requireToken();
    this.row = row;
    this.calm = calm;
    this.gainedS = now;
  }

  /** The row under which it is owned here. */
  public EntityRow row() {
    return row;
  }

  /** Whether it was handed over by its former owner, or had none, rather than seized. */
  public boolean calm() {
    return calm;
  }

  /** When it was acquired, in seconds of the steady clock. */
  public double gainedS() {
    return gainedS;
  }

  /** Where it is between the move to this controller and the next one. */
  public Phase phase() {
    return phase;
  }

  /** Its rows were read: it is led from here. */
  public void activate() {
    if (phase != Phase.LOADING) {
      throw new IllegalStateException("entity " + entity() + " is " + phase);
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
  public boolean recovered() {
    return recovered;
  }

  /** Each of its machines has reported since the move, or is known to hold nothing. */
  public void markRecovered() {
    recovered = true;
  }

  /** Where its machines are recorded. */
  public Register register() {
    return register;
  }

  /** Connects it with the records of its machines, once. */
  void setRegister(Register records) {
    register = records;
  }

  /** The entity's name, which is that of its home controller. */
  public ControllerId entity() {
    return row.entity();
  }

  public boolean active() {
    return phase == Phase.ACTIVE;
  }

  /** The fencing token for a machine's worker. */
  public Version token(Machine m) {
    return fencingToken(m.row());
  }

  /** The fencing token for the worker of a machine: the higher of this version and its term. */
  public Version fencingToken(MachineRow machine) {
    return row.version().compareTo(machine.term()) >= 0 ? row.version() : machine.term();
  }

  /** A transaction that applies only while this version of the entity stands. */
  public Txn fenced() {
    return new Txn().when(Rows.entity(entity()), row.stamp());
  }

  /** Never given before by any owner: the version leads. */
  public long newAttempt() {
    return row.version().value() * 1_000_000 + ++attempts;
  }

  /** Never given before by any owner. */
  public String newHire() {
    return entity() + "-" + row.version() + "-" + ++hires;
  }

  /** Whether some machine may hold tasks that this controller does not know of. */
  public boolean uncertain(double now) {
    for (Machine m : machines.values()) {
      if (m.uncertain(now)) {
        return true;
      }
    }
    return false;
  }

  /** What a team's tasks may be using, silent machines counted in full. */
  public Amounts used(String team, double now) {
    Usage placed = usage.get(team);
    Amounts sum = placed == null ? Amounts.NONE : placed.sum;
    for (Machine m : machines.values()) {
      if (m.uncertain(now)) {
        sum = sum.plus(m.type().size());
      }
      for (Amounts a : m.strays().values()) {
        sum = sum.plus(a);
      }
    }
    return sum;
  }

  /** Whether any task of a lower priority is placed. */
  public boolean placedBelow(Priority priority) {
    for (int i = priority.ordinal() + 1; i < placedByPriority.length; i++) {
      if (placedByPriority[i] > 0) {
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
  public void place(Placement p) {
    if (p.counted()) {
      throw new IllegalStateException(p.task() + " is placed twice");
    }
    Placement former = p.job().placed(p.index());
    if (former != null) {
      // Seen on another machine than was thought: the older belief no longer counts for the job.
      count(former, -1);
    }
    p.job().place(p);
    p.machine().add(p);
    count(p, 1);
  }

  private void count(Placement p, int by) {
    if (p.counted() == by > 0) {
      return;
    }
    p.setCounted(by > 0);
    placedByPriority[p.job().spec().priority().ordinal()] += by;
    Usage u = usage.computeIfAbsent(p.job().spec().team(), t -> new Usage());
    u.tasks += by;
    // Nothing placed is exactly nothing: rounding does not pile up.
    u.sum = u.tasks == 0 ? Amounts.NONE : u.sum.plus(p.job().spec().task().times(by));
  }

  private static final class Usage {
    Amounts sum = Amounts.NONE;
    int tasks;
  }

  /** Takes a placement away, on evidence that the task is gone. */
  public void unplace(Placement p, double now, GoneProof proof) {
    count(p, -1);
    if (proof != GoneProof.NEVER_SENT
        && p.job().phase() == Job.Phase.OPEN
        && !p.job().isDone(p.index())) {
      p.job()
          .departed(
              p.index(),
              new Departure(p.machine().id(), p.attempt(), proof, now, p.machine().answeredS()));
    }
    p.job().unplace(p);
    boolean spareBefore = p.machine().spare();
    p.machine().remove(p);
    // Spare work does not keep an ordinary machine rented: its idleness began before.
    if ((!spareBefore && p.machine().spare())
        || (p.machine().empty() && p.machine().row().spot())) {
      p.machine().becameIdle(now);
    }
    if (p.job().phase() == Job.Phase.OVER && p.job().nothingPlaced()) {
      removeJob(p.job());
    }
  }
}
