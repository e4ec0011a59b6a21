package io.violetrail.state;

import io.violetrail.errors.NothingToWriteException;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.net.CoalescingTimer;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.RateLimiter;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Puts conditional transactions that wait into as few requests as their limits allow, the lanes in
 * their order, and repeats each until it is certain whether it was applied.
 *
 * <p>Transactions that share a request stand or fall together only in that request: one whose
 * conditions do not hold is told so, and the others are sent again without it.
 */
final class GroupCommit {
  /** Who goes first when the budget is short. */
  enum Lane {
    /** Submissions, cancellations and ends: users wait for them. */
    USERS,
    /** Machines: rented, up, passed over, gone. */
    MACHINES,
    /** Progress of jobs, which nobody waits for. */
    PROGRESS
  }

  private static final double GATHER_SECONDS = 0.004;
  private static final double RETRY_SECONDS = 0.3;
  private static final double BUDGET_WAIT_SECONDS = 0.05;

  /** After so long a later lane has its turn, the last one after twice that. */
  private static final double LANE_STARVATION_SECONDS = 0.7;

  /** Writes that a transaction must find in the budget; it may take more. */
  private static final int NARROW_TRANSACTION_WRITES = 2;

  /** What a transaction that is yet to be drawn up is taken to write: a job and its sheet. */
  private static final int UNDRAFTED_WRITES_ESTIMATE = 3;

  /** Requests under way at the same time: one may be slow without holding up the next. */
  private static final int MAX_REQUESTS_IN_FLIGHT = 3;

  /** Below the protocol's 64 KiB, with room for what surrounds the parts. */
  private static final int MAX_REQUEST_BYTES = 48 * 1024;

  private final EventLoop loop;
  private final RateLimiter requestLimiter;
  private final RateLimiter writeLimiter;
  private final int maxWritesPerRequest;
  private final Function<Transaction, CompletableFuture<TransactionOutcome>> sender;
  private final Map<Lane, ArrayDeque<PendingTransaction>> lanes = new EnumMap<>(Lane.class);
  private int requestsInFlight;
  private final CoalescingTimer flushDebouncer;

  /** The lane that the last request began with, and the one that goes before its place. */
  private Lane lastServedLane;

  private Lane overdueLane;

  private static final class PendingTransaction {
    final Lane lane;
    final CompletableFuture<TransactionOutcome> outcome = new CompletableFuture<>();

    /** Null until a late part is drafted. */
    Transaction transaction;

    final Supplier<Transaction> drafter;
    int sizeBytes;
    final double queuedAtSeconds;

    /** Refused as malformed together with others: sent alone, to find out which one it was. */
    boolean sentAlone;

    PendingTransaction(
        Transaction transaction, Supplier<Transaction> drafter, Lane lane, double queuedAtSeconds) {
      this.lane = lane;
      this.queuedAtSeconds = queuedAtSeconds;
      this.drafter = drafter;
      this.sentAlone = drafter != null;
      if (transaction != null) {
        setTransaction(transaction);
      }
    }

    private void setTransaction(Transaction drafted) {
      transaction = drafted;
      sizeBytes = drafted.encode().length;
    }

    /** Drafts a late part; false if there is nothing left to write. */
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

    int writeCount() {
      return transaction == null ? 1 : transaction.writeCount();
    }
  }

  GroupCommit(
      EventLoop loop,
      RateLimiter requestLimiter,
      RateLimiter writeLimiter,
      int maxWritesPerRequest,
      Function<Transaction, CompletableFuture<TransactionOutcome>> sender) {
    this.loop = loop;
    this.flushDebouncer = new CoalescingTimer(loop, this::flush);
    this.requestLimiter = requestLimiter;
    this.writeLimiter = writeLimiter;
    this.maxWritesPerRequest = maxWritesPerRequest;
    this.sender = sender;
    for (Lane lane : Lane.values()) {
      lanes.put(lane, new ArrayDeque<>());
    }
  }

