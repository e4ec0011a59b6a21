package io.violetrail.errors;

/**
 * The outcome of the request is unknown: there was no reply, or none that states the outcome. The
 * request may have been carried out, or may still be.
 */
public final class RequestUndecidedException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  private RequestUndecidedException(String message) {
    super(message);
  }

  /**
   * Creates a failure for a request to which the receiver did not reply, or that could not reach
   * it.
   */
  public static RequestUndecidedException noReply(Receiver receiver, Throwable failure) {
    return new RequestUndecidedException(
        "no reply from the " + receiver.label() + ": " + failure.getMessage());
  }

  /** Creates a failure for a reply that cannot be parsed. */
  public static RequestUndecidedException malformedReply(Receiver receiver) {
    return new RequestUndecidedException("the " + receiver.label() + "'s reply is malformed");
  }

  /**
   * Creates a failure for a change that was made in this controller's memory but may not have been
   * stored.
   */
  public static RequestUndecidedException possiblyNotStored() {
    return new RequestUndecidedException("the change may not have been stored");
  }

  /** Creates a failure for a request that ended with an exception of another type. */
  static RequestUndecidedException causedBy(Throwable cause) {
    return new RequestUndecidedException(String.valueOf(cause));
  }
}
