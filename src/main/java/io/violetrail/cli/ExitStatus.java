package io.violetrail.cli;

/**
 * The exit statuses of the commands. They are compile-time constants, so that the start of a
 * controller does not load this class.
 */
final class ExitStatus {
  static final int DONE = 0;

  /** The request was refused or the input is invalid; for a comparison: there are differences. */
  static final int REFUSED = 1;

  static final int BAD_USAGE = 2;

  /** No controller answered; nothing was changed. */
  static final int NO_ANSWER = 3;

  /** The change may or may not have been carried out. */
  static final int UNKNOWN_OUTCOME = 4;

  /** The revision in force is not the expected one; nothing was changed. */
  static final int CONFLICT = 5;

  private ExitStatus() {}
}
