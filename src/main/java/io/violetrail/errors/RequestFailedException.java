package io.violetrail.errors;

import java.util.concurrent.CompletionException;

/**
 * A request to the state service, to a peer or to a part of this controller that did not succeed.
 *
 * <p>The subclasses are the causes, and carry what belongs to them as fields; the message is made
 * from the fields in the subclass. They are ordinary outcomes of a cluster in which requests get
 * lost and owners change, and under load there are many of them: none has a stack trace.
 */
public abstract class RequestFailedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates a failure without cause, suppression and stack trace. */
  protected RequestFailedException(String message) {
    super(message, null, false, false);
  }

  /**
   * The cause of a failed future, whatever it is wrapped in.
   *
   * @return the failure itself; a {@link RequestUndecidedException} if it has another type
   */
  public static RequestFailedException from(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof RequestFailedException requestFailed
        ? requestFailed
        : RequestUndecidedException.causedBy(cause);
  }

  /**
   * Whether the request was refused because there were too many: it would succeed later, unchanged.
   */
  public boolean isRateLimited() {
    return false;
  }

  /** Whether the receiver refused the request as malformed: a repeat would fail just the same. */
  public boolean isRefusedAsMalformed() {
    return false;
  }
}
