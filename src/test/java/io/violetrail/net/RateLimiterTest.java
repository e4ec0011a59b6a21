package io.violetrail.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RateLimiterTest {
  @Test
  void permitsAddedAboveBurstAreKeptWithoutRefill() {
    RateLimiter limiter = new RateLimiter(4, 4, 0);
    limiter.addPermits(3, 0);
    assertEquals(7, limiter.surplusAbove(0, 100), 1e-9);
    assertTrue(limiter.tryAcquire(4, 100));
    assertTrue(limiter.tryAcquire(3, 100));
    assertFalse(limiter.tryAcquire(1, 100));
    assertEquals(4, limiter.surplusAbove(0, 200), 1e-9);
  }

  @Test
  void permitsTakenForLendingAreMissingUntilRefilled() {
    RateLimiter limiter = new RateLimiter(4, 4, 0);
    limiter.acquireUnconditionally(limiter.surplusAbove(2, 0), 0);
    assertEquals(0, limiter.surplusAbove(2, 0), 1e-9);
    assertEquals(3, limiter.shortfall(5, 0), 1e-9);
    assertEquals(2, limiter.surplusAbove(2, 0.5), 1e-9);
  }

  @Test
  void reducedBurstCapsAvailablePermits() {
    RateLimiter limiter = new RateLimiter(9, 9, 0);
    limiter.setRateAndBurst(4, 0);
    assertEquals(4, limiter.surplusAbove(0, 0), 1e-9);
    assertEquals(4, limiter.surplusAbove(0, 100), 1e-9);
  }
}
