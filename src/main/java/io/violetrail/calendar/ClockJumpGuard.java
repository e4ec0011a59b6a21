package io.violetrail.calendar;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects jumps of the wall clock relative to the monotonic clock. After a jump beyond the clock
 * error bound of the settings, the wall clock is not trusted for 5 s: it may jump back, and
 * schedules would have been fired too early. The guarantee of exactly one run for each due time
 * does not depend on this guard, since a schedule's cursor only advances.
 */
final class ClockJumpGuard {
  private static final Logger LOG = LoggerFactory.getLogger(ClockJumpGuard.class);
  private static final long UNTRUSTED_PERIOD_MILLIS = 5_000;

  /** The allowed change of the clocks' offset between two readings, beyond the error bound. */
  private static final long TOLERANCE_MILLIS = 1_000;

  private final long maxOffsetChangeMillis;
  private long offsetMillis;
  private boolean offsetKnown;
  private long untrustedUntilMonotonicMillis;

  /**
   * Creates a guard without a known offset; the first reading is never a jump.
   *
   * @param clockErrorBoundSeconds the maximum error of the wall clock in either direction
   */
  ClockJumpGuard(double clockErrorBoundSeconds) {
    // The offset may change by twice the bound: from one end of the error range to the other.
    this.maxOffsetChangeMillis = (long) (2_000 * clockErrorBoundSeconds) + TOLERANCE_MILLIS;
  }

  /**
   * Records a reading of both clocks.
   *
   * @return false if this reading shows a jump, or for 5 s of monotonic time after one
   */
  boolean isTrusted(long wallClockMillis, long monotonicMillis) {
    long newOffsetMillis = wallClockMillis - monotonicMillis;
    if (offsetKnown && Math.abs(newOffsetMillis - offsetMillis) > maxOffsetChangeMillis) {
      LOG.info(
          "the wall clock jumped by {} ms; no schedule is fired for the next {} ms",
          newOffsetMillis - offsetMillis,
          UNTRUSTED_PERIOD_MILLIS);
      untrustedUntilMonotonicMillis = monotonicMillis + UNTRUSTED_PERIOD_MILLIS;
    }
    offsetMillis = newOffsetMillis;
    offsetKnown = true;
    return monotonicMillis >= untrustedUntilMonotonicMillis;
  }
}
