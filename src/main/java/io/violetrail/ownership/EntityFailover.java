package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares the entity rows in the cluster view with the entities that this controller owns, and
 * acts on the differences:
 *
 * <ul>
 *   <li>If the row of an owned entity is newer than the row under which this controller acquired
 *       the entity, another controller may own it now. This controller gives the entity up.
 *   <li>If a row names this controller and the entity is not owned here, this controller starts to
 *       own the entity: under the row's version after a handover to this process, under a new
 *       version after a restart.
 *   <li>If a row names an owner whose lease has expired, this controller tries to take the entity
 *       over (failover).
 *   <li>If the row of this controller's home entity, the entity with the controller's own id, names
 *       another controller that is alive, this controller requests the handback of the entity.
 * </ul>
 *
 * <p>Giving up is always possible; the other actions require that this controller's own lease is
 * valid. A controller that is partitioned from its workers requests no handback, and takes over no
 * entity while another controller is alive.
 *
 * <p>A failover is one transaction on the conditions that the entity's row has not changed and that
 * the former owner's liveness row does not exist. The state service removes the liveness row when
 * the lease expires, so the former owner no longer makes decisions for the entity by then. In
 * addition, each survivor delays its attempt by its rank, which is the number of live controllers
 * that the settings list before it. The delay only avoids simultaneous attempts; correctness does
 * not depend on it.
 *
 * <p>Called by {@link Membership} on the event loop's thread. The state of this class is lost in a
 * crash, which is harmless: a restarted controller measures the delays anew.
 */
final class EntityFailover {
  private static final Logger LOG = LoggerFactory.getLogger(EntityFailover.class);

  /** How much longer a survivor waits than the one ranked before it, to avoid contention. */
  private static final double RANK_DELAY_SECONDS = 0.6;

  /**
   * A controller takes over no entities for this long after its own start, because often all
   * controllers are restarted at once and the others may not have registered yet.
   */
  private static final double STARTUP_GRACE_SECONDS = 2;

  private static final double HANDBACK_REQUEST_INTERVAL_SECONDS = 1;

  private final Settings settings;
  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final ControllerLease lease;
  private final ControllerRegistration registration;
  private final EntitySuccession succession;
  private final OwnedEntities ownedEntities;
  private final ClusterRowsFollower rowsFollower;
  private final Membership.Listener listener;
  private final Set<ControllerId> acquisitionsInProgress = new HashSet<>();
  private final Map<ControllerId, Double> ownerAbsentSinceSeconds = new HashMap<>();
  private double startedAtSeconds;
  private double handbackRequestedAtSeconds = Double.NEGATIVE_INFINITY;

