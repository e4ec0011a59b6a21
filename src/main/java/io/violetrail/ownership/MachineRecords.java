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
 * <p>An entity's machines are recorded together in a few rows, its blocks, which only its owner
 * writes. Changes to many machines within a moment cost a write or two: with a write for each, a
 * hundred machines coming up took the state service longer than their boot. A machine that passes
 * to another entity gets a row of its own, since two owners must not write the same block.
 *
 * <p>Changes are gathered and written in batches, one transaction at a time. A batch that was
 * refused is worked out afresh on a newer view and tried again, until each change is stored or is
 * known to be impossible.
 *
 * <p>Used on the event loop's thread. Changes that wait are lost in a crash; the futures tell what
 * was stored.
 */
public final class MachineRecords {
  private static final double GATHER_SECONDS = 0.2;
  private static final double RETRY_SECONDS = 0.15;

  /** Changes that may wait; beyond that the caller is refused and comes back. */
  private static final int MAX_PENDING_CHANGES = 2_000;

  private final StateStore store;
  private final ClusterView clusterView;
  private final ClusterRowsFollower rowsFollower;
  private final StateStoreLimits limits;
  private final OwnedEntity ownedEntity;
  private final CoalescingTimer writeDebouncer;
  private List<MachineRecordChange> pendingChanges = new ArrayList<>();

  /** A transaction, or the listing that follows a refused one, is under way. */
  private boolean writeInProgress;

  /** The last transaction left changes for the next one. */
  private boolean transactionFull;

  /** Creates the batched writer of one entity's machine records. */
  MachineRecords(
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
  }

  /**
   * Records a machine unless another entity has it.
   *
   * @return its row once stored; fails with {@link RecordChangeRefusedException}
   */
  public CompletableFuture<MachineRow> add(MachineRow row) {
    return enqueue(MachineRecordChange.add(row));
  }

  /**
   * Records machines; completes once each of them is either this entity's or known to be another's.
   * It never fails.
   */
  public CompletableFuture<Void> addAll(List<MachineRow> rows) {
    return CompletableFuture.allOf(
        rows.stream()
            .map(row -> add(row).handle((stored, failure) -> null))
            .toArray(CompletableFuture[]::new));
  }

  /**
   * Rewrites a machine's record.
   *
   * @return its row once stored; fails with {@link RecordChangeRefusedException}
   */
  public CompletableFuture<MachineRow> rewrite(MachineRow former, MachineRow changed) {
    if (!former.isInBlock()) {
      return writeSingleRow(ownedEntity.fencedTransaction(), former, Optional.of(changed));
    }
    return enqueue(MachineRecordChange.rewrite(changed));
  }

  /**
   * Removes the record of a machine that is gone.
   *
   * @return the row as it was, once removed; fails with {@link RecordChangeRefusedException}
   */
  public CompletableFuture<MachineRow> remove(MachineRow row) {
    if (!row.isInBlock()) {
      return writeSingleRow(ownedEntity.fencedTransaction(), row, Optional.empty());
    }
    return enqueue(MachineRecordChange.remove(row));
  }

  /**
   * Gives a machine to another entity, under the term that {@code transferred} names.
   *
   * @param targetEntity that entity's row: nothing is written if the entity has moved since
   * @return the row once stored; fails with {@link RecordChangeRefusedException}
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
    scheduleWrite(GATHER_SECONDS);
    return change.stored();
  }

  private void scheduleWrite(double delaySeconds) {
    if (!writeInProgress && !pendingChanges.isEmpty()) {
      writeDebouncer.schedule(delaySeconds);
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

  /** One transaction on its way. What it writes is worked out only when its turn has come. */
  private final class BatchWrite {
    private Optional<MachineRecordBatch> drafted = Optional.empty();

    /** Null if there is nothing to write by then: the write fails. */
    private Transaction draft() {
      MachineRecordBatch batch = draftBatch();
      if (batch.isEmpty()) {
        return null;
      }
      drafted = Optional.of(batch);
      return batch.finishTransaction();
    }

    private void onOutcome(TransactionOutcome outcome, Throwable failure) {
      writeInProgress = false;
      if (drafted.isEmpty()) {
        scheduleWrite(RETRY_SECONDS);
      } else if (failure == null && outcome.applied()) {
        onApplied(drafted.get(), outcome);
        scheduleWrite(transactionFull ? 0 : GATHER_SECONDS);
      } else {
        onNotApplied(drafted.get(), outcome);
      }
    }
  }

  private void refusePendingChanges() {
    List<MachineRecordChange> refused = pendingChanges;
    pendingChanges = new ArrayList<>();
    refused.forEach(change -> change.refuse(Reason.ENTITY_LOST));
  }

  /** Takes as many of the changes that wait as one transaction holds. */
  private MachineRecordBatch draftBatch() {
    MachineRecordBatch batch = new MachineRecordBatch(ownedEntity, clusterView, limits);
    List<MachineRecordChange> remaining = new ArrayList<>();
    transactionFull = false;
    for (MachineRecordChange change : pendingChanges) {
      if (change.kind() == MachineRecordChange.Kind.ADD && isOwnedElsewhere(change.machine())) {
        change.refuse(Reason.OWNED_ELSEWHERE);
        continue;
      }
      transactionFull = transactionFull || batch.isFull();
      if (transactionFull) {
        remaining.add(change);
      } else if (!batch.include(change)) {
        change.refuse(Reason.OWNED_ELSEWHERE);
      }
    }
    pendingChanges = remaining;
    return batch;
  }

  /** Whether the machine has a record outside this entity's blocks: it is not recorded twice. */
  private boolean isOwnedElsewhere(MachineId id) {
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
   * Another entity has recorded machines meanwhile, an earlier try that seemed lost was applied, or
   * an entity has moved: what is still to be done is worked out afresh on a newer view.
   *
   * @param outcome null if the transaction failed otherwise than by its conditions
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
      // The watch brings in a moment what the others have recorded.
      scheduleWrite(RETRY_SECONDS);
    }
  }

  /** Puts the batch's changes back before those that wait, except those that cannot succeed. */
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
          scheduleWrite(RETRY_SECONDS);
        });
  }

  /** Completes the transfers that an earlier try has made, by the newest view. */
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
