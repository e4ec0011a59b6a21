package io.violetrail.errors;

/** A deferred transaction had nothing left to write when its turn came, and was not sent. */
public final class NothingToWriteException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  /** Creates a failure for one deferred transaction. */
  public NothingToWriteException() {
    super("deferred transaction has nothing left to write");
  }
}
