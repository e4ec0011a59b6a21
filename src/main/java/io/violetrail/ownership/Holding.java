package io.violetrail.ownership;

import io.violetrail.fleet.Machine;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.ownership.Rows.EntityRow;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import io.violetrail.wire.StateWire.Txn;
import java.util.LinkedHashMap;
import java.util.Map;

/** An entity while this controller owns it: its jobs and machines as known here. */
public final class Holding {
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
  private long attempts;
  private long hires;

  public Holding(EntityRow row, boolean calm, double now) {
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
    Amounts sum = Amounts.NONE;
    Amounts hidden = Amounts.NONE;
    for (Machine m : machines.values()) {
      if (m.uncertain(now)) {
        hidden = hidden.plus(m.type.size());
      }
      for (Placement p : m.tasks.values()) {
        if (p.job.spec.team().equals(team)) {
          sum = sum.plus(p.job.spec.task());
        }
      }
      for (Amounts a : m.strays.values()) {
        sum = sum.plus(a);
      }
    }
    return sum.plus(hidden);
  }

  public void place(Placement p) {
    p.job.placed.put(p.index, p);
    p.machine.tasks.put(p.task(), p);
  }

  /** Takes a placement away, on evidence that the task is gone (or was never sent). */
  public void unplace(Placement p, double now) {
    if (p.job.placed.get(p.index) == p) {
      p.job.placed.remove(p.index);
    }
    p.job.cursor = Math.min(p.job.cursor, p.index);
    p.machine.tasks.remove(p.task(), p);
    if (p.machine.empty()) {
      p.machine.idleSinceS = now;
    }
    if (p.job.phase == Job.Phase.OVER && p.job.placed.isEmpty()) {
      jobs.remove(p.job.spec.id(), p.job);
    }
  }
}
