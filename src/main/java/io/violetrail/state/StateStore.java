package io.violetrail.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.errors.NothingToWriteException;
import io.violetrail.errors.OverBudgetException;
import io.violetrail.errors.Receiver;
import io.violetrail.errors.RequestRejectedException;
import io.violetrail.errors.RequestUndecidedException;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient;
import io.violetrail.net.RateLimiter;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import io.violetrail.wire.StateStoreMessages;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.ListPage;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The state service's client, within this controller's part of the shared budget.
 *
 * <p>Reads and plain transactions fail at once when the part is used up; renewals always go.
 */
public final class StateStore {
  /** Two timeouts fit into a user's patience of 5 s. */
  private static final double TIMEOUT_SECONDS = 1.5;

  private static final double URGENT_RETRY_SECONDS = 0.3;

  /**
   * The rest is left unused, since a takeover and late requests of a dead controller come on top.
   */
  private static final double BUDGET_FRACTION_USED = 0.9;

  /** A submission behind more seconds' worth of writes than this is turned away at once. */
  private static final double MAX_BACKLOG_SECONDS = 1.5;

  /**
   * The part of the requests that questions about jobs may take: renewals and moves need the rest.
   */
  private static final double USER_READ_FRACTION = 0.4;

  /** What a submission takes at most: its claim, and half of a sheet when the budget is short. */
  private static final double WRITES_PER_SUBMISSION = 1.5;

  private static final int PAGE_SIZE = 500;

  /** The part of a second's changes that a lender keeps for what comes next. */
  private static final double RESERVED_BURST_FRACTION = 0.5;

  private final EventLoop loop;
  private final HttpClient http;
  private final Settings settings;
  private final RateLimiter requestLimiter;
  private final RateLimiter writeLimiter;
  private final RateLimiter userReadLimiter;
  private final GroupCommit groupCommit;
  private int activeControllerCount;

  /** Creates a client with equal shares of the state service's rate limits. */
  public StateStore(EventLoop loop, HttpClient http, Settings settings) {
    this.loop = loop;
    this.http = http;
    this.settings = settings;
    double nowSeconds = loop.monotonicSeconds();
    this.requestLimiter = new RateLimiter(1, 1, nowSeconds);
    this.writeLimiter = new RateLimiter(1, 1, nowSeconds);
    this.userReadLimiter = new RateLimiter(1, 1, nowSeconds);
    setActiveControllerCount(settings.peers().size() + 1);
    this.groupCommit =
        new GroupCommit(
            loop,
            requestLimiter,
            writeLimiter,
            settings.stateStoreLimits().maxTransactionOperations(),
            this::send);
  }

  /** How many controllers share the budgets now: what a dead one leaves goes to its survivors. */
  public void setActiveControllerCount(int newCount) {
    if (newCount == activeControllerCount) {
      return;
    }
    activeControllerCount = newCount;
    double shareOfBudget = BUDGET_FRACTION_USED / Math.max(1, newCount);
    requestLimiter.setRateAndBurst(
        settings.stateStoreLimits().requestsPerSecond() * shareOfBudget, loop.monotonicSeconds());
    writeLimiter.setRateAndBurst(
        settings.stateStoreLimits().writesPerSecond() * shareOfBudget, loop.monotonicSeconds());
    userReadLimiter.setRateAndBurst(
        settings.stateStoreLimits().requestsPerSecond() * shareOfBudget * USER_READ_FRACTION,
        loop.monotonicSeconds());
  }

  /** A whole listing with the revision it is as of. */
  public record Listing(List<Entry> entries, long revision) {}

  public CompletableFuture<Entry> get(String key) {
    return requestLimiter.canAcquire(1, loop.monotonicSeconds())
        ? getUrgent(key)
        : rejectOverBudget();
  }

