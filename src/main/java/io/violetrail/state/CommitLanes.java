package io.violetrail.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The transactions that wait, in a queue for each lane, and whose turn it is.
 *
 * <p>Called on the event loop's thread by {@link GroupCommit} alone.
 */
final class CommitLanes {
  private final Map<CommitLane, ArrayDeque<PendingTransaction>> queueByLane =
      new EnumMap<>(CommitLane.class);

  /** The lane that the last request began with; null before the first one. */
  private CommitLane lastServedLane;

  CommitLanes() {
    for (CommitLane lane : CommitLane.values()) {
      queueByLane.put(lane, new ArrayDeque<>());
    }
  }

  void addLast(PendingTransaction pending) {
    queueByLane.get(pending.lane()).addLast(pending);
  }

  /** Puts transactions that were under way back to where they came from, in the same order. */
  void putBack(List<PendingTransaction> transactions) {
    for (int i = transactions.size() - 1; i >= 0; i--) {
      queueByLane.get(transactions.get(i).lane()).addFirst(transactions.get(i));
    }
  }

  boolean isEmpty() {
    return queueByLane.values().stream().allMatch(ArrayDeque::isEmpty);
  }

  /** A lane's transactions in their order; those that go into a request are removed through it. */
  Iterator<PendingTransaction> iterator(CommitLane lane) {
    return queueByLane.get(lane).iterator();
  }

  /** Writes that users and machines wait for; progress is not counted, nobody waits for it. */
  double waitingWriteCount() {
    double count = 0;
    for (CommitLane lane : List.of(CommitLane.USERS, CommitLane.MACHINES)) {
      for (PendingTransaction pending : queueByLane.get(lane)) {
        count += pending.expectedWriteCount();
      }
    }
    return count;
  }

  /**
   * The first lane that has waited for too long and did not begin the last request. It goes before
   * its place then: submissions without end would keep machines from ever coming into use.
   */
  Optional<CommitLane> findOverdueLane(double nowSeconds) {
    for (CommitLane lane : CommitLane.values()) {
      PendingTransaction head = queueByLane.get(lane).peekFirst();
      if (lane != lastServedLane
          && head != null
          && nowSeconds - head.queuedAtSeconds() > lane.starvationSeconds()) {
        return Optional.of(lane);
      }
    }
    return Optional.empty();
  }

  /** All lanes in their order, but the overdue one first. */
  static List<CommitLane> inOrder(Optional<CommitLane> overdueLane) {
    List<CommitLane> order = new ArrayList<>(List.of(CommitLane.values()));
    overdueLane.ifPresent(
        lane -> {
          order.remove(lane);
          order.add(0, lane);
        });
    return order;
  }

  void recordServed(CommitLane lane) {
    lastServedLane = lane;
  }
}
