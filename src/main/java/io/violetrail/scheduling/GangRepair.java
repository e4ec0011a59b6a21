package io.violetrail.scheduling;

import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.model.JobShape;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.worker.TaskStopper;

/**
 * Stops the rest of a gang that has lost a task, so that the whole gang can start again.
 *
 * <p>Called by {@link EntityMaintenance} on the event loop's thread; has no state.
 */
public final class GangRepair {
  private final TaskStopper taskStopper;

  /** Stops tasks through direct commands as well as in the replies to heartbeats. */
  public GangRepair(TaskStopper taskStopper) {
    this.taskStopper = taskStopper;
  }

  /** Stops what is placed of the job if it is a gang of which some tasks are not placed. */
  void stopIncomplete(OwnedEntity entity, Job job, double nowSeconds) {
    if (job.spec().shape() != JobShape.GANG || job.hasNoPlacements() || job.unplacedCount() == 0) {
      return;
    }
    // After a failover or handover its tasks are seen one by one, as their machines report: one
    // that
    // has not been seen yet is not lost. Without this, every failover would stop all gangs.
    if (job.loadedFromStore() && entity.hasUncertainMachine(nowSeconds)) {
      return;
    }
    for (TaskPlacement placement : job.placements()) {
      if (placement.isRevocable()) {
        entity.removePlacement(placement, nowSeconds, TerminationEvidence.NEVER_SENT);
      } else {
        placement.requestStop(0);
        // The sooner the rest is gone, the sooner the gang starts again.
        taskStopper.enqueueStop(placement);
      }
    }
  }
}
