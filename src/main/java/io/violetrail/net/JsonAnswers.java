package io.violetrail.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.net.RequestHandler.HttpAnswer;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import io.violetrail.wire.kubernetes.KubernetesJson.MalformedRequestException;

/** HTTP answers in JSON, as operators' APIs give them. */
public final class JsonAnswers {
  private static final int UNAVAILABLE = 503;
  private static final int RETRY_AFTER_SECONDS = 1;

  private JsonAnswers() {}

  /** An answer with a JSON body; one of status 503 says to come back after a second. */
  public static HttpAnswer of(int status, JsonNode body) {
    return new HttpAnswer(
        status,
        KubernetesJson.toBytes(body),
        status == UNAVAILABLE ? RETRY_AFTER_SECONDS : 0,
        "application/json");
  }

  /** An answer whose field {@code error} says what is wrong. */
  public static HttpAnswer error(int status, String reason) {
    return of(status, Cbor.newMap().put("error", reason));
  }

  /** Status 400 with the path and the reason of what cannot be read. */
  public static HttpAnswer malformed(MalformedRequestException exception) {
    String location = exception.path().isEmpty() ? "" : exception.path() + ": ";
    return error(400, location + exception.getMessage());
  }
}
