package io.violetrail.state;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Keeps rows that were deleted from coming back by a late write of their creation.
 *
 * <p>A transaction without an answer may be carried out many seconds later. A creation conditional
 * on the row's absence alone would then apply once more after its row was created by a repeat and
 * deleted again. So it is conditional on the last change of a tombstone row as well, which every
 * deletion rewrites: what was drawn up before a deletion fails after it. A few such rows are shared
 * by all keys and stay for good; a deletion of another key costs a creation at the same moment one
 * more try.
 */
public final class Tombstones {
  private static final int ROW_COUNT = 64;

  private Tombstones() {}

  /** Where deletions of the key are marked. */
  public static String keyFor(String key) {
    return "tomb/" + Math.floorMod(key.hashCode(), ROW_COUNT);
  }

  /** Adds the mark to a transaction that deletes the key. */
  public static Transaction markDeletion(
      Transaction deletionTransaction, String key, long nowMillis) {
    return deletionTransaction.put(keyFor(key), Cbor.newMap().put("at", nowMillis));
  }

  /**
   * A transaction that creates the row unless it is there, or a key of its tombstone is deleted
   * meanwhile.
   */
  public static CompletableFuture<Transaction> draftCreation(
      StateStore store, Supplier<Transaction> fencedTransaction, String key, JsonNode value) {
    return store
        .getForUser(keyFor(key))
        .thenApply(
            tombstone ->
                fencedTransaction
                    .get()
                    .ifRevision(keyFor(key), tombstone.modRevision())
                    .ifRevision(key, 0)
                    .put(key, value));
  }
}
