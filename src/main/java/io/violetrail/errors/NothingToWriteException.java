package io.violetrail.errors;

/** A deferred transaction was not sent, because nothing was left to write when it was drafted. */
public final class NothingToWriteException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  public NothingToWriteException() {
    super("deferred transaction has nothing left to write");
  }
}
