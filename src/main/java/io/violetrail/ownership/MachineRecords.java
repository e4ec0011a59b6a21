package io.violetrail.ownership;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.model.MachineId;
import io.violetrail.net.CoalescingTimer;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.RecordChangeRefusedException.Reason;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Writes the records of an owned entity's machines to the state service.
 *
 * <p>Most machine records are stored in blocks. A block is a row that holds the records of many
 * machines of one entity, and only the entity's owner writes it. Changes to many machines within a
 * short time therefore need only one or two writes. With one write per machine, recording a hundred
 * machines that started together took longer than booting them. A machine that is transferred to
 * another entity gets a row of its own, because two owners must not write the same block.
 *
 * <p>Changes to records in blocks are queued and written in batches, with one transaction in
 * progress at a time. A batch is drafted from the cluster view when its transaction is about to be
 * sent. If the transaction is refused, the changes that can still succeed are queued again and
 * drafted from a newer view. This is repeated until each change is stored, or refused with {@link
 * RecordChangeRefusedException}. Changes to a machine's own row are not batched: each is written by
 * a transaction of its own, and a refusal of that transaction is final.
 *
 * <p>Must be used on the event loop's thread. Queued changes are lost in a crash. A change is
 * certain to be stored only once its future has completed successfully.
 */
public final class MachineRecords {
  /** How long changes are collected before they are written as a batch. */
  private static final double BATCH_DELAY_SECONDS = 0.2;

  private static final double RETRY_DELAY_SECONDS = 0.15;

  /** Further changes are refused while this many are queued; the caller may retry later. */
  private static final int MAX_PENDING_CHANGES = 2_000;

  private final StateStore store;
  private final ClusterView clusterView;
  private final ClusterRowsFollower rowsFollower;
  private final StateStoreLimits limits;
  private final OwnedEntity ownedEntity;
  private final CoalescingTimer writeTimer;
  private List<MachineRecordChange> pendingChanges = new ArrayList<>();

  /** Whether a transaction, or the listing that follows a refused one, is in progress. */
  private boolean writeInProgress;

  /** Whether the last transaction had no room for all queued changes. */
  private boolean lastTransactionFull;

  MachineRecords(
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      ClusterRowsFollower rowsFollower,
      StateStoreLimits limits,
      OwnedEntity entity) {
    this.writeTimer = new CoalescingTimer(loop, this::writePendingChanges);
    this.store = store;
    this.clusterView = clusterView;
    this.rowsFollower = rowsFollower;
    this.limits = limits;
    this.ownedEntity = entity;
  }

  /**
   * Adds the record of a machine to this entity unless the machine is already recorded elsewhere.
   *
   * @return completes with the stored row; fails with {@link RecordChangeRefusedException} if the
   *     change is refused
   */
  public CompletableFuture<MachineRow> add(MachineRow row) {
    return enqueue(MachineRecordChange.add(row));
  }

  /**
   * Adds the records of machines like {@link #add}.
   *
   * @return completes once each addition is either stored or refused; never fails
   */
  public CompletableFuture<Void> addAll(List<MachineRow> rows) {
    return CompletableFuture.allOf(
        rows.stream()
            .map(row -> add(row).handle((stored, failure) -> null))
            .toArray(CompletableFuture[]::new));
  }

  /**
   * Replaces a machine's record.
   *
   * @return completes with the stored row; fails with {@link RecordChangeRefusedException} if the
   *     change is refused
   */
  public CompletableFuture<MachineRow> rewrite(MachineRow former, MachineRow changed) {
    if (!former.isInBlock()) {
      return writeSingleRow(ownedEntity.fencedTransaction(), former, Optional.of(changed));
    }
    return enqueue(MachineRecordChange.rewrite(changed));
  }

  /**
   * Removes the record of a machine that no longer exists in the cloud.
   *
   * @return completes with the former row once it is removed; fails with {@link
   *     RecordChangeRefusedException} if the change is refused
   */
  public CompletableFuture<MachineRow> remove(MachineRow row) {
    if (!row.isInBlock()) {
      return writeSingleRow(ownedEntity.fencedTransaction(), row, Optional.empty());
    }
    return enqueue(MachineRecordChange.remove(row));
  }

