package io.violetrail.api;

import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;

/**
 * Returns job states that this controller knows for certain from its own memory, for users and
 * peers.
 */
public final class JobStateLookup {
  private final Membership membership;
  private final KnownJobs knownJobs;

  /** Creates a lookup in this controller's entities and in the cache of known jobs. */
  public JobStateLookup(Membership membership, KnownJobs knownJobs) {
    this.membership = membership;
    this.knownJobs = knownJobs;
  }

  /**
   * Returns the state of a job if this controller knows it for certain, or null otherwise.
   *
   * <p>A stored end never changes. The state of an open job is known only to its owner under a
   * valid lease, and only while no write of its end is undecided: such a write may have been
   * applied with its answer lost, and other controllers may have read the end. Without this rule,
   * the owner reported "running" after another controller had reported "cancelled" to the same
   * user. Callers that get null read the stored rows.
   */
  public JobView findKnownView(JobId id) {
    JobView finalView = knownJobs.findTerminalView(id);
    if (finalView != null || !membership.isLeaseValid()) {
      return finalView;
    }
    OwnedEntity entity = findEntityWithOpenJob(id);
    Job job = entity == null ? null : entity.jobs().get(id);
    return job == null || job.isFinalStatusUncertain() ? null : job.toView();
  }

  /** Returns the active owned entity at which the job is open, or null if there is none. */
  public OwnedEntity findEntityWithOpenJob(JobId id) {
    for (OwnedEntity entity : membership.ownedEntities()) {
      if (entity.isActive() && entity.jobs().containsKey(id)) {
        return entity;
      }
    }
    return null;
  }
}
