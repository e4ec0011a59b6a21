package io.violetrail.fleet;

import io.violetrail.model.MachineType;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * What boots of each type were lately observed to take. A boot far over its time is not counted on,
 * and after a while its machine is returned; but where all are slow, neither doubles the fleet nor
 * returns machines just before they would have come up.
 */
public final class Boots {
  /** The protocol's usual boot takes up to this many times what its type says. */
  private static final double USUAL = 1.6;

  /** Deciding, the cloud's answer and the first report come on top. */
  public static final double LEAD_S = 5;

  /** A boot of so many times the slowest seen of late is not counted on any more. */
  private static final double LATE = 1.25;

  /** What is remembered of a slow boot fades with each later one. */
  private static final double FADES = 0.9;

  /** So many machines that came up as usual tell that one rented before them will not. */
  private static final int OTHERS = 3;

  /** How much longer is waited after none of those returned had come up, and how often at most. */
  private static final double BACKOFF = 1.5;

  private static final double MAX_BACKOFF = 4;

  private final Map<String, Seen> types = new HashMap<>();

  private static final class Seen {
    double slowest = 1;
    double backoff = 1;
    final ArrayDeque<Double> upS = new ArrayDeque<>();
  }

  private Seen of(MachineType type) {
    return types.computeIfAbsent(type.name(), t -> new Seen());
  }

  /** A machine rented here has come up. */
  public void up(MachineType type, double tookS, double now) {
    Seen seen = of(type);
    seen.slowest = Math.max(tookS / type.bootS(), 1 + (seen.slowest - 1) * FADES);
    seen.backoff = 1;
    seen.upS.addLast(now);
    if (seen.upS.size() > OTHERS) {
      seen.upS.removeFirst();
    }
  }

  /** A machine was returned that had never come up. */
  public void never(MachineType type, double rentedS) {
    Seen seen = of(type);
    if (seen.upS.isEmpty() || seen.upS.peekLast() < rentedS) {
      seen.backoff = Math.min(MAX_BACKOFF, seen.backoff * BACKOFF);
    }
  }

  /** Whether a machine that is not up should have been by now. */
  public boolean late(MachineType type, double rentedS, double now) {
    return now - rentedS > LATE * Math.max(USUAL, of(type).slowest) * type.bootS() + LEAD_S;
  }

  /** Whether a machine that is not up is not waited for any longer. */
  public boolean givenUp(MachineType type, double rentedS, double now) {
    Seen seen = of(type);
    boolean othersCame =
        seen.upS.size() == OTHERS && seen.upS.peekFirst() > rentedS && seen.slowest <= USUAL;
    double times = othersCame ? 2 : Math.max(3, 1.5 * seen.slowest) * seen.backoff;
    return now - rentedS > Math.max(40, times * type.bootS() + 4 * LEAD_S);
  }
}
