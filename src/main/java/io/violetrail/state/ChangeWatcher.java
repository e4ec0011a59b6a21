package io.violetrail.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient.ClientResponse;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Waits for changes of rows by long polling. Each call is one poll; the caller starts the next.
 * Stateless. Called on the event loop's thread.
 */
final class ChangeWatcher {
  private static final int HTTP_GONE = 410;
  private static final double MILLIS_PER_SECOND = 1000;

  /** Time allowed for the reply beyond the time that the state service waits for changes. */
  private static final double TIMEOUT_MARGIN_SECONDS = 3;

  private final RequestBudget budget;
  private final StateStoreConnection connection;

  ChangeWatcher(RequestBudget budget, StateStoreConnection connection) {
    this.budget = budget;
    this.connection = connection;
  }

  void watch(
      String prefix,
      long afterRevision,
      double waitSeconds,
      Consumer<ObjectNode> onChanges,
      StateStore.WatchFailureListener onFailure) {
    budget.takeRequest();
    Futures.logFailure(
        connection
            .callForAnyStatus(
                "GET",
                changesPath(prefix, afterRevision, waitSeconds),
                waitSeconds + TIMEOUT_MARGIN_SECONDS)
            .whenComplete(
                (reply, failure) -> {
                  Optional<ObjectNode> changes =
                      failure == null ? parseChanges(reply) : Optional.empty();
                  if (changes.isPresent()) {
                    onChanges.accept(changes.get());
                  } else {
                    onFailure.onWatchFailed(failure == null && reply.status() == HTTP_GONE);
                  }
                }),
        "watch for changes");
  }

  private static String changesPath(String prefix, long afterRevision, double waitSeconds) {
    return "/changes?under="
        + prefix
        + "&after="
        + afterRevision
        + "&block_ms="
        + Math.round(waitSeconds * MILLIS_PER_SECOND);
  }

  /**
   * Returns the reply's body, or empty if the reply is an error or cannot be parsed; both count as
   * a failed watch.
   */
  private static Optional<ObjectNode> parseChanges(ClientResponse reply) {
    if (!reply.isOk()) {
      return Optional.empty();
    }
    try {
      return Optional.of(Cbor.parse(reply.body()));
    } catch (MalformedMessageException malformed) {
      return Optional.empty();
    }
  }
}
