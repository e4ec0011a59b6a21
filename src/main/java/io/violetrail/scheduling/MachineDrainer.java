package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Shape;
import io.violetrail.net.Loop;
import io.violetrail.ownership.OwnedEntity;
import java.util.List;

/** Stops what runs on machines that are to be emptied, with time to save a checkpoint. */
public final class MachineDrainer {
  private final Loop loop;
  private final Preemption preemption;

  /** Stops tasks through the given preemption. */
  public MachineDrainer(Loop loop, Preemption preemption) {
    this.loop = loop;
    this.preemption = preemption;
  }

  /** Saves and stops what runs on a machine that its cloud takes back or that goes out of use. */
  public void drain(Machine machine) {
    if (machine.noticeS() == null && !machine.draining()) {
      return;
    }
    for (Placement placement : List.copyOf(machine.tasks().values())) {
      if (placement.revocable() || placement.haltGraceS() >= 0) {
        continue;
      }
      JobSpec spec = placement.job().spec();
      if (spec.shape() == Shape.GANG) {
        placement.job().placements().forEach(other -> other.halt(spec.saveS()));
      } else if (spec.checkpointS() > 0 || machine.draining()) {
        placement.halt(spec.saveS());
      }
    }
  }

  /** Stops spare work on a machine that others need, and keeps it away for a while. */
  public void clearSpareWork(OwnedEntity entity, Machine machine) {
    double now = loop.seconds();
    if (now < machine.clearedUntilS()) {
      return;
    }
    double graceSeconds = 0;
    for (Placement placement : List.copyOf(machine.tasks().values())) {
      if (placement.job().spareWork()) {
        graceSeconds = Math.max(graceSeconds, preemption.stop(entity, placement, now));
      }
    }
    machine.keepSpareWorkAway(now + graceSeconds + Preemption.RESERVED_S);
  }

  /** Stops all that runs on a machine and starts nothing there for that many seconds after. */
  public void evictAll(OwnedEntity entity, Machine machine, double reservedSeconds) {
    double now = loop.seconds();
    double graceSeconds = 0;
    for (Placement placement : List.copyOf(machine.tasks().values())) {
      graceSeconds = Math.max(graceSeconds, preemption.stop(entity, placement, now));
    }
    machine.keepEmpty(now + graceSeconds + reservedSeconds);
  }
}
