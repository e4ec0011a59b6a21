package io.violetrail.errors;

import java.util.concurrent.CompletionException;

/**
 * A request to the state service, to a peer or to a part of this controller failed.
 *
 * <p>Each subclass represents one cause, carries its details as fields and builds the message from
 * them. These failures are ordinary in a cluster in which requests are lost and owners change, and
 * under load there are many of them: none has a stack trace.
 */
public abstract class RequestFailedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates a failure without a cause, suppressed exceptions or a stack trace. */
  protected RequestFailedException(String message) {
    super(message, null, false, false);
  }

  /**
   * Returns the cause of a failed future, unwrapped from a {@link CompletionException}.
   *
   * @return the cause if it is a {@link RequestFailedException}; otherwise a {@link
   *     RequestUndecidedException} that contains its text
   */
  public static RequestFailedException from(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof RequestFailedException requestFailed
        ? requestFailed
        : RequestUndecidedException.causedBy(cause);
  }

  /**
   * Returns whether the request was refused because there were too many. The same request can
   * succeed later.
   */
  public boolean isRateLimited() {
    return false;
  }

  /**
   * Returns whether the receiver refused the request as malformed. A retry would fail in the same
   * way.
   */
  public boolean isRefusedAsMalformed() {
    return false;
  }
}
