package io.violetrail.scheduling;

import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.Configuration;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Priority;
import java.util.ArrayList;
import java.util.List;

/** When jobs are expected to be complete, by their deadlines and by the users' objectives. */
public final class ServiceLevelObjectives {
  /** Without a moment to be done by: at once this many times the cheapest ordinary price. */
  private static final double BASE_PRICE_RATIO = 3;

  /** How often that worth is added again while a job waits, one unit for each such time. */
  private static final double SECONDS_PER_PRICE_RATIO_STEP = 15;

  /** With one: at first any ordinary machine that is not much dearer than the cheapest. */
  private static final double RELAXED_PRICE_RATIO = 1.4;

  /** What is added to that factor at the last moment to start in time. */
  private static final double URGENT_PRICE_RATIO_INCREASE = 2;

  /** Spare work is worth what is cheaper than any ordinary machine, however long it waits. */
  private static final double BEST_EFFORT_PRICE_RATIO = 0.99;

  private final Configuration configuration;

  public ServiceLevelObjectives(Configuration configuration) {
    this.configuration = configuration;
  }

  /**
   * Whether nobody expects the job by any moment: of the lowest priority, of a team without a
   * guarantee, without a deadline or an objective for its class. It gets done in room that is there
   * anyway and on cheap machines; rented for like other work, it was paid for at the dearest price
   * once it had waited long.
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
   * The first moment by which the job is expected to be complete and that it can still reach with
   * {@code runtimeSeconds} more seconds; infinite if there is none, so that what is lost makes way
   * for what is not.
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
   * The moment by which the job is to be complete for the next thing that is expected of it, starts
   * counted as well: a job that still can start in time goes before one that has missed that and
   * has longer until the next. By ends alone, a burst was served in the order of arrival, and then
   * nearly every urgent job of it started late. An array starts task by task and goes by its end:
   * with starts, the widest made way too early.
   */
  double nextReachableObjectiveSeconds(Job job, double nowSeconds, double runtimeSeconds) {
    double earliestAtSeconds = nextReachableDeadlineSeconds(job, nowSeconds, runtimeSeconds);
    if (job.spec().shape() != JobShape.GANG) {
      return earliestAtSeconds;
    }
    for (Objective objective : configuration.objectives()) {
      double startByAtSeconds = job.arrivedAtSeconds() + objective.withinSeconds();
      if ("wait".equals(objective.kind())
          && job.spec().jobClass().equals(objective.jobClass())
          && nowSeconds <= startByAtSeconds) {
        earliestAtSeconds = Math.min(earliestAtSeconds, startByAtSeconds + runtimeSeconds);
      }
    }
    return earliestAtSeconds;
  }

  /** Within how long after its arrival a job's class is expected to start; infinite if at ease. */
  public double startObjectiveSeconds(JobSpec job) {
    double withinSeconds = Double.POSITIVE_INFINITY;
    for (Objective objective : configuration.objectives()) {
      if ("wait".equals(objective.kind()) && job.jobClass().equals(objective.jobClass())) {
        withinSeconds = Math.min(withinSeconds, objective.withinSeconds());
      }
    }
    return withinSeconds;
  }

  /**
   * How many times the cheapest ordinary price a waiting task is worth. With a moment to be done
   * by, that grows as the time to start in runs out: what has time left waits for a cheap place.
   */
  public double maxPriceRatio(Job job, double nowSeconds, double runtimeSeconds) {
    // What may not use spot machines would wait for ever once all others are returned.
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

  private List<Double> completionDeadlinesSeconds(Job job) {
    List<Double> deadlines = new ArrayList<>();
    for (Objective objective : configuration.objectives()) {
      if (job.spec().jobClass().equals(objective.jobClass())) {
        if ("finished".equals(objective.kind())) {
          deadlines.add(job.arrivedAtSeconds() + objective.withinSeconds());
        } else if ("deadline".equals(objective.kind()) && job.spec().deadlineSeconds() != null) {
          deadlines.add(
              job.arrivedAtSeconds() + job.spec().deadlineSeconds() * objective.deadlineFactor());
        }
      }
    }
    if (deadlines.isEmpty() && job.spec().deadlineSeconds() != null) {
      deadlines.add(job.deadlineAtSeconds());
    }
    return deadlines;
  }
}
