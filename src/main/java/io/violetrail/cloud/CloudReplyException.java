package io.violetrail.cloud;

/** A reply of the machine provider's API that is an error, or that cannot be parsed. */
public final class CloudReplyException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int status;

  private CloudReplyException(String message, int status, Throwable cause) {
    super(message, cause);
    this.status = status;
  }

  static CloudReplyException errorStatus(int status) {
    return new CloudReplyException("the provider answered " + status, status, null);
  }

  static CloudReplyException malformed(int status, Throwable cause) {
    return new CloudReplyException("the provider's reply cannot be parsed", status, cause);
  }

  /** The reply's HTTP status. */
  public int status() {
    return status;
  }
}
