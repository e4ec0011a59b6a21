package io.violetrail.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.wire.Cbor;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** What a controller serves; called under the controller's lock, and may answer later. */
@FunctionalInterface
public interface RequestHandler {
  /** Handles one request; {@code respond} takes the answer, at once or later. */
  void handle(String method, String path, byte[] body, Consumer<HttpAnswer> respond);

  /** An answer to a request. */
  record HttpAnswer(int status, byte[] body, int retryAfterSeconds, String contentType) {
    private static final String CBOR = "application/cbor";

    /** An answer with a CBOR body. */
    public static HttpAnswer of(int status, JsonNode body) {
      return new HttpAnswer(status, Cbor.encode(body), 0, CBOR);
    }

    /** An answer without a body. */
    public static HttpAnswer empty(int status) {
      return new HttpAnswer(status, new byte[0], 0, CBOR);
    }

    /** A refusal that says why. */
    public static HttpAnswer error(int status, String reason) {
      return of(status, Cbor.newMap().put("error", reason));
    }

    /** Refuses for now and says when to come back. */
    public static HttpAnswer unavailable(String reason) {
      return new HttpAnswer(503, Cbor.encode(Cbor.newMap().put("error", reason)), 1, CBOR);
    }

    /** Returns status 200 with a plain text body in UTF-8. */
    public static HttpAnswer text(String text) {
      return new HttpAnswer(
          200, text.getBytes(StandardCharsets.UTF_8), 0, "text/plain; charset=utf-8");
    }
  }
}
