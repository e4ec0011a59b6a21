package io.violetrail.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.errors.Receiver;
import io.violetrail.errors.RequestRejectedException;
import io.violetrail.errors.RequestUndecidedException;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient;
import io.violetrail.net.HttpClient.ClientResponse;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import java.util.concurrent.CompletableFuture;

/**
 * Sends single requests to the state service and turns missing, unexpected and malformed replies
 * into typed failures.
 *
 * <p>Stateless. The caller has already taken the request from the budget.
 */
final class StateStoreConnection {
  /** Two timeouts fit into the 5 s for which a user waits. */
  static final double TIMEOUT_SECONDS = 1.5;

  private static final int HTTP_OK = 200;
  private static final int HTTP_NOT_FOUND = 404;
  private static final int HTTP_CONFLICT = 409;

  private final HttpClient http;
  private final HostPort address;

  StateStoreConnection(HttpClient http, HostPort address) {
    this.http = http;
    this.address = address;
  }

  /** Reads a value from the body of a reply. */
  interface BodyReader<T> {
    T read(ObjectNode body) throws MalformedMessageException;
  }

  /**
   * Sends a request.
   *
   * @param body null for none
   * @return the reply with status 200, 404 or 409; fails with {@link RequestRejectedException} for
   *     any other status and with {@link RequestUndecidedException} if there is no reply
   */
  CompletableFuture<ClientResponse> call(
      String method, String path, byte[] body, double timeoutSeconds) {
    CompletableFuture<ClientResponse> result = new CompletableFuture<>();
    Futures.logFailure(
        http.call(address, method, path, body, timeoutSeconds)
            .whenComplete(
                (reply, failure) -> {
                  if (failure != null) {
                    result.completeExceptionally(
                        RequestUndecidedException.noReply(Receiver.STATE_STORE, failure));
                  } else if (isExpectedStatus(reply.status())) {
                    result.complete(reply);
                  } else {
                    result.completeExceptionally(
                        RequestRejectedException.repliedWithStatus(
                            Receiver.STATE_STORE, reply.status()));
                  }
                }),
        "call the state service");
    return result;
  }

  /** Sends a request and completes with a reply of any status, which the caller interprets. */
  CompletableFuture<ClientResponse> callForAnyStatus(
      String method, String path, double timeoutSeconds) {
    return http.call(address, method, path, null, timeoutSeconds);
  }

  private static boolean isExpectedStatus(int status) {
    return status == HTTP_OK || status == HTTP_NOT_FOUND || status == HTTP_CONFLICT;
  }

  static boolean isNotFound(ClientResponse reply) {
    return reply.status() == HTTP_NOT_FOUND;
  }

  static boolean isConflict(ClientResponse reply) {
    return reply.status() == HTTP_CONFLICT;
  }

  /** Returns the body as a map; throws {@link RequestUndecidedException} if it is not a map. */
  static ObjectNode parseBody(ClientResponse reply) {
    return parse(reply, body -> body);
  }

  /**
   * Returns the value that the reader finds in the body; throws {@link RequestUndecidedException}
   * if the body is malformed.
   */
  static <T> T parse(ClientResponse reply, BodyReader<T> reader) {
    try {
      return reader.read(Cbor.parse(reply.body()));
    } catch (MalformedMessageException malformed) {
      throw RequestUndecidedException.malformedReply(Receiver.STATE_STORE);
    }
  }
}
