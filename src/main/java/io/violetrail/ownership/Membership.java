package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.state.StateStore;
import java.util.List;

/**
 * This controller's membership of the cluster. The rest of the controller uses this class to access
 * the controller lease and the owned entities. It creates and connects the classes of this package
 * that do the work, and runs the periodic ownership check.
 *
 * <p>A controller may act for its entities only while {@link #isLeaseValid()} returns true. This
 * validity period starts when the last successful grant or renewal request was <em>sent</em>, and
 * is shorter than the lease's time to live by a safety margin. A survivor can take an entity over
 * only by a transaction on the condition that the owner's liveness row does not exist, and the
 * state service does not remove that row before the end of the period. Therefore at most one
 * controller may act for an entity at any time.
 *
 * <p>Must be used on the event loop's thread. The state is lost in a crash, but the rows in the
 * state service are kept. The lease of a crashed controller expires by itself.
 */
public final class Membership {
  private static final double CHECK_INTERVAL_SECONDS = 0.25;

  /** Receives ownership events, and answers questions of this package about the controller. */
  public interface Listener {
    /** Called when this controller has acquired an entity, before the entity's rows are read. */
    void onEntityAcquired(OwnedEntity entity);

    /** Called when another controller owns the entity, or may own it. */
    void onEntityLost(OwnedEntity entity);

    /** Called after common rows were read, or were changed by this controller's own write. */
    void onRowsChanged();

    /**
     * Returns whether this controller is partitioned from its workers. Other controllers should
     * then own the entities.
     */
    boolean isPartitionedFromWorkers();

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

  /** Creates the membership of one controller. It is inactive until {@link #start} is called. */
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
    ControllerRegistration registration =
        new ControllerRegistration(settings, clusterView, succession, ownedEntities, rowsFollower);
    leaseRenewal =
        new ControllerLeaseRenewal(loop, store, clusterView, leaseTiming, lease, registration);
    failover =
        new EntityFailover(
            settings,
            loop,
            store,
            clusterView,
            lease,
            registration,
            succession,
            ownedEntities,
            rowsFollower,
            listener);
    handover =
        new EntityHandover(store, clusterView, lease, succession, ownedEntities, rowsFollower);
  }

  /** Acquires a lease, and starts its periodic renewal and the periodic ownership check. */
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

  /** Returns whether the lease is certainly valid, so that the controller may act as an owner. */
  public boolean isLeaseValid() {
    return lease.isValid();
  }

  /** Returns how many seconds the lease is certainly valid for; 0 or less if it is uncertain. */
  public double remainingLeaseSeconds() {
    return lease.remainingSeconds();
  }

  /**
   * Returns whether workers' leases may be renewed: the controller's own lease is valid, or has
   * been uncertain for less than the keep-alive grace period.
   */
  public boolean mayRenewWorkerLeases() {
    return lease.isWithinKeepAliveGrace();
  }

  /** Returns whether workers' leases may be renewed while the entity's rows are being read. */
  public boolean mayRenewWhileLoading(OwnedEntity entity) {
    return leaseTiming.mayRenewWhileLoading(entity.row().history(), loop.wallMillis());
  }

  /** Returns the entity if this controller owns it; null otherwise. */
  public OwnedEntity findOwnedEntity(ControllerId entity) {
    return ownedEntities.find(entity);
  }

  /** Returns this controller's home entity if this controller owns it; null otherwise. */
  public OwnedEntity findHomeEntity() {
    return ownedEntities.find(settings.self());
  }

  /** Returns a snapshot of all entities that this controller owns. */
  public List<OwnedEntity> ownedEntities() {
    return ownedEntities.all();
  }

  /** Notifies the listener that this controller's own write has changed common rows. */
  public void notifyRowsChanged() {
    listener.onRowsChanged();
  }

  /**
   * Reads all common rows again. Callers use this when a fenced transaction was refused, because
   * the entity may have moved.
   */
  public void relist() {
    rowsFollower.relist();
  }

  /**
   * Reads all common rows again, and retries until it succeeds.
   *
   * @param callback called once the rows were read by a listing that started after this call
   */
  public void relistThen(Runnable callback) {
    rowsFollower.relistThen(callback);
  }

  /**
   * Starts to hand an entity over to another controller, if the entity is active and both
   * controllers' leases are valid. No task is launched for it once the handover has started.
   */
  public void handOver(OwnedEntity entity, ControllerId newOwner) {
    handover.handOver(entity, newOwner);
  }

  /**
   * Handles a peer's announcement that it owns an entity under the given version. Versions only
   * grow, so the entity is given up if the announced version is higher than the owned one, without
   * waiting for the entity's row.
   */
  public void onOwnershipAnnounced(ControllerId entity, Version version) {
    clusterView.recordAnnouncement(entity, version);
    OwnedEntity ownedEntity = ownedEntities.find(entity);
    if (ownedEntity != null && version.compareTo(ownedEntity.row().version()) > 0) {
      ownedEntities.giveUp(ownedEntity, "a peer announced the higher version " + version);
      relist();
    }
  }
}
