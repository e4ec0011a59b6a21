package io.violetrail.peer;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.state.StateStore;
import java.util.List;

/**
 * Lends parts of this controller's write budget for the state service to peers that have more to
 * write than their own share allows.
 *
 * <p>The budget is divided evenly, and without lending, the writes that one controller does not use
 * in a second are lost to the others: with seven controllers, bursts at each one waited while the
 * others had writes left. A lender takes what it lends out of its own bucket before it replies, so
 * the sum of all buckets never grows; writes that are lost on the way count as spent.
 */
public final class WriteBudgetLending {
  private static final double CHECK_INTERVAL_SECONDS = 0.25;

  /** A smaller shortfall is not worth a message. */
  private static final double MIN_SHORTFALL_WRITES = 0.25;

  /** Messages carry amounts as integers, in units of a thousandth of a write. */
  private static final double LENDING_UNITS_PER_WRITE = 1_000;

  private final Settings settings;
  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final PeerClient peerClient;

  /** Creates an instance that lends at once and borrows only after {@link #start}. */
  public WriteBudgetLending(
      Settings settings,
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      PeerClient peerClient) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.peerClient = peerClient;
  }

  /**
   * Starts to borrow from peers whenever there is more to write than this controller's share
   * allows.
   */
  public void start() {
    loop.scheduleWithFixedDelay(CHECK_INTERVAL_SECONDS, this::borrowIfShort);
  }

  private void borrowIfShort() {
    double shortfall = store.writeShortfall();
    List<ControllerId> peers =
        settings.peers().keySet().stream().filter(clusterView::isAlive).toList();
    if (shortfall < MIN_SHORTFALL_WRITES || peers.isEmpty()) {
      return;
    }
    long unitsPerPeer =
        (long) Math.ceil(LENDING_UNITS_PER_WRITE * Math.max(1, shortfall / peers.size()));
    peers.forEach(
        peer ->
            Futures.logFailure(
                peerClient.borrowBudget(peer, unitsPerPeer).thenAccept(this::addBorrowedUnits),
                "borrow write budget from a peer"));
  }

  /** Lends up to {@code units} to a peer, and returns the number of units lent. */
  long lend(long units) {
    return (long)
        (LENDING_UNITS_PER_WRITE * store.lendWrites(Math.max(0, units) / LENDING_UNITS_PER_WRITE));
  }

  /** Adds units that a peer has lent. */
  private void addBorrowedUnits(long units) {
    if (units > 0) {
      store.addBorrowedWrites(units / LENDING_UNITS_PER_WRITE);
    }
  }
}
