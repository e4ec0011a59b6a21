package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.OwnedEntity;
import java.util.List;

/**
 * Drains machines: stops what runs there, with time to save a checkpoint.
 *
 * <p>Called on the event loop's thread; has no state.
 */
public final class MachineDrainer {
  private final EventLoop loop;
  private final Preemption preemption;

  /** Stops tasks through the given preemption. */
  public MachineDrainer(EventLoop loop, Preemption preemption) {
    this.loop = loop;
    this.preemption = preemption;
  }

  /**
   * Stops what runs on a machine that its cloud preempts or that is draining; nothing happens on
   * others. On a preempted machine only tasks with checkpoints are stopped, and whole gangs.
   */
  public void drain(Machine machine) {
    if (machine.preemptionNoticeSeconds() == null && !machine.draining()) {
      return;
    }
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      if (placement.isRevocable() || placement.isStopRequested()) {
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

  /** Stops best-effort work on a machine that others need, and bars it from there for a while. */
  public void clearBestEffortWork(OwnedEntity entity, Machine machine) {
    double nowSeconds = loop.monotonicSeconds();
    if (nowSeconds < machine.bestEffortBarredUntilSeconds()) {
      return;
    }
    double graceSeconds = 0;
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      if (placement.job().bestEffort()) {
        graceSeconds = Math.max(graceSeconds, preemption.preempt(entity, placement, nowSeconds));
      }
    }
    machine.barBestEffortUntil(nowSeconds + graceSeconds + Preemption.RESERVATION_SECONDS);
  }

  /** Stops all tasks on a machine and starts none there for {@code reservedSeconds} after that. */
  public void evictAll(OwnedEntity entity, Machine machine, double reservedSeconds) {
    double nowSeconds = loop.monotonicSeconds();
    double graceSeconds = 0;
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      graceSeconds = Math.max(graceSeconds, preemption.preempt(entity, placement, nowSeconds));
    }
    machine.reserveForTransferUntil(nowSeconds + graceSeconds + reservedSeconds);
  }
}
