package io.violetrail.state;

import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * A transaction that waits in a lane or is under way, with the future of whoever waits for it.
 *
 * <p>Once drafted it stays the same through all its retries: only so can its outcome be certain.
 */
final class PendingTransaction {
  /** What a transaction that is yet to be drafted is taken to write: a job and its segment. */
  private static final int UNDRAFTED_WRITES_ESTIMATE = 3;

  private final CommitLane lane;
  private final double queuedAtSeconds;
  private final CompletableFuture<TransactionOutcome> outcome = new CompletableFuture<>();
  private final Supplier<Transaction> drafter;

  /** Null until a deferred transaction is drafted. */
  private Transaction transaction;

  private int sizeBytes;
  private boolean sentAlone;

  private PendingTransaction(
      CommitLane lane, double queuedAtSeconds, Supplier<Transaction> drafter, boolean sentAlone) {
    this.lane = lane;
    this.queuedAtSeconds = queuedAtSeconds;
    this.drafter = drafter;
    this.sentAlone = sentAlone;
  }

  /** A transaction that is complete already. */
  static PendingTransaction of(Transaction transaction, CommitLane lane, double queuedAtSeconds) {
    PendingTransaction pending =
        new PendingTransaction(lane, queuedAtSeconds, () -> transaction, false);
    pending.setTransaction(transaction);
    return pending;
  }

  /** A transaction that is drafted when it is about to be sent; it is always sent alone. */
  static PendingTransaction deferred(
      Supplier<Transaction> drafter, CommitLane lane, double queuedAtSeconds) {
    return new PendingTransaction(lane, queuedAtSeconds, drafter, true);
  }

  private void setTransaction(Transaction drafted) {
    transaction = drafted;
    sizeBytes = drafted.encode().length;
  }

  /** Drafts a deferred transaction; false if there is nothing left to write. */
  boolean draftIfNeeded() {
    if (transaction == null) {
      Transaction drafted = drafter.get();
      if (drafted == null) {
        return false;
      }
      setTransaction(drafted);
    }
    return true;
  }

  /** Refused as malformed together with others: sent alone, to find out which one it was. */
  void sendAlone() {
    sentAlone = true;
  }

  boolean isSentAlone() {
    return sentAlone;
  }

  CommitLane lane() {
    return lane;
  }

  double queuedAtSeconds() {
    return queuedAtSeconds;
  }

  CompletableFuture<TransactionOutcome> outcome() {
    return outcome;
  }

  /** The transaction; null until it is drafted. */
  Transaction transaction() {
    return transaction;
  }

  /** The encoded size; 0 until it is drafted. */
  int sizeBytes() {
    return sizeBytes;
  }

  /** The writes that it is known to need: at least one until it is drafted. */
  int knownWriteCount() {
    return transaction == null ? 1 : transaction.writeCount();
  }

  /** The writes that it is likely to need. */
  int expectedWriteCount() {
    return transaction == null ? UNDRAFTED_WRITES_ESTIMATE : transaction.writeCount();
  }

  /** Whether the request that it was part of failed by a condition of its own. */
  boolean isRefusedBy(TransactionOutcome requestOutcome) {
    return transaction.expectedRevisions().keySet().stream()
        .anyMatch(requestOutcome.failedKeys()::contains);
  }

  /** Completes with the outcome of the request that it was part of, as far as it concerns it. */
  void complete(TransactionOutcome requestOutcome) {
    Set<String> ownFailedKeys = new HashSet<>(requestOutcome.failedKeys());
    ownFailedKeys.retainAll(transaction.expectedRevisions().keySet());
    outcome.complete(
        new TransactionOutcome(requestOutcome.applied(), requestOutcome.revision(), ownFailedKeys));
  }

  void fail(Throwable failure) {
    outcome.completeExceptionally(failure);
  }
}
