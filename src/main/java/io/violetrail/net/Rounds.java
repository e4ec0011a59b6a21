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
public final class Rounds<K, V> {
  private final Function<K, CompletableFuture<V>> ask;
  private final Set<K> underWay = new HashSet<>();
  private final Map<K, CompletableFuture<V>> next = new HashMap<>();

  public Rounds(Function<K, CompletableFuture<V>> ask) {
    this.ask = ask;
  }

  /**
   * Returns the answer to the question from a request sent after this call; questions that arrive
   * while one is in flight share the next request.
   */
  public CompletableFuture<V> ask(K question) {
    if (underWay.contains(question)) {
      return next.computeIfAbsent(question, q -> new CompletableFuture<>());
    }
    CompletableFuture<V> answer = new CompletableFuture<>();
    send(question, answer);
    return answer;
  }

  private void send(K question, CompletableFuture<V> answer) {
    underWay.add(question);
    Futures.logFailure(
        ask.apply(question)
            .whenComplete(
                (v, failure) -> {
                  underWay.remove(question);
                  CompletableFuture<V> waiting = next.remove(question);
                  if (waiting != null) {
                    send(question, waiting);
                  }
                  if (failure == null) {
                    answer.complete(v);
                  } else {
                    answer.completeExceptionally(failure);
                  }
                }),
        "ask a shared question");
  }
}
