package io.violetrail.state;

import io.violetrail.net.Budget;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.net.Soon;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.wire.StateWire.Outcome;
import io.violetrail.wire.StateWire.Txn;
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

  private static final double GATHER_S = 0.004;
  private static final double RETRY_S = 0.3;
  private static final double PAUSE_S = 0.05;

  /** After so long a later lane has its turn, the last one after twice that. */
  private static final double PATIENCE_S = 0.7;

  /** Writes that a transaction must find in the budget; it may take more. */
  private static final int NARROW = 2;

  /** What a transaction that is yet to be drawn up is taken to write: a job and its sheet. */
  private static final int UNDRAFTED = 3;

  /** Requests under way at the same time: one may be slow without holding up the next. */
  private static final int IN_FLIGHT = 3;

  /** Below the protocol's 64 KiB, with room for what surrounds the parts. */
  private static final int MAX_BYTES = 48 * 1024;

  private final Loop loop;
  private final Budget requests;
  private final Budget writes;
  private final int maxWrites;
  private final Function<Txn, CompletableFuture<Outcome>> send;
  private final Map<Lane, ArrayDeque<Part>> lanes = new EnumMap<>(Lane.class);
  private int inFlight;
  private final Soon next;

  /** The lane that the last request began with, and the one that goes before its place. */
  private Lane served;

  private Lane turn;

  private static final class Part {
    final Lane lane;
    final CompletableFuture<Outcome> done = new CompletableFuture<>();

    /** Null until a late part is drafted. */
    Txn txn;

    final Supplier<Txn> draft;
    int bytes;
    final double sinceS;

    /** Refused as malformed together with others: sent alone, to find out which one it was. */
    boolean alone;

    Part(Txn txn, Supplier<Txn> draft, Lane lane, double sinceS) {
      this.lane = lane;
      this.sinceS = sinceS;
      this.draft = draft;
      this.alone = draft != null;
      if (txn != null) {
        is(txn);
      }
    }

    private void is(Txn now) {
      txn = now;
      bytes = now.bytes().length;
    }

    /** Drafts a late part; false if there is nothing left to write. */
    boolean drafted() {
      if (txn == null) {
        Txn now = draft.get();
        if (now == null) {
          return false;
        }
        is(now);
      }
      return true;
    }

    int writes() {
      return txn == null ? 1 : txn.writes();
    }
  }

  GroupCommit(
      Loop loop,
      Budget requests,
      Budget writes,
      int maxWrites,
      Function<Txn, CompletableFuture<Outcome>> send) {
    this.loop = loop;
    this.next = new Soon(loop, this::flush);
    this.requests = requests;
    this.writes = writes;
    this.maxWrites = maxWrites;
    this.send = send;
    for (Lane lane : Lane.values()) {
      lanes.put(lane, new ArrayDeque<>());
    }
  }

  CompletableFuture<Outcome> add(Txn txn, Lane lane) {
    return add(new Part(txn, null, lane, loop.seconds()));
  }

  /**
   * A transaction that is drawn up only when its turn has come, so that what it rests on is as new
   * as can be: one drafted before a wait for the budget would fail on conditions gone stale. The
   * future fails if there is nothing to write by then.
   */
  CompletableFuture<Outcome> late(Supplier<Txn> draft, Lane lane) {
    return add(new Part(null, draft, lane, loop.seconds()));
  }

  private CompletableFuture<Outcome> add(Part part) {
    lanes.get(part.lane).addLast(part);
    next.in(GATHER_S);
    return part.done;
  }

  /** Changes that users and machines wait for; progress is not counted, nobody waits for it. */
  double changesWaiting() {
    double sum = 0;
    for (Lane lane : List.of(Lane.USERS, Lane.MACHINES)) {
      for (Part p : lanes.get(lane)) {
        sum += p.txn == null ? UNDRAFTED : p.writes();
      }
    }
    return sum;
  }

  /** More of the budget is there. */
  void wake() {
    next.in(0);
  }

  private void flush() {
    boolean waits = false;
    while (inFlight < IN_FLIGHT) {
      List<Part> group = gather();
      if (group.isEmpty()) {
        break;
      }
      inFlight++;
      send(group);
    }
    for (ArrayDeque<Part> lane : lanes.values()) {
      waits |= !lane.isEmpty();
    }
    if (waits && inFlight < IN_FLIGHT) {
      next.in(PAUSE_S);
    }
  }

  /**
   * The lanes in their order, but one that has waited for long has its turn after each request of
   * another: submissions without end would keep machines from ever coming into use.
   */
  private List<Lane> order(double now) {
    List<Lane> order = new ArrayList<>(List.of(Lane.values()));
    turn = null;
    for (Lane lane : Lane.values()) {
      Part head = lanes.get(lane).peekFirst();
      if (lane != Lane.USERS
          && lane != served
          && head != null
          && now - head.sinceS > PATIENCE_S * lane.ordinal()) {
        turn = lane;
        order.remove(lane);
        order.add(0, lane);
        break;
      }
    }
    return order;
  }

  /** Takes what goes into one request out of the lanes and the budgets. */
  private List<Part> gather() {
    double now = loop.seconds();
    List<Part> group = new ArrayList<>();
    if (!requests.has(1, now)) {
      return group;
    }
    Group sum = new Group();
    for (Lane lane : order(now)) {
      // The later lanes leave a part of the budget to submissions that are yet to come, unless it
      // is
      // their turn.
      double left = lane == turn ? 0 : writes.burst() * lane.ordinal() * 0.25;
      for (var parts = lanes.get(lane).iterator(); parts.hasNext() && !sum.closed; ) {
        Part p = parts.next();
        // A wide transaction goes when a narrow one could, and those after it pay: one that had to
        // find its whole need in the bucket never went while submissions kept that low.
        double need = sum.writes + Math.min(p.writes(), NARROW) + left;
        if (!writes.has(Math.min(need, writes.burst()), now) || (p.alone && !group.isEmpty())) {
          break;
        }
        if (!p.drafted()) {
          parts.remove();
          p.done.completeExceptionally(new Unavailable("nothing to write", 400));
        } else if (sum.takes(p, maxWrites)) {
          parts.remove();
          group.add(p);
        }
      }
    }
    if (!group.isEmpty()) {
      served = group.get(0).lane;
      requests.force(1, now);
      writes.force(sum.writes, now);
    }
    return group;
  }

  /** What a request under construction comes to. */
  private static final class Group {
    int writes;
    int bytes;
    int parts;
    boolean closed;
    final Set<String> written = new HashSet<>();
    final Map<String, Long> conditions = new HashMap<>();

    /** Adds the part if it fits and says nothing that contradicts the others. */
    boolean takes(Part p, int maxWrites) {
      boolean fits =
          parts == 0
              || (!p.alone
                  && writes + p.txn.writes() <= maxWrites
                  && bytes + p.bytes <= MAX_BYTES
                  && conditions.size() + p.txn.conditions().size() <= 4 * maxWrites);
      if (closed || !fits) {
        return false;
      }
      for (String key : p.txn.writtenKeys()) {
        if (written.contains(key) || conditions.containsKey(key)) {
          return false;
        }
      }
      for (var c : p.txn.conditions().entrySet()) {
        Long other = conditions.get(c.getKey());
        if (written.contains(c.getKey()) || (other != null && !other.equals(c.getValue()))) {
          return false;
        }
      }
      written.addAll(p.txn.writtenKeys());
      conditions.putAll(p.txn.conditions());
      writes += p.txn.writes();
      bytes += p.bytes;
      parts++;
      closed = p.alone;
      return true;
    }
  }

  private void send(List<Part> group) {
    Txn all = new Txn();
    group.forEach(p -> all.add(p.txn));
    Futures.logFailure(
        send.apply(all)
            .whenComplete(
                (outcome, failure) -> {
                  inFlight--;
                  if (failure == null) {
                    settled(group, outcome);
                  } else if (Unavailable.of(failure).status() != 400) {
                    loop.after(RETRY_S, () -> again(group));
                  } else if (group.size() == 1) {
                    group.get(0).done.completeExceptionally(failure);
                  } else {
                    group.forEach(p -> p.alone = true);
                    again(group);
                  }
                  next.in(0);
                }),
        "commit a group of transactions");
  }

  private void settled(List<Part> group, Outcome outcome) {
    List<Part> rest = new ArrayList<>();
    List<Part> told = new ArrayList<>();
    for (Part p : group) {
      boolean refused = p.txn.conditions().keySet().stream().anyMatch(outcome.failed()::contains);
      (outcome.applied() || refused ? told : rest).add(p);
    }
    again(rest);
    for (Part p : told) {
      Set<String> failed = new HashSet<>(outcome.failed());
      failed.retainAll(p.txn.conditions().keySet());
      p.done.complete(new Outcome(outcome.applied(), outcome.revision(), failed));
    }
  }

  private void again(List<Part> group) {
    for (int i = group.size() - 1; i >= 0; i--) {
      lanes.get(group.get(i).lane).addFirst(group.get(i));
    }
    next.in(0);
  }
}
