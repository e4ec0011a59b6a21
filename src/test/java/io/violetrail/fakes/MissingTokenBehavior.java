package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * How a worker treats a reply without a fencing token. The protocol specifies that the worker drops
 * it; the workers of the incident of 2026-12 renewed their leases by it. Controllers must be safe
 * with both kinds of workers.
 */
public enum MissingTokenBehavior {
  /** Drops the reply, as the protocol specifies: it counts as lower than any token. */
  DROP_REPLY(-1),

  /** Treats the reply as one with the lowest token, 0. */
  TREAT_AS_LOWEST(0);

  private final long assumedToken;

  MissingTokenBehavior(long assumedToken) {
    this.assumedToken = assumedToken;
  }

  long tokenOf(ObjectNode answer) {
    return answer.path("baton").asLong(assumedToken);
  }
}
