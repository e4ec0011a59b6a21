package io.violetrail.ownership;

import io.violetrail.config.Settings;

/**
 * The intervals that ownership rests on, all derived from the platform's settings.
 *
 * @param ttlS a controller's lease: short enough that a survivor answers a dead controller's
 *     workers before their own leases end
 * @param renewS between renewals
 * @param marginS taken off the lease for drift and slow timers
 * @param graceS how long an owner in doubt may keep its workers' leases alive
 * @param goneAfterAnswerS after the last answer to a worker, all of its tasks are surely gone
 */
public record Timing(
    double ttlS, double renewS, double marginS, double graceS, double goneAfterAnswerS) {
  /** Twice the drift that the protocol allows two steady clocks, 0.05 % each. */
  private static final double DRIFT = 0.002;

  public static Timing of(Settings s, Double lapseS) {
    var w = s.workers();
    double ttl = lapseS != null ? lapseS : Math.max(2, w.leaseS() * 0.4);
    double margin = Math.min(0.5, ttl * 0.1) + ttl * DRIFT;
    // A successor may tell a user "cancelled" at the very moment of the lapse: the workers that the
    // old
    // owner keeps must end before cancel_s even so.
    double spare = w.cancelS() - w.leaseS();
    double grace = Math.max(0, spare * 0.85 - 1.5);
    return new Timing(ttl, ttl / 4, margin, grace, w.leaseS() * (1 + DRIFT) + 0.5);
  }

  /** After a seizure, how long until a machine that has not reported holds nothing. */
  public double goneAfterSeizureS() {
    return graceS * (1 + DRIFT) + goneAfterAnswerS;
  }
}
