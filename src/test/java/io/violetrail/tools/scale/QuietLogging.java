package io.violetrail.tools.scale;

/** Keeps the libraries' start-up lines out of a tool's output. */
final class QuietLogging {
  private QuietLogging() {}

  /** To be called before anything is logged. */
  static void showErrorsOnly() {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
  }
}
