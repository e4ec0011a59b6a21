package io.violetrail.net;

import io.violetrail.config.Settings.HostPort;
import java.util.concurrent.CompletableFuture;

/** Calls to other services. */
public interface HttpClient {
  /**
   * Sends one request. The future fails if no answer came in time: the request may then have been
   * carried out, or may be later.
   */
  CompletableFuture<ClientReply> call(
      HostPort address, String method, String path, byte[] body, double timeoutSeconds);

  /** The same to a place that is rarely called: no connection to it is kept. */
  default CompletableFuture<ClientReply> callOnce(
      HostPort address, String method, String path, byte[] body, double timeoutSeconds) {
    return call(address, method, path, body, timeoutSeconds);
  }

  /** An answer. */
  record ClientReply(int status, byte[] body) {
    /** Whether the status is 200. */
    public boolean isOk() {
      return status == 200;
    }
  }
}
