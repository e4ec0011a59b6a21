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
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import io.violetrail.wire.StateWire.Txn;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** An entity while this controller owns it: its jobs and machines as known here. */
public final class OwnedEntity {
  /** From the move's transaction to the next one. */
  public enum Phase {
    LOADING,
    ACTIVE,
    RELEASING,
    LOST
  }

  public final EntityRow row;
  public final boolean calm;
  public final double gainedS;
  public Phase phase = Phase.LOADING;
  public final Map<JobId, Job> jobs = new LinkedHashMap<>();
  public final Map<MachineId, Machine> machines = new LinkedHashMap<>();

  /** What each team's placed tasks take, kept up to date instead of summed up for each decision. */
  private final Map<String, Usage> usage = new HashMap<>();

  /** How many tasks of each priority are placed, so that none is looked for in vain. */
  private final int[] placedByPriority = new int[Priority.values().length];

  /** Whether each of its machines has reported since the move, or is known to hold nothing. */
  public boolean recovered;

  /** Where its machines are recorded. */
  public Register register;

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

  public ControllerId entity() {
    return row.entity();
  }

  public boolean active() {
    return phase == Phase.ACTIVE;
  }

  /** The token for a machine's worker. */
  public Version token(Machine m) {
    return row.version().compareTo(m.row.term()) >= 0 ? row.version() : m.row.term();
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
        sum = sum.plus(m.type.size());
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
    if (p.counted) {
      throw new IllegalStateException(p.task() + " is placed twice");
    }
    Placement former = p.job.placed(p.index);
    if (former != null) {
      // Seen on another machine than was thought: the older belief no longer counts for the job.
      count(former, -1);
    }
    p.job.place(p);
    p.machine.add(p);
    count(p, 1);
  }

  private void count(Placement p, int by) {
    if (p.counted == by > 0) {
      return;
    }
    p.counted = by > 0;
    placedByPriority[p.job.spec.priority().ordinal()] += by;
    Usage u = usage.computeIfAbsent(p.job.spec.team(), t -> new Usage());
    u.tasks += by;
    // Nothing placed is exactly nothing: rounding does not pile up.
    u.sum = u.tasks == 0 ? Amounts.NONE : u.sum.plus(p.job.spec.task().times(by));
  }

  private static final class Usage {
    Amounts sum = Amounts.NONE;
    int tasks;
  }

  /** Takes a placement away, on evidence that the task is gone. */
  public void unplace(Placement p, double now, GoneProof proof) {
    count(p, -1);
    if (proof != GoneProof.NEVER_SENT && p.job.phase == Job.Phase.OPEN && !p.job.isDone(p.index)) {
      p.job.departed(
          p.index, new Departure(p.machine.id(), p.attempt, proof, now, p.machine.answeredS));
    }
    p.job.unplace(p);
    boolean spareBefore = p.machine.spare();
    p.machine.remove(p);
    // Spare work does not keep an ordinary machine rented: its idleness began before.
    if ((!spareBefore && p.machine.spare()) || (p.machine.empty() && p.machine.row.spot())) {
      p.machine.idleSinceS = now;
    }
    if (p.job.phase == Job.Phase.OVER && p.job.nothingPlaced()) {
      jobs.remove(p.job.spec.id(), p.job);
    }
  }
}
