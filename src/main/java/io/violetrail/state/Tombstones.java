package io.violetrail.state;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Txn;
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
  private static final int ROWS = 64;

  private Tombstones() {}

  /** Where deletions of the key are marked. */
  public static String of(String key) {
    return "tomb/" + Math.floorMod(key.hashCode(), ROWS);
  }

  /** Adds the mark to a transaction that deletes the key. */
  public static Txn mark(Txn deletion, String key, long nowMs) {
    return deletion.set(of(key), Cbor.map().put("at", nowMs));
  }

  /**
   * A transaction that creates the row unless it is there, or a key of its tombstone is deleted
   * meanwhile.
   */
  public static CompletableFuture<Txn> creation(
      StateStore store, Supplier<Txn> fenced, String key, JsonNode value) {
    return store
        .getForUser(of(key))
        .thenApply(
            tombstone ->
                fenced.get().when(of(key), tombstone.stamp()).when(key, 0).set(key, value));
  }
}
