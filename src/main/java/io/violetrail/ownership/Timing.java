package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.ownership.Rows.OwnershipHistory;

/**
 * The intervals that ownership rests on, all derived from the platform's settings.
 *
 * <p>That no task outlives a cancellation rests on three of them. An owner that knows its entity's
 * jobs renews a worker's lease only by an answer that also halts whatever of the worker's report is
 * over; worker and lease take both or neither. What it cannot know was confirmed by a later owner,
 * so after its own lease: {@code graceS} ends early enough before {@code cancel_s}. What it does
 * not know yet, since it is still reading its entity's rows, was confirmed by a former owner, at
 * most a worker's lease before the move (a worker that was renewed since was told to halt): {@code
 * unknowingS} bounds how long it may renew meanwhile, counted over a chain of such owners.
 *
 * @param ttlS a controller's lease: short enough that a survivor answers a dead controller's
 *     workers before their own leases end
 * @param renewS between renewals
 * @param marginS taken off the lease for drift and slow timers
 * @param graceS how long an owner in doubt may keep its workers' leases alive
 * @param goneAfterAnswerS after the last answer to a worker, all of its tasks are surely gone
 * @param unknowingS how long after a move workers' leases may be renewed by owners that do not know
 *     yet which jobs are over
 * @param clocksS how far two controllers' times of day may be apart
 */
public record Timing(
    double ttlS,
    double renewS,
    double marginS,
    double graceS,
    double goneAfterAnswerS,
    double unknowingS,
    double clocksS) {
  /** Twice the drift that the protocol allows two steady clocks, 0.05 % each. */
  private static final double DRIFT = 0.002;

  /**
   * Derives all intervals from the settings.
   *
   * @param lapseS the controllers' lease time to live in seconds; null to derive it from the
   *     workers' lease
   */
  public static Timing of(Settings s, Double lapseS) {
    var w = s.workers();
    double ttl = lapseS != null ? lapseS : Math.max(2, w.leaseS() * 0.4);
    double margin = Math.min(0.5, ttl * 0.1) + ttl * DRIFT;
    double gone = w.leaseS() * (1 + DRIFT) + 0.5;
    double clocks = 2 * s.timeBoundS();
    // A successor may tell a user "cancelled" at the very moment of the lapse: the workers that the
    // old owner keeps must end before cancel_s even so.
    double grace = Math.min((w.cancelS() - w.leaseS()) * 0.85 - 1.5, w.cancelS() - gone);
    double unknowing = w.cancelS() - 2 * gone - clocks;
    return new Timing(
        ttl, ttl / 4, margin, Math.max(0, grace), gone, Math.max(0, unknowing), clocks);
  }

  /** After a seizure, how long until a machine that has not reported holds nothing. */
  public double goneAfterSeizureS() {
    return graceS * (1 + DRIFT) + goneAfterAnswerS;
  }

  /**
   * What a move at that time of day leaves to the next owner. Leases that were renewed without
   * knowing what was over, by owners that were still reading or that were in their grace after the
   * seizure, are themselves over a worker's lease after the last such renewal: then the count
   * begins anew.
   */
  public OwnershipHistory afterMove(OwnershipHistory before, long nowMs, boolean seized) {
    double over = Math.max(unknowingS, graceS) + goneAfterAnswerS + clocksS;
    boolean anew = nowMs - before.unknownMs() > over * 1000;
    return new OwnershipHistory(
        anew ? nowMs : before.unknownMs(), seized ? nowMs : before.seizedMs());
  }

  /** Whether an owner that has not read its entity's rows yet may renew workers' leases. */
  public boolean mayRenewUnknowing(OwnershipHistory past, long nowMs) {
    return nowMs - past.unknownMs() < unknowingS * 1000;
  }

  /**
   * From now until what a machine may have held for any former owner is gone, as far as that owner
   * lost the entity by a seizure: one that was handed on since is still in its grace.
   */
  public double goneAfterLastSeizureS(OwnershipHistory past, long nowMs) {
    return (past.seizedMs() - nowMs) / 1000.0 + clocksS + goneAfterSeizureS();
  }
}
