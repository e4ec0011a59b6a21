package io.violetrail.state;

import io.violetrail.errors.NothingToWriteException;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.net.CoalescingTimer;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Combines waiting conditional transactions into as few requests as the limits allow, in the order
 * of the lanes, and retries each until its outcome is certain. If an attempt was applied but its
 * reply was lost, the retry completes as not applied; the caller then reads the rows, see {@link
 * StateStore#commit}.
 *
 * <p>Transactions that share a request are applied or rejected together only within that request:
 * one whose conditions do not hold completes as not applied, and the others are sent again without
 * it.
 *
 * <p>Owns the waiting transactions and the number of requests in flight. Called on the event loop's
 * thread. No state survives a crash: a transaction in flight may still be applied, and its
 * conditions must allow for that.
 */
final class GroupCommit {
  private static final double LINGER_SECONDS = 0.004;
  private static final double RETRY_SECONDS = 0.3;
  private static final double BUDGET_RETRY_SECONDS = 0.05;

  /**
   * Number of writes that the budget must have beyond the reserved ones before a transaction is
   * sent; a transaction with fewer writes needs only its own number. Its writes beyond this number
   * become a debt.
   */
  private static final int ADMISSION_WRITES = 2;

  /**
   * Maximum number of requests in flight. With more than one, a slow request does not hold up the
   * next.
   */
  private static final int MAX_REQUESTS_IN_FLIGHT = 3;

  private final EventLoop loop;
  private final RequestBudget budget;
  private final int maxWritesPerRequest;
  private final Function<Transaction, CompletableFuture<TransactionOutcome>> sender;
  private final CommitLanes lanes = new CommitLanes();
  private final CoalescingTimer flushTimer;
  private int requestsInFlight;

  /**
   * Creates a group commit with empty lanes.
   *
   * @param sender sends one request that has already been taken from the budget
   */
  GroupCommit(
      EventLoop loop,
      RequestBudget budget,
      int maxWritesPerRequest,
      Function<Transaction, CompletableFuture<TransactionOutcome>> sender) {
    this.loop = loop;
    this.budget = budget;
    this.maxWritesPerRequest = maxWritesPerRequest;
    this.sender = sender;
    this.flushTimer = new CoalescingTimer(loop, this::flush);
  }

  CompletableFuture<TransactionOutcome> add(Transaction transaction, CommitLane lane) {
    return add(PendingTransaction.of(transaction, lane, loop.monotonicSeconds()));
  }

  /**
   * Adds a transaction that is drafted only when its turn comes, so that it is based on the latest
   * state. If it were drafted before the wait for the budget, it would fail on conditions that have
   * become stale.
   *
   * @return fails with {@link NothingToWriteException} if the draft is null
   */
  CompletableFuture<TransactionOutcome> addDeferred(
      Supplier<Transaction> drafter, CommitLane lane) {
    return add(PendingTransaction.deferred(drafter, lane, loop.monotonicSeconds()));
  }

  private CompletableFuture<TransactionOutcome> add(PendingTransaction pending) {
    lanes.addLast(pending);
    flushTimer.schedule(LINGER_SECONDS);
    return pending.outcome();
  }

  /** Returns the number of writes that users and machines wait for. */
  double waitingWriteCount() {
    return lanes.waitingWriteCount();
  }

  /** Schedules an immediate flush, for when the budget has grown. */
  void scheduleImmediateFlush() {
    flushTimer.schedule(0);
  }

  private void flush() {
    while (requestsInFlight < MAX_REQUESTS_IN_FLIGHT) {
      TransactionBatch batch = assembleBatch();
      if (batch.isEmpty()) {
        break;
      }
      requestsInFlight++;
      send(batch);
    }
    if (!lanes.isEmpty() && requestsInFlight < MAX_REQUESTS_IN_FLIGHT) {
      flushTimer.schedule(BUDGET_RETRY_SECONDS);
    }
  }

  /**
   * Takes the transactions for one request out of the lanes, and the request out of the budget.
   * Returns an empty batch if nothing may be sent now.
   */
  private TransactionBatch assembleBatch() {
    double nowSeconds = loop.monotonicSeconds();
    TransactionBatch batch = new TransactionBatch(maxWritesPerRequest);
    if (!budget.canTakeRequest(nowSeconds)) {
      return batch;
    }
    Optional<CommitLane> overdueLane = lanes.findOverdueLane(nowSeconds);
    for (CommitLane lane : CommitLanes.servingOrder(overdueLane)) {
      boolean overdue = overdueLane.isPresent() && overdueLane.get() == lane;
      double reservedWrites = overdue ? 0 : budget.writesPerSecond() * lane.reservedBurstFraction();
      addFromLane(lane, reservedWrites, batch, nowSeconds);
    }
    if (!batch.isEmpty()) {
      lanes.recordServed(batch.transactions().get(0).lane());
      budget.takeTransaction(batch.writeCount(), nowSeconds);
    }
    return batch;
  }

  /**
   * Adds a lane's transactions in order as far as the budget allows, and skips those that conflict.
   */
  private void addFromLane(
      CommitLane lane, double reservedWrites, TransactionBatch batch, double nowSeconds) {
    for (var queue = lanes.iterator(lane); queue.hasNext() && !batch.isClosed(); ) {
      PendingTransaction pending = queue.next();
      // A wide transaction is admitted as soon as a narrow one would be, and later transactions
      // make up for the debt. If the bucket had to hold all its writes, it would never be sent
      // while submissions keep the bucket low.
      double neededWrites =
          batch.writeCount()
              + Math.min(pending.knownWriteCount(), ADMISSION_WRITES)
              + reservedWrites;
      if (!budget.canTakeWrites(neededWrites, nowSeconds)
          || (pending.isSentAlone() && !batch.isEmpty())) {
        return;
      }
      if (!pending.draftIfNeeded()) {
        queue.remove();
        pending.fail(new NothingToWriteException());
      } else if (batch.tryAdd(pending)) {
        queue.remove();
      }
    }
  }

  private void send(TransactionBatch batch) {
    Futures.logFailure(
        sender
            .apply(batch.combined())
            .whenComplete(
                (outcome, failure) -> {
                  requestsInFlight--;
                  if (failure == null) {
                    handleOutcome(batch.transactions(), outcome);
                  } else {
                    handleFailure(batch.transactions(), failure);
                  }
                  flushTimer.schedule(0);
                }),
        "commit a group of transactions");
  }

  /**
   * Retries the transactions of a failed request. Only a refusal as malformed is final, and only
   * for a transaction that was alone in its request. After any other failure the request may have
   * been applied, or may still be; retries determine the outcome.
   */
  private void handleFailure(List<PendingTransaction> transactions, Throwable failure) {
    if (!RequestFailedException.from(failure).isRefusedAsMalformed()) {
      loop.schedule(RETRY_SECONDS, () -> requeue(transactions));
    } else if (transactions.size() == 1) {
      transactions.get(0).fail(failure);
    } else {
      transactions.forEach(PendingTransaction::markAsSentAlone);
      requeue(transactions);
    }
  }

  private void handleOutcome(List<PendingTransaction> transactions, TransactionOutcome outcome) {
    List<PendingTransaction> undecided = new ArrayList<>();
    List<PendingTransaction> decided = new ArrayList<>();
    for (PendingTransaction pending : transactions) {
      (outcome.applied() || pending.hasFailedConditionIn(outcome) ? decided : undecided)
          .add(pending);
    }
    requeue(undecided);
    decided.forEach(pending -> pending.complete(outcome));
  }

  private void requeue(List<PendingTransaction> transactions) {
    lanes.requeueAtHead(transactions);
    flushTimer.schedule(0);
  }
}
