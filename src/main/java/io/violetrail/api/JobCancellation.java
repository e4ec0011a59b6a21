package io.violetrail.api;

import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestHandler.HttpAnswer;
import io.violetrail.peer.PeerClient;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Answers users' cancellations: here if the job is open at an entity owned here, else by its owner.
 * A user hears of a cancellation only once it is stored. Called on the event loop's thread.
 */
public final class JobCancellation {
  private final LocalCancellation localCancellation;
  private final KnownJobs knownJobs;
  private final JobLookup jobLookup;
  private final PeerOwners peerOwners;
  private final PeerClient peerClient;

  /** Cancels here, or forwards to the owner. */
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
   * Answers a cancellation: 200 with the job's final state, 404 if there is no such job, 503 if the
   * cancellation is to be repeated later.
   */
  void handle(String idText, Consumer<HttpAnswer> respond) {
    if (!JobId.isWellFormed(idText)) {
      respond.accept(HttpAnswer.empty(404));
      return;
    }
    JobId id = new JobId(idText);
    Optional<CompletableFuture<JobView>> cancelledHere = localCancellation.tryCancel(id);
    if (cancelledHere.isPresent()) {
      answerWhenStored(cancelledHere.get(), respond);
      return;
    }
    ControllerId entity = knownJobs.findEntityOf(id);
    ControllerId owner = entity == null ? null : peerOwners.findLivePeerOwning(entity);
    if (owner == null) {
      cancelByStoredRows(id, respond);
      return;
    }
    Futures.logFailure(
        peerClient
            .cancel(owner, id)
            .whenComplete(
                (view, failure) -> {
                  if (failure == null && view.status().isTerminal()) {
                    respond.accept(JobAnswers.view(view));
                  } else {
                    // The owner may not remember a job that ended long ago; its rows do.
                    cancelByStoredRows(id, respond);
                  }
                }),
        "cancel a job at its owner");
  }

  private void cancelByStoredRows(JobId id, Consumer<HttpAnswer> respond) {
    Futures.logFailure(
        jobLookup
            .lookUp(id)
            .whenComplete(
                (found, failure) -> {
                  if (failure != null) {
                    respond.accept(JobAnswers.stateServiceUnavailable());
                  } else if (found.isAbsent()) {
                    respond.accept(HttpAnswer.empty(404));
                  } else if (found.view() != null) {
                    respond.accept(JobAnswers.view(found.view()));
                  } else {
                    cancelAtOwner(id, found.openAtEntity(), respond);
                  }
                }),
        "look a job up for its cancellation");
  }

  private void cancelAtOwner(JobId id, ControllerId entity, Consumer<HttpAnswer> respond) {
    ControllerId owner = peerOwners.findPeerOwning(entity);
    if (owner == null) {
      respond.accept(HttpAnswer.unavailable("the job's owner is not ready"));
    } else {
      answerWhenStored(peerClient.cancel(owner, id), respond);
    }
  }

  private static void answerWhenStored(
      CompletableFuture<JobView> cancellation, Consumer<HttpAnswer> respond) {
    Futures.logFailure(
        cancellation.whenComplete(
            (view, failure) -> {
              if (failure != null || !view.status().isTerminal()) {
                respond.accept(HttpAnswer.unavailable("the cancellation is not stored yet"));
              } else {
                respond.accept(JobAnswers.view(view));
              }
            }),
        "answer a cancellation");
  }
}