  CompletableFuture<TransactionOutcome> add(Transaction transaction, Lane lane) {
    return add(new PendingTransaction(transaction, null, lane, loop.monotonicSeconds()));
  }

  /**
   * A transaction that is drawn up only when its turn has come, so that what it rests on is as new
   * as can be: one drafted before a wait for the budget would fail on conditions gone stale. The
   * future fails if there is nothing to write by then.
   */
  CompletableFuture<TransactionOutcome> addDeferred(Supplier<Transaction> drafter, Lane lane) {
    return add(new PendingTransaction(null, drafter, lane, loop.monotonicSeconds()));
  }

  private CompletableFuture<TransactionOutcome> add(PendingTransaction pending) {
    lanes.get(pending.lane).addLast(pending);
    flushDebouncer.schedule(GATHER_SECONDS);
    return pending.outcome;
  }

  /** Changes that users and machines wait for; progress is not counted, nobody waits for it. */
  double waitingWriteCount() {
    double count = 0;
    for (Lane lane : List.of(Lane.USERS, Lane.MACHINES)) {
      for (PendingTransaction pending : lanes.get(lane)) {
        count += pending.transaction == null ? UNDRAFTED_WRITES_ESTIMATE : pending.writeCount();
      }
    }
    return count;
  }

  /** More of the budget is there. */
  void flushNow() {
    flushDebouncer.schedule(0);
  }

  private void flush() {
    boolean hasWaiting = false;
    while (requestsInFlight < MAX_REQUESTS_IN_FLIGHT) {
      List<PendingTransaction> batch = gatherBatch();
      if (batch.isEmpty()) {
        break;
      }
      requestsInFlight++;
      sendBatch(batch);
    }
    for (ArrayDeque<PendingTransaction> lane : lanes.values()) {
      hasWaiting |= !lane.isEmpty();
    }
    if (hasWaiting && requestsInFlight < MAX_REQUESTS_IN_FLIGHT) {
      flushDebouncer.schedule(BUDGET_WAIT_SECONDS);
    }
  }

  /**
   * The lanes in their order, but one that has waited for long has its turn after each request of
   * another: submissions without end would keep machines from ever coming into use.
   */
  private List<Lane> orderLanes(double nowSeconds) {
    List<Lane> order = new ArrayList<>(List.of(Lane.values()));
    overdueLane = null;
    for (Lane lane : Lane.values()) {
      PendingTransaction head = lanes.get(lane).peekFirst();
      if (lane != Lane.USERS
          && lane != lastServedLane
          && head != null
          && nowSeconds - head.queuedAtSeconds > LANE_STARVATION_SECONDS * lane.ordinal()) {
        overdueLane = lane;
        order.remove(lane);
        order.add(0, lane);
        break;
      }
    }
    return order;
  }

  /** Takes what goes into one request out of the lanes and the budgets. */
  private List<PendingTransaction> gatherBatch() {
    double nowSeconds = loop.monotonicSeconds();
    List<PendingTransaction> batch = new ArrayList<>();
    if (!requestLimiter.canAcquire(1, nowSeconds)) {
      return batch;
    }
    Batch request = new Batch();
    for (Lane lane : orderLanes(nowSeconds)) {
      // The later lanes leave a part of the budget to submissions that are yet to come, unless it
      // is
      // their turn.
      double reservedWrites =
          lane == overdueLane ? 0 : writeLimiter.burst() * lane.ordinal() * 0.25;
      for (var queue = lanes.get(lane).iterator(); queue.hasNext() && !request.closed; ) {
        PendingTransaction pending = queue.next();
        // A wide transaction goes when a narrow one could, and those after it pay: one that had to
        // find its whole need in the bucket never went while submissions kept that low.
        double neededWrites =
            request.writeCount
                + Math.min(pending.writeCount(), NARROW_TRANSACTION_WRITES)
                + reservedWrites;
        if (!writeLimiter.canAcquire(Math.min(neededWrites, writeLimiter.burst()), nowSeconds)
            || (pending.sentAlone && !batch.isEmpty())) {
          break;
        }
        if (!pending.draftIfNeeded()) {
          queue.remove();
          pending.outcome.completeExceptionally(new NothingToWriteException());
        } else if (request.tryAdd(pending, maxWritesPerRequest)) {
          queue.remove();
          batch.add(pending);
        }
      }
    }
    if (!batch.isEmpty()) {
      lastServedLane = batch.get(0).lane;
      requestLimiter.acquireUnconditionally(1, nowSeconds);
      writeLimiter.acquireUnconditionally(request.writeCount, nowSeconds);
    }
    return batch;
  }

