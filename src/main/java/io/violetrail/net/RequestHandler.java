package io.violetrail.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.wire.Cbor;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Handles the requests to a controller. Called while the controller's lock is held. */
@FunctionalInterface
public interface RequestHandler {
  /** Handles one request and passes its response to {@code respond}, immediately or later. */
  void handle(String method, String path, byte[] body, Consumer<HttpResponse> respond);

  /**
   * The response to a request.
   *
   * @param retryAfterSeconds 0 if the client is not asked to retry
   */
  record HttpResponse(int status, byte[] body, int retryAfterSeconds, String contentType) {
    private static final String CBOR = "application/cbor";

    /** Returns a response with a CBOR body. */
    public static HttpResponse of(int status, JsonNode body) {
      return new HttpResponse(status, Cbor.encode(body), 0, CBOR);
    }

    /** Returns a response without a body. */
    public static HttpResponse empty(int status) {
      return new HttpResponse(status, new byte[0], 0, CBOR);
    }

    /** Returns a response whose CBOR field {@code error} contains the reason. */
    public static HttpResponse error(int status, String reason) {
      return of(status, Cbor.newMap().put("error", reason));
    }

    /** Returns status 503 with the reason. The response asks to retry after one second. */
    public static HttpResponse unavailable(String reason) {
      return new HttpResponse(503, Cbor.encode(Cbor.newMap().put("error", reason)), 1, CBOR);
    }

    /** Returns a response of status 200 with a plain text body in UTF-8. */
    public static HttpResponse text(String text) {
      return new HttpResponse(
          200, text.getBytes(StandardCharsets.UTF_8), 0, "text/plain; charset=utf-8");
    }
  }
}
