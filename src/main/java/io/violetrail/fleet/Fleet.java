package io.violetrail.fleet;

import io.violetrail.cloud.CloudClient;
import io.violetrail.cloud.CloudClient.Rental;
import io.violetrail.model.Amounts;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Version;
import io.violetrail.net.Loop;
import io.violetrail.node.Node;
import io.violetrail.ownership.Holding;
import io.violetrail.ownership.Rows;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.CloudWire;
import io.violetrail.wire.StateWire.Entry;
import io.violetrail.wire.StateWire.Txn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines for waiting tasks and returns those of no use. */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final double TICK_S = 1;
  private static final double TYPES_S = 240;
  private static final double REFUSED_S = 20;

  /** Cheap machines come back rarely, and asking uses up calls. */
  private static final double REFUSED_SPOT_S = 75;

  private static final int MAX_BOOTING = 20;

  /** A worker gives a dead controller up after 4 s and tries the next one a second later. */
  private static final double UNHEARD_S = 5;

  private final Node node;
  private final CloudClient cloud;

  /** Rental requests whose outcome is not known yet, by name. */
  private final Map<String, Hire> hires = new HashMap<>();

  /** Until when a type, zone and kind counts as sold out. */
  private final Map<Offer, Double> refused = new HashMap<>();

  public final Spares spares;
  private double typesAtS = Double.NEGATIVE_INFINITY;
  private boolean returning;
  private int tasteSeed;

  /** What can be rented. */
  public record Offer(String type, String zone, boolean spot) {}

  private static final class Hire {
    final Holding holding;
    final String name;
    final Offer offer;
    final int count;
    boolean calling;

    Hire(Holding holding, String name, Offer offer, int count) {
      this.holding = holding;
      this.name = name;
      this.offer = offer;
      this.count = count;
    }
  }

  public Fleet(Node node, CloudClient cloud) {
    this.node = node;
    this.cloud = cloud;
    this.spares = new Spares(node.settings.objectives());
  }

  public void start() {
    node.loop.every(TICK_S, this::tick);
    node.loop.execute(this::refreshTypes);
  }

  private void tick() {
    Loop loop = node.loop;
    double now = loop.seconds();
    tasteSeed = node.random.nextInt();
    hires.values().removeIf(hire -> hire.holding.phase == Holding.Phase.LOST);
    refused.values().removeIf(until -> until < now);
    if (!node.membership.valid()) {
      return;
    }
    for (Holding h : node.membership.holdings()) {
      if (h.active()) {
        giveBack(h, now);
        for (Hire hire : List.copyOf(hires.values())) {
          if (hire.holding == h) {
            call(hire);
          }
        }
        rent(h, now);
      }
    }
    refreshTypes();
  }

  private void refreshTypes() {
    double now = node.loop.seconds();
    boolean known = !node.types().isEmpty();
    if (now - typesAtS < (known ? TYPES_S : 1) || !cloud.mayCall()) {
      return;
    }
    typesAtS = now;
    cloud
        .types()
        .whenComplete(
            (types, failure) -> {
              if (failure != null) {
                typesAtS = known ? now - TYPES_S + 20 : now;
                return;
              }
              boolean first = node.directory.types() == null;
              node.typesAre(types);
              if (first && node.membership.own() != null) {
                // Kept for controllers that start while the cloud does not answer.
                node.store.txn(new Txn().set(Rows.TYPES, CloudWire.types(types)));
              }
              node.dispatcher.wake();
            });
  }

  private void giveBack(Holding h, double now) {
    List<Machine> out = new ArrayList<>();
    for (Machine m : h.machines.values()) {
      if (m.returning || ofNoUse(m, now) && !(idle(m) && spare(h, m, now))) {
        m.returning = true;
        out.add(m);
      }
    }
    if (out.isEmpty() || returning || !cloud.mayCall()) {
      return;
    }
    List<Machine> batch = out.subList(0, Math.min(out.size(), CloudWire.MAX_RETURN));
    returning = true;
    LOG.info("entity {}: returning {}", h.entity(), batch.stream().map(Machine::id).toList());
    cloud
        .giveBack(batch.stream().map(Machine::id).toList())
        .whenComplete(
            (gone, failure) -> {
              returning = false;
              if (failure == null && gone) {
                batch.forEach(m -> forget(h, m));
              }
            });
  }

  private static boolean idle(Machine m) {
    return m.row.up() && m.heard && !m.silent && !m.draining;
  }

  /** Whether an idle machine is room kept ahead of need. */
  private boolean spare(Holding h, Machine m, double now) {
    List<Machine> others = h.machines.values().stream().filter(o -> o != m).toList();
    Prices prices = node.prices();
    return spares.wanted(boot(), now).entrySet().stream()
        .anyMatch(
            e ->
                Spares.room(e.getKey(), List.of(m), prices) > 0
                    && Spares.room(e.getKey(), others, prices) < e.getValue());
  }

  /** How long a worker may need to find a new owner, trying dead controllers on its way. */
  private double findsUsS() {
    long dead =
        node.settings.peers().keySet().stream().filter(p -> !node.directory.isAlive(p)).count();
    return UNHEARD_S * Math.max(1, dead) + 2 * node.settings.workers().reportS();
  }

  private boolean ofNoUse(Machine m, double now) {
    if (m.promised) {
      return false;
    }
    if (!m.row.up()) {
      return now - m.rentedS > Math.max(60, 3 * m.type.bootS() + 20);
    }
    if (m.uncertain(now) && now - m.heardS > findsUsS()) {
      // Everything recovered waits for what it may hold, and the cloud's answer settles that.
      return true;
    }
    if (m.silent) {
      return m.empty() && now - m.heardS > node.timing.goneAfterAnswerS() + 5;
    }
    if (m.draining) {
      return m.empty();
    }
    return m.heard
        && m.empty()
        && now - m.idleSinceS > node.prices().idleS(m.type, m.row.spot(), node.options.idleS());
  }

  private void forget(Holding h, Machine m) {
    if (h.machines.get(m.id()) != m) {
      return;
    }
    double age = node.loop.seconds() - m.rentedS;
    LOG.info(
        "machine {} ({}, spot {}) returned after {} s, used {} s",
        m.id(),
        m.row.type(),
        m.row.spot(),
        Math.round(age),
        Math.round(m.usedS));
    node.removed(h, m);
    node.store
        .settle(h.fenced().when(Rows.machine(m.id()), m.row.stamp()).drop(Rows.machine(m.id())))
        .whenComplete(
            (outcome, failure) -> {
              if (failure != null || !outcome.applied()) {
                node.membership.relistThen(() -> node.gone.remove(m.id()));
              } else {
                node.gone.remove(m.id());
                node.directory.apply(
                    new io.violetrail.wire.StateWire.Change(
                        Rows.machine(m.id()), null, outcome.revision()));
              }
            });
  }

  /** A machine that is on its way, as room for what waits. */
  private static final class Bin {
    final Offer offer;
    Amounts room;

    final boolean coming;

    Bin(Offer offer, Amounts room, boolean coming) {
      this.coming = coming;
      this.offer = offer;
      this.room = room;
    }
  }

  /** Puts what waits into machines that boot, and rents for the rest. */
  private void rent(Holding h, double now) {
    List<Bin> bins = new ArrayList<>();
    for (Machine m : h.machines.values()) {
      if (!m.row.up() && !m.returning) {
        bins.add(new Bin(offer(m), m.type.size(), true));
      } else if (m.open()) {
        bins.add(new Bin(offer(m), roomSoon(m, now), false));
      }
    }
    for (Hire hire : hires.values()) {
      MachineType type = node.type(hire.offer.type());
      for (int i = 0; hire.holding == h && type != null && i < hire.count; i++) {
        bins.add(new Bin(hire.offer, type.size(), true));
      }
    }
    long booting = bins.stream().filter(b -> b.coming).count();
    // What is urgent does not wait for others to end.
    List<Bin> fresh = new ArrayList<>(bins.stream().filter(b -> b.coming).toList());
    boolean uncertain = h.uncertain(now);
    Map<Offer, Integer> wanted = new HashMap<>();
    Map<String, Amounts> left = new HashMap<>();
    for (Job job : node.dispatcher.order(h)) {
      if (job.unplaced() == 0 || job.recovered && uncertain) {
        continue;
      }
      Amounts quota = left.computeIfAbsent(job.spec.team(), t -> node.dispatcher.quota(h, t, now));
      int tasks = Math.min(wanted(job, now), quota.count(job.spec.task()));
      left.put(job.spec.team(), quota.minus(job.spec.task().times(tasks)));
      for (int i = 0; i < tasks; i++) {
        if (!fill(job, spares.urgent(job.spec) ? fresh : bins)) {
          Offer offer = booting >= MAX_BOOTING ? null : choose(job, tasks - i, now);
          if (offer == null) {
            break;
          }
          booting++;
          wanted.merge(offer, 1, Integer::sum);
          Bin bin = new Bin(offer, node.type(offer.type()).size(), true);
          bins.add(bin);
          fresh.add(bin);
          bin.room = bin.room.minus(job.spec.task());
        }
      }
    }
    keepSpares(h, wanted, now);
    wanted.forEach(
        (offer, count) ->
            hire(
                h,
                offer,
                Math.min(
                    count,
                    Math.min(CloudWire.MAX_HIRE, node.settings.stateLimits().txnOps() - 1))));
  }

  private void keepSpares(Holding h, Map<Offer, Integer> wanted, double now) {
    spares
        .wanted(boot(), now)
        .forEach(
            (spec, tasks) -> {
              int have = Spares.room(spec, h.machines.values(), node.prices());
              boolean coming =
                  !wanted.isEmpty() || hires.values().stream().anyMatch(hire -> hire.holding == h);
              if (have < tasks && !coming && h.entity().equals(node.settings.self())) {
                Offer offer = choose(new Job(spec, 0, now, false), 1, now);
                if (offer != null) {
                  wanted.merge(offer, 1, Integer::sum);
                }
              }
            });
  }

  private double boot() {
    return node.types().values().stream().mapToDouble(MachineType::bootS).min().orElse(0);
  }

  private static Offer offer(Machine m) {
    return new Offer(m.row.type(), m.row.zone(), m.row.spot());
  }

  /** What a machine will have free by the time that another of its type would be up. */
  private Amounts roomSoon(Machine m, double now) {
    Amounts room = m.room();
    for (Placement p : m.tasks.values()) {
      double began =
          p.runningS > 0 ? p.runningS : now + p.job.spec.imageGb() / m.type.fetchGbPerS();
      if (began + node.estimates.runS(p.job.spec) < now + m.type.bootS()) {
        room = room.plus(p.job.spec.task());
      }
    }
    return room;
  }

  /** How many of a job's waiting tasks are worth machines of their own, the rest taking turns. */
  private int wanted(Job job, double now) {
    int waiting = job.unplaced();
    if (job.spec.shape() != io.violetrail.model.Shape.ARRAY || job.spec.deadlineS() == null) {
      return waiting;
    }
    double run = node.estimates.runS(job.spec);
    double turns = Math.max(1, Math.min(3, Math.floor((job.deadlineS() - now - 40) / run)));
    return (int) Math.ceil(waiting / turns);
  }

  private static boolean fill(Job job, List<Bin> bins) {
    for (Bin bin : bins) {
      if (job.spec.task().fitsIn(bin.room)
          && job.spec.allows(bin.offer.type(), bin.offer.zone(), bin.offer.spot())) {
        bin.room = bin.room.minus(job.spec.task());
        return true;
      }
    }
    return false;
  }

  /** The cheapest offer for what waits, counting boot and fetch; null if all is sold out. */
  private Offer choose(Job job, int tasks, double now) {
    Offer best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    Prices prices = node.prices();
    for (MachineType t : node.types().values()) {
      int fit = t.size().count(job.spec.task());
      if (fit == 0) {
        continue;
      }
      double run = Math.max(30, job.spec.estimateS());
      double time = (run + t.bootS() + job.spec.imageGb() / t.fetchGbPerS()) / run;
      for (String zone : t.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offer offer = new Offer(t.name(), zone, spot);
          if (!job.spec.allows(t.name(), zone, spot)
              || refused.containsKey(offer)
              || !prices.worth(job.spec, t, spot, tasks, now - job.arrivedS)) {
            continue;
          }
          double cost = t.price(spot) * time / Math.min(fit, tasks) * (1 + 0.01 * taste(offer));
          if (cost < bestCost) {
            bestCost = cost;
            best = offer;
          }
        }
      }
    }
    return best;
  }

  /**
   * Between 0 and 1: an order of equal offers that lasts a while, so that requests for one gather.
   */
  private double taste(Offer offer) {
    return (Objects.hash(offer, tasteSeed) & 0xffff) / 65536.0;
  }

  private void hire(Holding h, Offer offer, int count) {
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
    node.store
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
                      && (outcome.applied() || !outcome.failed().contains(Rows.entity(h.entity())));
              if (!stored) {
                hires.remove(hire.name);
                node.membership.suspect();
              } else {
                request(hire);
              }
            });
  }

  private void call(Hire hire) {
    if (!hire.calling && cloud.mayCall()) {
      request(hire);
    }
  }

  private void request(Hire hire) {
    hire.calling = true;
    Offer o = hire.offer;
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
                node.peers.soldOut(o.type(), o.zone(), o.spot());
              }
              hire.calling = true;
              record(hire, hired.machines());
            });
  }

  /** The cloud has none of these for now. */
  public void soldOut(Offer o) {
    refused.put(o, node.loop.seconds() + (o.spot() ? REFUSED_SPOT_S : REFUSED_S));
  }

  /** Stores the machines rented, each unless somebody has adopted it, and drops the request. */
  private void record(Hire hire, List<MachineId> machines) {
    Holding h = hire.holding;
    Txn txn = h.fenced().drop(Rows.hires(h.entity()) + hire.name);
    List<MachineRow> rows = new ArrayList<>();
    for (MachineId id : machines) {
      if (node.directory.machine(id) != null) {
        continue;
      }
      MachineRow row =
          new MachineRow(
              id,
              h.entity(),
              hire.offer.type(),
              hire.offer.zone(),
              hire.offer.spot(),
              false,
              new Version(0),
              node.loop.wallMillis(),
              0);
      rows.add(row);
      txn.when(Rows.machine(id), 0).set(Rows.machine(id), Rows.value(row));
    }
    node.store
        .settle(txn)
        .whenComplete(
            (outcome, failure) -> {
              if (failure == null && outcome.applied()) {
                hires.remove(hire.name);
                for (MachineRow row : rows) {
                  node.learned(row.stamped(outcome.revision()));
                }
                node.changed();
              } else if (failure == null
                  && !outcome.failed().contains(Rows.entity(h.entity()))
                  && h.active()) {
                // Some are known by now; look which.
                node.membership.suspect();
                node.loop.after(1, () -> record(hire, machines));
              } else {
                hires.remove(hire.name);
                node.membership.suspect();
              }
            });
  }

  /** Repeats the rental requests that a former owner left open. */
  public void resume(Holding h, List<Entry> entries) {
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
