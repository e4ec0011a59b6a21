package io.violetrail.fleet;

import io.violetrail.scheduling.Job;

/**
 * Which work is kept off one machine, and until when: for a more urgent job that room is being made
 * for, for a transfer to another entity, or because others need what best-effort work would take.
 * All times are seconds of the steady clock; a reservation ends by itself.
 *
 * <p>Used by its {@link Machine} alone, on the event loop's thread. Lost in a crash without harm:
 * the next scheduling pass decides anew.
 */
final class MachineReservations {
  /** Null if no room is reserved. */
  private Job job;

  private double jobUntilSeconds;
  private double bestEffortBarredUntilSeconds;
  private double transferUntilSeconds = Double.NEGATIVE_INFINITY;

  void reserveForJob(Job urgentJob, double untilSeconds) {
    job = urgentJob;
    jobUntilSeconds = untilSeconds;
  }

  void barBestEffortUntil(double untilSeconds) {
    bestEffortBarredUntilSeconds = untilSeconds;
  }

  void reserveForTransferUntil(double untilSeconds) {
    transferUntilSeconds = untilSeconds;
  }

  Job job() {
    return job;
  }

  double jobUntilSeconds() {
    return jobUntilSeconds;
  }

  double bestEffortBarredUntilSeconds() {
    return bestEffortBarredUntilSeconds;
  }

  double transferUntilSeconds() {
    return transferUntilSeconds;
  }
}
