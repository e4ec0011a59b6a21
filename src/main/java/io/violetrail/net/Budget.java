package io.violetrail.net;

/** A token bucket over the steady clock. */
public final class Budget {
  private double perSecond;
  private double burst;
  private double tokens;
  private double last;

  /**
   * Creates a full token bucket.
   *
   * @param perSecond tokens added per second
   * @param burst capacity, at least 1
   * @param now steady clock reading, in seconds
   */
  public Budget(double perSecond, double burst, double now) {
    this.perSecond = perSecond;
    this.burst = Math.max(1, burst);
    this.tokens = this.burst;
    this.last = now;
  }

  /** Takes {@code n} if they are there. More than a burst goes through when the bucket is full. */
  public boolean take(double n, double now) {
    if (!has(n, now)) {
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

  /** Whether {@code n} are there, or the bucket is full. */
  public boolean has(double n, double now) {
    refill(now);
    return tokens >= Math.min(n, burst);
  }

  /** What is there beyond {@code keep}. */
  public double spare(double keep, double now) {
    refill(now);
    return Math.max(0, tokens - keep);
  }

  /** How much of {@code n} is missing. */
  public double lacking(double n, double now) {
    refill(now);
    return Math.max(0, n - tokens);
  }

  /** Adds what another bucket has given up, above the burst if need be. */
  public void add(double n, double now) {
    refill(now);
    tokens += n;
  }

  public double burst() {
    return burst;
  }

  /** Changes the rate and the burst from now on. */
  public void resize(double newPerSecond, double now) {
    rate(newPerSecond, now);
    burst = Math.max(1, newPerSecond);
    // A smaller part begins with no more than its own: what was above it is the others' now.
    tokens = Math.min(tokens, burst);
  }

  /** Changes the rate from now on. */
  public void rate(double newPerSecond, double now) {
    refill(now);
    perSecond = newPerSecond;
  }

  private void refill(double now) {
    // What was added above the burst stays, and grows no further.
    tokens = Math.max(tokens, Math.min(burst, tokens + (now - last) * perSecond));
    last = now;
  }
}
