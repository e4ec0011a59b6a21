package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Attributes task failures either to the machine or to the job. A machine is quarantined if jobs
 * fail there that succeed on other machines. A job is suspect if it fails on several machines and
 * has succeeded on none; its failures then count little against machines. Otherwise, faulty jobs
 * would cause one healthy machine after the other to be drained.
 *
 * <p>Called on the event loop's thread; has no state. The failures are kept in {@link Machine} and
 * {@link JobFailureHistory} and are lost with the process.
 */
public final class FailureAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FailureAttribution.class);

  /**
   * The sum of the evidence at which a machine is quarantined. Each failed job that succeeds on
   * other machines adds 1.
   */
  private static final double QUARANTINE_EVIDENCE = 2;

  /**
   * The evidence of a failed job that has not succeeded on any machine yet: four such jobs are
   * unlikely to be a coincidence.
   */
  private static final double UNPROVEN_JOB_EVIDENCE = 0.5;

  /** The evidence of a failed job that is suspect itself: eight such jobs are needed. */
  private static final double SUSPECT_JOB_EVIDENCE = 0.25;

  /**
   * A single job that succeeds on other machines suffices for a quarantine if it has failed on the
   * machine this often.
   */
  private static final int FAILURES_TO_QUARANTINE = 3;

  private static final double ROUNDING_TOLERANCE = 1e-9;

  private FailureAttribution() {}

  /**
   * Records that a task has exited with an error, and updates whether its job is suspect and which
   * machines are quarantined.
   *
   * @param runSeconds how long the task ran; 0 if it was never reported as running
   */
  public static void recordFailure(Machine machine, Job job, double runSeconds, double nowSeconds) {
    job.failureHistory().recordFailure(machine, runSeconds, nowSeconds);
    machine.countFailure(job);
    updateQuarantine(machine);
    if (isUnproven(job)
        && !job.failureHistory().isSuspect()
        && job.failureHistory().countFailedMachinesNotQuarantined() >= 2) {
      job.failureHistory().markSuspect();
      LOG.info(
          "job {} is suspect: it fails on every machine; retrying with one probe at a time",
          job.spec().id());
      job.failureHistory().failedMachines().forEach(FailureAttribution::updateQuarantine);
    }
  }

  /**
   * Records that a task is done. This clears the failures of its machine, and is evidence against
   * the machines on which its job has failed.
   */
  public static void recordSuccess(Machine machine, Job job) {
    machine.clearFailures();
    if (job.failureHistory().hasFailures()) {
      markJobProven(job);
    }
  }

  /**
   * Records that a task is running. A task that has run for long enough is as good a proof of its
   * job as a task that is done.
   */
  public static void recordRunning(Job job, double runSeconds) {
    if (job.failureHistory().hasFailures()
        && !job.failureHistory().isProven()
        && job.failureHistory().isHealthyRun(runSeconds)) {
      markJobProven(job);
    }
  }

  private static void markJobProven(Job job) {
    job.failureHistory().recordSuccess();
    job.retries().retryAllAtOnce();
    job.failureHistory().failedMachines().forEach(FailureAttribution::updateQuarantine);
  }

  /**
   * Returns whether no task of the job is done yet, and none has run long enough to be healthy
   * since the job first failed.
   */
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
    if (quarantined && !machine.isQuarantined()) {
      LOG.info(
          "machine {} quarantined: jobs that succeed elsewhere, or several other jobs, fail on it",
          machine.id());
      machine.startDraining();
    } else if (!quarantined && machine.isQuarantined() && !machine.isReturning()) {
      LOG.info(
          "machine {} no longer quarantined: the jobs that failed there fail on every machine",
          machine.id());
      machine.stopDraining();
    }
    machine.setQuarantined(quarantined);
  }
}
