package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whose fault a failed task is: its machine's or its job's. Jobs that were submitted with a mistake
 * fail everywhere, and once drained good machines wave after wave.
 */
public final class FailureAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FailureAttribution.class);

  /** So much evidence, one for each job that runs well elsewhere, and a machine is out of use. */
  private static final double QUARANTINE_EVIDENCE = 2;

  /** A job that has not run well anywhere yet says less: four of them are no accident. */
  private static final double UNPROVEN_JOB_EVIDENCE = 0.5;

  /** The weight of a job that is itself suspect; eight of them are needed. */
  private static final double SUSPECT_JOB_EVIDENCE = 0.25;

  /** So many failures of a job that runs well elsewhere are the machine's. */
  private static final int FAILURES_TO_QUARANTINE = 3;

  private FailureAttribution() {}

  /** A task has ended with an error. */
  public static void recordFailure(Machine machine, Job job, double ranSeconds, double nowSeconds) {
    job.failureHistory().recordFailure(machine, ranSeconds, nowSeconds);
    machine.countFailure(job);
    updateQuarantine(machine);
    if (isUnproven(job)
        && !job.failureHistory().isSuspect()
        && job.failureHistory().countMachinesInUse() >= 2) {
      job.failureHistory().setSuspect(true);
      LOG.info("job {} fails wherever it goes: one probe at a time", job.spec().id());
      job.failureHistory().failedMachines().forEach(FailureAttribution::updateQuarantine);
    }
  }

  /** A task has ended well: that clears its machine, and convicts those on which its job failed. */
  public static void recordSuccess(Machine machine, Job job) {
    machine.clearFailures();
    if (job.failureHistory().hasFailures()) {
      markJobProven(job);
    }
  }

  /** A task runs: for long enough, that says as much as if it had ended well. */
  public static void recordRunning(Job job, double ranSeconds) {
    if (job.failureHistory().hasFailures()
        && !job.failureHistory().isProven()
        && job.failureHistory().isHealthyRun(ranSeconds)) {
      markJobProven(job);
    }
  }

  private static void markJobProven(Job job) {
    job.failureHistory().recordSuccess();
    job.retryAllAtOnce();
    job.failureHistory().failedMachines().forEach(FailureAttribution::updateQuarantine);
  }

  /** Whether nothing of the job has run well anywhere yet. */
  private static boolean isUnproven(Job job) {
    return job.doneCount() == 0 && !job.failureHistory().isProven();
  }

  private static void updateQuarantine(Machine machine) {
    double evidence = 0;
    for (var failuresOfJob : machine.failuresByJob().entrySet()) {
      Job job = failuresOfJob.getKey();
      if (job.failureHistory().isSuspect()) {
        evidence += SUSPECT_JOB_EVIDENCE;
      } else if (isUnproven(job)) {
        evidence += UNPROVEN_JOB_EVIDENCE;
      } else {
        evidence += failuresOfJob.getValue() >= FAILURES_TO_QUARANTINE ? QUARANTINE_EVIDENCE : 1;
      }
    }
    boolean quarantined = evidence >= QUARANTINE_EVIDENCE - 1e-9;
    if (quarantined && !machine.quarantined()) {
      LOG.info("machine {} fails what it starts: out of use", machine.id());
      machine.startDraining();
    } else if (!quarantined && machine.quarantined() && !machine.returning()) {
      LOG.info(
          "machine {} is in use again: the jobs that failed there fail everywhere", machine.id());
      machine.stopDraining();
    }
    machine.setQuarantined(quarantined);
  }
}
