package io.violetrail.net;

/** A token bucket over the steady clock. */
public final class RateLimiter {
  private double permitsPerSecond;
  private double burst;
  private double permits;
  private double lastRefillSeconds;

  /**
   * Creates a full token bucket.
   *
   * @param permitsPerSecond tokens added per second
   * @param burst capacity, at least 1
   * @param nowSeconds steady clock reading, in seconds
   */
  public RateLimiter(double permitsPerSecond, double burst, double nowSeconds) {
    this.permitsPerSecond = permitsPerSecond;
    this.burst = Math.max(1, burst);
    this.permits = this.burst;
    this.lastRefillSeconds = nowSeconds;
  }

  /**
   * Takes {@code requested} if they are there. More than a burst goes through when the bucket is
   * full.
   */
  public boolean tryAcquire(double requested, double nowSeconds) {
    if (!canAcquire(requested, nowSeconds)) {
      return false;
    }
    permits -= requested;
    return true;
  }

  /** Takes {@code requested} whatever is there, for what cannot wait; later takers pay for it. */
  public void acquireUnconditionally(double requested, double nowSeconds) {
    refill(nowSeconds);
    permits -= requested;
  }

  /** Whether {@code requested} are there, or the bucket is full. */
  public boolean canAcquire(double requested, double nowSeconds) {
    refill(nowSeconds);
    return permits >= Math.min(requested, burst);
  }

  /** What is there beyond {@code reserved}. */
  public double surplusAbove(double reserved, double nowSeconds) {
    refill(nowSeconds);
    return Math.max(0, permits - reserved);
  }

  /** How much of {@code requested} is missing. */
  public double shortfall(double requested, double nowSeconds) {
    refill(nowSeconds);
    return Math.max(0, requested - permits);
  }

  /** Adds what another bucket has given up, above the burst if need be. */
  public void addPermits(double requested, double nowSeconds) {
    refill(nowSeconds);
    permits += requested;
  }

  /** What the bucket holds when it is full. */
  public double burst() {
    return burst;
  }

  /** Changes the rate and the burst from now on. */
  public void setRateAndBurst(double newPermitsPerSecond, double nowSeconds) {
    setRate(newPermitsPerSecond, nowSeconds);
    burst = Math.max(1, newPermitsPerSecond);
    // A smaller part begins with no more than its own: what was above it is the others' now.
    permits = Math.min(permits, burst);
  }

  /** Changes the rate from now on. */
  public void setRate(double newPermitsPerSecond, double nowSeconds) {
    refill(nowSeconds);
    permitsPerSecond = newPermitsPerSecond;
  }

  private void refill(double nowSeconds) {
    // What was added above the burst stays, and grows no further.
    permits =
        Math.max(
            permits,
            Math.min(burst, permits + (nowSeconds - lastRefillSeconds) * permitsPerSecond));
    lastRefillSeconds = nowSeconds;
  }
}
