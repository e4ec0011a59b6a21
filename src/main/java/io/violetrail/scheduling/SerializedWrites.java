package io.violetrail.scheduling;

import io.violetrail.net.Futures;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Writes to the state store that run one after the other, so that none overtakes another: a later
 * state of a job must not be overwritten by an earlier one.
 *
 * <p>Part of one {@link Job}, used on the event loop's thread. Queued writes are lost with the
 * process.
 */
final class SerializedWrites {
  private final ArrayDeque<Supplier<CompletableFuture<?>>> queued = new ArrayDeque<>();
  private boolean inFlight;

  /** Starts the write once all before it have completed, successfully or not. */
  void enqueue(Supplier<CompletableFuture<?>> write) {
    queued.add(write);
    startNext();
  }

  private void startNext() {
    if (inFlight || queued.isEmpty()) {
      return;
    }
    inFlight = true;
    Futures.logFailure(
        queued
            .poll()
            .get()
            .whenComplete(
                (result, failure) -> {
                  inFlight = false;
                  startNext();
                }),
        "write a job's state");
  }
}
