package io.violetrail.fleet;

import io.violetrail.model.MachineType;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * How long boots of each type have taken of late. A boot far over its time is not counted on, and
 * after a while its machine is returned; but where all boots are slow, that must neither double the
 * fleet nor return machines just before they would have come up. Called on the event loop's thread;
 * lost in a crash, after which the types' own boot times are assumed.
 */
public final class BootTimes {
  /** The protocol's usual boot takes up to this many times what its type says. */
  private static final double USUAL_BOOT_RATIO = 1.6;

  /** Deciding, the cloud's answer and the first report come on top. */
  public static final double OVERHEAD_SECONDS = 5;

  /** A boot of so many times the slowest seen of late is not counted on any more. */
  private static final double LATE_FACTOR = 1.25;

  /** What is remembered of a slow boot fades with each later one. */
  private static final double DECAY_FACTOR = 0.9;

  /** After so many usual boots, a machine rented before them is taken not to come up. */
  private static final int RECENT_BOOTS = 3;

  /** How much longer is waited after none of those returned had come up, and how often at most. */
  private static final double BACKOFF_FACTOR = 1.5;

  private static final double MAX_BACKOFF_FACTOR = 4;

  /** No machine is given up sooner after it was rented. */
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

  /** A machine rented here has come up. */
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

  /** A machine was returned that had never come up. */
  public void recordNeverBooted(MachineType type, double rentedAtSeconds) {
    TypeHistory history = historyOf(type);
    if (history.recentBootsAtSeconds.isEmpty()
        || history.recentBootsAtSeconds.peekLast() < rentedAtSeconds) {
      history.backoffFactor = Math.min(MAX_BACKOFF_FACTOR, history.backoffFactor * BACKOFF_FACTOR);
    }
  }

  /** Whether a machine that is not up should have been by now. */
  public boolean isLate(MachineType type, double rentedAtSeconds, double nowSeconds) {
    return nowSeconds - rentedAtSeconds
        > LATE_FACTOR
                * Math.max(USUAL_BOOT_RATIO, historyOf(type).slowestBootRatio)
                * type.bootSeconds()
            + OVERHEAD_SECONDS;
  }

  /** Whether a machine that is not up is not waited for any longer. */
  public boolean isGivenUp(MachineType type, double rentedAtSeconds, double nowSeconds) {
    TypeHistory history = historyOf(type);
    boolean laterRentalsBooted =
        history.recentBootsAtSeconds.size() == RECENT_BOOTS
            && history.recentBootsAtSeconds.peekFirst() > rentedAtSeconds
            && history.slowestBootRatio <= USUAL_BOOT_RATIO;
    double bootTimesAllowed =
        laterRentalsBooted
            ? 2
            : Math.max(3, 1.5 * history.slowestBootRatio) * history.backoffFactor;
    return nowSeconds - rentedAtSeconds
        > Math.max(MIN_WAIT_SECONDS, bootTimesAllowed * type.bootSeconds() + 4 * OVERHEAD_SECONDS);
  }
}
