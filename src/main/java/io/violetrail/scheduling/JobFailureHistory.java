package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.MachineId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The failures of a job. {@link FailureAttribution} marks a job as suspect if it fails on several
 * machines that are not quarantined and none of its tasks has succeeded on any machine. A suspect
 * job is still retried, since it was accepted and the machines may be at fault. But it is retried
 * with one probe at a time, and the whole job waits with exponential backoff.
 *
 * <p>Part of one {@link Job}, used on the event loop's thread. Lost with the process: for the next
 * owner the job is not suspect until it fails again.
 */
public final class JobFailureHistory {
  private static final double MAX_BACKOFF_SECONDS = 60;

  /** A job that has failed on this many machines no longer avoids any of them. */
  private static final int AVOIDED_MACHINES_LIMIT = 3;

  /**
   * Failures within this time of the first one count as one attempt, since many tasks of a wide job
   * start at the same time.
   */
  private static final double SAME_ATTEMPT_SECONDS = 1;

  /** A task is healthy if it runs this many times as long as the longest run that failed. */
  private static final double HEALTHY_RUN_FACTOR = 3;

  /** A lower bound, since heartbeats do not show starts and exits more precisely. */
  private static final double MIN_HEALTHY_RUN_SECONDS = 10;

  private final Map<MachineId, Machine> failedMachinesById = new HashMap<>();
  private int errorCount;
  private int failedAttemptCount;
  private double lastFailedAttemptAtSeconds = Double.NEGATIVE_INFINITY;
  private double backoffUntilSeconds = Double.NEGATIVE_INFINITY;
  private double longestFailedRunSeconds;
  private boolean suspect;

  /** Whether a task of the job was healthy or done after the job had failed. */
  private boolean proven;

  /**
   * Records that a task of the job has exited with an error, and extends the backoff.
   *
   * @param runSeconds how long the task ran; 0 if it was never reported as running
   */
  void recordFailure(Machine machine, double runSeconds, double nowSeconds) {
    errorCount++;
    failedMachinesById.put(machine.id(), machine);
    longestFailedRunSeconds = Math.max(longestFailedRunSeconds, runSeconds);
    if (nowSeconds - lastFailedAttemptAtSeconds > SAME_ATTEMPT_SECONDS) {
      failedAttemptCount++;
      lastFailedAttemptAtSeconds = nowSeconds;
    }
    backoffUntilSeconds =
        Math.max(
            backoffUntilSeconds,
            nowSeconds + Math.min(MAX_BACKOFF_SECONDS, Math.pow(2, failedAttemptCount)));
  }

  /**
   * Records that a task of the job is healthy or done, so that the earlier failures are attributed
   * to the machines. Ends the backoff.
   */
  void recordSuccess() {
    suspect = false;
    proven = true;
    failedAttemptCount = 0;
    backoffUntilSeconds = Double.NEGATIVE_INFINITY;
  }

  /**
   * Returns whether a task that has run for the given time is healthy; see {@link
   * #HEALTHY_RUN_FACTOR}.
   */
  boolean isHealthyRun(double runSeconds) {
    return runSeconds
        > Math.max(MIN_HEALTHY_RUN_SECONDS, HEALTHY_RUN_FACTOR * longestFailedRunSeconds);
  }

  /** Marks the job as suspect, since it fails on every machine, until {@link #recordSuccess}. */
  void markSuspect() {
    suspect = true;
  }

  /** Returns whether the job fails on every machine. */
  public boolean isSuspect() {
    return suspect;
  }

  /** Returns whether a task of the job was healthy or done after the job had failed. */
  boolean isProven() {
    return proven;
  }

  /** Returns how many times tasks of the job have exited with an error. */
  int errorCount() {
    return errorCount;
  }

  boolean hasFailures() {
    return !failedMachinesById.isEmpty();
  }

  /** Returns whether the job is suspect and the backoff before its next probe has not ended. */
  boolean isBackingOff(double nowSeconds) {
    return suspect && nowSeconds < backoffUntilSeconds;
  }

  /** Returns when a failed task may be retried, in seconds of the monotonic clock. */
  double retryAtSeconds() {
    return backoffUntilSeconds;
  }

  /** Returns on how many machines that are not quarantined the job has failed. */
  int countFailedMachinesNotQuarantined() {
    int count = 0;
    for (Machine machine : failedMachinesById.values()) {
      count += machine.isQuarantined() ? 0 : 1;
    }
    return count;
  }

  /**
   * Returns whether the job must not be placed on the machine again. That is so if it has failed
   * there and on fewer than {@link #AVOIDED_MACHINES_LIMIT} machines in all.
   */
  boolean avoidsMachine(MachineId machineId) {
    return failedMachinesById.size() < AVOIDED_MACHINES_LIMIT
        && failedMachinesById.containsKey(machineId);
  }

  List<Machine> failedMachines() {
    return List.copyOf(failedMachinesById.values());
  }
}
