package io.violetrail.net;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Shares a question among those who ask it at about the same time: one is under way, and all who
 * come meanwhile get the answer to the next one. Nobody gets the answer to a question that was
 * asked before they came, which may be older than what they know.
 */
public final class RequestCoalescer<K, V> {
  private final Function<K, CompletableFuture<V>> sendRequest;
  private final Set<K> inFlight = new HashSet<>();
  private final Map<K, CompletableFuture<V>> queuedAnswers = new HashMap<>();

  /** Sends requests through the given function, one at a time for each key. */
  public RequestCoalescer(Function<K, CompletableFuture<V>> sendRequest) {
    this.sendRequest = sendRequest;
  }

  /**
   * Returns the answer to the question from a request sent after this call; questions that arrive
   * while one is in flight share the next request.
   */
  public CompletableFuture<V> request(K key) {
    if (inFlight.contains(key)) {
      return queuedAnswers.computeIfAbsent(key, q -> new CompletableFuture<>());
    }
    CompletableFuture<V> answer = new CompletableFuture<>();
    send(key, answer);
    return answer;
  }

  private void send(K key, CompletableFuture<V> answer) {
    inFlight.add(key);
    Futures.logFailure(
        sendRequest
            .apply(key)
            .whenComplete(
                (value, failure) -> {
                  inFlight.remove(key);
                  CompletableFuture<V> queued = queuedAnswers.remove(key);
                  if (queued != null) {
                    send(key, queued);
                  }
                  if (failure == null) {
                    answer.complete(value);
                  } else {
                    answer.completeExceptionally(failure);
                  }
                }),
        "ask a shared question");
  }
}
