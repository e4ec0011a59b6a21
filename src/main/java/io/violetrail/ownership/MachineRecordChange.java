package io.violetrail.ownership;

import io.violetrail.model.MachineId;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A pending change of one machine's record in the blocks of its entity. {@link MachineRecords}
 * keeps the change until it is completed or refused. Pending changes are lost in a crash, so the
 * caller must not act on a change before it is completed.
 */
final class MachineRecordChange {
  /** The kinds of change. */
  enum Kind {
    /** Adds a machine that is not recorded by any other entity. */
    ADD,
    REWRITE,
    REMOVE,
    /** Transfers the machine to another entity, with a row of its own. */
    TRANSFER
  }

  private final Kind kind;
  private final MachineRow row;
  private final Optional<EntityRow> targetEntity;
  private final CompletableFuture<MachineRow> stored = new CompletableFuture<>();

  private MachineRecordChange(Kind kind, MachineRow row, Optional<EntityRow> targetEntity) {
    this.kind = kind;
    this.row = row;
    this.targetEntity = targetEntity;
  }

  static MachineRecordChange add(MachineRow row) {
    return new MachineRecordChange(Kind.ADD, row, Optional.empty());
  }

  static MachineRecordChange rewrite(MachineRow changed) {
    return new MachineRecordChange(Kind.REWRITE, changed, Optional.empty());
  }

  static MachineRecordChange remove(MachineRow row) {
    return new MachineRecordChange(Kind.REMOVE, row, Optional.empty());
  }

  /** Creates a transfer that is refused if the target entity's row changes before the write. */
  static MachineRecordChange transfer(MachineRow transferred, EntityRow targetEntity) {
    return new MachineRecordChange(Kind.TRANSFER, transferred, Optional.of(targetEntity));
  }

  Kind kind() {
    return kind;
  }

  MachineId machine() {
    return row.id();
  }

  /** Returns the new record; for {@link Kind#REMOVE}, the record to remove. */
  MachineRow row() {
    return row;
  }

  /** Returns the target entity's row; present only for {@link Kind#TRANSFER}. */
  Optional<EntityRow> targetEntity() {
    return targetEntity;
  }

  /** Completes with the stored row, or fails with {@link RecordChangeRefusedException}. */
  CompletableFuture<MachineRow> stored() {
    return stored;
  }

  /** Completes the future: the change was written, or the record was already as requested. */
  void complete(MachineRow storedRow) {
    stored.complete(storedRow);
  }

  /** Fails the future: the change was not written and will not be written. */
  void refuse(RecordChangeRefusedException.Reason reason) {
    stored.completeExceptionally(new RecordChangeRefusedException(machine(), reason));
  }
}