  /** What a request under construction comes to. */
  private static final class Batch {
    int writeCount;
    int sizeBytes;
    int transactionCount;
    boolean closed;
    final Set<String> writtenKeys = new HashSet<>();
    final Map<String, Long> conditions = new HashMap<>();

    /** Adds the part if it fits and says nothing that contradicts the others. */
    boolean tryAdd(PendingTransaction pending, int maxWritesPerRequest) {
      boolean fits =
          transactionCount == 0
              || (!pending.sentAlone
                  && writeCount + pending.transaction.writeCount() <= maxWritesPerRequest
                  && sizeBytes + pending.sizeBytes <= MAX_REQUEST_BYTES
                  && conditions.size() + pending.transaction.expectedRevisions().size()
                      <= 4 * maxWritesPerRequest);
      if (closed || !fits) {
        return false;
      }
      for (String key : pending.transaction.writtenKeys()) {
        if (writtenKeys.contains(key) || conditions.containsKey(key)) {
          return false;
        }
      }
      for (var condition : pending.transaction.expectedRevisions().entrySet()) {
        Long otherRevision = conditions.get(condition.getKey());
        if (writtenKeys.contains(condition.getKey())
            || (otherRevision != null && !otherRevision.equals(condition.getValue()))) {
          return false;
        }
      }
      writtenKeys.addAll(pending.transaction.writtenKeys());
      conditions.putAll(pending.transaction.expectedRevisions());
      writeCount += pending.transaction.writeCount();
      sizeBytes += pending.sizeBytes;
      transactionCount++;
      closed = pending.sentAlone;
      return true;
    }
  }

  private void sendBatch(List<PendingTransaction> batch) {
    Transaction combined = new Transaction();
    batch.forEach(p -> combined.merge(p.transaction));
    Futures.logFailure(
        sender
            .apply(combined)
            .whenComplete(
                (outcome, failure) -> {
                  requestsInFlight--;
                  if (failure == null) {
                    completeBatch(batch, outcome);
                  } else if (!RequestFailedException.from(failure).isRefusedAsMalformed()) {
                    loop.schedule(RETRY_SECONDS, () -> requeue(batch));
                  } else if (batch.size() == 1) {
                    batch.get(0).outcome.completeExceptionally(failure);
                  } else {
                    batch.forEach(p -> p.sentAlone = true);
                    requeue(batch);
                  }
                  flushDebouncer.schedule(0);
                }),
        "commit a group of transactions");
  }

  private void completeBatch(List<PendingTransaction> batch, TransactionOutcome outcome) {
    List<PendingTransaction> undecided = new ArrayList<>();
    List<PendingTransaction> decided = new ArrayList<>();
    for (PendingTransaction pending : batch) {
      boolean refused =
          pending.transaction.expectedRevisions().keySet().stream()
              .anyMatch(outcome.failedKeys()::contains);
      (outcome.applied() || refused ? decided : undecided).add(pending);
    }
    requeue(undecided);
    for (PendingTransaction pending : decided) {
      Set<String> failed = new HashSet<>(outcome.failedKeys());
      failed.retainAll(pending.transaction.expectedRevisions().keySet());
      pending.outcome.complete(
          new TransactionOutcome(outcome.applied(), outcome.revision(), failed));
    }
  }

  private void requeue(List<PendingTransaction> batch) {
    for (int i = batch.size() - 1; i >= 0; i--) {
      lanes.get(batch.get(i).lane).addFirst(batch.get(i));
    }
    flushDebouncer.schedule(0);
  }
}
