package io.violetrail.api;

import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;

/** What this controller can say of a job's state from its own memory, for users and peers. */
public final class JobStateLookup {
  private final Membership membership;
  private final KnownJobs knownJobs;

  /** Looks in the entities owned here, and among the ended jobs that are remembered. */
  public JobStateLookup(Membership membership, KnownJobs knownJobs) {
    this.membership = membership;
    this.knownJobs = knownJobs;
  }

  /**
   * The state of a job as it is known here for sure; null if it is not.
   *
   * <p>An end that is stored never changes. An open job's state is known to its valid owner alone,
   * and only while no write of its end is undecided: that may have been carried out with its answer
   * lost, and others may have read it. The owner then said "running" after another controller had
   * told the same user "cancelled"; now whoever asks gets what the rows say.
   */
  public JobView knownView(JobId id) {
    JobView ended = knownJobs.findTerminalView(id);
    if (ended != null || !membership.isLeaseValid()) {
      return ended;
    }
    OwnedEntity entity = entityOfOpenJob(id);
    Job job = entity == null ? null : entity.jobs().get(id);
    return job == null || job.isEndUndecided() ? null : job.toView();
  }

  /** The owned entity that has the job open; null if there is none. */
  public OwnedEntity entityOfOpenJob(JobId id) {
    for (OwnedEntity entity : membership.ownedEntities()) {
      if (entity.isActive() && entity.jobs().containsKey(id)) {
        return entity;
      }
    }
    return null;
  }
}
