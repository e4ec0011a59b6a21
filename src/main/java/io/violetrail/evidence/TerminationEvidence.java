package io.violetrail.evidence;

/**
 * The evidence that a task is not on a machine any more. Nothing else lets a placement be removed,
 * and only then may the task start elsewhere: without it, two attempts of one task could run at the
 * same time.
 */
public enum TerminationEvidence {
  /** The placement is withdrawn before any worker was sent its launch. */
  NEVER_SENT,

  /** The task's worker reports that it has exited (from {@code ReportReconciliation}). */
  REPORTED_ENDED,

  /**
   * A report that is newer than the reply with the task's launch does not show it (from {@code
   * ReportReconciliation}).
   */
  REPORT_WITHOUT_IT,

  /**
   * Its worker is in a later session than the one in which the task was launched (from {@code
   * ReportReconciliation}).
   */
  LATER_SESSION,

  /**
   * The lease of its worker has expired, counted from the last reply that could have renewed it
   * (from {@code MachineLivenessMonitor}).
   */
  LEASE_OVER,

  /** The cloud has confirmed the machine's return (from {@code EntityMachines}). */
  RETURNED
}
