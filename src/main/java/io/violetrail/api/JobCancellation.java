package io.violetrail.api;

import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.peer.PeerClient;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Handles users' requests to cancel a job. This controller cancels the job itself if it owns the
 * entity at which the job is open; otherwise it forwards the request to that entity's owner. A
 * cancellation is confirmed to the user only after it is stored. Called on the event loop's thread.
 */
public final class JobCancellation {
  private final LocalCancellation localCancellation;
  private final KnownJobs knownJobs;
  private final JobLookup jobLookup;
  private final PeerOwners peerOwners;
  private final PeerClient peerClient;

  /** Creates a handler that cancels locally or through the owner's peer interface. */
  public JobCancellation(
      LocalCancellation localCancellation,
      KnownJobs knownJobs,
      JobLookup jobLookup,
      PeerOwners peerOwners,
      PeerClient peerClient) {
    this.localCancellation = localCancellation;
    this.knownJobs = knownJobs;
    this.jobLookup = jobLookup;
    this.peerOwners = peerOwners;
    this.peerClient = peerClient;
  }

  /**
   * Answers a cancellation: 200 with the job's final state, 404 if the job does not exist, 503 if
   * the client is to retry later.
   */
  void handle(String idText, Consumer<HttpResponse> respond) {
    if (!JobId.isWellFormed(idText)) {
      respond.accept(HttpResponse.empty(404));
      return;
    }
    JobId id = new JobId(idText);
    Optional<CompletableFuture<JobView>> localResult = localCancellation.tryCancel(id);
    if (localResult.isPresent()) {
      answerWhenStored(localResult.get(), respond);
      return;
    }
    ControllerId entity = knownJobs.findEntityOf(id);
    ControllerId owner = entity == null ? null : peerOwners.findLivePeerOwning(entity);
    if (owner == null) {
      cancelAfterLookup(id, respond);
      return;
    }
    Futures.logFailure(
        peerClient
            .cancel(owner, id)
            .whenComplete(
                (view, failure) -> {
                  if (failure == null && view.status().isTerminal()) {
                    respond.accept(JobResponses.view(view));
                  } else {
                    // The owner may no longer have a job that ended long ago in memory, but its
                    // rows still contain the end.
                    cancelAfterLookup(id, respond);
                  }
                }),
        "cancel a job at its owner");
  }

  private void cancelAfterLookup(JobId id, Consumer<HttpResponse> respond) {
    Futures.logFailure(
        jobLookup
            .lookUp(id)
            .whenComplete(
                (lookupResult, failure) -> {
                  if (failure != null) {
                    respond.accept(JobResponses.stateServiceUnavailable());
                  } else if (lookupResult.isAbsent()) {
                    respond.accept(HttpResponse.empty(404));
                  } else if (lookupResult.finalView() != null) {
                    respond.accept(JobResponses.view(lookupResult.finalView()));
                  } else {
                    cancelAtOwner(id, lookupResult.openAtEntity(), respond);
                  }
                }),
        "look a job up for its cancellation");
  }

  private void cancelAtOwner(JobId id, ControllerId entity, Consumer<HttpResponse> respond) {
    ControllerId owner = peerOwners.findPeerOwning(entity);
    if (owner == null) {
      respond.accept(
          HttpResponse.unavailable(
              "the owner of the job's entity " + entity + " is unknown or not ready; retry later"));
    } else {
      answerWhenStored(peerClient.cancel(owner, id), respond);
    }
  }

  private static void answerWhenStored(
      CompletableFuture<JobView> cancellation, Consumer<HttpResponse> respond) {
    Futures.logFailure(
        cancellation.whenComplete(
            (view, failure) -> {
              if (failure != null || !view.status().isTerminal()) {
                respond.accept(
                    HttpResponse.unavailable(
                        "the cancellation is not known to be stored; retry later"));
              } else {
                respond.accept(JobResponses.view(view));
              }
            }),
        "answer a cancellation");
  }
}
