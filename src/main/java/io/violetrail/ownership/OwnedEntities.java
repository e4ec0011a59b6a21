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
 * The entities that this controller owns, by the rows it has written or read. Whether it may act
 * for them at a moment is the lease's business.
 *
 * <p>Used on the event loop's thread. Nothing of it survives a crash: the rows do.
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

  /** The entity if it is owned here; null otherwise. */
  OwnedEntity find(ControllerId entity) {
    return entitiesById.get(entity);
  }

  /** A snapshot of all owned entities. */
  List<OwnedEntity> all() {
    return List.copyOf(entitiesById.values());
  }

  /** An entity is owned here from now on, under a row that was read or written. */
  void startOwning(EntityRow row, boolean acquiredGracefully) {
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
        "entity {} owned with version {} since revision {}; {}",
        row.entity(),
        row.version(),
        row.modRevision(),
        lease.describe());
    listener.onEntityAcquired(entity);
  }

  /**
   * Gives up an entity that another controller owns by now; does nothing if it was given up before.
   *
   * @param reason for the log
   */
  void giveUp(OwnedEntity entity, String reason) {
    if (!entitiesById.remove(entity.id(), entity)) {
      return;
    }
    entity.markLost();
    LOG.info(
        "entity {} version {} given up: {}; {}",
        entity.id(),
        entity.row().version(),
        reason,
        lease.describe());
    listener.onEntityLost(entity);
  }
}
