package io.violetrail.errors;

/** Rows that were read do not fit together: some were read before and some after a change. */
public final class InconsistentRowsException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  private InconsistentRowsException(String message) {
    super(message);
  }

  /** A row that the configuration's head refers to is absent. */
  public static InconsistentRowsException configurationPartMissing() {
    return new InconsistentRowsException("a part of the configuration is missing");
  }

  /** The configuration's content has not the digest that its head gives. */
  public static InconsistentRowsException configurationDigestDiffers() {
    return new InconsistentRowsException("the stored configuration is not what its head says");
  }
}
