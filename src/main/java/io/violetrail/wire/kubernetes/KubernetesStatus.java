package io.violetrail.wire.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Collectors;

/**
 * An error response in the form of a Kubernetes {@code Status} object.
 *
 * @param causes the rejected fields, if any
 * @param retryAfterSeconds 0 if the client is not asked to retry
 */
public record KubernetesStatus(
    int code, String reason, String message, List<FieldError> causes, int retryAfterSeconds) {
  /** The delay after which a client may retry a request that is temporarily rejected. */
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

  /** Returns status 410: the state from which the client wants to continue is no longer kept. */
  public static KubernetesStatus expired(String reason) {
    return of(410, "Expired", reason);
  }

  public static KubernetesStatus unavailable(String reason) {
    return new KubernetesStatus(503, "ServiceUnavailable", reason, List.of(), RETRY_AFTER_SECONDS);
  }

  public static KubernetesStatus tooManyRequests(String reason) {
    return new KubernetesStatus(429, "TooManyRequests", reason, List.of(), RETRY_AFTER_SECONDS);
  }

  /**
   * Returns the status for rejected fields: 400 if any field has the wrong type or is duplicated,
   * otherwise 422.
   */
  public static KubernetesStatus invalid(String subject, List<FieldError> errors) {
    boolean malformed = errors.stream().anyMatch(error -> error.cause().httpStatus() == 400);
    String message =
        subject
            + (malformed ? " is malformed: " : " is invalid: ")
            + errors.stream()
                .map(
                    error ->
                        error.path().isEmpty()
                            ? error.message()
                            : error.path() + ": " + error.message())
                .collect(Collectors.joining("; "));
    return new KubernetesStatus(
        malformed ? 400 : 422, malformed ? "BadRequest" : "Invalid", message, errors, 0);
  }

  /** Encodes the failure as a Kubernetes {@code Status} object. */
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
            error ->
                list.addObject()
                    .put("reason", error.cause().publishedName())
                    .put("message", error.message())
                    .put("field", error.path()));
      }
    }
    return json.put("code", code);
  }

  /** Encodes the {@code Status} object that answers a successful deletion. */
  public static ObjectNode success(String kind, String name, String uid) {
    ObjectNode json = KubernetesJson.newObject();
    json.put("kind", "Status").put("apiVersion", "v1").putObject("metadata");
    json.put("status", "Success");
    json.putObject("details").put("name", name).put("kind", kind).put("uid", uid);
    return json;
  }
}
