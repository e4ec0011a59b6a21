package io.violetrail.api;

import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.PendingQueues;
import io.violetrail.scheduling.ServiceLevelObjectives;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Restores an entity's open jobs from the stored rows: all of them with their progress when the
 * entity is recovered, or a single job that was stored without its owner learning of it. Called on
 * the event loop's thread.
 */
public final class JobRestorer {
  private final EventLoop loop;
  private final EntityJobStores stores;
  private final KnownJobs knownJobs;
  private final JobLifecycle jobLifecycle;
  private final PendingQueues pendingQueues;
  private final ServiceLevelObjectives serviceLevelObjectives;

  /** Creates a restorer that passes the restored jobs to the lifecycle and the pending queues. */
  public JobRestorer(
      EventLoop loop,
      EntityJobStores stores,
      KnownJobs knownJobs,
      JobLifecycle jobLifecycle,
      PendingQueues pendingQueues,
      ServiceLevelObjectives objectives) {
    this.loop = loop;
    this.stores = stores;
    this.knownJobs = knownJobs;
    this.jobLifecycle = jobLifecycle;
    this.pendingQueues = pendingQueues;
    this.serviceLevelObjectives = objectives;
  }

  /**
   * Returns the jobs in an entity's open-job segments that have not ended. Reads the finished-job
   * segments, and replaces the entity's job store by a new one.
   */
  public CompletableFuture<List<StoredJob>> loadOpenJobs(
      OwnedEntity entity, List<Entry> openSegmentRows) {
    return stores.resetJobStore(entity).load(openSegmentRows);
  }

  /** Adds the open jobs and their stored progress to an entity that has just become active. */
  public void restore(OwnedEntity entity, List<StoredJob> openJobs, List<Entry> progressRows) {
    openJobs.forEach(storedJob -> restoreJob(entity, storedJob));
    stores.progressStoreOf(entity).restore(progressRows);
    List.copyOf(entity.jobs().values()).forEach(job -> jobLifecycle.handleProgress(entity, job));
  }

  /** Adds a job that is stored as open to its active entity, unless the entity already has it. */
  void restoreIfMissing(OwnedEntity entity, JobId id) {
    StoredJob storedJob =
        entity.isActive() && !entity.jobs().containsKey(id)
            ? stores.jobStoreOf(entity).findStoredJob(id)
            : null;
    if (storedJob != null) {
      restoreJob(entity, storedJob);
      pendingQueues.onJobsChanged(entity);
    }
  }

  private void restoreJob(OwnedEntity entity, StoredJob storedJob) {
    double ageSeconds = Math.max(0, loop.wallMillis() - storedJob.arrivedAtMillis()) / 1000.0;
    JobSpec spec = storedJob.spec();
    entity.addJob(
        new Job(
            spec,
            storedJob.arrivedAtMillis(),
            loop.monotonicSeconds() - ageSeconds,
            true,
            serviceLevelObjectives.isBestEffort(spec)));
    knownJobs.recordEntity(spec.id(), entity.id());
  }
}
