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
 * Client of the state service. It stays within this controller's share of the common rate limits.
 *
 * <p>Owns the request budget and the queues of waiting transactions; a separate class sends each
 * kind of request. Plain reads and single-attempt transactions fail at once with {@link
 * io.violetrail.errors.OverBudgetException} when the share is used up. Requests that leases and
 * handovers depend on are always sent. All futures that fail do so with a {@link
 * RequestFailedException}, possibly wrapped: see {@link RequestFailedException#from}.
 *
 * <p>Called on the event loop's thread, on which the futures also complete. No state survives a
 * crash: waiting transactions are lost together with their callers. A transaction that was in
 * flight may still be applied, and its conditions must allow for that.
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

  /** All rows of a prefix, and the revision that the listing is as of. */
  public record Listing(List<Entry> entries, long revision) {}

  /** Handles the end of a watch that did not return changes. */
  @FunctionalInterface
  public interface WatchFailureListener {
    /**
     * Called once for a failed watch, instead of its change consumer.
     *
     * @param revisionTooOld true if the state service no longer keeps the changes after the
     *     requested revision, so that a new listing is needed; false if the same watch may be
     *     retried
     */
    void onWatchFailed(boolean revisionTooOld);
  }

  /** Reads a row. If the row is absent, the entry's value is null and its revision is 0. */
  public CompletableFuture<Entry> get(String key) {
    return reader.get(key);
  }

  /** Like {@link #get}, for reads that a failover waits for: sent regardless of the budget. */
  public CompletableFuture<Entry> getUrgent(String key) {
    return reader.getUrgent(key);
  }

  /**
   * Like {@link #get}, on behalf of any client, known or unknown. Such reads may use only a bounded
   * part of the budget, so that a flood of queries about jobs that do not exist cannot use up the
   * requests that lease renewals and handovers need.
   */
  public CompletableFuture<Entry> getForUser(String key) {
    return reader.getForUser(key, 1);
  }

  /**
   * Reads the first row for a query that needs {@code readCount} reads, and takes all of them from
   * the user-read budget at once. If each read were admitted separately, a burst of queries would
   * use up the budget with first reads, and hardly any query would be answered.
   */
  public CompletableFuture<Entry> getForUser(String key, int readCount) {
    return reader.getForUser(key, readCount);
  }

  /**
   * Reads one page of a prefix's rows on behalf of any client, like {@link #getForUser}.
   *
   * @param afterKey the key after which the page starts; empty to start with the first row
   */
  public CompletableFuture<ListPage> listPageForUser(
      String prefix, String afterKey, int maxEntries) {
    return reader.pageForUser(prefix, afterKey, maxEntries);
  }

  /**
   * Reads all rows of a prefix, regardless of the budget.
   *
   * <p>The pages are read one after the other while rows may change, so the listing is as of the
   * <em>first</em> page's revision. It may already contain later changes, but a watch from that
   * revision reports them in any case. If the listing were as of the last page's revision, a row
   * that was created during the listing, in the part already read, would seem to be deleted, and no
   * watch would report it.
   */
  public CompletableFuture<Listing> list(String prefix) {
    return reader.list(prefix);
  }

  /** Sends a transaction once, within the budget. */
  public CompletableFuture<TransactionOutcome> tryTransaction(Transaction transaction) {
    return sender.trySend(transaction);
  }

  /** Like {@link #tryTransaction}, for leases and handovers: sent regardless of the budget. */
  public CompletableFuture<TransactionOutcome> tryUrgentTransaction(Transaction transaction) {
    return sender.trySendUrgent(transaction);
  }

  /** Retries a transaction that cannot wait for the budget until its outcome is certain. */
  public CompletableFuture<TransactionOutcome> commitUrgent(Transaction transaction) {
    return sender.sendUrgent(transaction);
  }

  /**
   * Retries a conditional transaction until it is certain whether it was applied. Every key that it
   * writes must be among its conditions, so that it cannot be applied twice. An outcome of "not
   * applied" can therefore mean that an earlier attempt was applied; the caller reads the rows to
   * find out.
   */
  public CompletableFuture<TransactionOutcome> commit(Transaction transaction) {
    return groupCommit.add(transaction, CommitLane.MACHINES);
  }

  /**
   * Like {@link #commit}, but the transaction is drafted only when it is about to be sent.
   *
   * @param drafter returns null if there is nothing left to write; the future then fails with
   *     {@link NothingToWriteException}
   */
  public CompletableFuture<TransactionOutcome> commitDeferred(Supplier<Transaction> drafter) {
    return groupCommit.addDeferred(drafter, CommitLane.MACHINES);
  }

  /** Like {@link #commitDeferred}, with the highest priority, since users wait for it. */
  public CompletableFuture<TransactionOutcome> commitDeferredForUser(
      Supplier<Transaction> drafter) {
    return groupCommit.addDeferred(drafter, CommitLane.USERS);
  }

  /** Like {@link #commit}, with the lowest priority, since nothing waits for it. */
  public CompletableFuture<TransactionOutcome> commitInBackground(Transaction transaction) {
    return groupCommit.add(transaction, CommitLane.PROGRESS);
  }

  /**
   * Requests a new lease and completes with its id.
   *
   * @param ttlSeconds time to live in seconds
   */
  public CompletableFuture<Long> grantLease(double ttlSeconds) {
    return leases.grant(ttlSeconds);
  }

  /** Renews a lease. Completes with true if it was renewed, and with false if it has expired. */
  public CompletableFuture<Boolean> renewLease(long leaseId) {
    return leases.renew(leaseId);
  }

  /**
   * Waits for changes of a prefix's rows, regardless of the budget. Exactly one of the two
   * callbacks is called, once.
   *
   * @param waitSeconds how long the state service waits for a change before it replies with none
   * @param onChanges receives the body of the reply
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
   * Divides the rate limits among {@code newCount} controllers from now on, so that the survivors
   * take over the share of a failed controller.
   */
  public void setActiveControllerCount(int newCount) {
    budget.setActiveControllerCount(newCount);
  }

  /**
   * Returns how many of the waiting writes this controller's share of the budget does not allow
   * now.
   */
  public double writeShortfall() {
    return budget.writeShortfall(groupCommit.waitingWriteCount());
  }

  /**
   * Gives up to {@code wantedWrites} writes of this controller's share to another controller and
   * returns how many it gives. Gives none while writes wait here.
   */
  public double lendWrites(double wantedWrites) {
    return groupCommit.waitingWriteCount() > 0 ? 0 : budget.lendWrites(wantedWrites);
  }

  /**
   * Adds writes that another controller has given up from its share, and schedules an immediate
   * flush.
   */
  public void addBorrowedWrites(double borrowedWrites) {
    budget.addBorrowedWrites(borrowedWrites);
    groupCommit.scheduleImmediateFlush();
  }

  /** Returns this controller's share of the write rate limit, in writes per second. */
  public double writesPerSecond() {
    return budget.writesPerSecond();
  }

  /** Returns whether so many submissions wait that a further one would not be stored in time. */
  public boolean isOverloaded(int waitingSubmissions) {
    return budget.isOverloaded(waitingSubmissions);
  }
}
