package io.violetrail.cli;

/** The commands' exit statuses. Constants, so that a start loads no class for them. */
final class ExitStatus {
  static final int DONE = 0;

  /** Refused or not valid; of a comparison: there are differences. */
  static final int REFUSED = 1;

  static final int BAD_USAGE = 2;

  /** No controller answers; nothing was changed. */
  static final int NO_ANSWER = 3;

  /** A change may or may not have been carried out. */
  static final int UNKNOWN_OUTCOME = 4;

  /** Another revision than the expected one is in force; nothing was changed. */
  static final int CONFLICT = 5;

  private ExitStatus() {}
}
