package io.violetrail.evidence;

/** Why a task is known not to be on a machine any more, so that it may start elsewhere. */
public enum TerminationEvidence {
  /** The decision was withdrawn before any worker was told. */
  NEVER_SENT,

  /** Its worker reports that it has ended. */
  REPORTED_ENDED,

  /** A report that is newer than the answer with its launch does not show it. */
  REPORT_WITHOUT_IT,

  /** Its worker is in a later session than the one in which it was launched. */
  LATER_SESSION,

  /** The lease of its worker is over, counted from the last answer that could have renewed it. */
  LEASE_OVER,

  /** The cloud has confirmed that it took the machine back. */
  RETURNED
}
