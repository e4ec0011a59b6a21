package io.violetrail.fleet;

import io.violetrail.model.Resources;

/**
 * Arithmetic on amounts of teams' quotas: processors and accelerators, infinite where unlimited.
 * Memory has no quota and is 0 in an amount that moves.
 */
final class QuotaAmounts {
  /** Less of a quota than this, in processors or accelerators, is not worth a write. */
  static final double MIN_SHARE = 1e-3;

  /** No quota at all; memory is not limited by quotas. */
  static final Resources NO_QUOTA = new Resources(0, 0, Double.POSITIVE_INFINITY);

  static final Resources UNLIMITED =
      new Resources(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0);

  private QuotaAmounts() {}

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

  /** An amount of something that has a limit; 0 of what has none, since nobody lacks it. */
  static double zeroIfUnlimited(double amount, double limit) {
    return Double.isInfinite(limit) ? 0 : amount;
  }
}
