package io.violetrail.net;

/**
 * Time and turns. Every callback of a controller, be it a timer, an answer or a request, runs while
 * the controller's one short lock is held; none of them waits for I/O.
 */
public interface EventLoop {
  /** The steady clock. */
  long monotonicNanos();

  /** The time of day, which may wander within the settings' bound. */
  long wallMillis();

  /** Runs the task soon, under the lock. */
  void execute(Runnable task);

  /** Runs the task after a while, under the lock. */
  Cancellable schedule(double seconds, Runnable task);

  /** A timer that can be called off. */
  interface Cancellable {
    /** Keeps the task from running, unless it has begun. */
    void cancel();
  }

  /** The steady clock, in seconds. */
  default double monotonicSeconds() {
    return monotonicNanos() / 1e9;
  }

  /**
   * Runs the task again and again, {@code seconds} after each run's end; a failure does not end it.
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
