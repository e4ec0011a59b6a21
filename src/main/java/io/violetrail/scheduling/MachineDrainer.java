package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.OwnedEntity;
import java.util.List;

/**
 * Drains machines: stops their tasks and leaves them time to save a checkpoint.
 *
 * <p>Called on the event loop's thread; has no state.
 */
public final class MachineDrainer {
  private final EventLoop loop;
  private final Preemption preemption;

  /** Creates a drainer that evicts tasks through {@code preemption}. */
  public MachineDrainer(EventLoop loop, Preemption preemption) {
    this.loop = loop;
    this.preemption = preemption;
  }

  /**
   * Requests stops of the launched tasks on a machine that is draining or that its provider
   * preempts; does nothing for other machines. On a machine that the provider preempts but that is
   * not draining, tasks without checkpoints run on, except those of gangs. Gangs are stopped as a
   * whole, on all of their machines.
   */
  public void drain(Machine machine) {
    if (machine.preemptionNoticeSeconds() == null && !machine.isDraining()) {
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
            .forEach(gangPlacement -> gangPlacement.requestStop(spec.checkpointSaveSeconds()));
      } else if (spec.checkpointIntervalSeconds() > 0 || machine.isDraining()) {
        placement.requestStop(spec.checkpointSaveSeconds());
      }
    }
  }

  /**
   * Evicts best-effort tasks from a machine that other jobs need. No best-effort task is placed
   * there until the grace period and {@link Preemption#RESERVATION_SECONDS} are over. Does nothing
   * while an earlier call still keeps best-effort tasks off the machine.
   */
  public void evictBestEffortTasks(OwnedEntity entity, Machine machine) {
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

  /**
   * Evicts all tasks from a machine. No task is placed there until {@code reservedSeconds} after
   * the grace period.
   */
  public void evictAll(OwnedEntity entity, Machine machine, double reservedSeconds) {
    double nowSeconds = loop.monotonicSeconds();
    double graceSeconds = 0;
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      graceSeconds = Math.max(graceSeconds, preemption.preempt(entity, placement, nowSeconds));
    }
    machine.reserveForTransferUntil(nowSeconds + graceSeconds + reservedSeconds);
  }
}
