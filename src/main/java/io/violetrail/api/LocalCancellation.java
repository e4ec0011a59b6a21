package io.violetrail.api;

import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Cancels jobs of the entities that this controller owns, on behalf of users and peers. Called on
 * the event loop's thread.
 */
public final class LocalCancellation {
  private final Membership membership;
  private final KnownJobs knownJobs;
  private final JobLifecycle jobLifecycle;
  private final JobStateLookup jobStates;

  /** Creates a cancellation for the entities owned under the given membership. */
  public LocalCancellation(
      Membership membership,
      KnownJobs knownJobs,
      JobLifecycle jobLifecycle,
      JobStateLookup jobStates) {
    this.membership = membership;
    this.knownJobs = knownJobs;
    this.jobLifecycle = jobLifecycle;
    this.jobStates = jobStates;
  }

  /**
   * Cancels the job if this controller owns it under a valid lease.
   *
   * @return a future that completes with the job's final state once that is stored, or at once if
   *     the job is already known to have ended; it fails if the end could not be stored. Empty if
   *     the job is not known to have ended and is not open here under a valid lease.
   */
  public Optional<CompletableFuture<JobView>> tryCancel(JobId id) {
    JobView finalView = knownJobs.findTerminalView(id);
    if (finalView != null) {
      return Optional.of(CompletableFuture.completedFuture(finalView));
    }
    OwnedEntity entity = jobStates.findEntityWithOpenJob(id);
    if (entity == null || !membership.isLeaseValid()) {
      return Optional.empty();
    }
    return Optional.of(jobLifecycle.cancel(entity, entity.jobs().get(id)));
  }
}