  /** A read that a takeover waits for: sent whatever the budget says. */
  public CompletableFuture<Entry> getUrgent(String key) {
    requestLimiter.acquireUnconditionally(1, loop.monotonicSeconds());
    return call("GET", "/keys/" + key, null, TIMEOUT_SECONDS)
        .thenApply(
            reply -> {
              if (reply.status() == 404) {
                return new Entry(key, null, 0);
              }
              return StateStoreMessages.parseEntry(parseBody(reply));
            });
  }

  /**
   * A read on behalf of whoever asks, known to us or not, within a bounded part of the budget: many
   * questions about jobs that nobody submitted must not use up what renewals and moves need.
   */
  public CompletableFuture<Entry> getForUser(String key) {
    return getForUser(key, 1);
  }

  /**
   * The first of so many reads that follow from one question, all paid for here. Where each had to
   * find its own in the budget, a rush of questions used it up with first reads, and hardly any
   * question was answered.
   */
  public CompletableFuture<Entry> getForUser(String key, int readCount) {
    return userReadLimiter.tryAcquire(readCount, loop.monotonicSeconds())
        ? get(key)
        : rejectOverBudget();
  }

  /** A page of keys after a key (empty: from the first on) for whoever asks, within that part. */
  public CompletableFuture<ListPage> pageForUser(String prefix, String afterKey, int maxEntries) {
    if (!userReadLimiter.tryAcquire(1, loop.monotonicSeconds())
        || !requestLimiter.tryAcquire(1, loop.monotonicSeconds())) {
      return rejectOverBudget();
    }
    return call("GET", pagePath(prefix, afterKey, maxEntries), null, TIMEOUT_SECONDS)
        .thenApply(reply -> parse(reply, StateStoreMessages::parsePage));
  }

  private static String pagePath(String prefix, String afterKey, int maxEntries) {
    return "/keys?under="
        + prefix
        + "&most="
        + maxEntries
        + (afterKey.isEmpty() ? "" : "&after=" + afterKey);
  }

  /**
   * All keys of a prefix. The pages are read one after the other and keys change meanwhile, so the
   * listing is as of the <em>first</em> page's revision: what was changed since may be in it, but
   * is told by a watch from there in any case. As of the last page's, rows that were made while the
   * listing went on were taken for dropped, and no watch told of them any more.
   */
  public CompletableFuture<Listing> list(String prefix) {
    return readPage(prefix, "")
        .thenCompose(first -> listRemaining(prefix, first, new ArrayList<>(first.entries())));
  }

  private CompletableFuture<Listing> listRemaining(String prefix, ListPage first, List<Entry> all) {
    return readPagesAfter(prefix, first, all)
        .thenApply(nothing -> new Listing(all, first.revision()));
  }

