package io.violetrail.api;

import io.violetrail.errors.PeerUnavailableException;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.peer.PeerJobViews;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Finds the current state of any job of the cluster. It uses this controller's memory first, then
 * the job's owner or any peer that knows the job, and then the stored rows.
 *
 * <p>Called on the event loop's thread. This class is stateless.
 */
public final class JobStateResolver {
  private final Set<ControllerId> peers;
  private final ClusterView clusterView;
  private final PeerOwners peerOwners;
  private final PeerJobViews peerJobViews;
  private final KnownJobs knownJobs;
  private final JobLookup jobLookup;
  private final JobStateLookup jobStates;

  /** Creates a resolver that asks the given peers about jobs that this controller does not know. */
  public JobStateResolver(
      Set<ControllerId> peers,
      ClusterView clusterView,
      PeerOwners peerOwners,
      PeerJobViews peerJobViews,
      KnownJobs knownJobs,
      JobLookup jobLookup,
      JobStateLookup jobStates) {
    this.peers = peers;
    this.clusterView = clusterView;
    this.peerOwners = peerOwners;
    this.peerJobViews = peerJobViews;
    this.knownJobs = knownJobs;
    this.jobLookup = jobLookup;
    this.jobStates = jobStates;
  }

  /**
   * Returns the current state of a job.
   *
   * @return a future that completes with null only if it is proven that there is no such job, and
   *     fails if neither the owner nor the state service answers
   */
  CompletableFuture<JobView> resolve(JobId id) {
    JobView localView = jobStates.findKnownView(id);
    if (localView != null) {
      return CompletableFuture.completedFuture(localView);
    }
    ControllerId entity = knownJobs.findEntityOf(id);
    if (entity == null) {
      // After a restart, this controller knows no job's entity while users poll all of their jobs.
      // Peers are asked first: reading each job's rows would exhaust the state service's budget,
      // and some users would get no answer for minutes.
      return withFallback(viewFromAnyPeer(id), () -> viewFromStoreOrOwner(id));
    }
    return withFallback(viewFromOwner(id, entity), () -> viewFromRows(id));
  }

  private static CompletableFuture<JobView> withFallback(
      CompletableFuture<JobView> primary, Supplier<CompletableFuture<JobView>> fallback) {
    return primary.exceptionallyCompose(failure -> fallback.get());
  }

  private CompletableFuture<JobView> viewFromStoreOrOwner(JobId id) {
    return jobLookup
        .lookUp(id)
        .thenCompose(
            lookupResult -> {
              if (lookupResult.openAtEntity() == null) {
                return CompletableFuture.completedFuture(lookupResult.finalView());
              }
              return viewFromOwner(id, lookupResult.openAtEntity())
                  .exceptionally(failure -> lookupResult.storedView());
            });
  }

  /**
   * Returns the first answer of a live peer that knows the job's state for certain, because it owns
   * the job or the job has ended. The future fails if no peer does.
   */
  private CompletableFuture<JobView> viewFromAnyPeer(JobId id) {
    CompletableFuture<JobView> firstView = new CompletableFuture<>();
    List<CompletableFuture<JobView>> peerViews =
        peers.stream()
            .filter(clusterView::isAlive)
            .map(peer -> peerJobViews.view(peer, id))
            .toList();
    peerViews.forEach(
        peerView ->
            Futures.logFailure(
                peerView.thenAccept(firstView::complete), "take the first peer's answer"));
    Futures.logFailure(
        CompletableFuture.allOf(peerViews.toArray(CompletableFuture[]::new))
            .whenComplete(
                (ignored, failure) ->
                    firstView.completeExceptionally(
                        PeerUnavailableException.jobUnknownToLivePeers(id))),
        "wait for all peers' answers");
    return firstView;
  }

  private CompletableFuture<JobView> viewFromRows(JobId id) {
    return jobLookup
        .lookUp(id)
        .thenApply(
            lookupResult ->
                lookupResult.finalView() != null
                    ? lookupResult.finalView()
                    : lookupResult.storedView());
  }

  private CompletableFuture<JobView> viewFromOwner(JobId id, ControllerId entity) {
    ControllerId owner = peerOwners.findLivePeerOwning(entity);
    if (owner == null) {
      return CompletableFuture.failedFuture(PeerUnavailableException.noLiveOwner(entity));
    }
    return peerJobViews.view(owner, id);
  }
}
