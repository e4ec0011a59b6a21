package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Registers this controller as alive under a new lease, by one transaction. The transaction writes
 * the liveness row. It also moves the home entity, which is the entity with this controller's id,
 * to a new version, if this controller does not already own that entity in memory and the stored
 * row names this controller or does not exist. The transaction is conditional on the unchanged rows
 * of all entities that this controller still owns, because a survivor may have taken them over
 * while there was no liveness row between two leases.
 *
 * <p>Called by {@link ControllerLeaseRenewal} and {@link EntityFailover} on the event loop's
 * thread.
 */
final class ControllerRegistration {
  private final Settings settings;
  private final ClusterView clusterView;
  private final EntitySuccession succession;
  private final OwnedEntities ownedEntities;
  private final ClusterRowsFollower rowsFollower;

  /** The revision of this process's first registration; empty before it. */
  private OptionalLong firstRevision = OptionalLong.empty();

  ControllerRegistration(
      Settings settings,
      ClusterView clusterView,
      EntitySuccession succession,
      OwnedEntities ownedEntities,
      ClusterRowsFollower rowsFollower) {
    this.settings = settings;
    this.clusterView = clusterView;
    this.succession = succession;
    this.ownedEntities = ownedEntities;
    this.rowsFollower = rowsFollower;
  }

  /**
   * A registration to be written.
   *
   * @param homeRow the new row of the home entity; empty if this controller already owns the home
   *     entity or another controller owns it
   */
  record Draft(Transaction transaction, Optional<EntityRow> homeRow) {}

  /** Drafts the registration under the given lease, based on the currently known rows. */
  Draft draft(long leaseId) {
    ControllerId self = settings.self();
    Transaction transaction =
        new Transaction()
            .ifRevision(StateSchema.livenessKey(self), clusterView.livenessRevision(self))
            .putWithLease(
                StateSchema.livenessKey(self),
                StateSchema.encodeLiveness(settings.zone()),
                leaseId);
    EntityRow formerHomeRow = clusterView.findEntityRow(self);
    Optional<EntityRow> homeRow = draftHomeRow(formerHomeRow);
    homeRow.ifPresent(
        row ->
            transaction
                .ifRevision(
                    StateSchema.entityKey(self),
                    formerHomeRow == null ? 0 : formerHomeRow.modRevision())
                .put(StateSchema.entityKey(self), StateSchema.encode(row, self.value())));
    for (OwnedEntity entity : ownedEntities.all()) {
      transaction.ifRevision(StateSchema.entityKey(entity.id()), entity.row().modRevision());
    }
    return new Draft(transaction, homeRow);
  }

  private Optional<EntityRow> draftHomeRow(EntityRow formerRow) {
    ControllerId self = settings.self();
    if (ownedEntities.find(self) != null) {
      return Optional.empty();
    }
    if (formerRow == null) {
      return Optional.of(succession.firstRow(self));
    }
    if (!self.equals(clusterView.findOwnerIn(formerRow))) {
      return Optional.empty();
    }
    // The previous process of this controller has ended. If it had taken the entity over, the owner
    // before it may still be in its keep-alive grace period, so the row keeps acquiredGracefully.
    return Optional.of(succession.nextRow(formerRow, self, formerRow.acquiredGracefully(), false));
  }

  /**
   * Returns whether this process had registered before the row was written. Its former processes
   * had ended by then, so none of them has acted under the row's version.
   */
  boolean wasRegisteredBefore(EntityRow row) {
    return firstRevision.isPresent() && row.modRevision() > firstRevision.getAsLong();
  }

  /** Updates the local state after the transaction was applied at the given revision. */
  void onApplied(Draft draft, long revision) {
    if (firstRevision.isEmpty()) {
      firstRevision = OptionalLong.of(revision);
    }
    clusterView.apply(
        new RowChange(
            StateSchema.livenessKey(settings.self()),
            StateSchema.encodeLiveness(settings.zone()),
            revision));
    draft
        .homeRow()
        .ifPresent(
            row ->
                ownedEntities.startOwning(row.withModRevision(revision), row.acquiredGracefully()));
    rowsFollower.watch();
  }

  /** Gives up the owned entities whose rows' changes caused the transaction to be refused. */
  void onRefused(Set<String> failedKeys) {
    failedKeys.forEach(
        key ->
            ownedEntities.all().stream()
                .filter(entity -> StateSchema.entityKey(entity.id()).equals(key))
                .forEach(entity -> ownedEntities.giveUp(entity, "its stored row has changed")));
  }
}
