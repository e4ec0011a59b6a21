package io.violetrail.fleet;

import io.violetrail.model.MachineType;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Recent boot times of each machine type. A machine that is late in booting no longer counts as
 * capacity and is returned after a while. If all boots are slow, this must neither double the fleet
 * nor return machines just before they would have booted. Called on the event loop's thread; lost
 * in a crash, after which the provider's boot time of each type is assumed.
 */
public final class BootTimes {
  /** Under the protocol, a usual boot takes up to this many times the type's boot time. */
  private static final double USUAL_BOOT_RATIO = 1.6;

  /** Added to the boot time for the decision, the provider's answer and the first report. */
  public static final double OVERHEAD_SECONDS = 5;

  /** A boot is late if it takes this many times as long as the slowest recent or usual one. */
  private static final double LATE_FACTOR = 1.25;

  /** The factor by which the excess of the slowest boot decays with each later boot. */
  private static final double DECAY_FACTOR = 0.9;

  /** A machine is given up sooner if this many others have booted as usual since it was rented. */
  private static final int RECENT_BOOTS = 3;

  /**
   * The factor by which the wait for boots is extended when a machine is returned that never
   * booted, unless another machine of its type has booted since it was rented.
   */
  private static final double BACKOFF_FACTOR = 1.5;

  /** The maximum of the factor by which several such returns together extend the wait. */
  private static final double MAX_BACKOFF_FACTOR = 4;

  /** The least time after renting a machine before it is given up. */
  private static final double MIN_WAIT_SECONDS = 40;

  private final Map<String, TypeHistory> historyByType = new HashMap<>();

  private static final class TypeHistory {
    double slowestBootRatio = 1;
    double backoffFactor = 1;
    final ArrayDeque<Double> recentBootsAtSeconds = new ArrayDeque<>();
  }

  private TypeHistory historyOf(MachineType type) {
    return historyByType.computeIfAbsent(type.name(), t -> new TypeHistory());
  }

  /** Records that a rented machine has booted and reported. */
  public void recordBoot(MachineType type, double bootSeconds, double nowSeconds) {
    TypeHistory history = historyOf(type);
    history.slowestBootRatio =
        Math.max(
            bootSeconds / type.bootSeconds(), 1 + (history.slowestBootRatio - 1) * DECAY_FACTOR);
    history.backoffFactor = 1;
    history.recentBootsAtSeconds.addLast(nowSeconds);
    if (history.recentBootsAtSeconds.size() > RECENT_BOOTS) {
      history.recentBootsAtSeconds.removeFirst();
    }
  }

  /** Records that a machine was returned that had never reported. */
  public void recordNeverBooted(MachineType type, double rentedAtSeconds) {
    TypeHistory history = historyOf(type);
    if (history.recentBootsAtSeconds.isEmpty()
        || history.recentBootsAtSeconds.peekLast() < rentedAtSeconds) {
      history.backoffFactor = Math.min(MAX_BACKOFF_FACTOR, history.backoffFactor * BACKOFF_FACTOR);
    }
  }

  /** Returns whether a machine that has not reported should have done so by now. */
  public boolean isLate(MachineType type, double rentedAtSeconds, double nowSeconds) {
    return nowSeconds - rentedAtSeconds
        > LATE_FACTOR
                * Math.max(USUAL_BOOT_RATIO, historyOf(type).slowestBootRatio)
                * type.bootSeconds()
            + OVERHEAD_SECONDS;
  }

  /**
   * Returns whether a machine that has not reported should be returned to the provider, as it has
   * taken too long to boot.
   */
  public boolean isGivenUp(MachineType type, double rentedAtSeconds, double nowSeconds) {
    TypeHistory history = historyOf(type);
    boolean othersBootedSince =
        history.recentBootsAtSeconds.size() == RECENT_BOOTS
            && history.recentBootsAtSeconds.peekFirst() > rentedAtSeconds
            && history.slowestBootRatio <= USUAL_BOOT_RATIO;
    double bootTimesAllowed =
        othersBootedSince ? 2 : Math.max(3, 1.5 * history.slowestBootRatio) * history.backoffFactor;
    return nowSeconds - rentedAtSeconds
        > Math.max(MIN_WAIT_SECONDS, bootTimesAllowed * type.bootSeconds() + 4 * OVERHEAD_SECONDS);
  }
}
