package io.violetrail.evidence;

/**
 * The evidence that a task no longer runs on a machine. A placement may be removed only on such
 * evidence, and the task may start elsewhere only after that. Otherwise two attempts of one task
 * could run at the same time.
 */
public enum TerminationEvidence {
  /** The placement was withdrawn before the launch was sent to any worker. */
  NEVER_SENT,

  /** The task's worker reports that it has exited (from {@code ReportReconciliation}). */
  REPORTED_ENDED,

  /**
   * A report that is newer than the reply with the task's launch does not contain the task (from
   * {@code ReportReconciliation}).
   */
  REPORT_WITHOUT_IT,

  /**
   * The worker is in a later session than the one in which the task was launched (from {@code
   * ReportReconciliation}).
   */
  LATER_SESSION,

  /**
   * The worker's lease has expired, counted from the last reply that could have renewed it (from
   * {@code MachineLivenessMonitor}).
   */
  LEASE_OVER,

  /** The cloud has confirmed that the machine was returned (from {@code EntityMachines}). */
  RETURNED
}
