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
 * Restores an entity's open jobs and their progress from the rows: all of them when the entity is
 * recovered, or a single one that was stored without its owner learning of it. Called on the event
 * loop's thread.
 */
public final class JobRestorer {
  private final EventLoop loop;
  private final EntityJobStores stores;
  private final KnownJobs knownJobs;
  private final JobLifecycle jobLifecycle;
  private final PendingQueues pendingQueues;
  private final ServiceLevelObjectives serviceLevelObjectives;

  /** Hands the restored jobs to the lifecycle and the pending queues. */
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

  /** Reads which of the jobs in an entity's open-job segments have not ended. */
  public CompletableFuture<List<StoredJob>> loadOpenJobs(
      OwnedEntity entity, List<Entry> openSegmentRows) {
    return stores.resetJobStore(entity).load(openSegmentRows);
  }

  /** Adds the open jobs to an entity that has just become active, with their stored progress. */
  public void restore(OwnedEntity entity, List<StoredJob> openJobs, List<Entry> progressRows) {
    openJobs.forEach(stored -> restoreJob(entity, stored));
    stores.progressStoreOf(entity).restore(progressRows);
    List.copyOf(entity.jobs().values()).forEach(job -> jobLifecycle.handleProgress(entity, job));
  }

  /** Adds a job of the entity that is stored as open, unless it is open here already. */
  void restoreIfMissing(OwnedEntity entity, JobId id) {
    StoredJob stored =
        entity.isActive() && !entity.jobs().containsKey(id)
            ? stores.jobStoreOf(entity).findStoredJob(id)
            : null;
    if (stored != null) {
      restoreJob(entity, stored);
      pendingQueues.jobsChanged(entity);
    }
  }

  private void restoreJob(OwnedEntity entity, StoredJob stored) {
    double ageSeconds = Math.max(0, loop.wallMillis() - stored.arrivedAtMillis()) / 1000.0;
    JobSpec spec = stored.spec();
    entity.addJob(
        new Job(
            spec,
            stored.arrivedAtMillis(),
            loop.monotonicSeconds() - ageSeconds,
            true,
            serviceLevelObjectives.isBestEffort(spec)));
    knownJobs.recordEntity(spec.id(), entity.id());
  }
}
