package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.OwnedEntity;
import java.util.List;

/** Stops what runs on machines that are to be emptied, with time to save a checkpoint. */
public final class MachineDrainer {
  private final EventLoop loop;
  private final Preemption preemption;

  /** Stops tasks through the given preemption. */
  public MachineDrainer(EventLoop loop, Preemption preemption) {
    this.loop = loop;
    this.preemption = preemption;
  }

  /** Saves and stops what runs on a machine that its cloud takes back or that goes out of use. */
  public void drain(Machine machine) {
    if (machine.preemptionNoticeSeconds() == null && !machine.draining()) {
      return;
    }
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      if (placement.isRevocable() || placement.stopGraceSeconds() >= 0) {
        continue;
      }
      JobSpec spec = placement.job().spec();
      if (spec.shape() == JobShape.GANG) {
        placement
            .job()
            .placements()
            .forEach(other -> other.requestStop(spec.checkpointSaveSeconds()));
      } else if (spec.checkpointIntervalSeconds() > 0 || machine.draining()) {
        placement.requestStop(spec.checkpointSaveSeconds());
      }
    }
  }

  /** Stops spare work on a machine that others need, and keeps it away for a while. */
  public void clearSpareWork(OwnedEntity entity, Machine machine) {
    double now = loop.monotonicSeconds();
    if (now < machine.bestEffortBarredUntilSeconds()) {
      return;
    }
    double graceSeconds = 0;
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      if (placement.job().bestEffort()) {
        graceSeconds = Math.max(graceSeconds, preemption.preempt(entity, placement, now));
      }
    }
    machine.barBestEffortUntil(now + graceSeconds + Preemption.RESERVATION_SECONDS);
  }

  /** Stops all that runs on a machine and starts nothing there for that many seconds after. */
  public void evictAll(OwnedEntity entity, Machine machine, double reservedSeconds) {
    double now = loop.monotonicSeconds();
    double graceSeconds = 0;
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      graceSeconds = Math.max(graceSeconds, preemption.preempt(entity, placement, now));
    }
    machine.reserveForTransferUntil(now + graceSeconds + reservedSeconds);
  }
}
