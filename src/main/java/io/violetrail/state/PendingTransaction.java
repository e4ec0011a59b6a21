package io.violetrail.state;

import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * A transaction that waits in a lane or is in flight, with the future that its caller waits for.
 *
 * <p>A drafted transaction never changes between retries. Its outcome can be determined only
 * because all attempts are identical.
 */
final class PendingTransaction {
  /** Assumed number of writes of a transaction that is not drafted yet: a job and its segment. */
  private static final int UNDRAFTED_WRITE_COUNT_ESTIMATE = 3;

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

  /** Creates an entry for a transaction that is already complete. */
  static PendingTransaction of(Transaction transaction, CommitLane lane, double queuedAtSeconds) {
    PendingTransaction pending =
        new PendingTransaction(lane, queuedAtSeconds, () -> transaction, false);
    pending.setTransaction(transaction);
    return pending;
  }

  /**
   * Creates an entry whose transaction is drafted when it is about to be sent; it is always sent
   * alone.
   */
  static PendingTransaction deferred(
      Supplier<Transaction> drafter, CommitLane lane, double queuedAtSeconds) {
    return new PendingTransaction(lane, queuedAtSeconds, drafter, true);
  }

  private void setTransaction(Transaction drafted) {
    transaction = drafted;
    sizeBytes = drafted.encode().length;
  }

  /** Drafts a deferred transaction; returns false if there is nothing left to write. */
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

  /**
   * Marks this transaction to be sent alone. After a request with several transactions was refused
   * as malformed, this identifies the malformed one.
   */
  void markAsSentAlone() {
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

  /** Returns the transaction, or null until it is drafted. */
  Transaction transaction() {
    return transaction;
  }

  /** Returns the encoded size in bytes; 0 until the transaction is drafted. */
  int sizeBytes() {
    return sizeBytes;
  }

  /** Returns the number of writes, or 1 as the lower bound until the transaction is drafted. */
  int knownWriteCount() {
    return transaction == null ? 1 : transaction.writeCount();
  }

  /** Returns the number of writes, or an estimate until the transaction is drafted. */
  int expectedWriteCount() {
    return transaction == null ? UNDRAFTED_WRITE_COUNT_ESTIMATE : transaction.writeCount();
  }

  /**
   * Returns whether one of this transaction's own conditions failed in the request that contained
   * it.
   */
  boolean hasFailedConditionIn(TransactionOutcome requestOutcome) {
    return transaction.expectedRevisions().keySet().stream()
        .anyMatch(requestOutcome.failedKeys()::contains);
  }

  /**
   * Completes the future with the outcome of the request that contained this transaction, limited
   * to its own failed keys.
   */
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
