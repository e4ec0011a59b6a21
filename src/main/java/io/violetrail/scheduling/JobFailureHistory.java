package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.MachineId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A job's failures and what they say about it. {@link FailureAttribution} makes a job suspect of
 * which no task has succeeded anywhere and that fails on several machines that are not quarantined.
 * It was accepted, and the fault may still be the machines', so it keeps being retried, but one
 * probe at a time and with exponential backoff of the whole job.
 *
 * <p>Part of one {@link Job}, used on the event loop's thread; lost with the process: the next
 * owner trusts the job again until it fails.
 */
public final class JobFailureHistory {
  private static final double MAX_BACKOFF_SECONDS = 60;

  /** Having failed on so many machines a job avoids none of them any longer. */
  private static final int AVOIDED_MACHINES_LIMIT = 3;

  /** Failures this close together count as one attempt: tasks of a wide job start side by side. */
  private static final double SAME_ATTEMPT_SECONDS = 1;

  /** A task that runs for so many times as long as any that failed is healthy. */
  private static final double HEALTHY_RUN_FACTOR = 3;

  /** Heartbeats show starts and exits no more precisely. */
  private static final double MIN_HEALTHY_RUN_SECONDS = 10;

  private final Map<MachineId, Machine> failedMachinesById = new HashMap<>();
  private int errorCount;
  private int failedAttemptCount;
  private double lastFailedAttemptAtSeconds = Double.NEGATIVE_INFINITY;
  private double backoffUntilSeconds = Double.NEGATIVE_INFINITY;
  private double longestFailedRunSeconds;
  private boolean suspect;

  /** A task of the job was healthy after the job had failed. */
  private boolean proven;

  /**
   * A task of the job has failed by an error of its own, which extends the backoff.
   *
   * @param ranSeconds how long it ran; 0 if it was never seen running
   */
  void recordFailure(Machine machine, double ranSeconds, double nowSeconds) {
    errorCount++;
    failedMachinesById.put(machine.id(), machine);
    longestFailedRunSeconds = Math.max(longestFailedRunSeconds, ranSeconds);
    if (nowSeconds - lastFailedAttemptAtSeconds > SAME_ATTEMPT_SECONDS) {
      failedAttemptCount++;
      lastFailedAttemptAtSeconds = nowSeconds;
    }
    backoffUntilSeconds =
        Math.max(
            backoffUntilSeconds,
            nowSeconds + Math.min(MAX_BACKOFF_SECONDS, Math.pow(2, failedAttemptCount)));
  }

  /** A task of the job is healthy or done: the failures before were the machines'. */
  void recordSuccess() {
    suspect = false;
    proven = true;
    failedAttemptCount = 0;
    backoffUntilSeconds = Double.NEGATIVE_INFINITY;
  }

  /** Whether a task has run for so much longer than any that failed that it counts as healthy. */
  boolean isHealthyRun(double ranSeconds) {
    return ranSeconds
        > Math.max(MIN_HEALTHY_RUN_SECONDS, HEALTHY_RUN_FACTOR * longestFailedRunSeconds);
  }

  /** The job fails wherever it runs; this ends with {@link #recordSuccess}. */
  void markSuspect() {
    suspect = true;
  }

  /** Whether the job fails wherever it runs. */
  public boolean isSuspect() {
    return suspect;
  }

  /** Whether a task of it was healthy somewhere after the job had failed. */
  boolean isProven() {
    return proven;
  }

  /** How many times tasks of the job have failed by an error of their own. */
  int errorCount() {
    return errorCount;
  }

  boolean hasFailures() {
    return !failedMachinesById.isEmpty();
  }

  /** Whether the whole job waits before its next probe. */
  boolean isBackingOff(double nowSeconds) {
    return suspect && nowSeconds < backoffUntilSeconds;
  }

  /** When a task that has failed may be retried. */
  double retryAtSeconds() {
    return backoffUntilSeconds;
  }

  /** On how many machines it has failed that are not quarantined. */
  int countFailedMachinesInUse() {
    int count = 0;
    for (Machine machine : failedMachinesById.values()) {
      count += machine.quarantined() ? 0 : 1;
    }
    return count;
  }

  /**
   * Whether the machine is not given the job again: it has failed there, and not on several other
   * machines as well.
   */
  boolean avoidsMachine(MachineId machineId) {
    return failedMachinesById.size() < AVOIDED_MACHINES_LIMIT
        && failedMachinesById.containsKey(machineId);
  }

  List<Machine> failedMachines() {
    return List.copyOf(failedMachinesById.values());
  }
}
