package io.violetrail.evidence;

/** What an answer to a worker's report does to the worker. */
public enum HeartbeatReplyKind {
  /** Its lease is renewed, by the token of its machine's owner. */
  RENEWED,

  /** It goes on reporting here, and its lease runs on. */
  STAY,

  /** It is to report to another controller. */
  SENT_ELSEWHERE,

  /** It is not answered for now and tries the next controller. */
  REFUSED
}
