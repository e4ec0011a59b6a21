package io.violetrail.ownership;

import io.violetrail.model.MachineId;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A change of one machine's record in its entity's blocks, waiting to be written. It is kept by
 * {@link MachineRecords} until it is completed or refused, and lost in a crash: whoever asked for
 * it must not act on it before.
 */
final class MachineRecordChange {
  /** What is to become of the record. */
  enum Kind {
    /** To be recorded; no entity may have the machine yet. */
    ADD,
    REWRITE,
    REMOVE,
    /** To be given to another entity, in a row of its own. */
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

  /** The machine passes to that entity, provided that the entity does not move meanwhile. */
  static MachineRecordChange transfer(MachineRow transferred, EntityRow targetEntity) {
    return new MachineRecordChange(Kind.TRANSFER, transferred, Optional.of(targetEntity));
  }

  Kind kind() {
    return kind;
  }

  MachineId machine() {
    return row.id();
  }

  /** The record as it is to be; with {@link Kind#REMOVE} as it was. */
  MachineRow row() {
    return row;
  }

  /** The entity that the machine passes to; present with {@link Kind#TRANSFER} alone. */
  Optional<EntityRow> targetEntity() {
    return targetEntity;
  }

  /** Completes with the row as stored, or fails with {@link RecordChangeRefusedException}. */
  CompletableFuture<MachineRow> stored() {
    return stored;
  }

  /** The change was written, or what it asks for was found to be so. */
  void complete(MachineRow storedRow) {
    stored.complete(storedRow);
  }

  /** The change was not written and will not be. */
  void refuse(RecordChangeRefusedException.Reason reason) {
    stored.completeExceptionally(new RecordChangeRefusedException(machine(), reason));
  }
}
