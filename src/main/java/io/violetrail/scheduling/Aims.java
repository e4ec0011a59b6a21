package io.violetrail.scheduling;

import io.violetrail.config.Settings.Objective;
import java.util.ArrayList;
import java.util.List;

/** When jobs are expected to be complete, by their deadlines and by the users' objectives. */
public final class Aims {
  private final List<Objective> objectives;

  public Aims(List<Objective> objectives) {
    this.objectives = objectives;
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

  private List<Double> duesS(Job job) {
    List<Double> all = new ArrayList<>();
    for (Objective o : objectives) {
      if (job.spec.jobClass().equals(o.jobClass())) {
        if ("finished".equals(o.kind())) {
          all.add(job.arrivedS + o.withinS());
        } else if ("deadline".equals(o.kind()) && job.spec.deadlineS() != null) {
          all.add(job.arrivedS + job.spec.deadlineS() * o.times());
        }
      }
    }
    if (all.isEmpty() && job.spec.deadlineS() != null) {
      all.add(job.deadlineS());
    }
    return all;
  }
}
