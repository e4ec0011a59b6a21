package io.violetrail.net;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Coalesces concurrent requests for the same key. At most one request per key is in flight; all
 * calls made while it is in flight share the next one. A call never receives the response to a
 * request that was sent before the call, because that response may be older than what the caller
 * already knows.
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
   * Returns the response to a request for the key that is sent during or after this call. Calls
   * made while a request for the key is in flight share the next request.
   */
  public CompletableFuture<V> request(K key) {
    if (inFlight.contains(key)) {
      return queuedAnswers.computeIfAbsent(key, k -> new CompletableFuture<>());
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
        "send a coalesced request");
  }
}
