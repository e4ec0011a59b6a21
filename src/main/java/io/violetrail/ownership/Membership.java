package io.violetrail.ownership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Version;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Rows.EntityRow;
import io.violetrail.ownership.Rows.OwnershipHistory;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateWire;
import io.violetrail.wire.StateWire.Change;
import io.violetrail.wire.StateWire.Txn;
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
 * <p>A controller is entitled to act for its entities while {@link #valid()}: its lease was
 * renewed, by a request <em>sent</em> less than the lease's time ago. A survivor can take an entity
 * only by a transaction that demands the absence of the owner's alive key, which the state service
 * removes no earlier than that. So at most one controller is valid for an entity at any time.
 */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
  private static final double WATCH_S = 20;
  private static final double CHECK_S = 0.25;

  /** A later-ranked survivor gives the earlier ones this long to take a lapsed entity. */
  private static final double RANK_DELAY_S = 0.6;

  /**
   * After its own start a controller lets the others come up too: often all were restarted at once.
   */
  private static final double START_PATIENCE_S = 2;

  /** Told of moves. */
  public interface Listener {
    void gained(OwnedEntity holding);

    void lost(OwnedEntity holding);

    void changed();

    /** Whether this controller is cut off from its workers, so that others are to own entities. */
    boolean deaf();

    /** Asks the current owner of this controller's own entity to hand it back. */
    void askBack(ControllerId owner);
  }

  private final Settings settings;
  private final Loop loop;
  private final StateStore store;
  private final Directory directory;
  private final Timing timing;
  private final Listener listener;
  private final Map<ControllerId, OwnedEntity> holdings = new HashMap<>();
  private final Set<ControllerId> moving = new HashSet<>();
  private final Map<ControllerId, Double> absentSince = new HashMap<>();
  private OptionalLong lease = OptionalLong.empty();
  private double validUntil = Double.NEGATIVE_INFINITY;
  private double startedS;
  private double askedBackS = Double.NEGATIVE_INFINITY;
  private boolean watching;
  private boolean listing;
  private final List<Runnable> afterListing = new ArrayList<>();
  private boolean doubted;

  /**
   * Creates the membership of one controller; {@code listener} is told of each entity gained or
   * lost.
   */
  public Membership(
      Settings settings,
      Loop loop,
      StateStore store,
      Directory directory,
      Timing timing,
      Listener listener) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    this.directory = directory;
    this.timing = timing;
    this.listener = listener;
  }

  /** Acquires a lease and starts its periodic renewal and checks. */
  public void start() {
    startedS = loop.seconds();
    acquire();
    loop.every(timing.renewS(), this::renew);
    loop.every(CHECK_S, this::check);
  }

  /** Certainly entitled to act for the entities held. */
  public boolean valid() {
    return loop.seconds() < validUntil;
  }

  /** For how long the lease is known to stand; not positive in doubt. */
  public double remainingS() {
    return validUntil - loop.seconds();
  }

  private String basis() {
    return "lease valid for %.1f s, rows read as of revision %d"
        .formatted(remainingS(), directory.revision());
  }

  /** In doubt, but still allowed to keep workers' leases alive. */
  public boolean mayKeepAlive() {
    return loop.seconds() < validUntil + timing.graceS();
  }

  /** The entity if held here; null otherwise. */
  public OwnedEntity holding(ControllerId entity) {
    return holdings.get(entity);
  }

  public OwnedEntity own() {
    return holdings.get(settings.self());
  }

  public List<OwnedEntity> holdings() {
    return List.copyOf(holdings.values());
  }

  private int self() {
    return settings.indexOf(settings.self());
  }

  /**
   * Gets a lease and says that this controller is alive, retaking its own entity in the same step.
   */
  private void acquire() {
    double sentAt = loop.seconds();
    Futures.logFailure(
        store
            .lease(timing.ttlS())
            .thenCombine(
                store.list(Rows.COMMON),
                (id, listing) -> {
                  directory.replace(listing.entries(), listing.revision());
                  return id;
                })
            .whenComplete(
                (id, failure) -> {
                  if (failure != null) {
                    loop.after(0.3, this::acquire);
                  } else {
                    announce(id, sentAt);
                  }
                }),
        "acquire a lease");
  }

  private void announce(long id, double sentAt) {
    ControllerId me = settings.self();
    EntityRow mine = directory.entity(me);
    boolean retake =
        !holdings.containsKey(me) && (mine == null || me.equals(directory.owner(mine)));
    Txn txn =
        new Txn()
            .when(Rows.alive(me), directory.aliveStamp(me))
            .setHeld(Rows.alive(me), Rows.aliveValue(settings.zone()), id);
    EntityRow next = null;
    if (retake) {
      Version version =
          mine == null ? Version.first(self()) : aboveTerms(me, mine.version()).nextFor(self());
      // The former process of this controller is gone; whoever was seized from before may not be.
      next = new EntityRow(me, version, mine == null || mine.calm(), past(mine, false), 0);
      txn.when(Rows.entity(me), mine == null ? 0 : mine.stamp())
          .set(Rows.entity(me), Rows.value(next, me.value()));
    }
    for (OwnedEntity h : holdings.values()) {
      txn.when(Rows.entity(h.entity()), h.row().stamp());
    }
    EntityRow retaken = next;
    Futures.logFailure(
        store
            .urgent(txn)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null || !outcome.applied()) {
                    if (failure == null) {
                      outcome.failed().forEach(key -> doubt(key));
                    }
                    loop.after(0.2, this::acquire);
                    return;
                  }
                  lease = OptionalLong.of(id);
                  validUntil = sentAt + timing.ttlS() - timing.marginS();
                  directory.apply(
                      new Change(
                          Rows.alive(me), Rows.aliveValue(settings.zone()), outcome.revision()));
                  LOG.info("lease {} begins, revision {}", id, outcome.revision());
                  if (retaken != null) {
                    hold(retaken.stamped(outcome.revision()), retaken.calm());
                  }
                  watch();
                }),
        "announce this controller and take its own entity");
  }

  private OwnershipHistory past(EntityRow row, boolean seized) {
    return timing.afterMove(
        row == null ? OwnershipHistory.NONE : row.past(), loop.wallMillis(), seized);
  }

  /** Rows known here have changed by a write of this controller's own: tells the listener. */
  public void rowsChanged() {
    listener.changed();
  }

  /** Whether workers' leases may be renewed while the entity's rows are still being read. */
  public boolean mayRenewUnknowing(OwnedEntity h) {
    return timing.mayRenewUnknowing(h.row().past(), loop.wallMillis());
  }

  private void doubt(String key) {
    for (OwnedEntity h : holdings()) {
      if (Rows.entity(h.entity()).equals(key)) {
        drop(h, "its row has changed");
      }
    }
  }

  private Version aboveTerms(ControllerId entity, Version version) {
    Version highest = version;
    for (var m : directory.machinesOf(entity)) {
      highest = m.term().compareTo(highest) > 0 ? m.term() : highest;
    }
    return highest;
  }

  private void renew() {
    if (lease.isEmpty()) {
      return;
    }
    long id = lease.getAsLong();
    double sentAt = loop.seconds();
    Futures.logFailure(
        store
            .renew(id)
            .whenComplete(
                (renewed, failure) -> {
                  if (!lease.equals(OptionalLong.of(id)) || failure != null) {
                    return;
                  }
                  if (renewed) {
                    validUntil = Math.max(validUntil, sentAt + timing.ttlS() - timing.marginS());
                  } else {
                    LOG.info("lease {} has ended", id);
                    lease = OptionalLong.empty();
                    acquire();
                  }
                }),
        "renew the lease");
  }

  private void watch() {
    if (watching) {
      return;
    }
    watching = true;
    store.watch(
        Rows.COMMON,
        directory.revision(),
        WATCH_S,
        body -> {
          watching = false;
          take(body);
          watch();
        },
        tooOld -> {
          watching = false;
          loop.after(0.5, tooOld ? this::relist : this::watch);
        });
  }

  private void take(ObjectNode body) {
    StateWire.changes(body).forEach(directory::apply);
    directory.caughtUp(StateWire.revision(body));
    check();
    listener.changed();
  }

  /** Reads all common rows afresh. */
  public void relist() {
    relistThen(() -> {});
  }

  /** Reads all common rows afresh, however long that takes, and goes on then. */
  public void relistThen(Runnable next) {
    afterListing.add(next);
    if (!listing) {
      listing = true;
      list();
    }
  }

  /** One listing serves all who asked before it began; who asks meanwhile gets the next one. */
  private void list() {
    List<Runnable> asked = List.copyOf(afterListing);
    afterListing.clear();
    Futures.logFailure(
        store
            .list(Rows.COMMON)
            .whenComplete(
                (listing, failure) -> {
                  if (failure == null) {
                    directory.replace(listing.entries(), listing.revision());
                    asked.forEach(Runnable::run);
                    check();
                    listener.changed();
                    watch();
                  } else {
                    afterListing.addAll(asked);
                  }
                  if (afterListing.isEmpty()) {
                    this.listing = false;
                  } else {
                    loop.after(failure == null ? 0.2 : 1, this::list);
                  }
                }),
        "list the shared rows");
  }

  private void check() {
    store.sharers(Math.max(1, directory.aliveCount()));
    if (doubted == valid()) {
      doubted = !valid();
      LOG.info("{}; {}", doubted ? "lease in doubt: nothing is launched" : "lease valid", basis());
    }
    for (EntityRow row : directory.entities()) {
      OwnedEntity held = holdings.get(row.entity());
      ControllerId owner = directory.owner(row);
      if (held != null) {
        if (row.stamp() > held.row().stamp()) {
          drop(held, "version " + row.version() + " belongs to " + owner);
          held = null;
        } else {
          continue;
        }
      }
      if (!valid() || moving.contains(row.entity())) {
        continue;
      }
      if (settings.self().equals(owner)) {
        if (row.calm() && row.version().isToken()) {
          hold(row, true);
        } else {
          move(row, settings.self(), row.calm(), settings.self());
        }
      } else if (owner != null && directory.isAlive(owner)) {
        absentSince.remove(owner);
        if (row.entity().equals(settings.self())
            && !listener.deaf()
            && loop.seconds() - askedBackS > 1) {
          askedBackS = loop.seconds();
          listener.askBack(owner);
        }
      } else if (owner != null && due(owner)) {
        move(row, settings.self(), false, owner);
      }
    }
  }

  /** Whether it is this controller's turn to take what a lapsed owner had. */
  private boolean due(ControllerId owner) {
    if (listener.deaf() && directory.aliveCount() > 1) {
      return false;
    }
    double now = loop.seconds();
    double since = absentSince.computeIfAbsent(owner, o -> now);
    int rank = 0;
    for (ControllerId c : settings.controllers()) {
      if (c.equals(settings.self())) {
        break;
      }
      rank += directory.isAlive(c) ? 1 : 0;
    }
    return now - since >= rank * RANK_DELAY_S && now - startedS >= START_PATIENCE_S;
  }

  /**
   * Moves an entity here by one conditional transaction.
   *
   * @param calm whether its former owner has handed it over: the row is rewritten all the same if a
   *     program of before handed it over under a version that is no token
   */
  private void move(EntityRow row, ControllerId to, boolean calm, ControllerId lapsed) {
    moving.add(row.entity());
    EntityRow next =
        new EntityRow(
            row.entity(),
            aboveTerms(row.entity(), row.version()).nextFor(settings.indexOf(to)),
            calm,
            past(row, !calm),
            0);
    Txn txn =
        new Txn()
            .when(Rows.entity(row.entity()), row.stamp())
            .set(Rows.entity(row.entity()), Rows.value(next, to.value()));
    if (!lapsed.equals(to)) {
      txn.when(Rows.alive(lapsed), 0);
    }
    Futures.logFailure(
        store
            .urgent(txn)
            .whenComplete(
                (outcome, failure) -> {
                  moving.remove(row.entity());
                  if (failure == null && outcome.applied()) {
                    LOG.info(
                        "entity {} taken from {} with version {}",
                        row.entity(),
                        lapsed,
                        next.version());
                    hold(next.stamped(outcome.revision()), calm);
                  } else {
                    relist();
                  }
                }),
        "take over an entity");
  }

  /** Hands an entity to its home controller. Nothing is launched for it from here on. */
  public void release(OwnedEntity h, ControllerId to) {
    if (h.phase() != OwnedEntity.Phase.ACTIVE || !valid() || !directory.isAlive(to)) {
      return;
    }
    h.startRelease();
    EntityRow next =
        new EntityRow(
            h.entity(),
            aboveTerms(h.entity(), h.row().version()).nextFor(settings.indexOf(to)),
            true,
            past(h.row(), false),
            0);
    Txn txn =
        h.fenced()
            .when(Rows.alive(to), directory.aliveStamp(to))
            .set(Rows.entity(h.entity()), Rows.value(next, to.value()));
    // Nothing is launched meanwhile, so this does not wait behind other writes: it did, for the
    // whole of a burst of submissions, and two controllers of three stood idle.
    Futures.logFailure(
        store
            .settleUrgent(txn)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure == null && outcome.applied()) {
                    drop(h, "handed back to " + to);
                    directory.apply(
                        new Change(
                            Rows.entity(h.entity()),
                            Rows.value(next, to.value()),
                            outcome.revision()));
                  } else if (failure == null
                      && !outcome.failed().contains(Rows.entity(h.entity()))) {
                    h.releaseFailed();
                  } else {
                    relist();
                  }
                }),
        "hand an entity over");
  }

  private void hold(EntityRow row, boolean calm) {
    directory.apply(
        new Change(
            Rows.entity(row.entity()), Rows.value(row, settings.self().value()), row.stamp()));
    OwnedEntity h = new OwnedEntity(row, calm, loop.seconds());
    h.setRegister(new Register(loop, store, directory, this, settings, h));
    holdings.put(row.entity(), h);
    LOG.info(
        "entity {} held with version {} since revision {}; {}",
        row.entity(),
        row.version(),
        row.stamp(),
        basis());
    listener.gained(h);
  }

  /** Gives up an entity that another controller owns by now. */
  public void drop(OwnedEntity h, String why) {
    if (holdings.remove(h.entity(), h)) {
      h.markLost();
      LOG.info(
          "entity {} version {} given up: {}; {}", h.entity(), h.row().version(), why, basis());
      listener.lost(h);
    }
  }

  /** A fenced transaction was refused: look whether the entity has moved. */
  public void suspect() {
    relist();
  }

  /** A peer says that an entity has moved; versions only grow, so a higher one is believed. */
  public void told(ControllerId entity, Version version) {
    directory.told(entity, version);
    OwnedEntity h = holdings.get(entity);
    if (h != null && version.compareTo(h.row().version()) > 0) {
      drop(h, "a peer knows version " + version);
      relist();
    }
  }
}
