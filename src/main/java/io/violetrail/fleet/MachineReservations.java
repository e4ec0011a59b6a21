package io.violetrail.fleet;

import io.violetrail.scheduling.Job;

/**
 * Which work is kept off one machine, and until when: all other jobs while tasks are preempted for
 * a more urgent job, all jobs before a transfer to another entity, and best-effort work while other
 * work needs the machine. All times are seconds of the monotonic clock; a reservation expires
 * without a further call.
 *
 * <p>Used only by its {@link Machine}, on the event loop's thread. Reservations need not survive a
 * crash: the next scheduling pass decides anew.
 */
final class MachineReservations {
  /** The more urgent job that tasks are preempted for; null if there is none. */
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
