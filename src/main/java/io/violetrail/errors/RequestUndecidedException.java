package io.violetrail.errors;

/**
 * There was no answer, or none that says what became of the request: it may have been carried out,
 * or may still be.
 */
public final class RequestUndecidedException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  private RequestUndecidedException(String message) {
    super(message);
  }

  /** The receiver did not answer, or could not be reached. */
  public static RequestUndecidedException noAnswer(Receiver receiver, Throwable failure) {
    return new RequestUndecidedException(receiver.label() + ": " + failure.getMessage());
  }

  /** The receiver's answer cannot be parsed. */
  public static RequestUndecidedException unclearAnswer(Receiver receiver) {
    return new RequestUndecidedException("the " + receiver.label() + "'s answer is unclear");
  }

  /** The change was made here, but is not stored for certain. */
  public static RequestUndecidedException notStored() {
    return new RequestUndecidedException("not stored");
  }

  /** The request ended with an exception of another kind. */
  static RequestUndecidedException causedBy(Throwable cause) {
    return new RequestUndecidedException(String.valueOf(cause));
  }
}
