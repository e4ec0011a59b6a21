package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whose fault a failed task is: its machine's or its job's. Jobs that were submitted with a mistake
 * fail everywhere, and once drained good machines wave after wave.
 */
public final class Blame {
  private static final Logger LOG = LoggerFactory.getLogger(Blame.class);

  /** So much evidence, one for each job that runs well elsewhere, and a machine is out of use. */
  private static final double SICK = 2;

  /** A job that has not run well anywhere yet says less: four of them are no accident. */
  private static final double UNPROVEN_SAYS = 0.5;

  /** The weight of a job that is itself suspect; eight of them are needed. */
  private static final double SUSPECT_SAYS = 0.25;

  /** So many failures of a job that runs well elsewhere are the machine's. */
  private static final int FAILURES = 3;

  private Blame() {}

  /** A task has ended with an error. */
  public static void failed(Machine m, Job job, double ranS, double now) {
    job.trial().failed(m, ranS, now);
    m.countFailure(job);
    judge(m);
    if (unproven(job) && !job.trial().suspect() && job.trial().machinesInUse() >= 2) {
      job.trial().suspect(true);
      LOG.info("job {} fails wherever it goes: one probe at a time", job.spec().id());
      job.trial().machines().forEach(Blame::judge);
    }
  }

  /** A task has ended well: that clears its machine, and convicts those on which its job failed. */
  public static void endedWell(Machine m, Job job) {
    m.clearFailures();
    if (job.trial().failedAnywhere()) {
      cleared(job);
    }
  }

  /** A task runs: for long enough, that says as much as if it had ended well. */
  public static void runs(Job job, double ranS) {
    if (job.trial().failedAnywhere() && !job.trial().proven() && job.trial().runsWell(ranS)) {
      cleared(job);
    }
  }

  private static void cleared(Job job) {
    job.trial().endedWell();
    job.retryAllAtOnce();
    job.trial().machines().forEach(Blame::judge);
  }

  /** Whether nothing of the job has run well anywhere yet. */
  private static boolean unproven(Job job) {
    return job.doneCount() == 0 && !job.trial().proven();
  }

  private static void judge(Machine m) {
    double evidence = 0;
    for (var e : m.failures().entrySet()) {
      Job job = e.getKey();
      if (job.trial().suspect()) {
        evidence += SUSPECT_SAYS;
      } else if (unproven(job)) {
        evidence += UNPROVEN_SAYS;
      } else {
        evidence += e.getValue() >= FAILURES ? SICK : 1;
      }
    }
    boolean sick = evidence >= SICK - 1e-9;
    if (sick && !m.sick()) {
      LOG.info("machine {} fails what it starts: out of use", m.id());
      m.setDraining(true);
    } else if (!sick && m.sick() && !m.returning()) {
      LOG.info("machine {} is in use again: the jobs that failed there fail everywhere", m.id());
      m.setDraining(false);
    }
    m.setSick(sick);
  }
}
