package io.violetrail.net;

import io.violetrail.config.Settings.HostPort;
import java.util.concurrent.CompletableFuture;

/** Sends HTTP requests to other services. */
public interface HttpClient {
  /**
   * Sends one request. The future fails if no response arrives within the timeout. In that case the
   * request may have been executed, or may still be executed later.
   */
  CompletableFuture<ClientResponse> call(
      HostPort address, String method, String path, byte[] body, double timeoutSeconds);

  /**
   * Sends one request as {@link #call} does, but keeps no connection open. For addresses that are
   * called rarely.
   */
  default CompletableFuture<ClientResponse> callOnce(
      HostPort address, String method, String path, byte[] body, double timeoutSeconds) {
    return call(address, method, path, body, timeoutSeconds);
  }

  /** The response to a request. */
  record ClientResponse(int status, byte[] body) {
    /** Returns whether the status is 200. */
    public boolean isOk() {
      return status == 200;
    }
  }
}
