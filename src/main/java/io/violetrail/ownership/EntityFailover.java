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
 * Compares the entities' rows with what is owned here, and acts on the difference: gives up what
 * has moved, takes up what was handed over, takes over what belonged to a controller whose lease
 * has expired, and asks for the home entity while another controller owns it.
 *
 * <p>An entity is taken over from another owner only by a transaction that demands the absence of
 * that owner's liveness row. Survivors take turns by rank, so that they do not all try at once;
 * that is for economy, the transaction for correctness.
 *
 * <p>Called by {@link Membership} on the event loop's thread. What it remembers is lost in a crash
 * without harm.
 */
final class EntityFailover {
  private static final Logger LOG = LoggerFactory.getLogger(EntityFailover.class);

  /** A later-ranked survivor gives each earlier one this long to take a lapsed entity. */
  private static final double RANK_DELAY_SECONDS = 0.6;

  /**
   * After its own start a controller lets the others come up too: often all were restarted at once.
   */
  private static final double STARTUP_GRACE_SECONDS = 2;

  private static final double HANDBACK_REQUEST_INTERVAL_SECONDS = 1;

  private final Settings settings;
  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final ControllerLease lease;
  private final EntitySuccession succession;
  private final OwnedEntities ownedEntities;
  private final ClusterRowsFollower rowsFollower;
  private final Membership.Listener listener;
  private final Set<ControllerId> movesInProgress = new HashSet<>();
  private final Map<ControllerId, Double> ownerAbsentSinceSeconds = new HashMap<>();
  private double startedAtSeconds;
  private double handbackRequestedAtSeconds = Double.NEGATIVE_INFINITY;

  EntityFailover(
      Settings settings,
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      ControllerLease lease,
      EntitySuccession succession,
      OwnedEntities ownedEntities,
      ClusterRowsFollower rowsFollower,
      Membership.Listener listener) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.lease = lease;
    this.succession = succession;
    this.ownedEntities = ownedEntities;
    this.rowsFollower = rowsFollower;
    this.listener = listener;
  }

  /** Begins the grace period that other controllers get to come up. */
  void start() {
    startedAtSeconds = loop.monotonicSeconds();
  }

  /** Acts on each entity's row as it is known now. */
  void checkEntities() {
    for (EntityRow row : clusterView.entityRows()) {
      ControllerId owner = clusterView.findOwnerIn(row);
      if (keepUnlessRowIsNewer(row, owner)) {
        continue;
      }
      if (owner != null && lease.isValid() && !movesInProgress.contains(row.entity())) {
        checkNotOwnedHere(row, owner);
      }
    }
  }

  /**
   * Whether the entity is owned here under that row; gives it up if the row is newer than the one
   * under which it is owned here.
   */
  private boolean keepUnlessRowIsNewer(EntityRow row, ControllerId owner) {
    OwnedEntity ownedEntity = ownedEntities.find(row.entity());
    if (ownedEntity == null) {
      return false;
    }
    if (row.modRevision() <= ownedEntity.row().modRevision()) {
      return true;
    }
    ownedEntities.giveUp(ownedEntity, "version " + row.version() + " belongs to " + owner);
    return false;
  }

  private void checkNotOwnedHere(EntityRow row, ControllerId owner) {
    if (owner.equals(settings.self())) {
      resumeOwnership(row);
    } else if (clusterView.isAlive(owner)) {
      ownerAbsentSinceSeconds.remove(owner);
      if (row.entity().equals(settings.self())) {
        requestHandback(owner);
      }
    } else if (isTurnToTakeOver(owner)) {
      moveHere(row, false, owner);
    }
  }

  /**
   * Takes up an entity whose row names this controller. If it was not handed over, a former process
   * of this controller may have commanded its workers under that version, and a program of before
   * may have written a version that is no fencing token: then it moves on to a new version.
   */
  private void resumeOwnership(EntityRow row) {
    if (row.acquiredGracefully() && row.version().isToken()) {
      ownedEntities.startOwning(row, true);
    } else {
      moveHere(row, row.acquiredGracefully(), settings.self());
    }
  }

  private void requestHandback(ControllerId owner) {
    if (listener.isCutOffFromWorkers()
        || loop.monotonicSeconds() - handbackRequestedAtSeconds
            <= HANDBACK_REQUEST_INTERVAL_SECONDS) {
      return;
    }
    handbackRequestedAtSeconds = loop.monotonicSeconds();
    listener.requestHandback(owner);
  }

  /** Whether it is this controller's turn to take over what an absent owner had. */
  private boolean isTurnToTakeOver(ControllerId owner) {
    if (listener.isCutOffFromWorkers() && clusterView.aliveControllerCount() > 1) {
      return false;
    }
    double nowSeconds = loop.monotonicSeconds();
    double absentSinceSeconds =
        ownerAbsentSinceSeconds.computeIfAbsent(owner, absentOwner -> nowSeconds);
    return nowSeconds - absentSinceSeconds >= rankAmongAlive() * RANK_DELAY_SECONDS
        && nowSeconds - startedAtSeconds >= STARTUP_GRACE_SECONDS;
  }

  /** How many controllers that are alive stand before this one in the settings. */
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
   * Moves an entity here by one conditional transaction.
   *
   * @param gracefully whether its former owner has handed it over; otherwise it is a failover
   * @param formerOwner the owner that the row names, maybe this controller itself
   */
  private void moveHere(EntityRow row, boolean gracefully, ControllerId formerOwner) {
    movesInProgress.add(row.entity());
    ControllerId self = settings.self();
    EntityRow nextRow = succession.nextRow(row, self, gracefully, !gracefully);
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
                  movesInProgress.remove(row.entity());
                  if (failure == null && outcome.applied()) {
                    LOG.info(
                        "entity {} taken from {} with version {}",
                        row.entity(),
                        formerOwner,
                        nextRow.version());
                    ownedEntities.startOwning(
                        nextRow.withModRevision(outcome.revision()), gracefully);
                  } else {
                    rowsFollower.relist();
                  }
                }),
        "take over an entity");
  }
}
