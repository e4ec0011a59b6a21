package io.violetrail.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which transactions may share a request, and what its outcome means for each of them. */
final class TransactionBatchTest {
  private static final int MAX_WRITES = 4;

  private final TransactionBatch batch = new TransactionBatch(MAX_WRITES);

  private static Transaction conditionalWrite(String key, long expectedRevision) {
    return new Transaction().ifRevision(key, expectedRevision).put(key, Cbor.newMap());
  }

  private static PendingTransaction pending(Transaction transaction) {
    return PendingTransaction.of(transaction, CommitLane.MACHINES, 0);
  }

  private static Transaction unconditionalWrites(int count, String keyPrefix) {
    Transaction transaction = new Transaction();
    for (int i = 0; i < count; i++) {
      transaction.put(keyPrefix + i, Cbor.newMap());
    }
    return transaction;
  }

  @Test
  void transactionsOfDifferentKeysShareOneRequest() {
    assertTrue(batch.tryAdd(pending(conditionalWrite("a", 1).ifRevision("entity", 7))));
    assertTrue(batch.tryAdd(pending(conditionalWrite("b", 0).ifRevision("entity", 7))));
    assertEquals(2, batch.writeCount());
    assertEquals(Set.of("a", "b"), batch.combined().writtenKeys());
    assertEquals(Set.of("a", "b", "entity"), batch.combined().expectedRevisions().keySet());
  }

  @Test
  void conflictingTransactionsDoNotShareOneRequest() {
    assertTrue(batch.tryAdd(pending(conditionalWrite("a", 1).ifRevision("entity", 7))));
    assertFalse(batch.tryAdd(pending(conditionalWrite("a", 1))), "writes the same key");
    assertFalse(
        batch.tryAdd(pending(conditionalWrite("entity", 7))),
        "writes a key that another one expects");
    assertFalse(
        batch.tryAdd(pending(conditionalWrite("b", 0).ifRevision("a", 1))),
        "expects a key that another one writes");
    assertFalse(
        batch.tryAdd(pending(conditionalWrite("b", 0).ifRevision("entity", 8))),
        "expects another revision");
    assertEquals(1, batch.writeCount());
  }

  @Test
  void onlyFirstTransactionMayExceedWriteLimit() {
    assertTrue(batch.tryAdd(pending(unconditionalWrites(MAX_WRITES - 1, "a"))));
    assertFalse(batch.tryAdd(pending(unconditionalWrites(2, "b"))));
    assertTrue(batch.tryAdd(pending(unconditionalWrites(1, "b"))));
    assertTrue(
        new TransactionBatch(MAX_WRITES).tryAdd(pending(unconditionalWrites(MAX_WRITES + 1, "a"))));
  }

  @Test
  void deferredTransactionIsSentAlone() {
    PendingTransaction deferred =
        PendingTransaction.deferred(() -> conditionalWrite("a", 1), CommitLane.USERS, 0);
    assertTrue(deferred.draftIfNeeded());
    assertTrue(batch.tryAdd(deferred));
    assertTrue(batch.isClosed());
    assertFalse(batch.tryAdd(pending(conditionalWrite("b", 0))));

    TransactionBatch other = new TransactionBatch(MAX_WRITES);
    assertTrue(other.tryAdd(pending(conditionalWrite("b", 0))));
    assertFalse(other.tryAdd(deferred));
  }

  @Test
  void nullDraftLeavesNothingToSend() {
    assertFalse(PendingTransaction.deferred(() -> null, CommitLane.USERS, 0).draftIfNeeded());
  }

  @Test
  void failedConditionRejectsOnlyTransactionsThatContainIt() {
    PendingTransaction refused = pending(conditionalWrite("a", 1));
    PendingTransaction other = pending(conditionalWrite("b", 0));
    TransactionOutcome outcome = new TransactionOutcome(false, 9, Set.of("a"));
    assertTrue(refused.hasFailedConditionIn(outcome));
    assertFalse(other.hasFailedConditionIn(outcome));
    refused.complete(outcome);
    assertEquals(outcome, refused.outcome().join());
  }
}
