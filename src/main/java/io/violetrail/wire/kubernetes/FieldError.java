package io.violetrail.wire.kubernetes;

/** One rejected field: its path, the cause as Kubernetes publishes it, and a readable reason. */
public record FieldError(String path, Cause cause, String message) {
  /** The causes for rejecting a field, with their Kubernetes names and HTTP status codes. */
  public enum Cause {
    REQUIRED("FieldValueRequired", 422),
    NOT_SUPPORTED("FieldValueNotSupported", 422),
    INVALID("FieldValueInvalid", 422),
    FORBIDDEN("FieldValueForbidden", 422),
    DUPLICATE("FieldValueDuplicate", 400),
    TYPE("FieldValueTypeInvalid", 400);

    private final String publishedName;
    private final int httpStatus;

    Cause(String publishedName, int httpStatus) {
      this.publishedName = publishedName;
      this.httpStatus = httpStatus;
    }

    public String publishedName() {
      return publishedName;
    }

    public int httpStatus() {
      return httpStatus;
    }
  }
}
