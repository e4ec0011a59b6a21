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
 * When jobs are expected to start and to be complete, by their deadlines and by the users'
 * service-level objectives, and what they are worth while they wait.
 *
 * <p>Called on the event loop's thread; has no state, the objectives are read from the
 * configuration each time.
 */
public final class ServiceLevelObjectives {
  /** The worth of a job without a reachable deadline, as a price ratio, when it arrives. */
  private static final double BASE_PRICE_RATIO = 3;

  /** A job without a reachable deadline is worth 1 more for each such time that it waits. */
  private static final double SECONDS_PER_PRICE_RATIO_STEP = 15;

  /**
   * The worth of a job with a reachable deadline, when it arrives: ordinary machines that are not
   * much more expensive than the cheapest.
   */
  private static final double RELAXED_PRICE_RATIO = 1.4;

  /** What is added to {@link #RELAXED_PRICE_RATIO} by the last moment to start in time. */
  private static final double URGENT_PRICE_RATIO_INCREASE = 2;

  /** Best-effort work is worth less than any ordinary machine, however long it waits. */
  private static final double BEST_EFFORT_PRICE_RATIO = 0.99;

  private final Configuration configuration;

  /** Reads objectives and teams from the configuration. */
  public ServiceLevelObjectives(Configuration configuration) {
    this.configuration = configuration;
  }

  /**
   * Whether the job is best effort: of the lowest priority, of a team without a guaranteed quota,
   * without a deadline or an objective for its class. It runs in room that is there anyway and on
   * spot machines. If machines were scaled out for it as for other work, it would be paid for at
   * the highest price once it had waited long.
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
   * The first of the job's deadlines that it can still meet with {@code runtimeSeconds} more
   * seconds, in seconds of the monotonic clock; infinite if there is none, so that jobs that are
   * late in any case make way for those that are not.
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
   * The moment by which the job is to be complete to meet the next objective that it can still
   * meet, those for its start included: a job that can still start in time goes before one that has
   * missed its start and has longer until its end. By ends alone, a burst would be served in the
   * order of arrival, and nearly every urgent job of it would start late.
   *
   * <p>Starts count for gangs only. An array starts task by task and goes by its end; if starts
   * counted, the widest arrays would make way too early.
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

  /** Within how long after arrival jobs of this class are to start; infinite if not stated. */
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
   * How many times the cheapest ordinary price a pending task is worth. With a reachable deadline
   * that grows as the time left to start in time runs out: a job with time left waits for a cheap
   * machine.
   */
  public double maxPriceRatio(Job job, double nowSeconds, double runtimeSeconds) {
    // A starving job that may not use spot machines is worth more: it would wait for ever once all
    // ordinary machines are returned.
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

  /** By the objectives of its class; its own deadline counts if there is none. */
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
