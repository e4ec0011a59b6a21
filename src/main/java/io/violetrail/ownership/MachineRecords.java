package io.violetrail.ownership;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.model.MachineId;
import io.violetrail.net.CoalescingTimer;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView.MachineBlock;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The records of a held entity's machines in the state service.
 *
 * <p>An entity's machines stand together in a few rows, its blocks, which only its owner writes.
 * What happens to many machines within a moment costs a write or two: with a write for each, a
 * hundred machines coming up took the state service longer than their boot. A machine that passes
 * to another entity gets a row of its own, since the two owners must not write the same block.
 */
public final class MachineRecords {
  private static final double GATHER_SECONDS = 0.2;
  private static final double RETRY_SECONDS = 0.15;

  /** Part of a value that a block is filled to. */
  private static final double BLOCK_FILL_FRACTION = 0.75;

  /** What a machine takes of a block at most, with names and numbers of usual length. */
  private static final int MAX_MACHINE_CHARS = 110;

  /** Blocks in one transaction, which keeps it below the protocol's 64 KiB. */
  private static final int MAX_BLOCKS_PER_TRANSACTION = 6;

  /** Changes that wait; beyond that the caller is told no and comes back. */
  private static final int MAX_PENDING_CHANGES = 2_000;

  private final StateStore store;
  private final ClusterView clusterView;
  private final ClusterRowsFollower rowsFollower;
  private final StateStoreLimits limits;
  private final OwnedEntity ownedEntity;
  private final int machinesPerBlock;
  private List<RecordChange> pendingChanges = new ArrayList<>();
  private final CoalescingTimer writeDebouncer;
  private boolean writeInProgress;

  /** The last transaction left changes for the next one. */
  private boolean transactionFull;

  private enum ChangeKind {
    /** A machine that no entity may have yet. */
    ADD,
    REWRITE,
    REMOVE,
    TRANSFER
  }

  private static final class RecordChange {
    final ChangeKind kind;
    final MachineRow row;
    final EntityRow targetEntity;
    final CompletableFuture<MachineRow> stored = new CompletableFuture<>();

    RecordChange(ChangeKind kind, MachineRow row, EntityRow targetEntity) {
      this.kind = kind;
      this.row = row;
      this.targetEntity = targetEntity;
    }
  }

  /** The row has another owner, or the write was not made: nothing may rest on it. */
  public static final class RecordChangeRefusedException extends RequestFailedException {
    private static final long serialVersionUID = 1L;

    RecordChangeRefusedException(String message) {
      super(message);
    }
  }

  /** Creates the batched writer of one entity's machine records. */
  public MachineRecords(
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      ClusterRowsFollower rowsFollower,
      StateStoreLimits limits,
      OwnedEntity entity) {
    this.writeDebouncer = new CoalescingTimer(loop, this::writePendingChanges);
    this.store = store;
    this.clusterView = clusterView;
    this.rowsFollower = rowsFollower;
    this.limits = limits;
    this.ownedEntity = entity;
    this.machinesPerBlock =
        (int) Math.max(1, limits.maxValueBytes() * BLOCK_FILL_FRACTION / MAX_MACHINE_CHARS);
  }

  /** Records a machine unless another entity has it; completes with its row once stored. */
  public CompletableFuture<MachineRow> add(MachineRow row) {
    return enqueue(new RecordChange(ChangeKind.ADD, row, null));
  }

  /**
   * Records machines; completes once each of them is either this entity's or known to be another's.
   */
  public CompletableFuture<Void> addAll(List<MachineRow> rows) {
    return CompletableFuture.allOf(
        rows.stream()
            .map(row -> add(row).handle((stored, failure) -> null))
            .toArray(CompletableFuture[]::new));
  }

  /** Rewrites a machine's record. */
  public CompletableFuture<MachineRow> rewrite(MachineRow former, MachineRow changed) {
    if (!former.isInBlock()) {
      return writeSingleRow(ownedEntity.fencedTransaction(), former, changed);
    }
    return enqueue(new RecordChange(ChangeKind.REWRITE, changed, null));
  }

