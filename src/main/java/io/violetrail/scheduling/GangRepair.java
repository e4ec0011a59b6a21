package io.violetrail.scheduling;

import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.model.JobShape;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.worker.TaskStopper;

/**
 * Stops the remaining tasks of a gang that has lost a task, so that the whole gang can be
 * restarted.
 *
 * <p>Called by {@link EntityMaintenance} on the event loop's thread; has no state.
 */
public final class GangRepair {
  private final TaskStopper taskStopper;

  /**
   * Creates a gang repair.
   *
   * @param taskStopper sends stops to workers directly, in addition to the replies to heartbeats
   */
  public GangRepair(TaskStopper taskStopper) {
    this.taskStopper = taskStopper;
  }

  /** Stops all placed tasks of the job if it is a gang and some of its tasks are not placed. */
  void stopIncomplete(OwnedEntity entity, Job job, double nowSeconds) {
    if (job.spec().shape() != JobShape.GANG || job.hasNoPlacements() || job.unplacedCount() == 0) {
      return;
    }
    // After a failover or handover, the tasks of a gang reappear one by one as their machines
    // report. A task that no heartbeat has shown yet is not lost. Without this check, every
    // failover would stop all gangs.
    if (job.loadedFromStore() && entity.hasUncertainMachine(nowSeconds)) {
      return;
    }
    for (TaskPlacement placement : job.placements()) {
      if (placement.isRevocable()) {
        entity.removePlacement(placement, nowSeconds, TerminationEvidence.NEVER_SENT);
      } else {
        placement.requestStop(0);
        // The gang can be restarted once all of its tasks are gone, so a direct stop saves time.
        taskStopper.enqueueStop(placement);
      }
    }
  }
}
