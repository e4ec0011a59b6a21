package io.violetrail.net;

import io.violetrail.config.Settings.HostPort;
import java.util.concurrent.CompletableFuture;

/** Calls to other services. */
public interface Http {
  /**
   * Sends one request. The future fails if no answer came in time: the request may then have been
   * carried out, or may be later.
   */
  CompletableFuture<Reply> call(
      HostPort to, String method, String path, byte[] body, double timeoutS);

  /** The same to a place that is rarely called: no connection to it is kept. */
  default CompletableFuture<Reply> callOnce(
      HostPort to, String method, String path, byte[] body, double timeoutS) {
    return call(to, method, path, body, timeoutS);
  }

  /** An answer. */
  record Reply(int status, byte[] body) {
    public boolean ok() {
      return status == 200;
    }
  }
}
