package io.violetrail.errors;

/** A deferred transaction had nothing left to write when its turn came: nothing was sent. */
public final class NothingToWriteException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  /** Creates the failure of one deferred transaction. */
  public NothingToWriteException() {
    super("nothing to write");
  }
}
