package io.violetrail.wire.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Collectors;

/** An answer that is an error, in the published form: code, reason, message and causes. */
public record KubernetesStatus(
    int code, String reason, String message, List<FieldError> causes, int retryAfterSeconds) {
  /** How soon to ask again what could not be taken now. */
  private static final int RETRY_AFTER_SECONDS = 1;

  private static KubernetesStatus of(int code, String reason, String message) {
    return new KubernetesStatus(code, reason, message, List.of(), 0);
  }

  public static KubernetesStatus notFound(String subject) {
    return of(404, "NotFound", subject + " not found");
  }

  public static KubernetesStatus alreadyExists(String subject) {
    return of(409, "AlreadyExists", subject + " already exists");
  }

  public static KubernetesStatus conflict(String subject) {
    return of(409, "Conflict", subject + ": the object has been changed; read it and try again");
  }

  public static KubernetesStatus badRequest(String reason) {
    return of(400, "BadRequest", reason);
  }

  public static KubernetesStatus methodNotAllowed(String reason) {
    return of(405, "MethodNotAllowed", reason);
  }

  public static KubernetesStatus tooLarge(String reason) {
    return of(413, "RequestEntityTooLarge", reason);
  }

  public static KubernetesStatus unsupportedMediaType(String reason) {
    return of(415, "UnsupportedMediaType", reason);
  }

  /** What the client knows is too old to go on from. */
  public static KubernetesStatus expired(String reason) {
    return of(410, "Expired", reason);
  }

  public static KubernetesStatus unavailable(String reason) {
    return new KubernetesStatus(503, "ServiceUnavailable", reason, List.of(), RETRY_AFTER_SECONDS);
  }

  public static KubernetesStatus tooManyRequests(String reason) {
    return new KubernetesStatus(429, "TooManyRequests", reason, List.of(), RETRY_AFTER_SECONDS);
  }

  /** Fields that are not taken: 400 where one has a wrong type or is there twice, otherwise 422. */
  public static KubernetesStatus invalid(String subject, List<FieldError> errors) {
    boolean malformed = errors.stream().anyMatch(r -> r.cause().httpStatus() == 400);
    String message =
        subject
            + (malformed ? " is malformed: " : " is invalid: ")
            + errors.stream()
                .map(r -> r.path().isEmpty() ? r.message() : r.path() + ": " + r.message())
                .collect(Collectors.joining("; "));
    return new KubernetesStatus(
        malformed ? 400 : 422, malformed ? "BadRequest" : "Invalid", message, errors, 0);
  }

  /** Encodes the failure as a Kubernetes {@code JobStatus} object. */
  public ObjectNode toJson() {
    ObjectNode json = KubernetesJson.newObject();
    json.put("kind", "Status").put("apiVersion", "v1").putObject("metadata");
    json.put("status", "Failure").put("message", message).put("reason", reason);
    if (!causes.isEmpty() || retryAfterSeconds > 0) {
      ObjectNode details = json.putObject("details");
      if (retryAfterSeconds > 0) {
        details.put("retryAfterSeconds", retryAfterSeconds);
      }
      if (!causes.isEmpty()) {
        var list = details.putArray("causes");
        causes.forEach(
            c ->
                list.addObject()
                    .put("reason", c.cause().publishedName())
                    .put("message", c.message())
                    .put("field", c.path()));
      }
    }
    return json.put("code", code);
  }

  /** The answer to a deletion that is carried out. */
  public static ObjectNode success(String kind, String name, String uid) {
    ObjectNode json = KubernetesJson.newObject();
    json.put("kind", "Status").put("apiVersion", "v1").putObject("metadata");
    json.put("status", "Success");
    json.putObject("details").put("name", name).put("kind", kind).put("uid", uid);
    return json;
  }
}
