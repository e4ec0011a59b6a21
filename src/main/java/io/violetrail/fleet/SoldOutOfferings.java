package io.violetrail.fleet;

import io.violetrail.net.EventLoop;
import java.util.HashMap;
import java.util.Map;

/**
 * The offerings of which the provider has rented too few lately, to this controller or to a peer
 * that has announced it. Used on the event loop's thread; lost with the process and learnt again by
 * the next request.
 */
public final class SoldOutOfferings {
  /** How long an on-demand offering counts as sold out after the provider has rented too few. */
  private static final double ON_DEMAND_SECONDS = 20;

  /** Longer for spot machines: they rarely become available again, and each request uses a call. */
  private static final double SPOT_SECONDS = 75;

  private final EventLoop loop;

  /** Until when an offering counts as sold out, in seconds of the monotonic clock. */
  private final Map<MachineOffering, Double> untilSeconds = new HashMap<>();

  /** Creates an object that counts no offering as sold out. */
  public SoldOutOfferings(EventLoop loop) {
    this.loop = loop;
  }

  /** Marks an offering as sold out for a while, after the provider's answer or a peer's message. */
  public void mark(MachineOffering offering) {
    untilSeconds.put(
        offering, loop.monotonicSeconds() + (offering.spot() ? SPOT_SECONDS : ON_DEMAND_SECONDS));
  }

  boolean contains(MachineOffering offering) {
    return untilSeconds.containsKey(offering);
  }

  void removeExpired(double nowSeconds) {
    untilSeconds.values().removeIf(until -> until < nowSeconds);
  }
}
