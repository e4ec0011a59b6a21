package io.violetrail.scheduling;

import io.violetrail.model.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * How long tasks really run, as a multiple of their owners' estimates, learnt for each class of
 * jobs.
 */
public final class RuntimeEstimates {
  /** Weight of the newest task: some ten tasks outweigh what was believed before. */
  private static final double NEWEST_WEIGHT = 0.1;

  private static final double MIN_RUNTIME_SECONDS = 1;
  private final Map<String, Double> factorByJobClass = new HashMap<>();

  /** A task has run to its end without a stop. */
  public void recordRuntime(JobSpec job, double ranSeconds) {
    if (job.estimatedRuntimeSeconds() > 0) {
      double factor = Math.max(0.1, Math.min(10, ranSeconds / job.estimatedRuntimeSeconds()));
      factorByJobClass.merge(job.jobClass(), factor, (old, f) -> old + NEWEST_WEIGHT * (f - old));
    }
  }

  public double expectedRuntimeSeconds(JobSpec job) {
    return Math.max(
        MIN_RUNTIME_SECONDS,
        job.estimatedRuntimeSeconds() * factorByJobClass.getOrDefault(job.jobClass(), 1.0));
  }
}
