package io.violetrail.tools.scale;

/** Suppresses the start-up log lines of libraries in a tool's output. */
final class QuietLogging {
  private QuietLogging() {}

  /** Sets the log level to errors only. Must be called before anything is logged. */
  static void showErrorsOnly() {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
  }
}
