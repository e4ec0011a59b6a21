package io.violetrail.peer;

import io.violetrail.errors.OverBudgetException;
import io.violetrail.errors.OverBudgetException.Limit;
import io.violetrail.errors.UnknownJobException;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.net.Futures;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Batches queries about jobs to their owners. While the maximum number of messages to an owner is
 * in flight, further queries wait for the next message. Users who poll many times as often then
 * cost one message for each round trip, not one for each poll.
 *
 * <p>A query never joins a message that is already in flight. The reply to that message may be
 * older than an answer that the same user has received from another controller in the meantime.
 */
final class JobQueryBatcher {
  /** Maximum number of jobs in one message; further jobs wait for the next one. */
  static final int MAX_JOBS_PER_MESSAGE = 200;

  /** Maximum number of jobs that wait for a message to one owner; more are rejected for now. */
  private static final int MAX_WAITING_JOBS = 800;

  /**
   * Maximum number of messages in flight to one owner. With more than one, a lost message delays
   * only a part of the queries.
   */
  private static final int MAX_MESSAGES_IN_FLIGHT = 2;

  /** Sends one message. The reply holds a view for each job that the owner knows. */
  interface Sender {
    CompletableFuture<Map<JobId, JobView>> send(ControllerId owner, List<JobId> jobs);
  }

  private final Sender sender;
  private final Map<ControllerId, OwnerQueue> queueByOwner = new HashMap<>();

  private static final class OwnerQueue {
    final Map<JobId, CompletableFuture<JobView>> waitingQueries = new LinkedHashMap<>();
    int messagesInFlight;
  }

  JobQueryBatcher(Sender sender) {
    this.sender = sender;
  }

  CompletableFuture<JobView> query(ControllerId owner, JobId jobId) {
    OwnerQueue queue = queueByOwner.computeIfAbsent(owner, o -> new OwnerQueue());
    CompletableFuture<JobView> waiting = queue.waitingQueries.get(jobId);
    if (waiting != null) {
      return waiting;
    }
    if (queue.waitingQueries.size() >= MAX_WAITING_JOBS) {
      return CompletableFuture.failedFuture(new OverBudgetException(Limit.WAITING_JOB_QUERIES));
    }
    CompletableFuture<JobView> future = new CompletableFuture<>();
    queue.waitingQueries.put(jobId, future);
    sendNextBatch(owner, queue);
    return future;
  }

  private void sendNextBatch(ControllerId owner, OwnerQueue queue) {
    if (queue.messagesInFlight >= MAX_MESSAGES_IN_FLIGHT || queue.waitingQueries.isEmpty()) {
      return;
    }
    Map<JobId, CompletableFuture<JobView>> batch = new LinkedHashMap<>();
    for (var iterator = queue.waitingQueries.entrySet().iterator();
        iterator.hasNext() && batch.size() < MAX_JOBS_PER_MESSAGE; ) {
      var query = iterator.next();
      batch.put(query.getKey(), query.getValue());
      iterator.remove();
    }
    queue.messagesInFlight++;
    Futures.logFailure(
        sender
            .send(owner, new ArrayList<>(batch.keySet()))
            .whenComplete(
                (views, failure) -> {
                  queue.messagesInFlight--;
                  sendNextBatch(owner, queue);
                  batch.forEach(
                      (jobId, future) -> {
                        JobView view = failure == null ? views.get(jobId) : null;
                        if (view != null) {
                          future.complete(view);
                        } else {
                          future.completeExceptionally(
                              failure != null ? failure : new UnknownJobException(owner, jobId));
                        }
                      });
                }),
        "query a peer for the states of jobs");
  }
}
