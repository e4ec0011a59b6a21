package io.violetrail.scheduling;

import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.Configuration;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Priority;
import io.violetrail.model.Shape;
import java.util.ArrayList;
import java.util.List;

/** When jobs are expected to be complete, by their deadlines and by the users' objectives. */
public final class Aims {
  /** Without a moment to be done by: at once this many times the cheapest ordinary price. */
  private static final double WORTH = 3;

  /** How often that worth is added again while a job waits, one unit for each such time. */
  private static final double WORTH_EVERY_S = 15;

  /** With one: at first any ordinary machine that is not much dearer than the cheapest. */
  private static final double WORTH_AT_EASE = 1.4;

  /** What is added to that factor at the last moment to start in time. */
  private static final double WORTH_PRESSED = 2;

  /** Spare work is worth what is cheaper than any ordinary machine, however long it waits. */
  private static final double WORTH_SPARE = 0.99;

  private final Configuration configuration;

  public Aims(Configuration configuration) {
    this.configuration = configuration;
  }

  /**
   * Whether nobody expects the job by any moment: of the lowest priority, of a team without a
   * guarantee, without a deadline or an objective for its class. It gets done in room that is there
   * anyway and on cheap machines; rented for like other work, it was paid for at the dearest price
   * once it had waited long.
   */
  public boolean spareWork(JobSpec job) {
    Team team = configuration.team(job.team());
    boolean guaranteed = team != null && (team.cpus() > 0 || team.gpus() > 0);
    return job.priority() == Priority.LOW
        && !guaranteed
        && job.deadlineS() == null
        && configuration.objectives().stream().noneMatch(o -> job.jobClass().equals(o.jobClass()));
  }

  /**
   * The first moment by which the job is expected to be complete and that it can still reach with
   * {@code runS} more seconds; infinite if there is none, so that what is lost makes way for what
   * is not.
   */
  public double nextDueS(Job job, double now, double runS) {
    double next = Double.POSITIVE_INFINITY;
    for (double due : duesS(job)) {
      if (now + runS <= due) {
        next = Math.min(next, due);
      }
    }
    return next;
  }

  /**
   * The moment by which the job is to be complete for the next thing that is expected of it, starts
   * counted as well: a job that still can start in time goes before one that has missed that and
   * has longer until the next. By ends alone, a burst was served in the order of arrival, and then
   * nearly every urgent job of it started late. An array starts task by task and goes by its end:
   * with starts, the widest made way too early.
   */
  double nextAimS(Job job, double now, double runS) {
    double next = nextDueS(job, now, runS);
    if (job.spec().shape() != Shape.GANG) {
      return next;
    }
    for (Objective o : configuration.objectives()) {
      double start = job.arrivedS() + o.withinS();
      if ("wait".equals(o.kind()) && job.spec().jobClass().equals(o.jobClass()) && now <= start) {
        next = Math.min(next, start + runS);
      }
    }
    return next;
  }

  /** Within how long after its arrival a job's class is expected to start; infinite if at ease. */
  public double startS(JobSpec job) {
    double start = Double.POSITIVE_INFINITY;
    for (Objective o : configuration.objectives()) {
      if ("wait".equals(o.kind()) && job.jobClass().equals(o.jobClass())) {
        start = Math.min(start, o.withinS());
      }
    }
    return start;
  }

  /**
   * How many times the cheapest ordinary price a waiting task is worth. With a moment to be done
   * by, that grows as the time to start in runs out: what has time left waits for a cheap place.
   */
  public double worth(Job job, double now, double runS) {
    // What may not use spot machines would wait for ever once all others are returned.
    if (job.spareWork() && (job.spec().spot() || !job.starving(now))) {
      return WORTH_SPARE;
    }
    double waited = now - job.arrivedS();
    double due = nextDueS(job, now, runS);
    if (Double.isInfinite(due)) {
      return WORTH + waited / WORTH_EVERY_S;
    }
    double toStart = Math.max(1, due - runS - job.arrivedS());
    double pressed = waited / toStart;
    return WORTH_AT_EASE + WORTH_PRESSED * pressed * pressed;
  }

  private List<Double> duesS(Job job) {
    List<Double> all = new ArrayList<>();
    for (Objective o : configuration.objectives()) {
      if (job.spec().jobClass().equals(o.jobClass())) {
        if ("finished".equals(o.kind())) {
          all.add(job.arrivedS() + o.withinS());
        } else if ("deadline".equals(o.kind()) && job.spec().deadlineS() != null) {
          all.add(job.arrivedS() + job.spec().deadlineS() * o.times());
        }
      }
    }
    if (all.isEmpty() && job.spec().deadlineS() != null) {
      all.add(job.deadlineS());
    }
    return all;
  }
}