  private CompletableFuture<Void> readPagesAfter(String prefix, ListPage page, List<Entry> all) {
    if (!page.more() || page.entries().isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    String lastKey = page.entries().get(page.entries().size() - 1).key();
    return readPage(prefix, lastKey)
        .thenCompose(
            next -> {
              all.addAll(next.entries());
              return readPagesAfter(prefix, next, all);
            });
  }

  private CompletableFuture<ListPage> readPage(String prefix, String afterKey) {
    requestLimiter.acquireUnconditionally(1, loop.monotonicSeconds());
    return call("GET", pagePath(prefix, afterKey, PAGE_SIZE), null, TIMEOUT_SECONDS * 2)
        .thenApply(
            reply -> {
              if (!reply.isOk()) {
                throw RequestRejectedException.listingAnswered(reply.status());
              }
              return parse(reply, StateStoreMessages::parsePage);
            });
  }

  /** One try of a transaction. */
  public CompletableFuture<TransactionOutcome> tryTransaction(Transaction transaction) {
    double nowSeconds = loop.monotonicSeconds();
    if (!requestLimiter.tryAcquire(1, nowSeconds)
        || !writeLimiter.tryAcquire(transaction.writeCount(), nowSeconds)) {
      return rejectOverBudget();
    }
    return send(transaction);
  }

  /**
   * Repeats a conditional transaction until it is certain whether it was applied. The conditions
   * must be such that it cannot apply twice: each set key is among them. An outcome of "not
   * applied" can then mean that an earlier try was; the caller reads to find out.
   */
  public CompletableFuture<TransactionOutcome> commit(Transaction transaction) {
    return groupCommit.add(transaction, GroupCommit.Lane.MACHINES);
  }

  /**
   * Like {@link #commit}, but drawn up by {@code drafter} only when it is about to be sent. Fails
   * with {@link NothingToWriteException} if the draft is null.
   */
  public CompletableFuture<TransactionOutcome> commitDeferred(Supplier<Transaction> drafter) {
    return groupCommit.addDeferred(drafter, GroupCommit.Lane.MACHINES);
  }

  /** Like {@link #commitDeferred}, before all else: users wait for it. */
  public CompletableFuture<TransactionOutcome> commitDeferredForUser(
      Supplier<Transaction> drafter) {
    return groupCommit.addDeferred(drafter, GroupCommit.Lane.USERS);
  }

  /** Repeats a transaction that cannot wait for the budget until its outcome is certain. */
  public CompletableFuture<TransactionOutcome> commitUrgent(Transaction transaction) {
    CompletableFuture<TransactionOutcome> result = new CompletableFuture<>();
    Futures.logFailure(
        tryUrgentTransaction(transaction)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure == null) {
                    result.complete(outcome);
                  } else {
                    loop.schedule(
                        URGENT_RETRY_SECONDS,
                        () ->
                            Futures.logFailure(
                                commitUrgent(transaction)
                                    .whenComplete(
                                        (retriedOutcome, retriedFailure) ->
                                            result.complete(retriedOutcome)),
                                "repeat an urgent transaction"));
                  }
                }),
        "commit an urgent transaction");
    return result;
  }

  /** Like {@link #commit}, after all else: nobody waits for it. */
  public CompletableFuture<TransactionOutcome> commitInBackground(Transaction transaction) {
    return groupCommit.add(transaction, GroupCommit.Lane.PROGRESS);
  }

  /** Changes that wait and that this controller's part of the budget does not allow now. */
  public double missingWrites() {
    return writeLimiter.shortfall(groupCommit.waitingWriteCount(), loop.monotonicSeconds());
  }

  /** Gives up so many changes of this controller's part, or what it can spare of them. */
  public double lendWrites(double wantedWrites) {
    double nowSeconds = loop.monotonicSeconds();
    if (groupCommit.waitingWriteCount() > 0) {
      return 0;
    }
    double lentWrites =
        Math.min(
            wantedWrites,
            writeLimiter.surplusAbove(RESERVED_BURST_FRACTION * writeLimiter.burst(), nowSeconds));
    writeLimiter.acquireUnconditionally(lentWrites, nowSeconds);
    return lentWrites;
  }

  /** Another controller has given up so many changes of its part for this one. */
  public void addBorrowedWrites(double borrowedWrites) {
    writeLimiter.addPermits(borrowedWrites, loop.monotonicSeconds());
    groupCommit.flushNow();
  }

  /** This controller's part of the writes. */
  public double writesPerSecond() {
    return writeLimiter.burst();
  }

  /** Whether so many submissions wait that one more would not be stored in time. */
  public boolean isOverloaded(int waitingSubmissions) {
    return waitingSubmissions * WRITES_PER_SUBMISSION
        > MAX_BACKLOG_SECONDS * writeLimiter.burst() + 1;
  }

  /** A transaction that renewals and moves depend on: sent whatever the budget says. */
  public CompletableFuture<TransactionOutcome> tryUrgentTransaction(Transaction transaction) {
    requestLimiter.acquireUnconditionally(1, loop.monotonicSeconds());
    writeLimiter.acquireUnconditionally(transaction.writeCount(), loop.monotonicSeconds());
    return send(transaction);
  }

  private CompletableFuture<TransactionOutcome> send(Transaction transaction) {
    byte[] bytes = transaction.encode();
    return call("POST", "/txn", bytes, TIMEOUT_SECONDS)
        .thenApply(
            reply -> {
              if (reply.status() == 409) {
                return StateStoreMessages.parseOutcome(false, parseBody(reply));
              }
              if (!reply.isOk()) {
                throw RequestRejectedException.transactionAnswered(reply.status());
              }
              return StateStoreMessages.parseOutcome(true, parseBody(reply));
            });
  }

  /**
   * Requests a new lease and returns its id.
   *
   * @param ttlSeconds time to live in seconds
   */
  public CompletableFuture<Long> grantLease(double ttlSeconds) {
    requestLimiter.acquireUnconditionally(1, loop.monotonicSeconds());
    return call(
            "POST",
            "/leases",
            Cbor.encode(StateStoreMessages.leaseRequest(Math.round(ttlSeconds * 1000))),
            TIMEOUT_SECONDS)
        .thenApply(reply -> parse(reply, StateStoreMessages::parseLeaseId));
  }

  /** True if renewed, false if the lease has ended. */
  public CompletableFuture<Boolean> renewLease(long leaseId) {
    requestLimiter.acquireUnconditionally(1, loop.monotonicSeconds());
    return call(
            "POST", "/leases/" + leaseId + "/renew", Cbor.encode(Cbor.newMap()), TIMEOUT_SECONDS)
        .thenApply(reply -> reply.isOk());
  }

  /** Watches a prefix: the answer's body, or null if the revision is too old. */
  public void watch(
      String prefix,
      long afterRevision,
      double waitSeconds,
      Consumer<ObjectNode> onChanges,
      Consumer<Boolean> onFailure) {
    requestLimiter.acquireUnconditionally(1, loop.monotonicSeconds());
    Futures.logFailure(
        http.call(
                settings.stateStoreAddress(),
                "GET",
                "/changes?under="
                    + prefix
                    + "&after="
                    + afterRevision
                    + "&block_ms="
                    + Math.round(waitSeconds * 1000),
                null,
                waitSeconds + 3)
            .whenComplete(
                (reply, failure) -> {
                  if (failure == null && reply.isOk()) {
                    try {
                      onChanges.accept(Cbor.parse(reply.body()));
                      return;
                    } catch (MalformedMessageException malformed) {
                      // Treated like any other failure.
                    }
                  }
                  onFailure.accept(failure == null && reply.status() == 410);
                }),
        "watch for changes");
  }

  private CompletableFuture<HttpClient.ClientReply> call(
      String method, String path, byte[] body, double timeoutSeconds) {
    CompletableFuture<HttpClient.ClientReply> result = new CompletableFuture<>();
    Futures.logFailure(
        http.call(settings.stateStoreAddress(), method, path, body, timeoutSeconds)
            .whenComplete(
                (reply, failure) -> {
                  if (failure != null) {
                    result.completeExceptionally(
                        RequestUndecidedException.noAnswer(Receiver.STATE_STORE, failure));
                  } else if (reply.status() == 200
                      || reply.status() == 404
                      || reply.status() == 409) {
                    result.complete(reply);
                  } else {
                    result.completeExceptionally(
                        RequestRejectedException.answered(Receiver.STATE_STORE, reply.status()));
                  }
                }),
        "call the state service");
    return result;
  }

  private <T> CompletableFuture<T> rejectOverBudget() {
    return CompletableFuture.failedFuture(
        new OverBudgetException(OverBudgetException.Limit.STATE_STORE_BUDGET));
  }

  /** Reads a part of an answer. */
  private interface BodyReader<T> {
    T read(ObjectNode body) throws MalformedMessageException;
  }

  private static ObjectNode parseBody(HttpClient.ClientReply reply) {
    return parse(reply, m -> m);
  }

  private static <T> T parse(HttpClient.ClientReply reply, BodyReader<T> reader) {
    try {
      return reader.read(Cbor.parse(reply.body()));
    } catch (MalformedMessageException malformed) {
      throw RequestUndecidedException.unclearAnswer(Receiver.STATE_STORE);
    }
  }
}