  /** Removes the record of a machine that is gone. */
  public CompletableFuture<MachineRow> remove(MachineRow row) {
    if (!row.isInBlock()) {
      return writeSingleRow(ownedEntity.fencedTransaction(), row, null);
    }
    return enqueue(new RecordChange(ChangeKind.REMOVE, row, null));
  }

  /** Gives a machine to another entity, under the term that {@code transferred} names. */
  public CompletableFuture<MachineRow> transfer(
      MachineRow former, MachineRow transferred, EntityRow targetEntity) {
    if (!former.isInBlock()) {
      return writeSingleRow(
          ownedEntity
              .fencedTransaction()
              .ifRevision(StateSchema.entityKey(targetEntity.entity()), targetEntity.modRevision()),
          former,
          transferred);
    }
    return enqueue(new RecordChange(ChangeKind.TRANSFER, transferred, targetEntity));
  }

  private CompletableFuture<MachineRow> writeSingleRow(
      Transaction transaction, MachineRow former, MachineRow changed) {
    String key = StateSchema.machineKey(former.id());
    transaction.ifRevision(key, former.modRevision());
    if (changed == null) {
      transaction.delete(key);
    } else {
      transaction.put(key, StateSchema.encode(changed));
    }
    return store
        .commit(transaction)
        .thenApply(
            outcome -> {
              if (!outcome.applied()) {
                throw new RecordChangeRefusedException(former.id() + " has changed");
              }
              clusterView.apply(
                  new RowChange(
                      key,
                      changed == null ? null : StateSchema.encode(changed),
                      outcome.revision()));
              return changed == null ? former : changed.withModRevision(outcome.revision());
            });
  }

  private CompletableFuture<MachineRow> enqueue(RecordChange change) {
    if (pendingChanges.size() >= MAX_PENDING_CHANGES) {
      change.stored.completeExceptionally(
          new RecordChangeRefusedException("too many changes wait"));
      return change.stored;
    }
    pendingChanges.add(change);
    scheduleWrite(GATHER_SECONDS);
    return change.stored;
  }

  private void scheduleWrite(double delaySeconds) {
    if (!writeInProgress && !pendingChanges.isEmpty()) {
      writeDebouncer.schedule(delaySeconds);
    }
  }

  private boolean isEntityLost() {
    return ownedEntity.phase() == OwnedEntity.Phase.LOST;
  }

  /** What one transaction is to write, worked out on the blocks as they are known. */
  private final class ChangeBatch {
    final Transaction transaction = ownedEntity.fencedTransaction();
    final List<RecordChange> includedChanges = new ArrayList<>();
    final Map<Integer, Map<MachineId, MachineRow>> changedBlocks = new LinkedHashMap<>();
    final Map<Integer, MachineBlock> knownBlocks = clusterView.blocks(ownedEntity.id());
    final Map<MachineId, MachineRow> transferredRows = new LinkedHashMap<>();
    boolean addsMachines;

    private int findBlockOf(MachineId id) {
      for (var block : knownBlocks.entrySet()) {
        if (rowsOfBlock(block.getKey()).containsKey(id)) {
          return block.getKey();
        }
      }
      for (var block : changedBlocks.entrySet()) {
        if (block.getValue().containsKey(id)) {
          return block.getKey();
        }
      }
      return -1;
    }

    private Map<MachineId, MachineRow> rowsOfBlock(int block) {
      Map<MachineId, MachineRow> rows = changedBlocks.get(block);
      if (rows == null) {
        MachineBlock knownBlock = knownBlocks.get(block);
        rows = knownBlock == null ? Map.of() : knownBlock.rows();
      }
      return rows;
    }

    private Map<MachineId, MachineRow> editableRowsOfBlock(int block) {
      return changedBlocks.computeIfAbsent(block, k -> new LinkedHashMap<>(rowsOfBlock(k)));
    }

    private int findBlockWithSpace() {
      int block = 0;
      while (rowsOfBlock(block).size() >= machinesPerBlock) {
        block++;
      }
      return block;
    }

