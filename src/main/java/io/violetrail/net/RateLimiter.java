package io.violetrail.net;

/** A token bucket. Callers pass the current reading of the monotonic clock, in seconds. */
public final class RateLimiter {
  private double permitsPerSecond;
  private double burst;
  private double permits;
  private double lastRefillSeconds;

  /**
   * Creates a full token bucket.
   *
   * @param permitsPerSecond permits added per second
   * @param burst capacity, at least 1
   * @param nowSeconds monotonic clock reading, in seconds
   */
  public RateLimiter(double permitsPerSecond, double burst, double nowSeconds) {
    this.permitsPerSecond = permitsPerSecond;
    this.burst = Math.max(1, burst);
    this.permits = this.burst;
    this.lastRefillSeconds = nowSeconds;
  }

  /**
   * Takes the requested permits if they are available and returns whether it did. A request for
   * more than the burst succeeds when the bucket is full, which leaves a negative number of
   * permits.
   */
  public boolean tryAcquire(double requested, double nowSeconds) {
    if (!canAcquire(requested, nowSeconds)) {
      return false;
    }
    permits -= requested;
    return true;
  }

  /**
   * Takes the requested permits even if they are not available, for requests that cannot wait. The
   * number of permits may become negative, which delays later requests.
   */
  public void acquireUnconditionally(double requested, double nowSeconds) {
    refill(nowSeconds);
    permits -= requested;
  }

  /** Returns whether the requested permits are available or the bucket is full. */
  public boolean canAcquire(double requested, double nowSeconds) {
    refill(nowSeconds);
    return permits >= Math.min(requested, burst);
  }

  /** Returns the number of available permits above {@code reserved}, at least 0. */
  public double surplusAbove(double reserved, double nowSeconds) {
    refill(nowSeconds);
    return Math.max(0, permits - reserved);
  }

  /** Returns how many of the requested permits are not available, at least 0. */
  public double shortfall(double requested, double nowSeconds) {
    refill(nowSeconds);
    return Math.max(0, requested - permits);
  }

  /** Adds permits that were taken from another bucket. The total may exceed the burst. */
  public void addPermits(double added, double nowSeconds) {
    refill(nowSeconds);
    permits += added;
  }

  /** Returns the capacity of the bucket. */
  public double burst() {
    return burst;
  }

  /** Sets the rate, and the burst to the permits of one second, at least 1. */
  public void setRateAndBurst(double newPermitsPerSecond, double nowSeconds) {
    setRate(newPermitsPerSecond, nowSeconds);
    burst = Math.max(1, newPermitsPerSecond);
    // When this controller's share shrinks, the permits above its new burst belong to the other
    // controllers.
    permits = Math.min(permits, burst);
  }

  /** Sets the rate from the given time on. The burst stays unchanged. */
  public void setRate(double newPermitsPerSecond, double nowSeconds) {
    refill(nowSeconds);
    permitsPerSecond = newPermitsPerSecond;
  }

  private void refill(double nowSeconds) {
    // Permits above the burst, which addPermits may have added, are kept but are not increased.
    permits =
        Math.max(
            permits,
            Math.min(burst, permits + (nowSeconds - lastRefillSeconds) * permitsPerSecond));
    lastRefillSeconds = nowSeconds;
  }
}
