package io.violetrail.state;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Prevents a late transaction from creating a row again after its deletion.
 *
 * <p>A transaction without a reply may be applied many seconds later. If a creation were
 * conditional only on the row's absence, it could be applied a second time after a retry had
 * created the row and the row had been deleted again. A creation is therefore also conditional on
 * the revision of a tombstone row, which every deletion rewrites: a creation that was drafted
 * before a deletion fails after it.
 *
 * <p>All keys share a fixed number of tombstone rows, which are never deleted and so survive any
 * crash. If another key with the same tombstone is deleted at the same moment, the creation needs
 * one more attempt. Stateless; called on the event loop's thread.
 */
public final class Tombstones {
  private static final String KEY_PREFIX = "tomb/";

  /** Must never change: controllers of two versions would rewrite and check different rows. */
  private static final int ROW_COUNT = 64;

  private Tombstones() {}

  /** Returns the key of the tombstone row that deletions of {@code key} rewrite. */
  private static String tombstoneKey(String key) {
    return KEY_PREFIX + Math.floorMod(key.hashCode(), ROW_COUNT);
  }

  /**
   * Adds a write of the tombstone to a transaction that deletes the key.
   *
   * @param nowMillis wall-clock time, stored for people who read the row
   */
  public static Transaction markDeletion(
      Transaction deletionTransaction, String key, long nowMillis) {
    return deletionTransaction.put(tombstoneKey(key), Cbor.newMap().put("at", nowMillis));
  }

  /**
   * Drafts a transaction that creates the row, on the conditions that it does not exist and that no
   * key with the same tombstone is deleted in the meantime.
   *
   * @param fencedTransactionSupplier returns a new transaction with the fencing token of the row's
   *     owner
   * @return fails as {@link StateStore#getForUser(String)} does
   */
  public static CompletableFuture<Transaction> draftCreation(
      StateStore store,
      Supplier<Transaction> fencedTransactionSupplier,
      String key,
      JsonNode value) {
    return store
        .getForUser(tombstoneKey(key))
        .thenApply(
            tombstoneEntry ->
                fencedTransactionSupplier
                    .get()
                    .ifRevision(tombstoneKey(key), tombstoneEntry.modRevision())
                    .ifRevision(key, 0)
                    .put(key, value));
  }
}
