package io.violetrail.ownership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.OwnershipHistory;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's lease, and which entities it owns.
 *
 * <p>A controller is entitled to act for its entities while {@link #isLeaseValid()}: its lease was
 * renewed, by a request <em>sent</em> less than the lease's time ago. A survivor can take an entity
 * only by a transaction that demands the absence of the owner's alive key, which the state service
 * removes no earlier than that. So at most one controller is valid for an entity at any time.
 */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
  private static final double WATCH_SECONDS = 20;
  private static final double CHECK_INTERVAL_SECONDS = 0.25;

  /** A later-ranked survivor gives the earlier ones this long to take a lapsed entity. */
  private static final double RANK_DELAY_SECONDS = 0.6;

  /**
   * After its own start a controller lets the others come up too: often all were restarted at once.
   */
  private static final double STARTUP_GRACE_SECONDS = 2;

  /** Told of moves. */
  public interface Listener {
    void onEntityAcquired(OwnedEntity entity);

    void onEntityLost(OwnedEntity entity);

    void onRowsChanged();

    /** Whether this controller is cut off from its workers, so that others are to own entities. */
    boolean isCutOffFromWorkers();

    /** Asks the current owner of this controller's own entity to hand it back. */
    void requestHandback(ControllerId owner);
  }

  private final Settings settings;
  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final LeaseTiming leaseTiming;
  private final Listener listener;
  private final Map<ControllerId, OwnedEntity> ownedEntities = new HashMap<>();
  private final Set<ControllerId> movesInProgress = new HashSet<>();
  private final Map<ControllerId, Double> ownerAbsentSinceSeconds = new HashMap<>();
  private OptionalLong leaseId = OptionalLong.empty();
  private double validUntilSeconds = Double.NEGATIVE_INFINITY;
  private double startedAtSeconds;
  private double handbackRequestedAtSeconds = Double.NEGATIVE_INFINITY;
  private boolean watchInProgress;
  private boolean listingInProgress;
  private final List<Runnable> listingCallbacks = new ArrayList<>();
  private boolean leaseUncertain;

  /**
   * Creates the membership of one controller; {@code listener} is told of each entity gained or
   * lost.
   */
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
  }

  /** Acquires a lease and starts its periodic renewal and checks. */
  public void start() {
    startedAtSeconds = loop.monotonicSeconds();
    acquireLease();
    loop.scheduleWithFixedDelay(leaseTiming.renewIntervalSeconds(), this::renewLease);
    loop.scheduleWithFixedDelay(CHECK_INTERVAL_SECONDS, this::checkOwnership);
  }

  /** Certainly entitled to act for the entities held. */
  public boolean isLeaseValid() {
    return loop.monotonicSeconds() < validUntilSeconds;
  }

  /** For how long the lease is known to stand; not positive in doubt. */
  public double remainingLeaseSeconds() {
    return validUntilSeconds - loop.monotonicSeconds();
  }

  private String describeLease() {
    return "lease valid for %.1f s, rows read as of revision %d"
        .formatted(remainingLeaseSeconds(), clusterView.revision());
  }

  /** In doubt, but still allowed to keep workers' leases alive. */
  public boolean mayKeepWorkersAlive() {
    return loop.monotonicSeconds() < validUntilSeconds + leaseTiming.keepAliveGraceSeconds();
  }

  /** The entity if held here; null otherwise. */
  public OwnedEntity findOwnedEntity(ControllerId entity) {
    return ownedEntities.get(entity);
  }

  public OwnedEntity findHomeEntity() {
    return ownedEntities.get(settings.self());
  }

  public List<OwnedEntity> ownedEntities() {
    return List.copyOf(ownedEntities.values());
  }

  private int selfIndex() {
    return settings.indexOf(settings.self());
  }

  /**
   * Gets a lease and says that this controller is alive, retaking its own entity in the same step.
   */
  private void acquireLease() {
    double sentAtSeconds = loop.monotonicSeconds();
    store
        .grantLease(leaseTiming.ttlSeconds())
        .thenCombine(
            store.list(StateSchema.COMMON_PREFIX),
            (id, listing) -> {
              clusterView.replaceWithListing(listing.entries(), listing.revision());
              return id;
            })
        .whenComplete(
            (id, failure) -> {
              if (failure != null) {
                loop.schedule(0.3, this::acquireLease);
              } else {
                registerAlive(id, sentAtSeconds);
              }
            });
  }

  private void registerAlive(long newLeaseId, double sentAtSeconds) {
    ControllerId self = settings.self();
    EntityRow homeRow = clusterView.findEntityRow(self);
    boolean retakesHome =
        !ownedEntities.containsKey(self)
            && (homeRow == null || self.equals(clusterView.findOwnerIn(homeRow)));
    Transaction transaction =
        new Transaction()
            .ifRevision(StateSchema.livenessKey(self), clusterView.livenessRevision(self))
            .putWithLease(
                StateSchema.livenessKey(self),
                StateSchema.encodeLiveness(settings.zone()),
                newLeaseId);
    EntityRow nextRow = null;
    if (retakesHome) {
      Version version =
          homeRow == null
              ? Version.firstOwnedBy(selfIndex())
              : highestVersionOrTerm(self, homeRow.version()).nextOwnedBy(selfIndex());
      // The former process of this controller is gone; whoever was seized from before may not be.
      nextRow =
          new EntityRow(
              self,
              version,
              homeRow == null || homeRow.acquiredGracefully(),
              historyAfterMove(homeRow, false),
              0);
      transaction
          .ifRevision(StateSchema.entityKey(self), homeRow == null ? 0 : homeRow.modRevision())
          .put(StateSchema.entityKey(self), StateSchema.encode(nextRow, self.value()));
    }
    for (OwnedEntity entity : ownedEntities.values()) {
      transaction.ifRevision(StateSchema.entityKey(entity.id()), entity.row().modRevision());
    }
    EntityRow retakenRow = nextRow;
    store
        .tryUrgentTransaction(transaction)
        .whenComplete(
            (outcome, failure) -> {
              if (failure != null || !outcome.applied()) {
                if (failure == null) {
                  outcome.failedKeys().forEach(key -> giveUpChangedEntity(key));
                }
                loop.schedule(0.2, this::acquireLease);
                return;
              }
              leaseId = OptionalLong.of(newLeaseId);
              validUntilSeconds =
                  sentAtSeconds + leaseTiming.ttlSeconds() - leaseTiming.safetyMarginSeconds();
              clusterView.apply(
                  new RowChange(
                      StateSchema.livenessKey(self),
                      StateSchema.encodeLiveness(settings.zone()),
                      outcome.revision()));
              LOG.info("lease {} begins, revision {}", newLeaseId, outcome.revision());
              if (retakenRow != null) {
                startOwning(
                    retakenRow.withModRevision(outcome.revision()),
                    retakenRow.acquiredGracefully());
              }
              watchRows();
            });
  }

  private OwnershipHistory historyAfterMove(EntityRow row, boolean isFailover) {
    return leaseTiming.historyAfterMove(
        row == null ? OwnershipHistory.NONE : row.history(), loop.wallMillis(), isFailover);
  }

  /** Rows known here have changed by a write of this controller's own: tells the listener. */
  public void rowsChanged() {
    listener.onRowsChanged();
  }

  /** Whether workers' leases may be renewed while the entity's rows are still being read. */
  public boolean mayRenewWhileLoading(OwnedEntity entity) {
    return leaseTiming.mayRenewWhileLoading(entity.row().history(), loop.wallMillis());
  }

  private void giveUpChangedEntity(String key) {
    for (OwnedEntity entity : ownedEntities()) {
      if (StateSchema.entityKey(entity.id()).equals(key)) {
        giveUp(entity, "its row has changed");
      }
    }
  }

  private Version highestVersionOrTerm(ControllerId entity, Version version) {
    Version highest = version;
    for (var machineRow : clusterView.machineRowsOf(entity)) {
      highest = machineRow.term().compareTo(highest) > 0 ? machineRow.term() : highest;
    }
    return highest;
  }

  private void renewLease() {
    if (leaseId.isEmpty()) {
      return;
    }
    long renewedLeaseId = leaseId.getAsLong();
    double sentAtSeconds = loop.monotonicSeconds();
    store
        .renewLease(renewedLeaseId)
        .whenComplete(
            (renewed, failure) -> {
              if (!leaseId.equals(OptionalLong.of(renewedLeaseId)) || failure != null) {
                return;
              }
              if (renewed) {
                validUntilSeconds =
                    Math.max(
                        validUntilSeconds,
                        sentAtSeconds
                            + leaseTiming.ttlSeconds()
                            - leaseTiming.safetyMarginSeconds());
              } else {
                LOG.info("lease {} has ended", renewedLeaseId);
                leaseId = OptionalLong.empty();
                acquireLease();
              }
            });
  }

  private void watchRows() {
    if (watchInProgress) {
      return;
    }
    watchInProgress = true;
    store.watch(
        StateSchema.COMMON_PREFIX,
        clusterView.revision(),
        WATCH_SECONDS,
        body -> {
          watchInProgress = false;
          applyChanges(body);
          watchRows();
        },
        tooOld -> {
          watchInProgress = false;
          loop.schedule(0.5, tooOld ? this::relist : this::watchRows);
        });
  }

  private void applyChanges(ObjectNode body) {
    StateStoreMessages.parseChanges(body).forEach(clusterView::apply);
    clusterView.advanceRevision(StateStoreMessages.parseRevision(body));
    checkOwnership();
    listener.onRowsChanged();
  }

  /** Reads all common rows afresh. */
  public void relist() {
    relistThen(() -> {});
  }

  /** Reads all common rows afresh, however long that takes, and goes on then. */
  public void relistThen(Runnable callback) {
    listingCallbacks.add(callback);
    if (!listingInProgress) {
      listingInProgress = true;
      readListing();
    }
  }

  /** One listing serves all who asked before it began; who asks meanwhile gets the next one. */
  private void readListing() {
    List<Runnable> callbacks = List.copyOf(listingCallbacks);
    listingCallbacks.clear();
    store
        .list(StateSchema.COMMON_PREFIX)
        .whenComplete(
            (listing, failure) -> {
              if (failure == null) {
                clusterView.replaceWithListing(listing.entries(), listing.revision());
                callbacks.forEach(Runnable::run);
                checkOwnership();
                listener.onRowsChanged();
                watchRows();
              } else {
                listingCallbacks.addAll(callbacks);
              }
              if (listingCallbacks.isEmpty()) {
                this.listingInProgress = false;
              } else {
                loop.schedule(failure == null ? 0.2 : 1, this::readListing);
              }
            });
  }

  private void checkOwnership() {
    store.setActiveControllerCount(Math.max(1, clusterView.aliveControllerCount()));
    if (leaseUncertain == isLeaseValid()) {
      leaseUncertain = !isLeaseValid();
      LOG.info(
          "{}; {}",
          leaseUncertain ? "lease in doubt: nothing is launched" : "lease valid",
          describeLease());
    }
    for (EntityRow row : clusterView.entityRows()) {
      OwnedEntity ownedEntity = ownedEntities.get(row.entity());
      ControllerId owner = clusterView.findOwnerIn(row);
      if (ownedEntity != null) {
        if (row.modRevision() > ownedEntity.row().modRevision()) {
          giveUp(ownedEntity, "version " + row.version() + " belongs to " + owner);
          ownedEntity = null;
        } else {
          continue;
        }
      }
      if (!isLeaseValid() || movesInProgress.contains(row.entity())) {
        continue;
      }
      if (settings.self().equals(owner)) {
        if (row.acquiredGracefully() && row.version().isToken()) {
          startOwning(row, true);
        } else {
          takeOver(row, settings.self(), row.acquiredGracefully(), settings.self());
        }
      } else if (owner != null && clusterView.isAlive(owner)) {
        ownerAbsentSinceSeconds.remove(owner);
        if (row.entity().equals(settings.self())
            && !listener.isCutOffFromWorkers()
            && loop.monotonicSeconds() - handbackRequestedAtSeconds > 1) {
          handbackRequestedAtSeconds = loop.monotonicSeconds();
          listener.requestHandback(owner);
        }
      } else if (owner != null && isTurnToTakeOver(owner)) {
        takeOver(row, settings.self(), false, owner);
      }
    }
  }

  /** Whether it is this controller's turn to take what a lapsed owner had. */
  private boolean isTurnToTakeOver(ControllerId owner) {
    if (listener.isCutOffFromWorkers() && clusterView.aliveControllerCount() > 1) {
      return false;
    }
    double nowSeconds = loop.monotonicSeconds();
    double absentSinceSeconds =
        ownerAbsentSinceSeconds.computeIfAbsent(owner, absentOwner -> nowSeconds);
    int rank = 0;
    for (ControllerId controller : settings.controllers()) {
      if (controller.equals(settings.self())) {
        break;
      }
      rank += clusterView.isAlive(controller) ? 1 : 0;
    }
    return nowSeconds - absentSinceSeconds >= rank * RANK_DELAY_SECONDS
        && nowSeconds - startedAtSeconds >= STARTUP_GRACE_SECONDS;
  }

  /**
   * Moves an entity here by one conditional transaction.
   *
   * @param gracefully whether its former owner has handed it over: the row is rewritten all the
   *     same if a program of before handed it over under a version that is no token
   */
  private void takeOver(
      EntityRow row, ControllerId newOwner, boolean gracefully, ControllerId formerOwner) {
    movesInProgress.add(row.entity());
    EntityRow nextRow =
        new EntityRow(
            row.entity(),
            highestVersionOrTerm(row.entity(), row.version())
                .nextOwnedBy(settings.indexOf(newOwner)),
            gracefully,
            historyAfterMove(row, !gracefully),
            0);
    Transaction transaction =
        new Transaction()
            .ifRevision(StateSchema.entityKey(row.entity()), row.modRevision())
            .put(
                StateSchema.entityKey(row.entity()), StateSchema.encode(nextRow, newOwner.value()));
    if (!formerOwner.equals(newOwner)) {
      transaction.ifRevision(StateSchema.livenessKey(formerOwner), 0);
    }
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
                startOwning(nextRow.withModRevision(outcome.revision()), gracefully);
              } else {
                relist();
              }
            });
  }

  /** Hands an entity to its home controller. Nothing is launched for it from here on. */
  public void handBack(OwnedEntity entity, ControllerId newOwner) {
    if (entity.phase() != OwnedEntity.Phase.ACTIVE
        || !isLeaseValid()
        || !clusterView.isAlive(newOwner)) {
      return;
    }
    entity.startRelease();
    EntityRow nextRow =
        new EntityRow(
            entity.id(),
            highestVersionOrTerm(entity.id(), entity.row().version())
                .nextOwnedBy(settings.indexOf(newOwner)),
            true,
            historyAfterMove(entity.row(), false),
            0);
    Transaction transaction =
        entity
            .fencedTransaction()
            .ifRevision(StateSchema.livenessKey(newOwner), clusterView.livenessRevision(newOwner))
            .put(StateSchema.entityKey(entity.id()), StateSchema.encode(nextRow, newOwner.value()));
    // Nothing is launched meanwhile, so this does not wait behind other writes: it did, for the
    // whole of a burst of submissions, and two controllers of three stood idle.
    store
        .commitUrgent(transaction)
        .whenComplete(
            (outcome, failure) -> {
              if (failure == null && outcome.applied()) {
                giveUp(entity, "handed back to " + newOwner);
                clusterView.apply(
                    new RowChange(
                        StateSchema.entityKey(entity.id()),
                        StateSchema.encode(nextRow, newOwner.value()),
                        outcome.revision()));
              } else if (failure == null
                  && !outcome.failedKeys().contains(StateSchema.entityKey(entity.id()))) {
                entity.releaseFailed();
              } else {
                relist();
              }
            });
  }

  private void startOwning(EntityRow row, boolean acquiredGracefully) {
    clusterView.apply(
        new RowChange(
            StateSchema.entityKey(row.entity()),
            StateSchema.encode(row, settings.self().value()),
            row.modRevision()));
    OwnedEntity entity = new OwnedEntity(row, acquiredGracefully, loop.monotonicSeconds());
    entity.setRegister(new MachineRecords(loop, store, clusterView, this, settings, entity));
    ownedEntities.put(row.entity(), entity);
    LOG.info(
        "entity {} held with version {} since revision {}; {}",
        row.entity(),
        row.version(),
        row.modRevision(),
        describeLease());
    listener.onEntityAcquired(entity);
  }

  /** Gives up an entity that another controller owns by now. */
  public void giveUp(OwnedEntity entity, String reason) {
    if (ownedEntities.remove(entity.id(), entity)) {
      entity.markLost();
      LOG.info(
          "entity {} version {} given up: {}; {}",
          entity.id(),
          entity.row().version(),
          reason,
          describeLease());
      listener.onEntityLost(entity);
    }
  }

  /** A fenced transaction was refused: look whether the entity has moved. */
  public void verifyOwnership() {
    relist();
  }

  /** A peer says that an entity has moved; versions only grow, so a higher one is believed. */
  public void onOwnershipAnnounced(ControllerId entity, Version version) {
    clusterView.recordAnnouncement(entity, version);
    OwnedEntity ownedEntity = ownedEntities.get(entity);
    if (ownedEntity != null && version.compareTo(ownedEntity.row().version()) > 0) {
      giveUp(ownedEntity, "a peer knows version " + version);
      relist();
    }
  }
}
