package io.violetrail.scheduling;

import io.violetrail.net.Futures;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Runs a job's writes to the state store one after the other, in the order in which they were
 * enqueued. Otherwise an earlier state of the job could overwrite a later one.
 *
 * <p>Part of one {@link Job}, used on the event loop's thread. Queued writes are lost with the
 * process.
 */
final class SerializedWrites {
  private final ArrayDeque<Supplier<CompletableFuture<?>>> queued = new ArrayDeque<>();
  private boolean inFlight;

  /** Starts the write once all earlier ones have completed, successfully or not. */
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
        "write the state of a job");
  }
}
