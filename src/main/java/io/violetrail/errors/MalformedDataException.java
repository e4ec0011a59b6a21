package io.violetrail.errors;

/**
 * Data from outside this process that cannot be parsed: a message, a request, an expression or a
 * stored block. Each subclass is declared next to the code that parses one kind of data, and
 * carries the position of the error where it is known.
 *
 * <p>Checked, since each caller must decide how to handle such data; without a stack trace, since a
 * peer or a user may send any amount of it.
 */
public abstract class MalformedDataException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates a failure with a description of what is wrong with the data. */
  protected MalformedDataException(String reason) {
    super(reason, null, false, false);
  }
}
