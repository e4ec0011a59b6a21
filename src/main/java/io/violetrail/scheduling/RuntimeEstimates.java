package io.violetrail.scheduling;

import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long tasks run. Learns for each job class the ratio of the measured runtimes to the
 * users' estimates.
 *
 * <p>Called on the event loop's thread. Lost with the process and learnt again.
 */
public final class RuntimeEstimates {
  /** Weight of the newest task. Some ten tasks outweigh what was learnt before. */
  private static final double NEWEST_WEIGHT = 0.1;

  private static final double MIN_RUNTIME_SECONDS = 1;
  private static final double MIN_FACTOR = 0.1;
  private static final double MAX_FACTOR = 10;
  private final Map<String, Double> factorByJobClass = new HashMap<>();

  /** Records the runtime of a task that has run to completion without being stopped. */
  public void recordRuntime(JobSpec job, double runtimeSeconds) {
    if (job.estimatedRuntimeSeconds() > 0) {
      double factor =
          Math.max(
              MIN_FACTOR, Math.min(MAX_FACTOR, runtimeSeconds / job.estimatedRuntimeSeconds()));
      factorByJobClass.merge(
          job.jobClass(), factor, (old, newest) -> old + NEWEST_WEIGHT * (newest - old));
    }
  }

  /**
   * Returns whether the end of a task can be expected: the job is not a service, whose replicas run
   * until it is cancelled, and its user has given an estimate.
   */
  public boolean hasExpectedRuntime(JobSpec job) {
    return job.shape() != JobShape.SERVICE && job.estimatedRuntimeSeconds() > 0;
  }

  /**
   * Returns the expected runtime of a task in seconds; at least 1. Without an expected runtime (see
   * {@link #hasExpectedRuntime}), the result says nothing about the task's end.
   */
  public double expectedRuntimeSeconds(JobSpec job) {
    return Math.max(
        MIN_RUNTIME_SECONDS,
        job.estimatedRuntimeSeconds() * factorByJobClass.getOrDefault(job.jobClass(), 1.0));
  }
}
