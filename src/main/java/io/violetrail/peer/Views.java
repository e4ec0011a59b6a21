package io.violetrail.peer;

import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.net.Futures;
import io.violetrail.state.StateStore.Unavailable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Questions about jobs to their owners, gathered: while one message is on its way to an owner, what
 * is asked meanwhile waits for the next. Users who ask many times as often then cost a message a
 * round trip, not one a poll.
 *
 * <p>A question never joins one that is already under way: the answer to that may be older than
 * what another controller has told the same user since.
 */
final class Views {
  /** Jobs in one message, and jobs that may wait for the next ones; beyond that: later. */
  static final int MOST = 200;

  private static final int MAX_WAITING = 800;

  /** Messages under way to one owner: a lost one holds up a part only. */
  private static final int IN_FLIGHT = 2;

  /** Sends one message; the answer holds a view for each job that the owner knows. */
  interface Sender {
    CompletableFuture<Map<JobId, JobView>> send(ControllerId owner, List<JobId> jobs);
  }

  private final Sender sender;
  private final Map<ControllerId, Lane> lanes = new HashMap<>();

  private static final class Lane {
    final Map<JobId, CompletableFuture<JobView>> next = new LinkedHashMap<>();
    int inFlight;
  }

  Views(Sender sender) {
    this.sender = sender;
  }

  CompletableFuture<JobView> ask(ControllerId owner, JobId id) {
    Lane lane = lanes.computeIfAbsent(owner, o -> new Lane());
    CompletableFuture<JobView> waiting = lane.next.get(id);
    if (waiting != null) {
      return waiting;
    }
    if (lane.next.size() >= MAX_WAITING) {
      return CompletableFuture.failedFuture(new Unavailable("too many questions", 429));
    }
    CompletableFuture<JobView> future = new CompletableFuture<>();
    lane.next.put(id, future);
    send(owner, lane);
    return future;
  }

  private void send(ControllerId owner, Lane lane) {
    if (lane.inFlight >= IN_FLIGHT || lane.next.isEmpty()) {
      return;
    }
    Map<JobId, CompletableFuture<JobView>> batch = new LinkedHashMap<>();
    for (var it = lane.next.entrySet().iterator(); it.hasNext() && batch.size() < MOST; ) {
      var e = it.next();
      batch.put(e.getKey(), e.getValue());
      it.remove();
    }
    lane.inFlight++;
    Futures.logFailure(
        sender
            .send(owner, new ArrayList<>(batch.keySet()))
            .whenComplete(
                (views, failure) -> {
                  lane.inFlight--;
                  send(owner, lane);
                  batch.forEach(
                      (id, future) -> {
                        JobView view = failure == null ? views.get(id) : null;
                        if (view != null) {
                          future.complete(view);
                        } else {
                          future.completeExceptionally(
                              failure != null
                                  ? failure
                                  : new Unavailable("the owner does not know", 404));
                        }
                      });
                }),
        "ask a peer for jobs' states");
  }
}