    /** False if the transaction is full. */
    boolean tryInclude(RecordChange change) {
      int writeCount = changedBlocks.size() + transferredRows.size();
      if (changedBlocks.size() >= MAX_BLOCKS_PER_TRANSACTION
          || writeCount + 3 > limits.maxTransactionOperations()
          || transaction.expectedRevisions().size() + MAX_BLOCKS_PER_TRANSACTION + 2
              > 4 * limits.maxTransactionOperations()) {
        return false;
      }
      MachineId id = change.row.id();
      int block = findBlockOf(id);
      switch (change.kind) {
        case ADD -> {
          int targetBlock = block >= 0 ? block : findBlockWithSpace();
          editableRowsOfBlock(targetBlock).put(id, change.row.withBlock(targetBlock));
          transaction.ifRevision(StateSchema.machineKey(id), 0);
          addsMachines = true;
        }
        case REWRITE -> {
          if (block < 0) {
            return refuseChange(change, "is not this entity's any more");
          }
          editableRowsOfBlock(block).put(id, change.row.withBlock(block));
        }
        case REMOVE -> {
          if (block >= 0) {
            editableRowsOfBlock(block).remove(id);
          }
        }
        case TRANSFER -> {
          if (block < 0) {
            return refuseChange(change, "is not this entity's any more");
          }
          editableRowsOfBlock(block).remove(id);
          transferredRows.put(id, change.row);
          transaction
              .ifRevision(
                  StateSchema.entityKey(change.targetEntity.entity()),
                  change.targetEntity.modRevision())
              .ifRevision(StateSchema.machineKey(id), 0)
              .put(StateSchema.machineKey(id), StateSchema.encode(change.row));
        }
        default -> throw new IllegalStateException("unhandled kind of edit " + change.kind);
      }
      includedChanges.add(change);
      return true;
    }

    private boolean refuseChange(RecordChange change, String reason) {
      change.stored.completeExceptionally(
          new RecordChangeRefusedException(change.row.id() + " " + reason));
      return true;
    }

    Transaction finishTransaction() {
      changedBlocks.forEach(
          (number, rows) -> {
            MachineBlock knownBlock = knownBlocks.get(number);
            transaction
                .ifRevision(
                    StateSchema.blockKey(ownedEntity.id(), number),
                    knownBlock == null ? 0 : knownBlock.modRevision())
                .put(
                    StateSchema.blockKey(ownedEntity.id(), number),
                    StateSchema.encode(rows.values()));
          });
      if (addsMachines) {
        // Nobody else has the machines: whatever any entity has recorded as new is known here.
        transaction
            .ifRevision(StateSchema.MACHINE_ADDITIONS_KEY, clusterView.machineAdditionsRevision())
            .put(StateSchema.MACHINE_ADDITIONS_KEY, Cbor.newMap());
      }
      return transaction;
    }
  }

  private void writePendingChanges() {
    if (isEntityLost()) {
      failPendingChanges();
      return;
    }
    writeInProgress = true;
    ChangeBatch[] drafted = new ChangeBatch[1];
    Futures.logFailure(
        store
            .commitDeferred(
                () -> (drafted[0] = draftBatch()) == null ? null : drafted[0].finishTransaction())
            .whenComplete(
                (outcome, failure) -> {
                  writeInProgress = false;
                  if (drafted[0] == null) {
                    scheduleWrite(RETRY_SECONDS);
                  } else if (failure == null && outcome.applied()) {
                    onApplied(drafted[0], outcome);
                    scheduleWrite(transactionFull ? 0 : GATHER_SECONDS);
                  } else {
                    onRefused(drafted[0], outcome);
                  }
                }),
        "write machine records");
  }