  /**
   * Transfers a machine to another entity.
   *
   * @param transferred the machine's new row, with the target entity and the new term
   * @param targetEntity the target entity's row; the change is refused if that row has changed
   * @return completes with the stored row; fails with {@link RecordChangeRefusedException} if the
   *     change is refused
   */
  public CompletableFuture<MachineRow> transfer(
      MachineRow former, MachineRow transferred, EntityRow targetEntity) {
    if (!former.isInBlock()) {
      return writeSingleRow(
          ownedEntity
              .fencedTransaction()
              .ifRevision(StateSchema.entityKey(targetEntity.entity()), targetEntity.modRevision()),
          former,
          Optional.of(transferred));
    }
    return enqueue(MachineRecordChange.transfer(transferred, targetEntity));
  }

  /** Writes a machine's own row, or deletes it if {@code changed} is empty. */
  private CompletableFuture<MachineRow> writeSingleRow(
      Transaction transaction, MachineRow former, Optional<MachineRow> changed) {
    String key = StateSchema.machineKey(former.id());
    transaction.ifRevision(key, former.modRevision());
    changed.ifPresentOrElse(
        row -> transaction.put(key, StateSchema.encode(row)), () -> transaction.delete(key));
    return store
        .commit(transaction)
        .thenApply(
            outcome -> {
              if (!outcome.applied()) {
                throw new RecordChangeRefusedException(former.id(), Reason.RECORD_CHANGED);
              }
              clusterView.apply(
                  new RowChange(
                      key, changed.map(StateSchema::encode).orElse(null), outcome.revision()));
              return changed.map(row -> row.withModRevision(outcome.revision())).orElse(former);
            });
  }

  private CompletableFuture<MachineRow> enqueue(MachineRecordChange change) {
    if (pendingChanges.size() >= MAX_PENDING_CHANGES) {
      change.refuse(Reason.OVERLOADED);
      return change.stored();
    }
    pendingChanges.add(change);
    scheduleWrite(BATCH_DELAY_SECONDS);
    return change.stored();
  }

  private void scheduleWrite(double delaySeconds) {
    if (!writeInProgress && !pendingChanges.isEmpty()) {
      writeTimer.schedule(delaySeconds);
    }
  }

  private void writePendingChanges() {
    if (ownedEntity.phase() == OwnedEntity.Phase.LOST) {
      refusePendingChanges();
      return;
    }
    writeInProgress = true;
    BatchWrite write = new BatchWrite();
    Futures.logFailure(
        store.commitDeferred(write::draft).whenComplete(write::onOutcome), "write machine records");
  }

  /** One transaction in progress. Its content is drafted only when it is about to be sent. */
  private final class BatchWrite {
    private Optional<MachineRecordBatch> draftedBatch = Optional.empty();

    /** Returns null if there is nothing to write any more; the write then fails. */
    private Transaction draft() {
      MachineRecordBatch batch = draftBatch();
      if (batch.isEmpty()) {
        return null;
      }
      draftedBatch = Optional.of(batch);
      return batch.finishTransaction();
    }

    private void onOutcome(TransactionOutcome outcome, Throwable failure) {
      writeInProgress = false;
      if (draftedBatch.isEmpty()) {
        scheduleWrite(RETRY_DELAY_SECONDS);
      } else if (failure == null && outcome.applied()) {
        onApplied(draftedBatch.get(), outcome);
        scheduleWrite(lastTransactionFull ? 0 : BATCH_DELAY_SECONDS);
      } else {
        onNotApplied(draftedBatch.get(), outcome);
      }
    }
  }

  private void refusePendingChanges() {
    List<MachineRecordChange> refused = pendingChanges;
    pendingChanges = new ArrayList<>();
    refused.forEach(change -> change.refuse(Reason.ENTITY_LOST));
  }

