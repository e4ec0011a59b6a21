package io.violetrail.net;

/**
 * Time and turns. Every callback of a controller, be it a timer, an answer or a request, runs while
 * the controller's one short lock is held; none of them waits for I/O.
 */
public interface Loop {
  /** The steady clock. */
  long nanos();

  /** The time of day, which may wander within the settings' bound. */
  long wallMillis();

  /** Runs the task soon, under the lock. */
  void execute(Runnable task);

  /** Runs the task after a while, under the lock. */
  Cancellable after(double seconds, Runnable task);

  /** A timer that can be called off. */
  interface Cancellable {
    void cancel();
  }

  default double seconds() {
    return nanos() / 1e9;
  }

  /**
   * Runs the task again and again, {@code seconds} after each run's end; a failure does not end it.
   */
  default void every(double seconds, Runnable task) {
    after(
        seconds,
        () -> {
          try {
            task.run();
          } finally {
            every(seconds, task);
          }
        });
  }
}
