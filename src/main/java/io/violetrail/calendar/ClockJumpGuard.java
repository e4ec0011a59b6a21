package io.violetrail.calendar;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices jumps of the time of day against the steady clock. After a jump beyond the bound that the
 * settings state, the time of day is not trusted for a moment: it may jump back, and schedules
 * would have fired too early. Exactly one run of each due time does not depend on this, since a
 * schedule's cursor only advances.
 */
final class ClockJumpGuard {
  private static final Logger LOG = LoggerFactory.getLogger(ClockJumpGuard.class);
  private static final long DISTRUST_MILLIS = 5_000;

  /** What two looks at the clocks may differ by beyond the bound on the time of day. */
  private static final long TOLERANCE_MILLIS = 1_000;

  private final long maxStepMillis;
  private long offsetMillis;
  private boolean offsetKnown;
  private long distrustedUntilMonotonicMillis;

  /**
   * Starts without a known offset.
   *
   * @param clockBoundSeconds how far the time of day may be wrong, either way
   */
  ClockJumpGuard(double clockBoundSeconds) {
    // The two clocks may part by twice the bound in one step: from one end of it to the other.
    this.maxStepMillis = (long) (2_000 * clockBoundSeconds) + TOLERANCE_MILLIS;
  }

  /** Takes a look at both clocks; false for a moment after a jump. */
  boolean isTrusted(long wallClockMillis, long monotonicMillis) {
    long newOffsetMillis = wallClockMillis - monotonicMillis;
    if (offsetKnown && Math.abs(newOffsetMillis - offsetMillis) > maxStepMillis) {
      LOG.info(
          "the time of day jumped by {} ms: no schedule is fired for {} ms",
          newOffsetMillis - offsetMillis,
          DISTRUST_MILLIS);
      distrustedUntilMonotonicMillis = monotonicMillis + DISTRUST_MILLIS;
    }
    offsetMillis = newOffsetMillis;
    offsetKnown = true;
    return monotonicMillis >= distrustedUntilMonotonicMillis;
  }
}
