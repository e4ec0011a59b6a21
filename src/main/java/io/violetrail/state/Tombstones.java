package io.violetrail.state;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Keeps rows that were deleted from coming back by a late write of their creation.
 *
 * <p>A transaction without an answer may be applied many seconds later. A creation conditional on
 * the row's absence alone could then apply once more after its row was created by a retry and
 * deleted again. So it is conditional on the last change of a tombstone row as well, which every
 * deletion rewrites: what was drafted before a deletion fails after it.
 *
 * <p>All keys share a fixed number of tombstone rows, which are stored for good and so survive any
 * crash. A deletion of another key with the same tombstone costs a creation at the same moment one
 * more try. Stateless; called on the event loop's thread.
 */
public final class Tombstones {
  private static final String KEY_PREFIX = "tomb/";

  /** Never changed: controllers of two versions would rewrite and check different rows. */
  private static final int ROW_COUNT = 64;

  private Tombstones() {}

  /** The row that deletions of the key rewrite. */
  private static String tombstoneKey(String key) {
    return KEY_PREFIX + Math.floorMod(key.hashCode(), ROW_COUNT);
  }

  /**
   * Adds the rewriting of the tombstone to a transaction that deletes the key.
   *
   * @param nowMillis wall-clock time; kept for people who read the row
   */
  public static Transaction markDeletion(
      Transaction deletionTransaction, String key, long nowMillis) {
    return deletionTransaction.put(tombstoneKey(key), Cbor.newMap().put("at", nowMillis));
  }

  /**
   * Drafts a transaction that creates the row unless it exists, or a key with the same tombstone is
   * deleted meanwhile.
   *
   * @param fencedTransaction gives a new transaction with the fencing token of the row's owner
   * @return fails as {@link StateStore#getForUser(String)} does
   */
  public static CompletableFuture<Transaction> draftCreation(
      StateStore store, Supplier<Transaction> fencedTransaction, String key, JsonNode value) {
    return store
        .getForUser(tombstoneKey(key))
        .thenApply(
            tombstone ->
                fencedTransaction
                    .get()
                    .ifRevision(tombstoneKey(key), tombstone.modRevision())
                    .ifRevision(key, 0)
                    .put(key, value));
  }
}
