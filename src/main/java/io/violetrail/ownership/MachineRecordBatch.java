package io.violetrail.ownership;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.model.MachineId;
import io.violetrail.ownership.ClusterView.MachineBlock;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A batch of machine record changes that are written by one transaction. The changes are applied to
 * the entity's blocks as they are known when the batch is drafted. The transaction is conditional
 * on the entity's row and on the revision of each block that it writes.
 *
 * <p>Created and used by {@link MachineRecords} on the event loop's thread.
 */
final class MachineRecordBatch {
  /** The fraction of the maximum value size up to which a block is filled. */
  private static final double BLOCK_FILL_FRACTION = 0.75;

  /** The maximum size of a machine's record in a block, for names and numbers of usual length. */
  private static final int MAX_BYTES_PER_MACHINE = 110;

  /** The maximum number of blocks per transaction, to stay below the protocol's 64 KiB. */
  private static final int MAX_BLOCKS = 6;

  /**
   * Room to keep for the next change, which writes a block, an own row or both, and for the
   * additions row, which may be written at the end.
   */
  private static final int MAX_WRITES_TO_ADD = 3;

  /** Conditions that the next change and the end of the transaction add, except for blocks. */
  private static final int MAX_CONDITIONS_TO_ADD = 2;

  /** The number of conditions that the protocol allows for each permitted write. */
  private static final int CONDITIONS_PER_WRITE = 4;

  private final OwnedEntity entity;
  private final ClusterView clusterView;
  private final StateStoreLimits limits;
  private final int machinesPerBlock;
  private final Transaction transaction;
  private final Map<Integer, MachineBlock> knownBlocks;
  private final List<MachineRecordChange> includedChanges = new ArrayList<>();
  private final Map<Integer, Map<MachineId, MachineRow>> changedBlocks = new LinkedHashMap<>();
  private final Map<MachineId, MachineRow> transferredRows = new LinkedHashMap<>();
  private boolean addsMachines;

  MachineRecordBatch(OwnedEntity entity, ClusterView clusterView, StateStoreLimits limits) {
    this.entity = entity;
    this.clusterView = clusterView;
    this.limits = limits;
    this.machinesPerBlock =
        (int) Math.max(1, limits.maxValueBytes() * BLOCK_FILL_FRACTION / MAX_BYTES_PER_MACHINE);
    this.transaction = entity.fencedTransaction();
    this.knownBlocks = clusterView.blocks(entity.id());
  }

  boolean isEmpty() {
    return includedChanges.isEmpty();
  }

  /** Returns the changes that the transaction writes, in order of inclusion. */
  List<MachineRecordChange> includedChanges() {
    return includedChanges;
  }

  /** Returns whether one more change could exceed the limits of a transaction. */
  boolean isFull() {
    int writeCount = changedBlocks.size() + transferredRows.size();
    return changedBlocks.size() >= MAX_BLOCKS
        || writeCount + MAX_WRITES_TO_ADD > limits.maxTransactionOperations()
        || transaction.expectedRevisions().size() + MAX_BLOCKS + MAX_CONDITIONS_TO_ADD
            > CONDITIONS_PER_WRITE * limits.maxTransactionOperations();
  }

  /**
   * Includes a change in the batch.
   *
   * @return false if the change is impossible because the machine is in none of the entity's blocks
   */
  boolean include(MachineRecordChange change) {
    OptionalInt block = findBlockOf(change.machine());
    boolean needsBlock =
        change.kind() == MachineRecordChange.Kind.REWRITE
            || change.kind() == MachineRecordChange.Kind.TRANSFER;
    if (needsBlock && block.isEmpty()) {
      return false;
    }
    switch (change.kind()) {
      case ADD -> add(change.row(), block.isPresent() ? block.getAsInt() : findBlockWithSpace());
      case REWRITE -> putIntoBlock(change.row(), block.getAsInt());
      case REMOVE ->
          block.ifPresent(number -> editableRowsOfBlock(number).remove(change.machine()));
      case TRANSFER -> transfer(change, block.getAsInt());
      default ->
          throw new IllegalStateException(
              "unhandled kind of machine record change: " + change.kind());
    }
    includedChanges.add(change);
    return true;
  }

