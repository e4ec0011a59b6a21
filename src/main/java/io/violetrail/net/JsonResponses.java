package io.violetrail.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import io.violetrail.wire.kubernetes.KubernetesJson.MalformedRequestException;

/** Creates the JSON responses of the APIs for operators. */
public final class JsonResponses {
  private static final int UNAVAILABLE = 503;
  private static final int RETRY_AFTER_SECONDS = 1;

  private JsonResponses() {}

  /** Returns a response with a JSON body. With status 503 it asks to retry after one second. */
  public static HttpResponse of(int status, JsonNode body) {
    return new HttpResponse(
        status,
        KubernetesJson.toBytes(body),
        status == UNAVAILABLE ? RETRY_AFTER_SECONDS : 0,
        "application/json");
  }

  /** Returns a response whose field {@code error} contains the reason. */
  public static HttpResponse error(int status, String reason) {
    return of(status, Cbor.newMap().put("error", reason));
  }

  /** Returns status 400 with the path of the invalid field, if known, and the reason. */
  public static HttpResponse malformed(MalformedRequestException exception) {
    String location = exception.path().isEmpty() ? "" : exception.path() + ": ";
    return error(400, location + exception.getMessage());
  }
}
