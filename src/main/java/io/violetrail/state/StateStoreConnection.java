package io.violetrail.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.errors.Receiver;
import io.violetrail.errors.RequestRejectedException;
import io.violetrail.errors.RequestUndecidedException;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient;
import io.violetrail.net.HttpClient.ClientReply;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import java.util.concurrent.CompletableFuture;

/**
 * Sends single requests to the state service and turns what is no answer into typed failures.
 *
 * <p>It keeps no state and knows no budget: who calls it has paid for the request.
 */
final class StateStoreConnection {
  /** Two timeouts fit into a user's patience of 5 s. */
  static final double TIMEOUT_SECONDS = 1.5;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final HttpClient http;
  private final HostPort address;

  StateStoreConnection(HttpClient http, HostPort address) {
    this.http = http;
    this.address = address;
  }

  /** Reads a part of an answer's body. */
  interface BodyReader<T> {
    T read(ObjectNode body) throws MalformedMessageException;
  }

  /**
   * Sends a request.
   *
   * @param body null for none
   * @return the answer with status 200, 404 or 409; fails with {@link RequestRejectedException} for
   *     any other status and with {@link RequestUndecidedException} if there is no answer
   */
  CompletableFuture<ClientReply> call(
      String method, String path, byte[] body, double timeoutSeconds) {
    CompletableFuture<ClientReply> result = new CompletableFuture<>();
    Futures.logFailure(
        http.call(address, method, path, body, timeoutSeconds)
            .whenComplete(
                (reply, failure) -> {
                  if (failure != null) {
                    result.completeExceptionally(
                        RequestUndecidedException.noAnswer(Receiver.STATE_STORE, failure));
                  } else if (hasMeaning(reply.status())) {
                    result.complete(reply);
                  } else {
                    result.completeExceptionally(
                        RequestRejectedException.answered(Receiver.STATE_STORE, reply.status()));
                  }
                }),
        "call the state service");
    return result;
  }

  /** Sends a request whose answer's status the caller judges itself. */
  CompletableFuture<ClientReply> callForAnyStatus(
      String method, String path, double timeoutSeconds) {
    return http.call(address, method, path, null, timeoutSeconds);
  }

  private static boolean hasMeaning(int status) {
    return status == OK || status == NOT_FOUND || status == CONFLICT;
  }

  static boolean isNotFound(ClientReply reply) {
    return reply.status() == NOT_FOUND;
  }

  static boolean isConflict(ClientReply reply) {
    return reply.status() == CONFLICT;
  }

  /** The body as a map; throws {@link RequestUndecidedException} if it is not one. */
  static ObjectNode parseBody(ClientReply reply) {
    return parse(reply, body -> body);
  }

  /** What the reader finds in the body; throws {@link RequestUndecidedException} if it cannot. */
  static <T> T parse(ClientReply reply, BodyReader<T> reader) {
    try {
      return reader.read(Cbor.parse(reply.body()));
    } catch (MalformedMessageException malformed) {
      throw RequestUndecidedException.unclearAnswer(Receiver.STATE_STORE);
    }
  }
}
