package io.violetrail.scheduling;

import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Objective.Kind;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.Configuration;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Priority;
import java.util.ArrayList;
import java.util.List;

/**
 * Computes from the jobs' deadlines and the users' service-level objectives when jobs should start
 * and complete, and which price is acceptable for them while they wait. The acceptable price is
 * expressed as a price ratio: a multiple of the cheapest on-demand price of a task.
 *
 * <p>Called on the event loop's thread. Has no state: the objectives are read from the
 * configuration each time.
 */
public final class ServiceLevelObjectives {
  /** The maximum price ratio on arrival of a job that has no reachable deadline. */
  private static final double BASE_PRICE_RATIO = 3;

  /**
   * The waiting time, in seconds, after which 1 more is added to the maximum price ratio of a job
   * that has no reachable deadline.
   */
  private static final double SECONDS_PER_PRICE_RATIO_STEP = 15;

  /**
   * The maximum price ratio on arrival of a job that has a reachable deadline. It admits on-demand
   * machines that are not much more expensive than the cheapest.
   */
  private static final double RELAXED_PRICE_RATIO = 1.4;

  /**
   * The increase over {@link #RELAXED_PRICE_RATIO} that is reached at the latest time to start and
   * still meet the deadline.
   */
  private static final double URGENT_PRICE_RATIO_INCREASE = 2;

  /** The price ratio of best-effort jobs: below any on-demand machine, however long they wait. */
  private static final double BEST_EFFORT_PRICE_RATIO = 0.99;

  private final Configuration configuration;

  /** Creates objectives that read the configuration's objectives and teams. */
  public ServiceLevelObjectives(Configuration configuration) {
    this.configuration = configuration;
  }

  /**
   * Returns whether the job is best effort. That is a job of the lowest priority, of a team without
   * a guaranteed quota, that has neither a deadline nor an objective for its class. It runs on
   * existing free capacity and on spot machines. If the fleet were scaled out for it as for other
   * jobs, it would get the most expensive machines after a long wait.
   */
  public boolean isBestEffort(JobSpec job) {
    Team team = configuration.findTeam(job.team());
    boolean guaranteed = team != null && (team.guaranteedCpus() > 0 || team.guaranteedGpus() > 0);
    return job.priority() == Priority.LOW
        && !guaranteed
        && job.deadlineSeconds() == null
        && configuration.objectives().stream()
            .noneMatch(objective -> job.jobClass().equals(objective.jobClass()));
  }

  /**
   * Returns the earliest deadline that the job can still meet if it runs for {@code runtimeSeconds}
   * from now, in seconds of the monotonic clock. Infinite if there is none, so that jobs that will
   * be late in any case are ordered after those that need not be.
   */
  public double nextReachableDeadlineSeconds(Job job, double nowSeconds, double runtimeSeconds) {
    double earliestAtSeconds = Double.POSITIVE_INFINITY;
    for (double deadlineAtSeconds : completionDeadlinesSeconds(job)) {
      if (nowSeconds + runtimeSeconds <= deadlineAtSeconds) {
        earliestAtSeconds = Math.min(earliestAtSeconds, deadlineAtSeconds);
      }
    }
    return earliestAtSeconds;
  }

  /**
   * Returns the time by which the job must complete to meet the earliest objective that it can
   * still meet, in seconds of the monotonic clock; infinite if there is none. Includes objectives
   * for the start, so that a job that can still start in time is ordered before one that has missed
   * its start objective and has more time until its completion. By completion objectives alone, a
   * burst of jobs would be served in the order of arrival, and nearly every urgent job of it would
   * start late.
   *
   * <p>Start objectives count for gangs only. The tasks of other jobs start one by one, so these
   * jobs are ordered by completion; with start objectives, the widest arrays would be deferred too
   * early.
   */
  double nextReachableObjectiveSeconds(Job job, double nowSeconds, double runtimeSeconds) {
    double earliestAtSeconds = nextReachableDeadlineSeconds(job, nowSeconds, runtimeSeconds);
    if (job.spec().shape() != JobShape.GANG) {
      return earliestAtSeconds;
    }
    for (Objective objective : configuration.objectives()) {
      double startByAtSeconds = job.arrivedAtSeconds() + objective.withinSeconds();
      if (objective.applies(Kind.WAIT, job.spec().jobClass()) && nowSeconds <= startByAtSeconds) {
        earliestAtSeconds = Math.min(earliestAtSeconds, startByAtSeconds + runtimeSeconds);
      }
    }
    return earliestAtSeconds;
  }

  /**
   * Returns within how many seconds after arrival jobs of this class should start; infinite without
   * such an objective.
   */
  public double startObjectiveSeconds(JobSpec job) {
    double withinSeconds = Double.POSITIVE_INFINITY;
    for (Objective objective : configuration.objectives()) {
      if (objective.applies(Kind.WAIT, job.jobClass())) {
        withinSeconds = Math.min(withinSeconds, objective.withinSeconds());
      }
    }
    return withinSeconds;
  }

  /**
   * Returns the maximum acceptable price for a pending task, as a multiple of the cheapest
   * on-demand price. For a job with a reachable deadline it increases as the latest start time
   * approaches, so that a job with time left waits for a cheap machine.
   */
  public double maxPriceRatio(Job job, double nowSeconds, double runtimeSeconds) {
    // A starving best-effort job that may not use spot machines gets the ordinary ratio. Otherwise
    // it would wait forever once all on-demand machines are returned.
    if (job.bestEffort() && (job.spec().spotAllowed() || !job.isStarving(nowSeconds))) {
      return BEST_EFFORT_PRICE_RATIO;
    }
    double waitedSeconds = nowSeconds - job.arrivedAtSeconds();
    double deadlineAtSeconds = nextReachableDeadlineSeconds(job, nowSeconds, runtimeSeconds);
    if (Double.isInfinite(deadlineAtSeconds)) {
      return BASE_PRICE_RATIO + waitedSeconds / SECONDS_PER_PRICE_RATIO_STEP;
    }
    double startSlackSeconds =
        Math.max(1, deadlineAtSeconds - runtimeSeconds - job.arrivedAtSeconds());
    double slackUsedShare = waitedSeconds / startSlackSeconds;
    return RELAXED_PRICE_RATIO + URGENT_PRICE_RATIO_INCREASE * slackUsedShare * slackUsedShare;
  }

  /**
   * Returns the completion times that the objectives of the job's class demand. Without any,
   * returns the job's own deadline if it has one.
   */
  private List<Double> completionDeadlinesSeconds(Job job) {
    JobSpec spec = job.spec();
    List<Double> deadlines = new ArrayList<>();
    for (Objective objective : configuration.objectives()) {
      if (objective.applies(Kind.FINISHED, spec.jobClass())) {
        deadlines.add(job.arrivedAtSeconds() + objective.withinSeconds());
      } else if (objective.applies(Kind.DEADLINE, spec.jobClass())
          && spec.deadlineSeconds() != null) {
        deadlines.add(job.arrivedAtSeconds() + spec.deadlineSeconds() * objective.deadlineFactor());
      }
    }
    if (deadlines.isEmpty() && spec.deadlineSeconds() != null) {
      deadlines.add(job.deadlineAtSeconds());
    }
    return deadlines;
  }
}
