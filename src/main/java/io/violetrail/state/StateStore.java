package io.violetrail.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.net.Budget;
import io.violetrail.net.Futures;
import io.violetrail.net.Http;
import io.violetrail.net.Loop;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.Malformed;
import io.violetrail.wire.StateWire;
import io.violetrail.wire.StateWire.Entry;
import io.violetrail.wire.StateWire.Outcome;
import io.violetrail.wire.StateWire.Page;
import io.violetrail.wire.StateWire.Txn;
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
  private static final double TIMEOUT_S = 1.5;

  private static final double URGENT_RETRY_S = 0.3;

  /**
   * The rest is left unused, since a takeover and late requests of a dead controller come on top.
   */
  private static final double USED = 0.9;

  /** A submission behind more seconds' worth of writes than this is turned away at once. */
  private static final double BACKLOG_S = 1.5;

  /**
   * The part of the requests that questions about jobs may take: renewals and moves need the rest.
   */
  private static final double ASKED = 0.4;

  /** What a submission takes at most: its claim, and half of a sheet when the budget is short. */
  private static final double WRITES_A_JOB = 1.5;

  private static final int PAGE = 500;

  /** The part of a second's changes that a lender keeps for what comes next. */
  private static final double KEPT_OF_BURST = 0.5;

  private final Loop loop;
  private final Http http;
  private final Settings settings;
  private final Budget requests;
  private final Budget writes;
  private final Budget asked;
  private final GroupCommit group;
  private int sharers;

  /** Creates a client with equal shares of the state service's rate limits. */
  public StateStore(Loop loop, Http http, Settings settings) {
    this.loop = loop;
    this.http = http;
    this.settings = settings;
    double now = loop.seconds();
    this.requests = new Budget(1, 1, now);
    this.writes = new Budget(1, 1, now);
    this.asked = new Budget(1, 1, now);
    sharers(settings.peers().size() + 1);
    this.group =
        new GroupCommit(loop, requests, writes, settings.stateLimits().txnOps(), this::send);
  }

  /** How many controllers share the budgets now: what a dead one leaves goes to its survivors. */
  public void sharers(int controllers) {
    if (controllers == sharers) {
      return;
    }
    sharers = controllers;
    double share = USED / Math.max(1, controllers);
    requests.resize(settings.stateLimits().rps() * share, loop.seconds());
    writes.resize(settings.stateLimits().writeRps() * share, loop.seconds());
    asked.resize(settings.stateLimits().rps() * share * ASKED, loop.seconds());
  }

  /** The service said no, or said nothing. */
  public static final class Unavailable extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;

    public Unavailable(String why, int status) {
      super(why, null, false, false);
      this.status = status;
    }

    /** The cause of a failed future, whatever it is wrapped in. */
    public static Unavailable of(Throwable failure) {
      Throwable t =
          failure instanceof java.util.concurrent.CompletionException
              ? failure.getCause()
              : failure;
      return t instanceof Unavailable u ? u : new Unavailable(String.valueOf(t), 0);
    }

    /** Certainly not carried out, now or later. */
    public boolean refused() {
      return status != 0;
    }

    public int status() {
      return status;
    }
  }

  /** A whole listing with the revision it is as of. */
  public record Listing(List<Entry> entries, long revision) {}

  public CompletableFuture<Entry> get(String key) {
    return requests.has(1, loop.seconds()) ? getNow(key) : busy();
  }

  /** A read that a takeover waits for: sent whatever the budget says. */
  public CompletableFuture<Entry> getNow(String key) {
    requests.force(1, loop.seconds());
    return call("GET", "/keys/" + key, null, TIMEOUT_S)
        .thenApply(
            r -> {
              if (r.status() == 404) {
                return new Entry(key, null, 0);
              }
              return StateWire.entry(body(r));
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
  public CompletableFuture<Entry> getForUser(String key, int reads) {
    return asked.take(reads, loop.seconds()) ? get(key) : busy();
  }

  /** A page of keys after a key (empty: from the first on) for whoever asks, within that part. */
  public CompletableFuture<Page> pageForUser(String prefix, String after, int most) {
    if (!asked.take(1, loop.seconds()) || !requests.take(1, loop.seconds())) {
      return busy();
    }
    return call("GET", pagePath(prefix, after, most), null, TIMEOUT_S)
        .thenApply(r -> read(r, StateWire::page));
  }

  private static String pagePath(String prefix, String after, int most) {
    return "/keys?under=" + prefix + "&most=" + most + (after.isEmpty() ? "" : "&after=" + after);
  }

  /**
   * All keys of a prefix. The pages are read one after the other and keys change meanwhile, so the
   * listing is as of the <em>first</em> page's revision: what was changed since may be in it, but
   * is told by a watch from there in any case. As of the last page's, rows that were made while the
   * listing went on were taken for dropped, and no watch told of them any more.
   */
  public CompletableFuture<Listing> list(String prefix) {
    return nextPage(prefix, "")
        .thenCompose(first -> rest(prefix, first, new ArrayList<>(first.entries())));
  }

  private CompletableFuture<Listing> rest(String prefix, Page first, List<Entry> all) {
    return restAfter(prefix, first, all).thenApply(nothing -> new Listing(all, first.revision()));
  }

  private CompletableFuture<Void> restAfter(String prefix, Page page, List<Entry> all) {
    if (!page.more() || page.entries().isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    String last = page.entries().get(page.entries().size() - 1).key();
    return nextPage(prefix, last)
        .thenCompose(
            next -> {
              all.addAll(next.entries());
              return restAfter(prefix, next, all);
            });
  }

  private CompletableFuture<Page> nextPage(String prefix, String after) {
    requests.force(1, loop.seconds());
    return call("GET", pagePath(prefix, after, PAGE), null, TIMEOUT_S * 2)
        .thenApply(
            r -> {
              if (!r.ok()) {
                throw new Unavailable("list", r.status());
              }
              return read(r, StateWire::page);
            });
  }

  /** One try of a transaction. */
  public CompletableFuture<Outcome> txn(Txn txn) {
    double now = loop.seconds();
    if (!requests.take(1, now) || !writes.take(txn.writes(), now)) {
      return busy();
    }
    return send(txn);
  }

  /**
   * Repeats a conditional transaction until it is certain whether it was applied. The conditions
   * must be such that it cannot apply twice: each set key is among them. An outcome of "not
   * applied" can then mean that an earlier try was; the caller reads to find out.
   */
  public CompletableFuture<Outcome> settle(Txn txn) {
    return group.add(txn, GroupCommit.Lane.MACHINES);
  }

  /**
   * Like {@link #settle}, but drawn up by {@code draft} only when it is about to be sent. Fails
   * with status 400 if the draft is null.
   */
  public CompletableFuture<Outcome> settleLate(Supplier<Txn> draft) {
    return group.late(draft, GroupCommit.Lane.MACHINES);
  }

  /** Like {@link #settleLate}, before all else: users wait for it. */
  public CompletableFuture<Outcome> settleLateForUser(Supplier<Txn> draft) {
    return group.late(draft, GroupCommit.Lane.USERS);
  }

  /** Repeats a transaction that cannot wait for the budget until its outcome is certain. */
  public CompletableFuture<Outcome> settleUrgent(Txn txn) {
    CompletableFuture<Outcome> done = new CompletableFuture<>();
    Futures.logFailure(
        urgent(txn)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure == null) {
                    done.complete(outcome);
                  } else {
                    loop.after(
                        URGENT_RETRY_S,
                        () ->
                            Futures.logFailure(
                                settleUrgent(txn).whenComplete((o, f) -> done.complete(o)),
                                "repeat an urgent transaction"));
                  }
                }),
        "commit an urgent transaction");
    return done;
  }

  /** Like {@link #settle}, after all else: nobody waits for it. */
  public CompletableFuture<Outcome> settleLast(Txn txn) {
    return group.add(txn, GroupCommit.Lane.PROGRESS);
  }

  /** Changes that wait and that this controller's part of the budget does not allow now. */
  public double changesShort() {
    return writes.lacking(group.changesWaiting(), loop.seconds());
  }

  /** Gives up so many changes of this controller's part, or what it can spare of them. */
  public double lendChanges(double wanted) {
    double now = loop.seconds();
    if (group.changesWaiting() > 0) {
      return 0;
    }
    double lent = Math.min(wanted, writes.spare(KEPT_OF_BURST * writes.burst(), now));
    writes.force(lent, now);
    return lent;
  }

  /** Another controller has given up so many changes of its part for this one. */
  public void borrowedChanges(double changes) {
    writes.add(changes, loop.seconds());
    group.wake();
  }

  /** This controller's part of the writes. */
  public double writesPerSecond() {
    return writes.burst();
  }

  /** Whether so many submissions wait that one more would not be stored in time. */
  public boolean overloaded(int submissions) {
    return submissions * WRITES_A_JOB > BACKLOG_S * writes.burst() + 1;
  }

  /** A transaction that renewals and moves depend on: sent whatever the budget says. */
  public CompletableFuture<Outcome> urgent(Txn txn) {
    requests.force(1, loop.seconds());
    writes.force(txn.writes(), loop.seconds());
    return send(txn);
  }

  private CompletableFuture<Outcome> send(Txn txn) {
    byte[] bytes = txn.bytes();
    return call("POST", "/txn", bytes, TIMEOUT_S)
        .thenApply(
            r -> {
              if (r.status() == 409) {
                return StateWire.outcome(false, body(r));
              }
              if (!r.ok()) {
                throw new Unavailable("txn answered " + r.status(), r.status());
              }
              return StateWire.outcome(true, body(r));
            });
  }

  /**
   * Requests a new lease and returns its id.
   *
   * @param ttlS time to live in seconds
   */
  public CompletableFuture<Long> lease(double ttlS) {
    requests.force(1, loop.seconds());
    return call("POST", "/leases", Cbor.bytes(StateWire.lease(Math.round(ttlS * 1000))), TIMEOUT_S)
        .thenApply(r -> read(r, StateWire::leaseId));
  }

  /** True if renewed, false if the lease has ended. */
  public CompletableFuture<Boolean> renew(long lease) {
    requests.force(1, loop.seconds());
    return call("POST", "/leases/" + lease + "/renew", Cbor.bytes(Cbor.map()), TIMEOUT_S)
        .thenApply(r -> r.ok());
  }

  /** Watches a prefix: the answer's body, or null if the revision is too old. */
  public void watch(
      String prefix,
      long after,
      double waitS,
      Consumer<ObjectNode> changed,
      Consumer<Boolean> failed) {
    requests.force(1, loop.seconds());
    Futures.logFailure(
        http.call(
                settings.state(),
                "GET",
                "/changes?under="
                    + prefix
                    + "&after="
                    + after
                    + "&block_ms="
                    + Math.round(waitS * 1000),
                null,
                waitS + 3)
            .whenComplete(
                (r, failure) -> {
                  if (failure == null && r.ok()) {
                    try {
                      changed.accept(Cbor.parse(r.body()));
                      return;
                    } catch (Malformed e) {
                      // Treated like any other failure.
                    }
                  }
                  failed.accept(failure == null && r.status() == 410);
                }),
        "watch for changes");
  }

  private CompletableFuture<Http.Reply> call(
      String method, String path, byte[] body, double timeoutS) {
    CompletableFuture<Http.Reply> done = new CompletableFuture<>();
    Futures.logFailure(
        http.call(settings.state(), method, path, body, timeoutS)
            .whenComplete(
                (r, failure) -> {
                  if (failure != null) {
                    done.completeExceptionally(
                        new Unavailable("state service: " + failure.getMessage(), 0));
                  } else if (r.status() == 200 || r.status() == 404 || r.status() == 409) {
                    done.complete(r);
                  } else {
                    done.completeExceptionally(
                        new Unavailable("state service answered " + r.status(), r.status()));
                  }
                }),
        "call the state service");
    return done;
  }

  private <T> CompletableFuture<T> busy() {
    return CompletableFuture.failedFuture(new Unavailable("the budget is used up", 429));
  }

  /** Reads a part of an answer. */
  private interface Reader<T> {
    T read(ObjectNode body) throws Malformed;
  }

  private static ObjectNode body(Http.Reply r) {
    return read(r, m -> m);
  }

  private static <T> T read(Http.Reply r, Reader<T> reader) {
    try {
      return reader.read(Cbor.parse(r.body()));
    } catch (Malformed e) {
      throw new Unavailable("the state service's answer is unclear", 0);
    }
  }
}
