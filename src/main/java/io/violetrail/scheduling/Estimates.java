package io.violetrail.scheduling;

import io.violetrail.model.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * How long tasks really run, as a multiple of their owners' estimates, learnt for each class of
 * jobs.
 */
public final class Estimates {
  /** Weight of the newest task: some ten tasks outweigh what was believed before. */
  private static final double NEWEST = 0.1;

  private static final double SHORTEST_S = 1;
  private final Map<String, Double> factors = new HashMap<>();

  /** A task has run to its end without a stop. */
  public void learn(JobSpec job, double ranS) {
    if (job.estimateS() > 0) {
      double factor = Math.max(0.1, Math.min(10, ranS / job.estimateS()));
      factors.merge(job.jobClass(), factor, (old, f) -> old + NEWEST * (f - old));
    }
  }

  public double runS(JobSpec job) {
    return Math.max(SHORTEST_S, job.estimateS() * factors.getOrDefault(job.jobClass(), 1.0));
  }
}
