package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.ownership.StateSchema.OwnershipHistory;

/**
 * The time intervals that govern ownership, all derived from the platform's settings.
 *
 * <p>They are chosen so that no task outlives a confirmed cancellation by more than {@code
 * cancel_s}. There are three cases:
 *
 * <ul>
 *   <li>The owner knows of the cancellation. It renews a worker's lease only by a reply that also
 *       stops the reported tasks of jobs that have ended. The worker applies both or neither.
 *   <li>A later owner confirmed the cancellation, so this owner cannot know of it. The confirmation
 *       came after this owner's lease had expired. {@code keepAliveGraceSeconds} is short enough
 *       that the workers' leases that this owner still renews expire before {@code cancel_s}.
 *   <li>A former owner confirmed the cancellation, and this owner does not know of it yet because
 *       it is still reading the entity's rows. The confirmation matters only if it came at most one
 *       worker lease before the move: each renewal of a worker's lease after the confirmation
 *       carried the command to stop the task, and each lease that was renewed only before the
 *       confirmation has expired one worker lease later. {@code renewalWhileLoadingSeconds} limits
 *       how long workers' leases may be renewed in this state, in total over a chain of such
 *       owners.
 * </ul>
 *
 * @param ttlSeconds the time to live of a controller's lease, which is short enough that a survivor
 *     replies to a dead controller's workers before their own leases expire
 * @param renewIntervalSeconds the time between two renewals of the controller's lease
 * @param safetyMarginSeconds the margin subtracted from the lease for clock drift and slow timers
 * @param keepAliveGraceSeconds how long an owner whose lease is uncertain may renew its workers'
 *     leases
 * @param tasksGoneAfterReplySeconds the time after the last reply to a worker after which all of
 *     its tasks have certainly ended
 * @param renewalWhileLoadingSeconds how long after a move workers' leases may be renewed by owners
 *     that do not know yet which jobs have ended
 * @param maxClockSkewSeconds the maximum difference between two controllers' wall clocks
 */
public record LeaseTiming(
    double ttlSeconds,
    double renewIntervalSeconds,
    double safetyMarginSeconds,
    double keepAliveGraceSeconds,
    double tasksGoneAfterReplySeconds,
    double renewalWhileLoadingSeconds,
    double maxClockSkewSeconds) {
  /** A worker drops a reply that it receives later than this after it has sent the report. */
  public static final double WORKER_REPLY_VALIDITY_SECONDS = 4;

  /** Four times the drift of 0.05 % that the protocol allows between two steady clocks. */
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
    // The next owner may confirm a cancellation as soon as this lease has expired. The leases of
    // workers that the former owner still renews must nevertheless expire before cancel_s.
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

  /**
   * Returns how many seconds after a failover all tasks have certainly ended on a machine that has
   * not reported since. The former owner's last launches may also be executed once more by a
   * machine that has restarted; see {@link #tasksGoneAfterHandoverSeconds}.
   */
  public double tasksGoneAfterFailoverSeconds() {
    return Math.max(
        keepAliveGraceSeconds * (1 + MAX_CLOCK_DRIFT) + tasksGoneAfterReplySeconds,
        tasksGoneAfterHandoverSeconds());
  }

  /**
   * Returns how many seconds after a handover all tasks have certainly ended on a machine that has
   * not reported since. If the machine has restarted, its worker's lease began anew, and under it
   * the worker may execute a copy of a reply with launches for as long as such a reply is valid.
   */
  public double tasksGoneAfterHandoverSeconds() {
    return WORKER_REPLY_VALIDITY_SECONDS + tasksGoneAfterReplySeconds;
  }

  /**
   * Returns the ownership history to be stored with a move at the given time of the wall clock.
   *
   * <p>Owners that are still reading the entity's rows, or that are in their keep-alive grace
   * period after a failover, may renew workers' leases without knowing which jobs have ended. Such
   * leases have expired one worker lease after the last such renewal. If the move happens after
   * that time, {@code jobsUnknownSinceMillis} is set to {@code nowMillis}.
   */
  public OwnershipHistory historyAfterMove(
      OwnershipHistory formerHistory, long nowMillis, boolean isFailover) {
    double expirySeconds =
        Math.max(renewalWhileLoadingSeconds, keepAliveGraceSeconds)
            + tasksGoneAfterReplySeconds
            + maxClockSkewSeconds;
    boolean formerRenewalsExpired =
        nowMillis - formerHistory.jobsUnknownSinceMillis() > expirySeconds * 1000;
    return new OwnershipHistory(
        formerRenewalsExpired ? nowMillis : formerHistory.jobsUnknownSinceMillis(),
        isFailover ? nowMillis : formerHistory.lastFailoverAtMillis());
  }

  /** Returns whether an owner that is still reading the entity's rows may renew workers' leases. */
  public boolean mayRenewWhileLoading(OwnershipHistory history, long nowMillis) {
    return nowMillis - history.jobsUnknownSinceMillis() < renewalWhileLoadingSeconds * 1000;
  }

  /**
   * Returns the seconds until all tasks that a machine may hold for a former owner have certainly
   * ended, if that owner lost the entity by a failover. Such an owner may still be in its
   * keep-alive grace period even if the entity has been handed over since. The result is negative
   * if that time has passed.
   */
  public double secondsUntilTasksGone(OwnershipHistory history, long nowMillis) {
    return (history.lastFailoverAtMillis() - nowMillis) / 1000.0
        + maxClockSkewSeconds
        + tasksGoneAfterFailoverSeconds();
  }
}
