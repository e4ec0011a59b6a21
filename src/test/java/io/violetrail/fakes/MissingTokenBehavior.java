package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What a worker makes of an answer that carries no token. The protocol says that it drops it; the
 * workers of the incident of 2026-12 renewed their leases by it. Controllers must be safe with
 * both.
 */
public enum MissingTokenBehavior {
  /** By the protocol: the answer is lower than any token. */
  DROP_REPLY(-1),

  /** The answer counts as one with the lowest token there is, 0. */
  TREAT_AS_LOWEST(0);

  private final long assumedToken;

  MissingTokenBehavior(long readAs) {
    this.assumedToken = readAs;
  }

  long tokenOf(ObjectNode answer) {
    return answer.path("baton").asLong(assumedToken);
  }
}
