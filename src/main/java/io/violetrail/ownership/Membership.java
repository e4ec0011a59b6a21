package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.state.StateStore;
import java.util.List;

/**
 * This controller's membership of the cluster: what the others ask for its lease and for the
 * entities it owns. It makes and connects the parts that do the work, and runs the periodic check.
 *
 * <p>A controller may act for its entities while {@link #isLeaseValid()}: its lease was renewed by
 * a request <em>sent</em> less than the lease's time ago. A survivor can take an entity over only
 * by a transaction that demands the absence of the owner's liveness row, which the state service
 * removes no earlier than that. So at most one controller may act for an entity at any time.
 *
 * <p>Called on the event loop's thread. Nothing of it survives a crash: the rows in the state
 * service do, and the lease there runs out by itself.
 */
public final class Membership {
  private static final double CHECK_INTERVAL_SECONDS = 0.25;

  /** What happens to ownership, and what ownership asks of the rest of the controller. */
  public interface Listener {
    /** The entity is owned here from now on; its rows are still to be read. */
    void onEntityAcquired(OwnedEntity entity);

    /** Another controller owns the entity, or may. */
    void onEntityLost(OwnedEntity entity);

    /** Common rows were read, or changed by a write of this controller's own. */
    void onRowsChanged();

    /** Whether this controller is partitioned from its workers, so that others are to own. */
    boolean isCutOffFromWorkers();

    /** Asks the current owner of this controller's home entity to hand it back. */
    void requestHandback(ControllerId owner);
  }

  private final Settings settings;
  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final LeaseTiming leaseTiming;
  private final Listener listener;
  private final ControllerLease lease;
  private final ClusterRowsFollower rowsFollower;
  private final OwnedEntities ownedEntities;
  private final ControllerLeaseRenewal leaseRenewal;
  private final EntityFailover failover;
  private final EntityHandover handover;

  /** Creates the membership of one controller, which does nothing before {@link #start}. */
  public Membership(
      Settings settings,
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      LeaseTiming leaseTiming,
      Listener listener) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.leaseTiming = leaseTiming;
    this.listener = listener;
    lease = new ControllerLease(loop, leaseTiming, clusterView);
    rowsFollower = new ClusterRowsFollower(loop, store, clusterView, this::onRowsRead);
    ownedEntities =
        new OwnedEntities(settings, loop, store, clusterView, lease, rowsFollower, listener);
    EntitySuccession succession = new EntitySuccession(settings, loop, clusterView, leaseTiming);
    leaseRenewal =
        new ControllerLeaseRenewal(
            loop,
            store,
            clusterView,
            leaseTiming,
            lease,
            new ControllerRegistration(
                settings, clusterView, succession, ownedEntities, rowsFollower));
    failover =
        new EntityFailover(
            settings,
            loop,
            store,
            clusterView,
            lease,
            succession,
            ownedEntities,
            rowsFollower,
            listener);
    handover =
        new EntityHandover(store, clusterView, lease, succession, ownedEntities, rowsFollower);
  }

  /** Acquires a lease and starts its periodic renewal and the check of ownership. */
  public void start() {
    failover.start();
    leaseRenewal.start();
    loop.scheduleWithFixedDelay(CHECK_INTERVAL_SECONDS, this::checkOwnership);
  }

  private void checkOwnership() {
    store.setActiveControllerCount(Math.max(1, clusterView.aliveControllerCount()));
    lease.logValidityChange();
    failover.checkEntities();
  }

  private void onRowsRead() {
    checkOwnership();
    listener.onRowsChanged();
  }

  /** Whether this controller is certainly entitled to act for the entities it owns. */
  public boolean isLeaseValid() {
    return lease.isValid();
  }

  /** For how many seconds the lease certainly stands; not positive if that is uncertain. */
  public double remainingLeaseSeconds() {
    return lease.remainingSeconds();
  }

  /**
   * Whether workers' leases may be renewed: the controller's own lease is valid, or has been
   * uncertain for less than the keep-alive grace period.
   */
  public boolean mayKeepWorkersAlive() {
    return lease.isWithinKeepAliveGrace();
  }

  /** Whether workers' leases may be renewed while the entity's rows are still being read. */
  public boolean mayRenewWhileLoading(OwnedEntity entity) {
    return leaseTiming.mayRenewWhileLoading(entity.row().history(), loop.wallMillis());
  }

  /** The entity if it is owned here; null otherwise. */
  public OwnedEntity findOwnedEntity(ControllerId entity) {
    return ownedEntities.find(entity);
  }

  /** This controller's home entity if it is owned here; null otherwise. */
  public OwnedEntity findHomeEntity() {
    return ownedEntities.find(settings.self());
  }

  /** A snapshot of all entities that are owned here. */
  public List<OwnedEntity> ownedEntities() {
    return ownedEntities.all();
  }

  /** Common rows have changed by a write of this controller's own: notifies the listener. */
  public void rowsChanged() {
    listener.onRowsChanged();
  }

  /**
   * Reads all common rows afresh. To be called when a fenced transaction was refused: the entity
   * may have moved.
   */
  public void relist() {
    rowsFollower.relist();
  }

  /**
   * Reads all common rows afresh, however long that takes.
   *
   * @param callback called once they were read by a listing that began after this call
   */
  public void relistThen(Runnable callback) {
    rowsFollower.relistThen(callback);
  }

  /**
   * Hands an entity over to another controller, if the entity is active and both controllers'
   * leases stand. No task is launched for it from here on.
   */
  public void handBack(OwnedEntity entity, ControllerId newOwner) {
    handover.handOver(entity, newOwner);
  }

  /**
   * A peer announced that it owns an entity under that version. Versions only grow, so a version
   * above the one that is owned here is believed, without waiting for the row.
   */
  public void onOwnershipAnnounced(ControllerId entity, Version version) {
    clusterView.recordAnnouncement(entity, version);
    OwnedEntity ownedEntity = ownedEntities.find(entity);
    if (ownedEntity != null && version.compareTo(ownedEntity.row().version()) > 0) {
      ownedEntities.giveUp(ownedEntity, "a peer knows version " + version);
      relist();
    }
  }
}
