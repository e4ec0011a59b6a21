package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.MachineId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the failures of a job say, by contrast: a job of which nothing has ended well anywhere, and
 * that fails on several machines that are not themselves out of use, is suspect. It was accepted
 * and the fault may yet be the machines', so it keeps being tried, but one probe at a time and
 * after ever longer pauses of the whole job.
 */
public final class JobFailureHistory {
  private static final double MAX_BACKOFF_SECONDS = 60;

  /** Failures this close together come of one try: tasks of a wide job start side by side. */
  private static final double SAME_TRY_SECONDS = 1;

  /** A task that runs for so many times as long as any that failed runs well. */
  private static final double HEALTHY_RUN_FACTOR = 3;

  /** Reports show starts and ends only so exactly. */
  private static final double MIN_HEALTHY_RUN_SECONDS = 10;

  private final Map<MachineId, Machine> failedMachinesById = new HashMap<>();
  private int tryCount;
  private double lastTryAtSeconds = Double.NEGATIVE_INFINITY;
  private double backoffUntilSeconds = Double.NEGATIVE_INFINITY;
  private double longestFailedRunSeconds;
  private boolean suspect;
  private boolean proven;

  /** A task of the job has failed there after so long. */
  void recordFailure(Machine machine, double ranSeconds, double nowSeconds) {
    failedMachinesById.put(machine.id(), machine);
    longestFailedRunSeconds = Math.max(longestFailedRunSeconds, ranSeconds);
    if (nowSeconds - lastTryAtSeconds > SAME_TRY_SECONDS) {
      tryCount++;
      lastTryAtSeconds = nowSeconds;
    }
    backoffUntilSeconds =
        Math.max(
            backoffUntilSeconds, nowSeconds + Math.min(MAX_BACKOFF_SECONDS, Math.pow(2, tryCount)));
  }

  /** A task of the job runs well: what failed was its machine's doing. */
  void recordSuccess() {
    suspect = false;
    proven = true;
    tryCount = 0;
    backoffUntilSeconds = Double.NEGATIVE_INFINITY;
  }

  /** A probe has run for longer than any failure took, so others may follow. */
  boolean isHealthyRun(double ranSeconds) {
    return ranSeconds
        > Math.max(MIN_HEALTHY_RUN_SECONDS, HEALTHY_RUN_FACTOR * longestFailedRunSeconds);
  }

  void setSuspect(boolean suspectNow) {
    suspect = suspectNow;
  }

  public boolean isSuspect() {
    return suspect;
  }

  /** It has run well somewhere after it had failed. */
  boolean isProven() {
    return proven;
  }

  public boolean hasFailures() {
    return !failedMachinesById.isEmpty();
  }

  /** Whether the whole job waits before it is tried again. */
  boolean isBackingOff(double nowSeconds) {
    return suspect && nowSeconds < backoffUntilSeconds;
  }

  /** When a single task that failed may be tried again. */
  double retryAtSeconds() {
    return backoffUntilSeconds;
  }

  /** Machines on which it failed, as long as they are not out of use for that. */
  int countMachinesInUse() {
    int count = 0;
    for (Machine machine : failedMachinesById.values()) {
      count += machine.quarantined() ? 0 : 1;
    }
    return count;
  }

  /** A machine on which it failed gets it again only once it has failed in several places. */
  boolean avoidsMachine(MachineId machineId) {
    return failedMachinesById.size() < 3 && failedMachinesById.containsKey(machineId);
  }

  List<Machine> failedMachines() {
    return List.copyOf(failedMachinesById.values());
  }
}
