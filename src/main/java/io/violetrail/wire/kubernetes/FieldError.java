package io.violetrail.wire.kubernetes;

/** One field that is not taken: its path, the published kind of cause, and why. */
public record FieldError(String path, Cause cause, String message) {
  /** Causes by their published names. */
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
