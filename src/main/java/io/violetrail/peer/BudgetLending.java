package io.violetrail.peer;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
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
public final class BudgetLending {
  private static final double ASK_S = 0.25;

  /** Less than this is not worth a message. */
  private static final double LEAST = 0.25;

  /** A message carries an amount as an integer. */
  private static final double UNITS = 1_000;

  private final Settings settings;
  private final Loop loop;
  private final StateStore store;
  private final Directory directory;
  private final PeerClient peerClient;

  /** Lends and borrows what the store may write. */
  public BudgetLending(
      Settings settings, Loop loop, StateStore store, Directory directory, PeerClient peerClient) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    this.directory = directory;
    this.peerClient = peerClient;
  }

  /** Begins to ask peers whenever there is more to write than this controller's part allows. */
  public void start() {
    loop.every(ASK_S, this::askIfShort);
  }

  private void askIfShort() {
    double shortage = store.changesShort();
    List<ControllerId> peers =
        settings.peers().keySet().stream().filter(directory::isAlive).toList();
    if (shortage < LEAST || peers.isEmpty()) {
      return;
    }
    long units = (long) Math.ceil(UNITS * Math.max(1, shortage / peers.size()));
    peers.forEach(
        peer ->
            Futures.logFailure(
                peerClient.borrowBudget(peer, units).thenAccept(this::borrowed),
                "borrow a part of a peer's budget"));
  }

  /** A peer asks; returns what it is given. */
  long lend(long units) {
    return (long) (UNITS * store.lendChanges(Math.max(0, units) / UNITS));
  }

  /** A peer has given so much. */
  private void borrowed(long units) {
    if (units > 0) {
      store.borrowedChanges(units / UNITS);
    }
  }
}
