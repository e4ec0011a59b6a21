package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.RowChange;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The entities that this controller owns according to the rows that it has written or read. Being
 * listed here does not entitle the controller to act for an entity; that also requires a valid
 * {@link ControllerLease}.
 *
 * <p>Must be used on the event loop's thread. The list is lost in a crash, but the stored rows are
 * not.
 */
final class OwnedEntities {
  private static final Logger LOG = LoggerFactory.getLogger(OwnedEntities.class);

  private final Settings settings;
  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final ControllerLease lease;
  private final ClusterRowsFollower rowsFollower;
  private final Membership.Listener listener;
  private final Map<ControllerId, OwnedEntity> entitiesById = new HashMap<>();

  /** By entity: the revision of the latest row under which this process has owned it. */
  private final Map<ControllerId, Long> latestOwnedRevisions = new HashMap<>();

  OwnedEntities(
      Settings settings,
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      ControllerLease lease,
      ClusterRowsFollower rowsFollower,
      Membership.Listener listener) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.lease = lease;
    this.rowsFollower = rowsFollower;
    this.listener = listener;
  }

  /** Returns the entity if this controller owns it; null otherwise. */
  OwnedEntity find(ControllerId entity) {
    return entitiesById.get(entity);
  }

  /** Returns a snapshot of all owned entities. */
  List<OwnedEntity> all() {
    return List.copyOf(entitiesById.values());
  }

  /** Returns whether this process owns or has owned the entity under this row or a later one. */
  boolean hasOwnedUnder(EntityRow row) {
    return latestOwnedRevisions.getOrDefault(row.entity(), 0L) >= row.modRevision();
  }

  /**
   * Adds an entity whose row, as read or written, names this controller; notifies the listener.
   *
   * @throws IllegalStateException if this process has owned the entity under this row or a later
   *     one, which is a fault of the program: each ownership needs a version of its own
   */
  void startOwning(EntityRow row, boolean acquiredGracefully) {
    if (hasOwnedUnder(row)) {
      throw new IllegalStateException(
          "entity " + row.entity() + " was already owned under version " + row.version());
    }
    latestOwnedRevisions.put(row.entity(), row.modRevision());
    clusterView.apply(
        new RowChange(
            StateSchema.entityKey(row.entity()),
            StateSchema.encode(row, settings.self().value()),
            row.modRevision()));
    OwnedEntity entity = new OwnedEntity(row, acquiredGracefully, loop.monotonicSeconds());
    entity.setMachineRecords(
        new MachineRecords(
            loop, store, clusterView, rowsFollower, settings.stateStoreLimits(), entity));
    entitiesById.put(row.entity(), entity);
    LOG.info(
        "started to own entity {} with version {} at revision {}; {}",
        row.entity(),
        row.version(),
        row.modRevision(),
        lease.describe());
    listener.onEntityAcquired(entity);
  }

  /**
   * Gives up an entity that another controller owns or may own, and notifies the listener. Does
   * nothing if this instance has already been given up.
   *
   * @param reason the reason to log
   */
  void giveUp(OwnedEntity entity, String reason) {
    if (!entitiesById.remove(entity.id(), entity)) {
      return;
    }
    entity.markLost();
    LOG.info(
        "gave up entity {} with version {}: {}; {}",
        entity.id(),
        entity.row().version(),
        reason,
        lease.describe());
    listener.onEntityLost(entity);
  }
}
