package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.Optional;
import java.util.Set;

/**
 * Registers this controller as alive under a new lease. One transaction writes the liveness row,
 * moves the home entity to a new version if it is this controller's or nobody's, and demands that
 * the entities that are still owned here have not moved: between two leases there was no liveness
 * row, so a survivor may have taken them over.
 *
 * <p>Called by {@link ControllerLeaseRenewal} on the event loop's thread.
 */
final class ControllerRegistration {
  private final Settings settings;
  private final ClusterView clusterView;
  private final EntitySuccession succession;
  private final OwnedEntities ownedEntities;
  private final ClusterRowsFollower rowsFollower;

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
   * A registration that is to be written.
   *
   * @param homeRow the row by which the home entity is taken in the same step; empty if it is owned
   *     here already or by another controller
   */
  record Draft(Transaction transaction, Optional<EntityRow> homeRow) {}

  /** Works out the registration under a lease, on the rows as they are known. */
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
    // The former process of this controller is gone. If that one had taken the entity over, the
    // owner before it may still be in its grace period: the row goes on saying so.
    return Optional.of(succession.nextRow(formerRow, self, formerRow.acquiredGracefully(), false));
  }

  /** The transaction was applied at that revision. */
  void onApplied(Draft draft, long revision) {
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

  /** The transaction was refused, as the rows with these keys have changed. */
  void onRefused(Set<String> failedKeys) {
    failedKeys.forEach(
        key ->
            ownedEntities.all().stream()
                .filter(entity -> StateSchema.entityKey(entity.id()).equals(key))
                .forEach(entity -> ownedEntities.giveUp(entity, "its row has changed")));
  }
}
