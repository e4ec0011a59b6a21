package io.violetrail.fleet;

import io.violetrail.cloud.CloudClient;
import io.violetrail.cloud.CloudClient.Rental;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.peer.PeerClient;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.CloudWire;
import io.violetrail.wire.StateWire.Entry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rental requests, from the decision until every machine that came of them is recorded. */
public final class Hires {
  private static final Logger LOG = LoggerFactory.getLogger(Hires.class);
  private static final double REFUSED_S = 20;

  /** Cheap machines come back rarely, and asking uses up calls. */
  private static final double REFUSED_SPOT_S = 75;

  private final Loop loop;
  private final StateStore store;
  private final Directory directory;
  private final Membership membership;
  private final PeerClient peers;
  private final CloudClient cloud;

  /** Rental requests whose outcome is not known yet, by name. */
  private final Map<String, Hire> hires = new HashMap<>();

  /** Until when a type, zone and kind counts as sold out. */
  private final Map<Offer, Double> refused = new HashMap<>();

  /** What can be rented. */
  public record Offer(String type, String zone, boolean spot) {}

  private static final class Hire {
    final OwnedEntity holding;
    final String name;
    final Offer offer;
    final int count;
    boolean calling;

    /** Its machines are known one by one. */
    boolean recorded;

    Hire(OwnedEntity holding, String name, Offer offer, int count) {
      this.holding = holding;
      this.name = name;
      this.offer = offer;
      this.count = count;
    }
  }

  /** Stores requests before the cloud hears of them, and records what came of them. */
  public Hires(
      Loop loop,
      StateStore store,
      Directory directory,
      Membership membership,
      PeerClient peers,
      CloudClient cloud) {
    this.loop = loop;
    this.store = store;
    this.directory = directory;
    this.membership = membership;
    this.peers = peers;
    this.cloud = cloud;
  }

  /** Rents machines, as many as one request may ask for. */
  void hire(OwnedEntity h, Offer offer, int wanted) {
    int count = Math.min(wanted, CloudWire.MAX_HIRE);
    if (!cloud.mayCall()) {
      return;
    }
    Hire hire = new Hire(h, h.newHire(), offer, count);
    hire.calling = true;
    hires.put(hire.name, hire);
    var v =
        Cbor.map()
            .put("type", offer.type())
            .put("zone", offer.zone())
            .put("spot", offer.spot())
            .put("count", count);
    // The name is stored before the cloud hears it: whoever owns the entity next repeats the
    // request.
    Futures.logFailure(
        store
            .settle(
                h.fenced()
                    .when(Rows.hires(h.entity()) + hire.name, 0)
                    .set(Rows.hires(h.entity()) + hire.name, v))
            .whenComplete(
                (outcome, failure) -> {
                  hire.calling = false;
                  // "Exists" can only mean that an earlier try of this write got through: names are
                  // unique.
                  boolean stored =
                      failure == null
                          && (outcome.applied()
                              || !outcome.failed().contains(Rows.entity(h.entity())));
                  if (!stored) {
                    hires.remove(hire.name);
                    membership.suspect();
                  } else {
                    request(hire);
                  }
                }),
        "store a request for machines");
  }

  /** Repeats the entity's requests that have no certain answer yet. */
  void repeat(OwnedEntity h) {
    for (Hire hire : List.copyOf(hires.values())) {
      if (hire.holding == h && !hire.calling && cloud.mayCall()) {
        request(hire);
      }
    }
  }

  /** Lets go of what concerns nobody here any more. */
  void tick(double now) {
    hires.values().removeIf(hire -> hire.holding.phase() == OwnedEntity.Phase.LOST);
    refused.values().removeIf(until -> until < now);
  }

  boolean refused(Offer offer) {
    return refused.containsKey(offer);
  }

  /** Machines asked for in an entity's name whose names are not known yet. */
  Map<Offer, Integer> pending(OwnedEntity h) {
    Map<Offer, Integer> all = new HashMap<>();
    for (Hire hire : hires.values()) {
      if (hire.holding == h && !hire.recorded) {
        all.merge(hire.offer, hire.count, Integer::sum);
      }
    }
    return all;
  }

  private void request(Hire hire) {
    hire.calling = true;
    Offer o = hire.offer;
    Futures.logFailure(
        cloud
            .hire(hire.name, o.type(), o.zone(), o.spot(), hire.count)
            .whenComplete(
                (hired, failure) -> {
                  hire.calling = false;
                  if (failure != null || hired.rental() == Rental.UNCERTAIN) {
                    return;
                  }
                  LOG.info(
                      "entity {}: hire {} of {} {}: {}",
                      hire.holding.entity(),
                      hire.name,
                      hire.count,
                      o,
                      hired.machines());
                  if (hired.machines().size() < hire.count) {
                    soldOut(o);
                    peers.soldOut(o.type(), o.zone(), o.spot());
                  }
                  hire.calling = true;
                  record(hire, hired.machines());
                }),
        "rent machines");
  }

  /** The cloud has none of these for now. */
  public void soldOut(Offer o) {
    refused.put(o, loop.seconds() + (o.spot() ? REFUSED_SPOT_S : REFUSED_S));
  }

  /** Records the machines rented, each unless somebody has adopted it, and drops the request. */
  private void record(Hire hire, List<MachineId> machines) {
    OwnedEntity h = hire.holding;
    List<MachineRow> rows = new ArrayList<>();
    for (MachineId id : machines) {
      // A request's row may come back by a late write after it was dropped; the cloud's answer to
      // its repeat then names machines that are long gone.
      if (directory.machine(id) == null && !directory.wasReturned(id)) {
        Offer o = hire.offer;
        rows.add(
            new MachineRow(
                id,
                h.entity(),
                o.type(),
                o.zone(),
                o.spot(),
                false,
                Version.NONE,
                loop.wallMillis()));
      }
    }
    Futures.logFailure(
        h.register()
            .addAll(rows)
            .whenComplete(
                (nothing, failure) -> {
                  hire.recorded = true;
                  membership.rowsChanged();
                  if (h.phase() == OwnedEntity.Phase.LOST) {
                    hires.remove(hire.name);
                    return;
                  }
                  Futures.logFailure(
                      store
                          .settle(h.fenced().drop(Rows.hires(h.entity()) + hire.name))
                          .whenComplete((outcome, f) -> hires.remove(hire.name)),
                      "remove a request for machines");
                }),
        "record rented machines");
  }

  /** Repeats the rental requests that a former owner left open. */
  public void resume(OwnedEntity h, List<Entry> entries) {
    for (Entry e : entries) {
      String name = e.key().substring(Rows.hires(h.entity()).length());
      Offer offer =
          new Offer(
              e.value().path("type").asText(),
              e.value().path("zone").asText(),
              e.value().path("spot").asBoolean());
      hires.put(name, new Hire(h, name, offer, e.value().path("count").asInt()));
    }
  }
}
