package io.violetrail.wire.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Collectors;

/** An answer that is an error, in the published form: code, reason, message and causes. */
public record KubeStatus(
    int code, String reason, String message, List<Refusal> causes, int againS) {
  /** How soon to ask again what could not be taken now. */
  private static final int AGAIN_S = 1;

  private static KubeStatus of(int code, String reason, String message) {
    return new KubeStatus(code, reason, message, List.of(), 0);
  }

  public static KubeStatus notFound(String what) {
    return of(404, "NotFound", what + " not found");
  }

  public static KubeStatus exists(String what) {
    return of(409, "AlreadyExists", what + " already exists");
  }

  public static KubeStatus conflict(String what) {
    return of(409, "Conflict", what + ": the object has been changed; read it and try again");
  }

  public static KubeStatus badRequest(String why) {
    return of(400, "BadRequest", why);
  }

  public static KubeStatus notAllowed(String why) {
    return of(405, "MethodNotAllowed", why);
  }

  public static KubeStatus tooLarge(String why) {
    return of(413, "RequestEntityTooLarge", why);
  }

  public static KubeStatus unsupportedMedia(String why) {
    return of(415, "UnsupportedMediaType", why);
  }

  /** What the client knows is too old to go on from. */
  public static KubeStatus expired(String why) {
    return of(410, "Expired", why);
  }

  public static KubeStatus unavailable(String why) {
    return new KubeStatus(503, "ServiceUnavailable", why, List.of(), AGAIN_S);
  }

  public static KubeStatus tooMany(String why) {
    return new KubeStatus(429, "TooManyRequests", why, List.of(), AGAIN_S);
  }

  /** Fields that are not taken: 400 where one has a wrong type or is there twice, otherwise 422. */
  public static KubeStatus refused(String what, List<Refusal> refusals) {
    boolean bad = refusals.stream().anyMatch(r -> r.cause().code() == 400);
    String message =
        what
            + (bad ? " is malformed: " : " is invalid: ")
            + refusals.stream()
                .map(r -> r.path().isEmpty() ? r.why() : r.path() + ": " + r.why())
                .collect(Collectors.joining("; "));
    return new KubeStatus(bad ? 400 : 422, bad ? "BadRequest" : "Invalid", message, refusals, 0);
  }

  /** Encodes the failure as a Kubernetes {@code Status} object. */
  public ObjectNode json() {
    ObjectNode m = KubeJson.object();
    m.put("kind", "Status").put("apiVersion", "v1").putObject("metadata");
    m.put("status", "Failure").put("message", message).put("reason", reason);
    if (!causes.isEmpty() || againS > 0) {
      ObjectNode details = m.putObject("details");
      if (againS > 0) {
        details.put("retryAfterSeconds", againS);
      }
      if (!causes.isEmpty()) {
        var list = details.putArray("causes");
        causes.forEach(
            c ->
                list.addObject()
                    .put("reason", c.cause().published())
                    .put("message", c.why())
                    .put("field", c.path()));
      }
    }
    return m.put("code", code);
  }

  /** The answer to a deletion that is carried out. */
  public static ObjectNode success(String kind, String name, String uid) {
    ObjectNode m = KubeJson.object();
    m.put("kind", "Status").put("apiVersion", "v1").putObject("metadata");
    m.put("status", "Success");
    m.putObject("details").put("name", name).put("kind", kind).put("uid", uid);
    return m;
  }
}