  EntityFailover(
      Settings settings,
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      ControllerLease lease,
      ControllerRegistration registration,
      EntitySuccession succession,
      OwnedEntities ownedEntities,
      ClusterRowsFollower rowsFollower,
      Membership.Listener listener) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.lease = lease;
    this.registration = registration;
    this.succession = succession;
    this.ownedEntities = ownedEntities;
    this.rowsFollower = rowsFollower;
    this.listener = listener;
  }

  /** Starts the period in which the other controllers may register before any failover. */
  void start() {
    startedAtSeconds = loop.monotonicSeconds();
  }

  /** Compares each known entity row with the owned entities and acts on the differences. */
  void checkEntities() {
    for (EntityRow row : clusterView.entityRows()) {
      ControllerId owner = clusterView.findOwnerIn(row);
      if (checkStillOwned(row, owner)) {
        continue;
      }
      if (owner != null && lease.isValid() && !acquisitionsInProgress.contains(row.entity())) {
        tryToAcquire(row, owner);
      }
    }
  }

  /**
   * Returns whether this controller owns the entity under this row or a newer one. If the row is
   * newer than the row under which this controller acquired the entity, gives the entity up first.
   */
  private boolean checkStillOwned(EntityRow row, ControllerId owner) {
    OwnedEntity ownedEntity = ownedEntities.find(row.entity());
    if (ownedEntity == null) {
      return false;
    }
    if (row.modRevision() <= ownedEntity.row().modRevision()) {
      return true;
    }
    ownedEntities.giveUp(
        ownedEntity, "superseded by version " + row.version() + " of owner " + owner);
    return false;
  }

  /**
   * Handles an entity that this controller does not own: starts to own it if its row names this
   * controller, requests the handback of the home entity, or tries a failover.
   */
  private void tryToAcquire(EntityRow row, ControllerId owner) {
    if (owner.equals(settings.self())) {
      resumeOwnership(row);
    } else if (clusterView.isAlive(owner)) {
      ownerAbsentSinceSeconds.remove(owner);
      if (row.entity().equals(settings.self())) {
        requestHandback(owner);
      }
    } else if (isTurnToTakeOver(owner)) {
      acquireOwnership(row, false, owner);
    }
  }

  /**
   * Starts to own an entity whose row already names this controller. Unless the row records a
   * handover to this very process, the entity first moves to a new version, because a former
   * process of this controller may have acted under the row's version. Workers' reports would then
   * count as evidence although they were sent under the former process, its late transactions would
   * still be applied, and attempt numbers and request names, which each owner counts from 1 under
   * its version, would be used twice.
   *
   * <p>The same holds for a version that this process has given up, for example after a peer's
   * announcement. The row may then be outdated here, and the move is refused if it is.
   */
  private void resumeOwnership(EntityRow row) {
    if (isUnusedHandover(row)) {
      ownedEntities.startOwning(row, true);
      return;
    }
    LOG.info(
        "entity {}: version {} at revision {} may have been used by this controller before;"
            + " moving the entity to a new version",
        row.entity(),
        row.version(),
        row.modRevision());
    acquireOwnership(row, row.acquiredGracefully(), settings.self());
  }

  /**
   * Returns whether the row records a handover to this process, and neither a former process nor an
   * earlier ownership of this process has acted under its version. The version of a row that an
   * earlier release wrote may be too low to serve as a fencing token.
   */
  private boolean isUnusedHandover(EntityRow row) {
    return row.acquiredGracefully()
        && row.version().isFencingToken()
        && registration.wasRegisteredBefore(row)
        && !ownedEntities.hasOwnedUnder(row);
  }

  private void requestHandback(ControllerId owner) {
    if (listener.isPartitionedFromWorkers()
        || loop.monotonicSeconds() - handbackRequestedAtSeconds
            <= HANDBACK_REQUEST_INTERVAL_SECONDS) {
      return;
    }
    handbackRequestedAtSeconds = loop.monotonicSeconds();
    listener.requestHandback(owner);
  }

  /** Returns whether this controller may now try to take over the entities of an absent owner. */
  private boolean isTurnToTakeOver(ControllerId owner) {
    if (listener.isPartitionedFromWorkers() && clusterView.aliveControllerCount() > 1) {
      return false;
    }
    double nowSeconds = loop.monotonicSeconds();
    double absentSinceSeconds =
        ownerAbsentSinceSeconds.computeIfAbsent(owner, absentOwner -> nowSeconds);
    return nowSeconds - absentSinceSeconds >= rankAmongAlive() * RANK_DELAY_SECONDS
        && nowSeconds - startedAtSeconds >= STARTUP_GRACE_SECONDS;
  }

  /** Returns how many of the controllers listed before this one in the settings are alive. */
  private int rankAmongAlive() {
    int rank = 0;
    for (ControllerId controller : settings.controllers()) {
      if (controller.equals(settings.self())) {
        break;
      }
      rank += clusterView.isAlive(controller) ? 1 : 0;
    }
    return rank;
  }

  /**
   * Makes this controller the owner of an entity by one conditional transaction.
   *
   * @param acquiredGracefully whether the former owner handed the entity over; if false, the move
   *     counts as a failover
   * @param formerOwner the owner that the row names, which may be this controller itself
   */
  private void acquireOwnership(
      EntityRow row, boolean acquiredGracefully, ControllerId formerOwner) {
    acquisitionsInProgress.add(row.entity());
    ControllerId self = settings.self();
    EntityRow nextRow = succession.nextRow(row, self, acquiredGracefully, !acquiredGracefully);
    String key = StateSchema.entityKey(row.entity());
    Transaction transaction =
        new Transaction()
            .ifRevision(key, row.modRevision())
            .put(key, StateSchema.encode(nextRow, self.value()));
    if (!formerOwner.equals(self)) {
      transaction.ifRevision(StateSchema.livenessKey(formerOwner), 0);
    }
    Futures.logFailure(
        store
            .tryUrgentTransaction(transaction)
            .whenComplete(
                (outcome, failure) -> {
                  acquisitionsInProgress.remove(row.entity());
                  if (failure == null && outcome.applied()) {
                    LOG.info(
                        "entity {} acquired from {} with version {}",
                        row.entity(),
                        formerOwner,
                        nextRow.version());
                    ownedEntities.startOwning(
                        nextRow.withModRevision(outcome.revision()), acquiredGracefully);
                  } else {
                    rowsFollower.relist();
                  }
                }),
        "take over an entity");
  }
}
