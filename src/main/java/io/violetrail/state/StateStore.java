package io.violetrail.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.errors.NothingToWriteException;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.net.EventLoop;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.ListPage;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The state service's client, within this controller's share of the common rate limits.
 *
 * <p>Owns the budget and the queues of transactions that wait; the requests themselves are made by
 * a class for each kind. Plain reads and transactions fail at once with {@link
 * io.violetrail.errors.OverBudgetException} when the share is used up; what leases and handovers
 * depend on always goes. All futures that fail do so with a {@link RequestFailedException}, perhaps
 * wrapped: see {@link RequestFailedException#from}.
 *
 * <p>Called on the event loop's thread, on which the futures complete too. Nothing here survives a
 * crash: transactions that wait are lost with those who wait for them, and one that was under way
 * may still be applied, which its conditions must allow for.
 */
public final class StateStore {
  private final RequestBudget budget;
  private final RowReader reader;
  private final TransactionSender sender;
  private final GroupCommit groupCommit;
  private final LeaseClient leases;
  private final ChangeWatcher changeWatcher;

  /** Creates a client with an equal share of the state service's rate limits. */
  public StateStore(EventLoop loop, HttpClient http, Settings settings) {
    StateStoreConnection connection = new StateStoreConnection(http, settings.stateStoreAddress());
    this.budget = new RequestBudget(loop, settings.stateStoreLimits(), settings.peers().size() + 1);
    this.reader = new RowReader(budget, connection);
    this.sender = new TransactionSender(loop, budget, connection);
    this.groupCommit =
        new GroupCommit(
            loop, budget, settings.stateStoreLimits().maxTransactionOperations(), sender::send);
    this.leases = new LeaseClient(budget, connection);
    this.changeWatcher = new ChangeWatcher(budget, connection);
  }

  /** A whole listing with the revision it is as of. */
  public record Listing(List<Entry> entries, long revision) {}

  /** Learns that a watch has ended without changes. */
  @FunctionalInterface
  public interface WatchFailureListener {
    /**
     * Called once for a watch, instead of its changes.
     *
     * @param revisionTooOld whether the changes after the revision are no longer kept, so that only
     *     a new listing helps; otherwise the same watch may be tried again
     */
    void onWatchFailed(boolean revisionTooOld);
  }

  /** Reads a row; absent: its value is null and its revision 0. */
  public CompletableFuture<Entry> get(String key) {
    return reader.get(key);
  }

  /** Like {@link #get}, for what a failover waits for: sent whatever the budget says. */
  public CompletableFuture<Entry> getUrgent(String key) {
    return reader.getUrgent(key);
  }

  /**
   * Like {@link #get}, on behalf of whoever asks, known to us or not, within a bounded part of the
   * budget: many questions about jobs that nobody submitted must not use up what lease renewals and
   * handovers need.
   */
  public CompletableFuture<Entry> getForUser(String key) {
    return reader.getForUser(key, 1);
  }

  /**
   * The first of so many reads that follow from one question, all paid for here. Where each had to
   * find its own in the budget, a rush of questions would use it up with first reads, and hardly
   * any question would be answered.
   */
  public CompletableFuture<Entry> getForUser(String key, int readCount) {
    return reader.getForUser(key, readCount);
  }

  /**
   * Reads a page of a prefix's rows on behalf of whoever asks, like {@link #getForUser}.
   *
   * @param afterKey the key after which the page begins; empty: with the first
   */
  public CompletableFuture<ListPage> pageForUser(String prefix, String afterKey, int maxEntries) {
    return reader.pageForUser(prefix, afterKey, maxEntries);
  }

  /**
   * Reads all rows of a prefix, whatever the budget says.
   *
   * <p>The pages are read one after the other and rows change meanwhile, so the listing is as of
   * the <em>first</em> page's revision: what was changed since may be in it, but a watch from there
   * reports it in any case. As of the last page's revision, a row that was created while the
   * listing went on, in the part already read, would be taken for deleted, and no watch would
   * report it any more.
   */
  public CompletableFuture<Listing> list(String prefix) {
    return reader.list(prefix);
  }

  /** Tries a transaction once, within the budget. */
  public CompletableFuture<TransactionOutcome> tryTransaction(Transaction transaction) {
    return sender.trySend(transaction);
  }

  /** Like {@link #tryTransaction}, for leases and handovers: sent whatever the budget says. */
  public CompletableFuture<TransactionOutcome> tryUrgentTransaction(Transaction transaction) {
    return sender.trySendUrgent(transaction);
  }

  /** Repeats a transaction that cannot wait for the budget until its outcome is certain. */
  public CompletableFuture<TransactionOutcome> commitUrgent(Transaction transaction) {
    return sender.sendUrgent(transaction);
  }

  /**
   * Repeats a conditional transaction until it is certain whether it was applied. The conditions
   * must be such that it cannot apply twice: each written key is among them. An outcome of "not
   * applied" can then mean that an earlier try was; the caller reads to find out.
   */
  public CompletableFuture<TransactionOutcome> commit(Transaction transaction) {
    return groupCommit.add(transaction, CommitLane.MACHINES);
  }

  /**
   * Like {@link #commit}, but drafted only when it is about to be sent.
   *
   * @param drafter gives null if there is nothing left to write; the future then fails with {@link
   *     NothingToWriteException}
   */
  public CompletableFuture<TransactionOutcome> commitDeferred(Supplier<Transaction> drafter) {
    return groupCommit.addDeferred(drafter, CommitLane.MACHINES);
  }

  /** Like {@link #commitDeferred}, before all else: users wait for it. */
  public CompletableFuture<TransactionOutcome> commitDeferredForUser(
      Supplier<Transaction> drafter) {
    return groupCommit.addDeferred(drafter, CommitLane.USERS);
  }

  /** Like {@link #commit}, after all else: nobody waits for it. */
  public CompletableFuture<TransactionOutcome> commitInBackground(Transaction transaction) {
    return groupCommit.add(transaction, CommitLane.PROGRESS);
  }

  /**
   * Requests a new lease and returns its id.
   *
   * @param ttlSeconds time to live in seconds
   */
  public CompletableFuture<Long> grantLease(double ttlSeconds) {
    return leases.grant(ttlSeconds);
  }

  /** Renews a lease; true if renewed, false if it has expired. */
  public CompletableFuture<Boolean> renewLease(long leaseId) {
    return leases.renew(leaseId);
  }

  /**
   * Waits for changes of a prefix's rows, whatever the budget says. Exactly one of the listeners is
   * called, once.
   *
   * @param waitSeconds how long the state service waits for a change before it answers with none
   * @param onChanges gets the answer's body
   */
  public void watch(
      String prefix,
      long afterRevision,
      double waitSeconds,
      Consumer<ObjectNode> onChanges,
      WatchFailureListener onFailure) {
    changeWatcher.watch(prefix, afterRevision, waitSeconds, onChanges, onFailure);
  }

  /**
   * Divides the rate limits among so many controllers from now on: the share of a dead one goes to
   * its survivors.
   */
  public void setActiveControllerCount(int newCount) {
    budget.setActiveControllerCount(newCount);
  }

  /** Writes that wait and that this controller's share of the budget does not allow now. */
  public double missingWrites() {
    return budget.missingWrites(groupCommit.waitingWriteCount());
  }

  /** Gives up so many writes of this controller's share, or what it can spare of them. */
  public double lendWrites(double wantedWrites) {
    return groupCommit.waitingWriteCount() > 0 ? 0 : budget.lendWrites(wantedWrites);
  }

  /** Another controller has given up so many writes of its share for this one. */
  public void addBorrowedWrites(double borrowedWrites) {
    budget.addBorrowedWrites(borrowedWrites);
    groupCommit.flushNow();
  }

  /** This controller's share of the writes. */
  public double writesPerSecond() {
    return budget.writesPerSecond();
  }

  /** Whether so many submissions wait that one more would not be stored in time. */
  public boolean isOverloaded(int waitingSubmissions) {
    return budget.isOverloaded(waitingSubmissions);
  }
}
