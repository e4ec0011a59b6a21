package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Attributes failures of tasks to their machines or to their jobs, by contrast: a machine on which
 * jobs fail that run well elsewhere is quarantined; a job that fails on several machines is
 * suspect, and its failures count little against machines. Without the latter, jobs that were
 * submitted with a mistake would drain one good machine after the other.
 *
 * <p>Called on the event loop's thread; has no state. The evidence is kept in {@link Machine} and
 * {@link JobFailureHistory} and is lost with the process.
 */
public final class FailureAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FailureAttribution.class);

  /** With so much evidence, one for each job that runs well elsewhere, a machine is quarantined. */
  private static final double QUARANTINE_EVIDENCE = 2;

  /** Of a job that has not run well anywhere yet: four of them are no coincidence. */
  private static final double UNPROVEN_JOB_EVIDENCE = 0.5;

  /** Of a job that is itself suspect: eight of them are needed. */
  private static final double SUSPECT_JOB_EVIDENCE = 0.25;

  /** So many failures of one job that runs well elsewhere are enough by themselves. */
  private static final int FAILURES_TO_QUARANTINE = 3;

  private static final double ROUNDING_TOLERANCE = 1e-9;

  private FailureAttribution() {}

  /**
   * A task has exited with an error.
   *
   * @param ranSeconds how long it ran; 0 if it was never seen running
   */
  public static void recordFailure(Machine machine, Job job, double ranSeconds, double nowSeconds) {
    job.failureHistory().recordFailure(machine, ranSeconds, nowSeconds);
    machine.countFailure(job);
    updateQuarantine(machine);
    if (isUnproven(job)
        && !job.failureHistory().isSuspect()
        && job.failureHistory().countFailedMachinesInUse() >= 2) {
      job.failureHistory().markSuspect();
      LOG.info(
          "job {} is suspect, it fails on every machine: one probe at a time", job.spec().id());
      job.failureHistory().failedMachines().forEach(FailureAttribution::updateQuarantine);
    }
  }

  /** A task is done: that clears its machine, and counts against those on which its job failed. */
  public static void recordSuccess(Machine machine, Job job) {
    machine.clearFailures();
    if (job.failureHistory().hasFailures()) {
      markJobProven(job);
    }
  }

  /** A task runs; if for long enough, that says as much as if it were done. */
  public static void recordRunning(Job job, double ranSeconds) {
    if (job.failureHistory().hasFailures()
        && !job.failureHistory().isProven()
        && job.failureHistory().isHealthyRun(ranSeconds)) {
      markJobProven(job);
    }
  }

  private static void markJobProven(Job job) {
    job.failureHistory().recordSuccess();
    job.retries().retryAllAtOnce();
    job.failureHistory().failedMachines().forEach(FailureAttribution::updateQuarantine);
  }

  /** Whether no task of the job is done or was healthy anywhere yet. */
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
    boolean quarantined = evidence >= QUARANTINE_EVIDENCE - ROUNDING_TOLERANCE;
    if (quarantined && !machine.quarantined()) {
      LOG.info(
          "machine {} quarantined: it fails jobs that run well elsewhere, or several others",
          machine.id());
      machine.startDraining();
    } else if (!quarantined && machine.quarantined() && !machine.returning()) {
      LOG.info(
          "machine {} no longer quarantined: the jobs that failed there fail everywhere",
          machine.id());
      machine.stopDraining();
    }
    machine.setQuarantined(quarantined);
  }
}
