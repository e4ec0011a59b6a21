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
 * Finds the current state of any job of the cluster: from this controller's memory, else from the
 * job's owner or any peer that knows it, else from the stored rows.
 *
 * <p>Called on the event loop's thread. It owns no state of its own.
 */
public final class JobStateResolver {
  private final Set<ControllerId> peers;
  private final ClusterView clusterView;
  private final PeerOwners peerOwners;
  private final PeerJobViews peerJobViews;
  private final KnownJobs knownJobs;
  private final JobLookup jobLookup;
  private final JobStateLookup jobStates;

  /** Asks the given peers for what is not known here. */
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
   * The current state of a job.
   *
   * @return completes with null only if it is proven that there is no such job; fails if neither
   *     the owner nor the state service answers
   */
  CompletableFuture<JobView> resolve(JobId id) {
    JobView localView = jobStates.knownView(id);
    if (localView != null) {
      return CompletableFuture.completedFuture(localView);
    }
    ControllerId entity = knownJobs.findEntityOf(id);
    if (entity == null) {
      // After a start, the entity of no job is known, and users ask about all of them. Peers are
      // asked first: a read of rows for each job would exhaust the state service's budget, and
      // some users would get no answer for minutes.
      return orElse(viewFromAnyPeer(id), () -> viewFromStore(id));
    }
    return orElse(viewFromOwner(id, entity), () -> storedView(id));
  }

  private static CompletableFuture<JobView> orElse(
      CompletableFuture<JobView> first, Supplier<CompletableFuture<JobView>> second) {
    return first.exceptionallyCompose(failure -> second.get());
  }

  private CompletableFuture<JobView> viewFromStore(JobId id) {
    return jobLookup
        .lookUp(id)
        .thenCompose(
            found -> {
              if (found.openAtEntity() == null) {
                return CompletableFuture.completedFuture(found.view());
              }
              return viewFromOwner(id, found.openAtEntity())
                  .exceptionally(failure -> found.storedView());
            });
  }

  /**
   * The first answer of a live peer that knows the job for sure, as its owner or because the job
   * has ended; fails if no peer does.
   */
  private CompletableFuture<JobView> viewFromAnyPeer(JobId id) {
    CompletableFuture<JobView> first = new CompletableFuture<>();
    List<CompletableFuture<JobView>> peerViews =
        peers.stream()
            .filter(clusterView::isAlive)
            .map(peer -> peerJobViews.view(peer, id))
            .toList();
    peerViews.forEach(
        peerView ->
            Futures.logFailure(
                peerView.thenAccept(first::complete), "take the first peer's answer"));
    Futures.logFailure(
        CompletableFuture.allOf(peerViews.toArray(CompletableFuture[]::new))
            .whenComplete(
                (nothing, failure) ->
                    first.completeExceptionally(PeerUnavailableException.noneKnows(id))),
        "wait for all peers' answers");
    return first;
  }

  private CompletableFuture<JobView> storedView(JobId id) {
    return jobLookup
        .lookUp(id)
        .thenApply(found -> found.view() != null ? found.view() : found.storedView());
  }

  private CompletableFuture<JobView> viewFromOwner(JobId id, ControllerId entity) {
    ControllerId owner = peerOwners.findLivePeerOwning(entity);
    if (owner == null) {
      return CompletableFuture.failedFuture(PeerUnavailableException.noLiveOwner(entity));
    }
    return peerJobViews.view(owner, id);
  }
}
