package io.violetrail.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.wire.Cbor;
import java.util.function.Consumer;

/** What a controller serves; called under the controller's lock, and may answer later. */
@FunctionalInterface
public interface Service {
  void handle(String method, String path, byte[] body, Consumer<Answer> done);

  /** An answer to a request. */
  record Answer(int status, byte[] body, int retryAfterS, String type) {
    private static final String CBOR = "application/cbor";

    public static Answer of(int status, JsonNode body) {
      return new Answer(status, Cbor.bytes(body), 0, CBOR);
    }

    public static Answer empty(int status) {
      return new Answer(status, new byte[0], 0, CBOR);
    }

    public static Answer error(int status, String why) {
      return of(status, Cbor.map().put("error", why));
    }

    /** Refuses for now and says when to come back. */
    public static Answer later(String why) {
      return new Answer(503, Cbor.bytes(Cbor.map().put("error", why)), 1, CBOR);
    }

    /** Returns status 200 with a plain text body in UTF-8. */
    public static Answer text(String text) {
      return new Answer(
          200,
          text.getBytes(java.nio.charset.StandardCharsets.UTF_8),
          0,
          "text/plain; charset=utf-8");
    }
  }
}
