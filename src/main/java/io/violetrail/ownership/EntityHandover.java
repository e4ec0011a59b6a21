package io.violetrail.ownership;

import io.violetrail.model.ControllerId;
import io.violetrail.net.Futures;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;

/**
 * Hands an owned entity over to another controller, by one transaction that demands that the entity
 * has not moved and that the new owner is alive. No task is launched for the entity from the
 * beginning of the handover on, so that the new owner need not wait for anything that this one may
 * still have on its way.
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

  /** Begins the handover, if the entity is active and both controllers' leases stand. */
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
    // Urgent, since nothing is launched meanwhile: behind the other writes of a burst of
    // submissions the entity would stand idle for as long as the burst takes.
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