  /** Takes as many of the changes that wait as one transaction holds; null if there are none. */
  private ChangeBatch draftBatch() {
    ChangeBatch batch = new ChangeBatch();
    List<RecordChange> remaining = new ArrayList<>();
    transactionFull = false;
    for (RecordChange change : pendingChanges) {
      if (change.kind == ChangeKind.ADD && refuseIfOwnedElsewhere(change)) {
        continue;
      }
      transactionFull = transactionFull || !batch.tryInclude(change);
      if (transactionFull) {
        remaining.add(change);
      }
    }
    pendingChanges = remaining;
    return batch.includedChanges.isEmpty() ? null : batch;
  }

  /** A machine that another entity has by now is not recorded twice. */
  private boolean refuseIfOwnedElsewhere(RecordChange change) {
    MachineRow known = clusterView.findMachineRow(change.row.id());
    if (known == null || (known.entity().equals(ownedEntity.id()) && known.isInBlock())) {
      return false;
    }
    change.stored.completeExceptionally(
        new RecordChangeRefusedException(change.row.id() + " is " + known.entity() + "'s"));
    return true;
  }

  private void onApplied(ChangeBatch batch, TransactionOutcome outcome) {
    long revision = outcome.revision();
    batch.changedBlocks.forEach(
        (number, rows) ->
            clusterView.apply(
                new RowChange(
                    StateSchema.blockKey(ownedEntity.id(), number),
                    StateSchema.encode(rows.values()),
                    revision)));
    batch.transferredRows.forEach(
        (id, row) ->
            clusterView.apply(
                new RowChange(StateSchema.machineKey(id), StateSchema.encode(row), revision)));
    for (RecordChange change : batch.includedChanges) {
      MachineRow current = clusterView.findMachineRow(change.row.id());
      change.stored.complete(current == null ? change.row : current);
    }
  }

  /**
   * Somebody else has recorded machines meanwhile, an earlier try that seemed lost was applied, or
   * the entity has moved: what is still to be done is worked out afresh on a newer view.
   */
  private void onRefused(ChangeBatch batch, TransactionOutcome outcome) {
    Set<String> failedKeys = outcome == null ? Set.of() : outcome.failedKeys();
    List<RecordChange> retried = new ArrayList<>();
    boolean entityMoved = failedKeys.contains(StateSchema.entityKey(ownedEntity.id()));
    for (RecordChange change : batch.includedChanges) {
      boolean targetMoved =
          change.targetEntity != null
              && failedKeys.contains(StateSchema.entityKey(change.targetEntity.entity()));
      if (entityMoved || targetMoved) {
        change.stored.completeExceptionally(
            new RecordChangeRefusedException("an entity has moved"));
      } else {
        retried.add(change);
      }
    }
    retried.addAll(pendingChanges);
    pendingChanges = retried;
    boolean ownBlockChanged =
        batch.changedBlocks.keySet().stream()
            .anyMatch(k -> failedKeys.contains(StateSchema.blockKey(ownedEntity.id(), k)));
    boolean singleRowChanged =
        failedKeys.stream().anyMatch(key -> key.startsWith(StateSchema.MACHINE_PREFIX));
    if (entityMoved || ownBlockChanged || singleRowChanged || outcome == null) {
      writeInProgress = true;
      rowsFollower.relistThen(
          () -> {
            writeInProgress = false;
            completeAppliedTransfers();
            scheduleWrite(RETRY_SECONDS);
          });
    } else {
      // The watch brings in a moment what the others have recorded.
      scheduleWrite(RETRY_SECONDS);
    }
  }

  /** Passes that an earlier try has made, by the newest view. */
  private void completeAppliedTransfers() {
    List<RecordChange> remaining = new ArrayList<>();
    for (RecordChange change : pendingChanges) {
      MachineRow known = clusterView.findMachineRow(change.row.id());
      if (change.kind == ChangeKind.TRANSFER
          && known != null
          && known.entity().equals(change.row.entity())) {
        change.stored.complete(known);
      } else {
        remaining.add(change);
      }
    }
    pendingChanges = remaining;
  }

  private void failPendingChanges() {
    List<RecordChange> failed = pendingChanges;
    pendingChanges = new ArrayList<>();
    failed.forEach(
        e ->
            e.stored.completeExceptionally(
                new RecordChangeRefusedException("the entity is held no more")));
  }
}
