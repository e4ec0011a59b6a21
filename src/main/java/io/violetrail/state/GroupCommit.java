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
 * Puts conditional transactions that wait into as few requests as their limits allow, the lanes in
 * their order, and retries each until it has a certain answer. A retry after a lost answer
 * completes as not applied if the first try was applied: its caller looks at the rows, see
 * StateStore.
 *
 * <p>Transactions that share a request stand or fall together only in that request: one whose
 * conditions do not hold completes as not applied, and the others are sent again without it.
 *
 * <p>Owns the transactions that wait and the number of requests under way. Called on the event
 * loop's thread. Nothing survives a crash: a transaction under way may then be applied all the
 * same, which its conditions must allow for.
 */
final class GroupCommit {
  private static final double GATHER_SECONDS = 0.004;
  private static final double RETRY_SECONDS = 0.3;
  private static final double BUDGET_WAIT_SECONDS = 0.05;

  /**
   * A transaction is sent once the budget has this many writes, or its own number if that is lower,
   * beyond what is reserved; what it takes beyond is a debt.
   */
  private static final int ADMISSION_WRITES = 2;

  /** Requests under way at the same time: one may be slow without holding up the next. */
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
   * @param sender sends one request that is paid for already
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
   * Adds a transaction that is drafted only when its turn has come, so that what it rests on is as
   * new as can be: one drafted before a wait for the budget would fail on conditions gone stale.
   *
   * @return fails with {@link NothingToWriteException} if the draft is null
   */
  CompletableFuture<TransactionOutcome> addDeferred(
      Supplier<Transaction> drafter, CommitLane lane) {
    return add(PendingTransaction.deferred(drafter, lane, loop.monotonicSeconds()));
  }

  private CompletableFuture<TransactionOutcome> add(PendingTransaction pending) {
    lanes.addLast(pending);
    flushTimer.schedule(GATHER_SECONDS);
    return pending.outcome();
  }

  /** Writes that users and machines wait for. */
  double waitingWriteCount() {
    return lanes.waitingWriteCount();
  }

  /** Sends what the budget allows without waiting: there is more of it now. */
  void flushNow() {
    flushTimer.schedule(0);
  }

  private void flush() {
    while (requestsInFlight < MAX_REQUESTS_IN_FLIGHT) {
      TransactionBatch batch = gatherBatch();
      if (batch.isEmpty()) {
        break;
      }
      requestsInFlight++;
      send(batch);
    }
    if (!lanes.isEmpty() && requestsInFlight < MAX_REQUESTS_IN_FLIGHT) {
      flushTimer.schedule(BUDGET_WAIT_SECONDS);
    }
  }

  /** Takes what goes into one request out of the lanes and the budget; empty if nothing may go. */
  private TransactionBatch gatherBatch() {
    double nowSeconds = loop.monotonicSeconds();
    TransactionBatch batch = new TransactionBatch(maxWritesPerRequest);
    if (!budget.hasRequest(nowSeconds)) {
      return batch;
    }
    Optional<CommitLane> overdueLane = lanes.findOverdueLane(nowSeconds);
    for (CommitLane lane : CommitLanes.inOrder(overdueLane)) {
      boolean overdue = overdueLane.isPresent() && overdueLane.get() == lane;
      double reservedWrites = overdue ? 0 : budget.writesPerSecond() * lane.reservedBurstFraction();
      gatherFromLane(lane, reservedWrites, batch, nowSeconds);
    }
    if (!batch.isEmpty()) {
      lanes.recordServed(batch.transactions().get(0).lane());
      budget.takeTransaction(batch.writeCount(), nowSeconds);
    }
    return batch;
  }

  /** Adds a lane's transactions in their order, as far as the budget goes; skips what conflicts. */
  private void gatherFromLane(
      CommitLane lane, double reservedWrites, TransactionBatch batch, double nowSeconds) {
    for (var queue = lanes.iterator(lane); queue.hasNext() && !batch.isClosed(); ) {
      PendingTransaction pending = queue.next();
      // A wide transaction goes when a narrow one could, and those after it pay: one that had to
      // find its whole need in the bucket would never go while submissions keep that low.
      double neededWrites =
          batch.writeCount()
              + Math.min(pending.knownWriteCount(), ADMISSION_WRITES)
              + reservedWrites;
      if (!budget.hasWrites(neededWrites, nowSeconds)
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
   * Only a refusal as malformed is final, and only for a transaction that was alone in its request.
   * After any other failure the request may have been applied, or may be later: repeats find out.
   */
  private void handleFailure(List<PendingTransaction> transactions, Throwable failure) {
    if (!RequestFailedException.from(failure).isRefusedAsMalformed()) {
      loop.schedule(RETRY_SECONDS, () -> requeue(transactions));
    } else if (transactions.size() == 1) {
      transactions.get(0).fail(failure);
    } else {
      transactions.forEach(PendingTransaction::sendAlone);
      requeue(transactions);
    }
  }

  private void handleOutcome(List<PendingTransaction> transactions, TransactionOutcome outcome) {
    List<PendingTransaction> undecided = new ArrayList<>();
    List<PendingTransaction> decided = new ArrayList<>();
    for (PendingTransaction pending : transactions) {
      (outcome.applied() || pending.isRefusedBy(outcome) ? decided : undecided).add(pending);
    }
    requeue(undecided);
    decided.forEach(pending -> pending.complete(outcome));
  }

  private void requeue(List<PendingTransaction> transactions) {
    lanes.putBack(transactions);
    flushTimer.schedule(0);
  }
}
