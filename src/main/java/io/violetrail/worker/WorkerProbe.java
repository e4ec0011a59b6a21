package io.violetrail.worker;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.HeartbeatMessages;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * Asks workers for their status, which shows whether requests from here reach them and their
 * replies come back.
 *
 * <p>Used by {@link WorkerReachability} alone, on the event loop's thread. One probe runs at a
 * time.
 */
public final class WorkerProbe {
  private static final double TIMEOUT_SECONDS = 1;

  private final HttpClient http;
  private boolean inFlight;
  private int pendingCount;
  private int answeredCount;

  /** Probes over the given client. */
  public WorkerProbe(HttpClient http) {
    this.http = http;
  }

  boolean isInFlight() {
    return inFlight;
  }

  /**
   * Asks all the given workers at once; no other probe may be in flight.
   *
   * @param workers at least one
   * @param onCompleted gets the number of workers that answered, once each has answered or timed
   *     out
   */
  void probe(List<HostPort> workers, IntConsumer onCompleted) {
    inFlight = true;
    pendingCount = workers.size();
    answeredCount = 0;
    for (HostPort worker : workers) {
      Futures.logFailure(
          http.callOnce(worker, "GET", HeartbeatMessages.STATUS_PATH, null, TIMEOUT_SECONDS)
              .whenComplete(
                  (response, failure) ->
                      recordResult(failure == null && response.isOk(), onCompleted)),
          "probe a worker");
    }
  }

  private void recordResult(boolean answered, IntConsumer onCompleted) {
    answeredCount += answered ? 1 : 0;
    pendingCount--;
    if (pendingCount == 0) {
      inFlight = false;
      onCompleted.accept(answeredCount);
    }
  }
}
