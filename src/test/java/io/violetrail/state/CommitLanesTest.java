package io.violetrail.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the order in which waiting transactions are served. */
final class CommitLanesTest {
  private final CommitLanes lanes = new CommitLanes();

  private PendingTransaction add(CommitLane lane, double queuedAtSeconds) {
    PendingTransaction pending =
        PendingTransaction.of(new Transaction().put("k", Cbor.newMap()), lane, queuedAtSeconds);
    lanes.addLast(pending);
    return pending;
  }

  @Test
  void lanesAreServedInPriorityOrder() {
    assertEquals(List.of(CommitLane.values()), CommitLanes.servingOrder(Optional.empty()));
    assertEquals(
        List.of(CommitLane.PROGRESS, CommitLane.USERS, CommitLane.MACHINES),
        CommitLanes.servingOrder(Optional.of(CommitLane.PROGRESS)));
  }

  @Test
  void usersLaneIsNeverOverdue() {
    add(CommitLane.USERS, 0);
    assertEquals(Optional.empty(), lanes.findOverdueLane(1e9));
  }

  @Test
  void lowerLanesAreOverdueAfterTheirLimit() {
    add(CommitLane.MACHINES, 0);
    add(CommitLane.PROGRESS, 0);
    assertEquals(Optional.empty(), lanes.findOverdueLane(0.7));
    assertEquals(Optional.of(CommitLane.MACHINES), lanes.findOverdueLane(0.71));
    lanes.recordServed(CommitLane.MACHINES);
    assertEquals(Optional.empty(), lanes.findOverdueLane(1.4), "the machines lane was served last");
    assertEquals(Optional.of(CommitLane.PROGRESS), lanes.findOverdueLane(1.41));
  }

  @Test
  void requeuedTransactionsGoFirstInTheirOrder() {
    final PendingTransaction last = add(CommitLane.MACHINES, 2);
    PendingTransaction first =
        PendingTransaction.of(new Transaction().put("a", Cbor.newMap()), CommitLane.MACHINES, 0);
    PendingTransaction second =
        PendingTransaction.of(new Transaction().put("b", Cbor.newMap()), CommitLane.MACHINES, 1);
    lanes.requeueAtHead(List.of(first, second));
    List<PendingTransaction> queue = new ArrayList<>();
    lanes.iterator(CommitLane.MACHINES).forEachRemaining(queue::add);
    assertEquals(3, queue.size());
    assertSame(first, queue.get(0));
    assertSame(second, queue.get(1));
    assertSame(last, queue.get(2));
  }

  @Test
  void progressWritesAreNotCountedAsWaiting() {
    assertTrue(lanes.isEmpty());
    add(CommitLane.PROGRESS, 0);
    assertFalse(lanes.isEmpty());
    assertEquals(0, lanes.waitingWriteCount());
    add(CommitLane.MACHINES, 0);
    lanes.addLast(PendingTransaction.deferred(() -> null, CommitLane.USERS, 0));
    assertEquals(
        4, lanes.waitingWriteCount(), "one write, and an estimate of three for the undrafted one");
  }
}
