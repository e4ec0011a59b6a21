package io.violetrail.state;

/** Which waiting transactions go first when the budget is short: the lanes in their order. */
enum CommitLane {
  /** Submissions, cancellations and ends of jobs: users wait for them. */
  USERS(0, Double.POSITIVE_INFINITY),
  /** Machines: requested, started, transferred, terminated. */
  MACHINES(0.25, 0.7),
  /** Progress of jobs, which nobody waits for. */
  PROGRESS(0.5, 1.4);

  private final double reservedBurstFraction;
  private final double starvationSeconds;

  CommitLane(double reservedBurstFraction, double starvationSeconds) {
    this.reservedBurstFraction = reservedBurstFraction;
    this.starvationSeconds = starvationSeconds;
  }

  /**
   * The part of a second's writes that this lane leaves to submissions that are yet to come, unless
   * it is overdue.
   */
  double reservedBurstFraction() {
    return reservedBurstFraction;
  }

  /** After so long a wait of its first transaction the lane is overdue and has its turn. */
  double starvationSeconds() {
    return starvationSeconds;
  }
}