  private void add(MachineRow row, int block) {
    putIntoBlock(row, block);
    transaction.ifRevision(StateSchema.machineKey(row.id()), 0);
    addsMachines = true;
  }

  private void putIntoBlock(MachineRow row, int block) {
    editableRowsOfBlock(block).put(row.id(), row.withBlock(block));
  }

  private void transfer(MachineRecordChange change, int block) {
    MachineRow row = change.row();
    EntityRow targetEntity = change.targetEntity().orElseThrow();
    editableRowsOfBlock(block).remove(row.id());
    transferredRows.put(row.id(), row);
    transaction
        .ifRevision(StateSchema.entityKey(targetEntity.entity()), targetEntity.modRevision())
        .ifRevision(StateSchema.machineKey(row.id()), 0)
        .put(StateSchema.machineKey(row.id()), StateSchema.encode(row));
  }

  private OptionalInt findBlockOf(MachineId id) {
    for (int number : knownBlocks.keySet()) {
      if (rowsOfBlock(number).containsKey(id)) {
        return OptionalInt.of(number);
      }
    }
    for (var block : changedBlocks.entrySet()) {
      if (block.getValue().containsKey(id)) {
        return OptionalInt.of(block.getKey());
      }
    }
    return OptionalInt.empty();
  }

  /** Returns the block's machines, with the changes of this batch applied. */
  private Map<MachineId, MachineRow> rowsOfBlock(int block) {
    Map<MachineId, MachineRow> changedRows = changedBlocks.get(block);
    if (changedRows != null) {
      return changedRows;
    }
    MachineBlock knownBlock = knownBlocks.get(block);
    return knownBlock == null ? Map.of() : knownBlock.rows();
  }

  private Map<MachineId, MachineRow> editableRowsOfBlock(int block) {
    return changedBlocks.computeIfAbsent(block, number -> new LinkedHashMap<>(rowsOfBlock(number)));
  }

  private int findBlockWithSpace() {
    int block = 0;
    while (rowsOfBlock(block).size() >= machinesPerBlock) {
      block++;
    }
    return block;
  }

  /** Completes and returns the transaction. Must be called once, after the last change. */
  Transaction finishTransaction() {
    changedBlocks.forEach(
        (number, rows) -> {
          MachineBlock knownBlock = knownBlocks.get(number);
          String key = StateSchema.blockKey(entity.id(), number);
          transaction
              .ifRevision(key, knownBlock == null ? 0 : knownBlock.modRevision())
              .put(key, StateSchema.encode(rows.values()));
        });
    if (addsMachines) {
      // Every addition rewrites this row. If the row is unchanged, the view contains all additions
      // of all entities, so no other entity has recorded the same machines.
      transaction
          .ifRevision(StateSchema.MACHINE_ADDITIONS_KEY, clusterView.machineAdditionsRevision())
          .put(StateSchema.MACHINE_ADDITIONS_KEY, Cbor.newMap());
    }
    return transaction;
  }

  /** Applies the transaction's writes to the cluster view, after it was applied at the revision. */
  void applyToView(long revision) {
    changedBlocks.forEach(
        (number, rows) ->
            clusterView.apply(
                new RowChange(
                    StateSchema.blockKey(entity.id(), number),
                    StateSchema.encode(rows.values()),
                    revision)));
    transferredRows.forEach(
        (id, row) ->
            clusterView.apply(
                new RowChange(StateSchema.machineKey(id), StateSchema.encode(row), revision)));
  }

  /** Returns whether any of the keys is the key of a block that the transaction writes. */
  boolean writesAnyBlockOf(Set<String> keys) {
    return changedBlocks.keySet().stream()
        .anyMatch(number -> keys.contains(StateSchema.blockKey(entity.id(), number)));
  }
}
