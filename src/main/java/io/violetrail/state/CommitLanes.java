package io.violetrail.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The waiting transactions, in one queue for each lane, and the order in which the lanes are
 * served.
 *
 * <p>Called on the event loop's thread, only by {@link GroupCommit}.
 */
final class CommitLanes {
  private final Map<CommitLane, ArrayDeque<PendingTransaction>> queueByLane =
      new EnumMap<>(CommitLane.class);

  /** The lane that the last request started with; null before the first request. */
  private CommitLane lastServedLane;

  CommitLanes() {
    for (CommitLane lane : CommitLane.values()) {
      queueByLane.put(lane, new ArrayDeque<>());
    }
  }

  void addLast(PendingTransaction pending) {
    queueByLane.get(pending.lane()).addLast(pending);
  }

  /** Returns transactions that were in flight to the head of their lanes, in the same order. */
  void requeueAtHead(List<PendingTransaction> transactions) {
    for (int i = transactions.size() - 1; i >= 0; i--) {
      queueByLane.get(transactions.get(i).lane()).addFirst(transactions.get(i));
    }
  }

  boolean isEmpty() {
    return queueByLane.values().stream().allMatch(ArrayDeque::isEmpty);
  }

  /**
   * Returns a lane's transactions in order. The caller removes those that go into a request through
   * the iterator.
   */
  Iterator<PendingTransaction> iterator(CommitLane lane) {
    return queueByLane.get(lane).iterator();
  }

  /**
   * Returns the number of writes that users and machines wait for. Progress is not counted, since
   * nothing waits for it.
   */
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
   * Returns the first lane that is overdue and that the last request did not start with. It is
   * served ahead of its priority; otherwise an endless stream of submissions would keep machines
   * from ever coming into use.
   */
  Optional<CommitLane> findOverdueLane(double nowSeconds) {
    for (CommitLane lane : CommitLane.values()) {
      PendingTransaction head = queueByLane.get(lane).peekFirst();
      if (lane != lastServedLane
          && head != null
          && nowSeconds - head.queuedAtSeconds() > lane.overdueAfterSeconds()) {
        return Optional.of(lane);
      }
    }
    return Optional.empty();
  }

  /** Returns all lanes in the order of priority, but the overdue one first. */
  static List<CommitLane> servingOrder(Optional<CommitLane> overdueLane) {
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
