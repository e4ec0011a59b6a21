package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.ownership.StateSchema.OwnershipHistory;

/**
 * The intervals that ownership rests on, all derived from the platform's settings.
 *
 * <p>No task outlives a cancellation, in three cases. An owner that knows its entity's jobs renews
 * a worker's lease only by a reply that also stops what the report shows of jobs that are over; the
 * worker takes both or neither. A cancellation that this owner cannot know was confirmed by a later
 * owner, so after its own lease: {@code keepAliveGraceSeconds} ends early enough before {@code
 * cancel_s}. A cancellation that it does not know yet, since it is still reading its entity's rows,
 * was confirmed by a former owner, at most a worker's lease before the move (a worker whose lease
 * was renewed since was told to stop): {@code renewalWhileLoadingSeconds} bounds how long leases
 * may be renewed meanwhile, counted over a chain of such owners.
 *
 * @param ttlSeconds a controller's lease: short enough that a survivor answers a dead controller's
 *     workers before their own leases end
 * @param renewIntervalSeconds between renewals
 * @param safetyMarginSeconds taken off the lease for drift and slow timers
 * @param keepAliveGraceSeconds how long an owner whose lease is uncertain may renew its workers'
 *     leases
 * @param tasksGoneAfterReplySeconds after the last answer to a worker, all of its tasks are surely
 *     gone
 * @param renewalWhileLoadingSeconds how long after a move workers' leases may be renewed by owners
 *     that do not know yet which jobs are over
 * @param maxClockSkewSeconds how far two controllers' times of day may be apart
 */
public record LeaseTiming(
    double ttlSeconds,
    double renewIntervalSeconds,
    double safetyMarginSeconds,
    double keepAliveGraceSeconds,
    double tasksGoneAfterReplySeconds,
    double renewalWhileLoadingSeconds,
    double maxClockSkewSeconds) {
  /** Four times the 0.05 % by which the protocol lets two steady clocks drift apart. */
  private static final double MAX_CLOCK_DRIFT = 0.002;

  /**
   * Derives all intervals from the settings.
   *
   * @param ttlOverrideSeconds the controllers' lease time to live in seconds; null to derive it
   *     from the workers' lease
   */
  public static LeaseTiming from(Settings settings, Double ttlOverrideSeconds) {
    var workers = settings.workerTiming();
    double ttlSeconds =
        ttlOverrideSeconds != null ? ttlOverrideSeconds : Math.max(2, workers.leaseSeconds() * 0.4);
    double marginSeconds = Math.min(0.5, ttlSeconds * 0.1) + ttlSeconds * MAX_CLOCK_DRIFT;
    double goneAfterReplySeconds = workers.leaseSeconds() * (1 + MAX_CLOCK_DRIFT) + 0.5;
    double clockSkewSeconds = 2 * settings.clockErrorBoundSeconds();
    // The next owner may confirm a cancellation as soon as this lease has expired: the workers that
    // the former owner still renews must be without leases before cancel_s even so.
    double graceSeconds =
        Math.min(
            (workers.cancelTimeoutSeconds() - workers.leaseSeconds()) * 0.85 - 1.5,
            workers.cancelTimeoutSeconds() - goneAfterReplySeconds);
    double whileLoadingSeconds =
        workers.cancelTimeoutSeconds() - 2 * goneAfterReplySeconds - clockSkewSeconds;
    return new LeaseTiming(
        ttlSeconds,
        ttlSeconds / 4,
        marginSeconds,
        Math.max(0, graceSeconds),
        goneAfterReplySeconds,
        Math.max(0, whileLoadingSeconds),
        clockSkewSeconds);
  }

  /** How long after a failover a machine that has not reported certainly has no tasks. */
  public double tasksGoneAfterFailoverSeconds() {
    return keepAliveGraceSeconds * (1 + MAX_CLOCK_DRIFT) + tasksGoneAfterReplySeconds;
  }

  /**
   * What a move at that time of day leaves to the next owner. Leases that were renewed without
   * knowing what was over, by owners that were still reading or that were in their grace period
   * after the failover, are themselves over a worker's lease after the last such renewal: then the
   * count begins anew.
   */
  public OwnershipHistory historyAfterMove(
      OwnershipHistory formerHistory, long nowMillis, boolean isFailover) {
    double expirySeconds =
        Math.max(renewalWhileLoadingSeconds, keepAliveGraceSeconds)
            + tasksGoneAfterReplySeconds
            + maxClockSkewSeconds;
    boolean restartsCount =
        nowMillis - formerHistory.jobsUnknownSinceMillis() > expirySeconds * 1000;
    return new OwnershipHistory(
        restartsCount ? nowMillis : formerHistory.jobsUnknownSinceMillis(),
        isFailover ? nowMillis : formerHistory.lastFailoverAtMillis());
  }

  /** Whether an owner that has not read its entity's rows yet may renew workers' leases. */
  public boolean mayRenewWhileLoading(OwnershipHistory history, long nowMillis) {
    return nowMillis - history.jobsUnknownSinceMillis() < renewalWhileLoadingSeconds * 1000;
  }

  /**
   * From now until what a machine may have held for any former owner is gone, as far as that owner
   * lost the entity by a failover: after a handover since, it may still be in its grace period.
   */
  public double secondsUntilTasksGone(OwnershipHistory history, long nowMillis) {
    return (history.lastFailoverAtMillis() - nowMillis) / 1000.0
        + maxClockSkewSeconds
        + tasksGoneAfterFailoverSeconds();
  }
}
