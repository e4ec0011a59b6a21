package io.violetrail.calendar;

/** Forecasts the completion time of a run from its progress. Stateless. */
final class CompletionForecast {
  /**
   * A task that has run longer than expected is assumed to continue for this fraction of its age.
   */
  private static final double OVERRUN_FRACTION = 0.1;

  private CompletionForecast() {}

  /**
   * The observed progress of a run.
   *
   * @param averageAgeSeconds how long the running tasks have run on average; 0 if none is running
   * @param expectedRuntimeSeconds the expected runtime of a task, from its estimate and the
   *     observed runtimes of its job class
   * @param startDelaySeconds the expected delay until a task that is to start now runs
   */
  record RunProgress(
      int taskCount,
      int doneCount,
      int runningCount,
      double averageAgeSeconds,
      double expectedRuntimeSeconds,
      double startDelaySeconds) {}

  static long completionMillis(long nowMillis, RunProgress progress) {
    int remainingTasks = progress.taskCount() - progress.doneCount();
    if (remainingTasks <= 0) {
      return nowMillis;
    }
    double remainingSeconds;
    if (progress.runningCount() == 0) {
      remainingSeconds = progress.startDelaySeconds() + progress.expectedRuntimeSeconds();
    } else {
      int waitingTasks = remainingTasks - progress.runningCount();
      double rounds = Math.ceil(waitingTasks / (double) progress.runningCount());
      remainingSeconds =
          Math.max(
                  progress.expectedRuntimeSeconds() - progress.averageAgeSeconds(),
                  OVERRUN_FRACTION * progress.averageAgeSeconds())
              + rounds * progress.expectedRuntimeSeconds();
    }
    return nowMillis + (long) (1000 * remainingSeconds);
  }
}
