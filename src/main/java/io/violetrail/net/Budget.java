package io.violetrail.net;

/** A token bucket over the steady clock. */
public final class Budget {
  private double perSecond;
  private final double burst;
  private double tokens;
  private double last;

  public Budget(double perSecond, double burst, double now) {
    this.perSecond = perSecond;
    this.burst = Math.max(1, burst);
    this.tokens = this.burst;
    this.last = now;
  }

  /** Takes {@code n} if they are there. More than a burst goes through when the bucket is full. */
  public boolean take(double n, double now) {
    refill(now);
    if (tokens < Math.min(n, burst)) {
      return false;
    }
    tokens -= n;
    return true;
  }

  /** Takes {@code n} whatever is there, for what cannot wait; later takers pay for it. */
  public void force(double n, double now) {
    refill(now);
    tokens -= n;
  }

  /** Changes the rate from now on. */
  public void rate(double newPerSecond, double now) {
    refill(now);
    perSecond = newPerSecond;
  }

  private void refill(double now) {
    tokens = Math.min(burst, tokens + (now - last) * perSecond);
    last = now;
  }
}
