package io.violetrail.scheduling;

import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.model.JobShape;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.worker.TaskStopper;

/** Stops the rest of a gang that has lost a task, so that all of it can start anew. */
public final class GangRepair {
  private final TaskStopper taskStopper;

  /** Stops tasks through direct commands as well as in the answers to heartbeats. */
  public GangRepair(TaskStopper taskStopper) {
    this.taskStopper = taskStopper;
  }

  /** Stops what is placed of the job if it is a gang that is not complete any more. */
  void stopIncomplete(OwnedEntity entity, Job job, double now) {
    if (job.spec().shape() != JobShape.GANG || job.hasNoPlacements() || job.unplacedCount() == 0) {
      return;
    }
    // After a move its tasks are seen one by one, as their machines report: what has not been seen
    // yet is not lost. Without this every move of an entity stopped all of its gangs.
    if (job.loadedFromStore() && entity.hasUncertainMachine(now)) {
      return;
    }
    for (TaskPlacement placement : job.placements()) {
      if (placement.isRevocable()) {
        entity.removePlacement(placement, now, TerminationEvidence.NEVER_SENT);
      } else {
        placement.requestStop(0);
        // The sooner the rest is gone, the sooner it starts anew.
        taskStopper.enqueueStop(placement);
      }
    }
  }
}
