package io.violetrail.net;

/**
 * The clocks and the callback executor of a controller. Every callback (timer, response or request)
 * runs while the controller's single lock is held, so callbacks are short and never wait for I/O.
 */
public interface EventLoop {
  /** Returns the reading of the monotonic clock. */
  long monotonicNanos();

  /** Returns the wall clock time, whose error is within the bound in the settings. */
  long wallMillis();

  /** Runs the task as soon as possible, while the lock is held. */
  void execute(Runnable task);

  /** Runs the task after a delay, while the lock is held. */
  Cancellable schedule(double seconds, Runnable task);

  /** A scheduled task that can be cancelled. */
  interface Cancellable {
    /** Cancels the task. Has no effect if the task has started. */
    void cancel();
  }

  /** Returns the reading of the monotonic clock, in seconds. */
  default double monotonicSeconds() {
    return monotonicNanos() / 1e9;
  }

  /**
   * Runs the task repeatedly, each time {@code seconds} after the end of the previous run. A run
   * that throws does not stop the repetition.
   */
  default void scheduleWithFixedDelay(double seconds, Runnable task) {
    schedule(
        seconds,
        () -> {
          try {
            task.run();
          } finally {
            scheduleWithFixedDelay(seconds, task);
          }
        });
  }
}
