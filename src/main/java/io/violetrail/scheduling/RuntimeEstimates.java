package io.violetrail.scheduling;

import io.violetrail.model.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * How long tasks really run, as a multiple of their users' estimates, learnt for each job class.
 *
 * <p>Called on the event loop's thread; lost with the process and learnt again.
 */
public final class RuntimeEstimates {
  /** Weight of the newest task: some ten tasks outweigh what was learnt before. */
  private static final double NEWEST_WEIGHT = 0.1;

  private static final double MIN_RUNTIME_SECONDS = 1;
  private static final double MIN_FACTOR = 0.1;
  private static final double MAX_FACTOR = 10;
  private final Map<String, Double> factorByJobClass = new HashMap<>();

  /** A task has run to its end without being stopped. */
  public void recordRuntime(JobSpec job, double ranSeconds) {
    if (job.estimatedRuntimeSeconds() > 0) {
      double factor =
          Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, ranSeconds / job.estimatedRuntimeSeconds()));
      factorByJobClass.merge(job.jobClass(), factor, (old, f) -> old + NEWEST_WEIGHT * (f - old));
    }
  }

  /** The expected runtime of a task, in seconds, at least one. */
  public double expectedRuntimeSeconds(JobSpec job) {
    return Math.max(
        MIN_RUNTIME_SECONDS,
        job.estimatedRuntimeSeconds() * factorByJobClass.getOrDefault(job.jobClass(), 1.0));
  }
}
