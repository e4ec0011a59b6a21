package io.violetrail.errors;

/**
 * Data from outside this program that cannot be read: a message, a request, an expression or a
 * stored block. Its subclasses, beside the code that reads the data, say which and carry the place
 * of the fault where it is known.
 *
 * <p>Checked, since whoever reads such data must say what becomes of it; without a stack trace,
 * since a peer or a user may send any amount of it.
 */
public abstract class MalformedDataException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates a failure that says what is wrong with the data. */
  protected MalformedDataException(String reason) {
    super(reason, null, false, false);
  }
}
