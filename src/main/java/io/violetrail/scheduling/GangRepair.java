package io.violetrail.scheduling;

import io.violetrail.evidence.GoneProof;
import io.violetrail.model.Shape;
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
    if (job.spec().shape() != Shape.GANG || job.nothingPlaced() || job.unplaced() == 0) {
      return;
    }
    // After a move its tasks are seen one by one, as their machines report: what has not been seen
    // yet is not lost. Without this every move of an entity stopped all of its gangs.
    if (job.recovered() && entity.uncertain(now)) {
      return;
    }
    for (Placement placement : job.placements()) {
      if (placement.revocable()) {
        entity.unplace(placement, now, GoneProof.NEVER_SENT);
      } else {
        placement.halt(0);
        // The sooner the rest is gone, the sooner it starts anew.
        taskStopper.halted(placement);
      }
    }
  }
}
