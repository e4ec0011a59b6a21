package io.violetrail.worker;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.HeartbeatMessages;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * Requests the status of workers, to find out whether requests of this controller reach them and
 * their replies come back.
 *
 * <p>Used only by {@link WorkerReachability}, on the event loop's thread. A single probe runs at a
 * time.
 */
public final class WorkerProbe {
  private static final double TIMEOUT_SECONDS = 1;

  private final HttpClient http;
  private boolean inFlight;
  private int pendingCount;
  private int answeredCount;

  public WorkerProbe(HttpClient http) {
    this.http = http;
  }

  boolean isInFlight() {
    return inFlight;
  }

  /**
   * Probes all the given workers concurrently. No other probe may be in flight.
   *
   * @param workers must not be empty
   * @param onCompleted receives the number of workers that answered with a success status, once
   *     each request has ended or timed out
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
