package io.violetrail.scheduling;

import org.agrona.collections.Int2ObjectHashMap;

/**
 * When each failed task of a job may be retried, in seconds of the monotonic clock. A task without
 * an entry may be started at any time.
 *
 * <p>Part of one {@link Job}, used on the event loop's thread; lost with the process, so that the
 * next owner retries at once.
 */
final class TaskRetries {
  private final Int2ObjectHashMap<Double> notBeforeSeconds = new Int2ObjectHashMap<>();

  /** Whether the task may be started now. */
  boolean mayStart(int index, double nowSeconds) {
    Double retryAtSeconds = notBeforeSeconds.get(index);
    return retryAtSeconds == null || retryAtSeconds <= nowSeconds;
  }

  /** Whether all tasks may be started now. */
  boolean mayStartAll(double nowSeconds) {
    for (Double retryAtSeconds : notBeforeSeconds.values()) {
      if (retryAtSeconds > nowSeconds) {
        return false;
      }
    }
    return true;
  }

  /** The task is not retried before that second. */
  void retryNotBefore(int index, double atSeconds) {
    notBeforeSeconds.put(index, (Double) atSeconds);
  }

  /** The task may be retried at once. */
  void retryAtOnce(int index) {
    notBeforeSeconds.remove(index);
  }

  /** All failed tasks may be retried at once. */
  void retryAllAtOnce() {
    notBeforeSeconds.clear();
  }
}
