package io.violetrail.calendar;

/** When a run will be done, by what is seen of it. A plain decision. */
final class CompletionForecast {
  /** A task that runs longer than expected is taken to go on for this part of its age. */
  private static final double OVERRUN_FRACTION = 0.1;

  private CompletionForecast() {}

  /**
   * What is seen of a run.
   *
   * @param averageAgeSeconds for how long its running tasks have run on average
   * @param runtimeSeconds how long a task runs, by its estimate and what was observed of its class
   * @param startDelaySeconds how long a task waits that is to start now
   */
  record RunProgress(
      int taskCount,
      int doneCount,
      int runningCount,
      double averageAgeSeconds,
      double runtimeSeconds,
      double startDelaySeconds) {}

  static long completionMillis(long nowMillis, RunProgress progress) {
    int remaining = progress.taskCount() - progress.doneCount();
    if (remaining <= 0) {
      return nowMillis;
    }
    double remainingSeconds;
    if (progress.runningCount() == 0) {
      remainingSeconds = progress.startDelaySeconds() + progress.runtimeSeconds();
    } else {
      int waiting = remaining - progress.runningCount();
      double rounds = Math.ceil(waiting / (double) progress.runningCount());
      remainingSeconds =
          Math.max(
                  progress.runtimeSeconds() - progress.averageAgeSeconds(),
                  OVERRUN_FRACTION * progress.averageAgeSeconds())
              + rounds * progress.runtimeSeconds();
    }
    return nowMillis + (long) (1000 * remainingSeconds);
  }
}
