package io.violetrail.wire.kubernetes;

/** One field that is not taken: its path, the published kind of cause, and why. */
public record Refusal(String path, Cause cause, String why) {
  /** Causes by their published names. */
  public enum Cause {
    REQUIRED("FieldValueRequired", 422),
    NOT_SUPPORTED("FieldValueNotSupported", 422),
    INVALID("FieldValueInvalid", 422),
    FORBIDDEN("FieldValueForbidden", 422),
    DUPLICATE("FieldValueDuplicate", 400),
    TYPE("FieldValueTypeInvalid", 400);

    private final String published;
    private final int code;

    Cause(String published, int code) {
      this.published = published;
      this.code = code;
    }

    public String published() {
      return published;
    }

    public int code() {
      return code;
    }
  }
}
