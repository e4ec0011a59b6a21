package io.violetrail.errors;

/** Rows that were read are inconsistent: some were read before and some after a change. */
public final class InconsistentRowsException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  private InconsistentRowsException(String message) {
    super(message);
  }

  /** A row that the configuration's head refers to is absent. */
  public static InconsistentRowsException configurationPartMissing() {
    return new InconsistentRowsException(
        "the stored configuration is inconsistent: a row that its head refers to is missing");
  }

  /** The digest of the configuration's content differs from the one in its head. */
  public static InconsistentRowsException configurationDigestDiffers() {
    return new InconsistentRowsException(
        "the stored configuration is inconsistent: content does not match the digest in its head");
  }
}
