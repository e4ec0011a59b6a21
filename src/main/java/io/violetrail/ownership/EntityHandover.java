package io.violetrail.ownership;

import io.violetrail.model.ControllerId;
import io.violetrail.net.Futures;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;

/**
 * Hands an owned entity over to another controller by one transaction, on the conditions that the
 * entity has not moved and that the new owner is alive. No task is launched for the entity once the
 * handover has started, so the new owner does not have to wait for launches that are still in
 * transit.
 *
 * <p>Called by {@link Membership} on the event loop's thread.
 */
final class EntityHandover {
  private final StateStore store;
  private final ClusterView clusterView;
  private final ControllerLease lease;
  private final EntitySuccession succession;
  private final OwnedEntities ownedEntities;
  private final ClusterRowsFollower rowsFollower;

  EntityHandover(
      StateStore store,
      ClusterView clusterView,
      ControllerLease lease,
      EntitySuccession succession,
      OwnedEntities ownedEntities,
      ClusterRowsFollower rowsFollower) {
    this.store = store;
    this.clusterView = clusterView;
    this.lease = lease;
    this.succession = succession;
    this.ownedEntities = ownedEntities;
    this.rowsFollower = rowsFollower;
  }

  /** Starts the handover if the entity is active and both controllers' leases are valid. */
  void handOver(OwnedEntity entity, ControllerId newOwner) {
    if (!entity.isActive() || !lease.isValid() || !clusterView.isAlive(newOwner)) {
      return;
    }
    entity.startRelease();
    EntityRow nextRow = succession.nextRow(entity.row(), newOwner, true, false);
    Transaction transaction =
        entity
            .fencedTransaction()
            .ifRevision(StateSchema.livenessKey(newOwner), clusterView.livenessRevision(newOwner))
            .put(StateSchema.entityKey(entity.id()), StateSchema.encode(nextRow, newOwner.value()));
    // The transaction is urgent because no task is launched until it completes. Queued behind the
    // writes of a burst of submissions, it would leave the entity idle for the whole burst.
    Futures.logFailure(
        store
            .commitUrgent(transaction)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure == null && outcome.applied()) {
                    onHandedOver(entity, newOwner, nextRow, outcome.revision());
                  } else if (failure == null && hasNotMoved(entity, outcome)) {
                    entity.releaseFailed();
                  } else {
                    rowsFollower.relist();
                  }
                }),
        "hand an entity over");
  }

  private void onHandedOver(
      OwnedEntity entity, ControllerId newOwner, EntityRow nextRow, long revision) {
    ownedEntities.giveUp(entity, "handed over to " + newOwner);
    clusterView.apply(
        new RowChange(
            StateSchema.entityKey(entity.id()),
            StateSchema.encode(nextRow, newOwner.value()),
            revision));
  }

  private static boolean hasNotMoved(OwnedEntity entity, TransactionOutcome outcome) {
    return !outcome.failedKeys().contains(StateSchema.entityKey(entity.id()));
  }
}
