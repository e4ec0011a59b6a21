package io.violetrail.evidence;

/** The kinds of replies to a worker's report, by their effect on the worker. */
public enum HeartbeatReplyKind {
  /** Renews the worker's lease, under the fencing token of the machine's owner. */
  RENEWED,

  /**
   * Keeps the worker reporting to this controller without renewing its lease, which continues to
   * run down.
   */
  STAY,

  /** Redirects the worker to another controller. */
  SENT_ELSEWHERE,

  /** Refuses the report for now, so that the worker tries the next controller. */
  REFUSED
}
