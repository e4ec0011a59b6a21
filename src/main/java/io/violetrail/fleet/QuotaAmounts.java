package io.violetrail.fleet;

import io.violetrail.model.Resources;

/**
 * Arithmetic on amounts of team quotas, in processors and accelerators; unlimited amounts are
 * infinite. Quotas do not limit memory or room in reports, and an amount that moves has 0 of them.
 */
final class QuotaAmounts {
  /** The smallest quota amount, in processors or accelerators, that is worth a write. */
  static final double MIN_SHARE = 1e-3;

  /** No processors and no accelerators; the rest is infinite since quotas do not limit it. */
  static final Resources NO_QUOTA = quota(0, 0);

  static final Resources UNLIMITED =
      new Resources(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0);

  private QuotaAmounts() {}

  /** Returns a quota or a share of one; what quotas do not limit is infinite. */
  static Resources quota(double cpus, double gpus) {
    return new Resources(cpus, gpus, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
  }

  static boolean isWorthWriting(Resources amounts) {
    return amounts.cpus() >= MIN_SHARE || amounts.gpus() >= MIN_SHARE;
  }

  static Resources withoutMemory(Resources amounts) {
    return new Resources(amounts.cpus(), amounts.gpus(), 0);
  }

  static Resources min(Resources left, Resources right) {
    return new Resources(
        Math.min(left.cpus(), right.cpus()), Math.min(left.gpus(), right.gpus()), 0);
  }

  static Resources max(Resources left, Resources right) {
    return new Resources(
        Math.max(left.cpus(), right.cpus()), Math.max(left.gpus(), right.gpus()), 0);
  }

  /** Returns the amount, or 0 if its limit is infinite: no entity lacks an unlimited resource. */
  static double zeroIfUnlimited(double amount, double limit) {
    return Double.isInfinite(limit) ? 0 : amount;
  }
}
