package io.violetrail.state;

/**
 * Priorities of waiting transactions, in the order in which they are sent when the budget is short.
 */
enum CommitLane {
  /** Submissions, cancellations and ends of jobs, which users wait for. */
  USERS(0, Double.POSITIVE_INFINITY),
  /** Changes of machines: requested, started, transferred, terminated. */
  MACHINES(0.25, 0.7),
  /** Progress of jobs, which nothing waits for. */
  PROGRESS(0.5, 1.4);

  private final double reservedBurstFraction;
  private final double overdueAfterSeconds;

  CommitLane(double reservedBurstFraction, double overdueAfterSeconds) {
    this.reservedBurstFraction = reservedBurstFraction;
    this.overdueAfterSeconds = overdueAfterSeconds;
  }

  /**
   * Returns the fraction of one second's writes that this lane leaves to future submissions, unless
   * it is overdue.
   */
  double reservedBurstFraction() {
    return reservedBurstFraction;
  }

  /**
   * Returns how long the lane's first transaction may wait, in seconds, before the lane is overdue
   * and served first.
   */
  double overdueAfterSeconds() {
    return overdueAfterSeconds;
  }
}