  /** Moves as many queued changes into a batch as fit into one transaction. */
  private MachineRecordBatch draftBatch() {
    MachineRecordBatch batch = new MachineRecordBatch(ownedEntity, clusterView, limits);
    List<MachineRecordChange> remaining = new ArrayList<>();
    lastTransactionFull = false;
    for (MachineRecordChange change : pendingChanges) {
      if (change.kind() == MachineRecordChange.Kind.ADD
          && hasRecordOutsideOwnBlocks(change.machine())) {
        change.refuse(Reason.OWNED_ELSEWHERE);
        continue;
      }
      lastTransactionFull = lastTransactionFull || batch.isFull();
      if (lastTransactionFull) {
        remaining.add(change);
      } else if (!batch.include(change)) {
        change.refuse(Reason.OWNED_ELSEWHERE);
      }
    }
    pendingChanges = remaining;
    return batch;
  }

  /**
   * Returns whether the machine already has a record outside of this entity's blocks. Such a
   * machine must not be added, because it would then be recorded twice.
   */
  private boolean hasRecordOutsideOwnBlocks(MachineId id) {
    MachineRow known = clusterView.findMachineRow(id);
    return known != null && !(known.entity().equals(ownedEntity.id()) && known.isInBlock());
  }

  private void onApplied(MachineRecordBatch batch, TransactionOutcome outcome) {
    batch.applyToView(outcome.revision());
    for (MachineRecordChange change : batch.includedChanges()) {
      MachineRow current = clusterView.findMachineRow(change.machine());
      change.complete(current == null ? change.row() : current);
    }
  }

  /**
   * Handles a transaction that was not applied: another entity has recorded machines in the
   * meantime, an earlier attempt that seemed to be lost was applied, or an entity has moved. The
   * changes that can still succeed are retried on a newer view.
   *
   * @param outcome null if the transaction failed for another reason than its conditions
   */
  private void onNotApplied(MachineRecordBatch batch, TransactionOutcome outcome) {
    Set<String> failedKeys = outcome == null ? Set.of() : outcome.failedKeys();
    boolean entityMoved = failedKeys.contains(StateSchema.entityKey(ownedEntity.id()));
    requeue(batch, failedKeys, entityMoved);
    boolean singleRowChanged =
        failedKeys.stream().anyMatch(key -> key.startsWith(StateSchema.MACHINE_PREFIX));
    if (entityMoved || batch.writesAnyBlockOf(failedKeys) || singleRowChanged || outcome == null) {
      retryOnNewListing();
    } else {
      // The watch will deliver the machines that other entities have recorded.
      scheduleWrite(RETRY_DELAY_SECONDS);
    }
  }

  /** Puts the batch's changes back at the head of the queue, and refuses the impossible ones. */
  private void requeue(MachineRecordBatch batch, Set<String> failedKeys, boolean entityMoved) {
    List<MachineRecordChange> retried = new ArrayList<>();
    for (MachineRecordChange change : batch.includedChanges()) {
      boolean targetMoved =
          change
              .targetEntity()
              .filter(target -> failedKeys.contains(StateSchema.entityKey(target.entity())))
              .isPresent();
      if (entityMoved || targetMoved) {
        change.refuse(Reason.ENTITY_MOVED);
      } else {
        retried.add(change);
      }
    }
    retried.addAll(pendingChanges);
    pendingChanges = retried;
  }

  private void retryOnNewListing() {
    writeInProgress = true;
    rowsFollower.relistThen(
        () -> {
          writeInProgress = false;
          completeAppliedTransfers();
          scheduleWrite(RETRY_DELAY_SECONDS);
        });
  }

  /** Completes queued transfers that the newest view shows as applied by an earlier attempt. */
  private void completeAppliedTransfers() {
    List<MachineRecordChange> remaining = new ArrayList<>();
    for (MachineRecordChange change : pendingChanges) {
      MachineRow known = clusterView.findMachineRow(change.machine());
      if (change.kind() == MachineRecordChange.Kind.TRANSFER
          && known != null
          && known.entity().equals(change.row().entity())) {
        change.complete(known);
      } else {
        remaining.add(change);
      }
    }
    pendingChanges = remaining;
  }
}
