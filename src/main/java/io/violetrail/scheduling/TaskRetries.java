package io.violetrail.scheduling;

import org.agrona.collections.Int2ObjectHashMap;

/**
 * Keeps when each failed task of a job may be retried, in seconds of the monotonic clock. A task
 * without an entry may be started at any time.
 *
 * <p>Part of one {@link Job}, used on the event loop's thread. Lost with the process, so that the
 * next owner retries at once.
 */
final class TaskRetries {
  private final Int2ObjectHashMap<Double> notBeforeSeconds = new Int2ObjectHashMap<>();

  boolean mayStart(int index, double nowSeconds) {
    Double retryAtSeconds = notBeforeSeconds.get(index);
    return retryAtSeconds == null || retryAtSeconds <= nowSeconds;
  }

  boolean mayStartAll(double nowSeconds) {
    for (Double retryAtSeconds : notBeforeSeconds.values()) {
      if (retryAtSeconds > nowSeconds) {
        return false;
      }
    }
    return true;
  }

  /** Prevents the task from being started before {@code retryAtSeconds}. */
  void retryNotBefore(int index, double retryAtSeconds) {
    notBeforeSeconds.put(index, (Double) retryAtSeconds);
  }

  void retryAtOnce(int index) {
    notBeforeSeconds.remove(index);
  }

  void retryAllAtOnce() {
    notBeforeSeconds.clear();
  }
}
