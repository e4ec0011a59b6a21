package io.violetrail.peer;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.ClusterView;
import io.violetrail.state.StateStore;
import java.util.List;

/**
 * Lends parts of the state service's budget for changes to peers that have more to write than their
 * own part allows.
 *
 * <p>The budget is divided evenly, and what one controller does not use of its part in a second was
 * lost to the others: with seven of them, each one's bursts waited while the rest had changes left.
 * A lender takes what it lends out of its own bucket before it answers, so the sum of all buckets
 * never grows; what is lost on the way is spent.
 */
public final class WriteBudgetLending {
  private static final double CHECK_INTERVAL_SECONDS = 0.25;

  /** Less than this is not worth a message. */
  private static final double MIN_SHORTAGE = 0.25;

  /** A message carries an amount as an integer. */
  private static final double UNITS_PER_WRITE = 1_000;

  private final Settings settings;
  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final PeerClient peerClient;

  /** Lends and borrows what the store may write. */
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

  /** Begins to ask peers whenever there is more to write than this controller's part allows. */
  public void start() {
    loop.scheduleWithFixedDelay(CHECK_INTERVAL_SECONDS, this::requestIfShort);
  }

  private void requestIfShort() {
    double shortage = store.missingWrites();
    List<ControllerId> peers =
        settings.peers().keySet().stream().filter(clusterView::isAlive).toList();
    if (shortage < MIN_SHORTAGE || peers.isEmpty()) {
      return;
    }
    long units = (long) Math.ceil(UNITS_PER_WRITE * Math.max(1, shortage / peers.size()));
    peers.forEach(peer -> peerClient.borrowBudget(peer, units).thenAccept(this::addBorrowed));
  }

  /** A peer asks; returns what it is given. */
  long lend(long units) {
    return (long) (UNITS_PER_WRITE * store.lendWrites(Math.max(0, units) / UNITS_PER_WRITE));
  }

  /** A peer has given so much. */
  private void addBorrowed(long units) {
    if (units > 0) {
      store.addBorrowedWrites(units / UNITS_PER_WRITE);
    }
  }
}
