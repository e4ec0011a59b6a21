package io.violetrail.fleet;

import io.violetrail.cloud.CloudClient;
import io.violetrail.cloud.CloudClient.Return;
import io.violetrail.fleet.Hires.Offer;
import io.violetrail.model.Amounts;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import io.violetrail.model.Shape;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.node.Node;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import io.violetrail.wire.CloudWire;
import io.violetrail.wire.StateWire.Entry;
import io.violetrail.wire.StateWire.Txn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines for waiting tasks and returns those of no use. */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final double TICK_S = 1;

  /**
   * Tasks of a job that one place is to run one after the other; estimates are too rough for more.
   */
  private static final double MAX_TURNS = 4;

  private static final double TYPES_S = 240;

  /** A worker gives a dead controller up after 4 s and tries the next one a second later. */
  private static final double UNHEARD_S = 5;

  private final Node node;
  private final CloudClient cloud;

  private final Hires hires;
  private final Inventory inventory;
  public final Spares spares;
  public final Boots boots = new Boots();
  private double typesAtS = Double.NEGATIVE_INFINITY;
  private boolean returning;

  /** As the cloud told them to this process; null before. */
  private List<MachineType> told;

  private boolean keeping;
  private int tasteSeed;

  /** Creates the fleet of one controller; {@code cloud} is the provider's client. */
  public Fleet(Node node, CloudClient cloud) {
    this.node = node;
    this.cloud = cloud;
    this.hires = new Hires(node, cloud);
    this.inventory = new Inventory(node, cloud);
    this.spares = new Spares(node.configuration);
  }

  public void start() {
    node.loop.every(TICK_S, this::tick);
    node.loop.execute(this::refreshTypes);
  }

  private void tick() {
    Loop loop = node.loop;
    double now = loop.seconds();
    tasteSeed = node.random.nextInt();
    hires.tick(now);
    if (!node.membership.valid()) {
      return;
    }
    for (OwnedEntity h : node.membership.holdings()) {
      if (h.active()) {
        giveBack(h, now);
        hires.repeat(h);
        rent(h, now);
      }
    }
    refreshTypes();
    keepTypes();
    inventory.tick(now);
  }

  private void refreshTypes() {
    double now = node.loop.seconds();
    boolean known = !node.types().isEmpty();
    if (now - typesAtS < (known ? TYPES_S : 1) || !cloud.mayCall()) {
      return;
    }
    typesAtS = now;
    Futures.logFailure(
        cloud
            .types()
            .whenComplete(
                (types, failure) -> {
                  if (failure != null) {
                    typesAtS = known ? now - TYPES_S + 20 : now;
                    return;
                  }
                  node.typesAre(types);
                  told = types;
                  node.dispatcher.wake();
                }),
        "read the machine types");
  }

  /**
   * The machine types are kept for controllers that start while the cloud does not answer. At its
   * own start a controller is told them before it has its lease; written only then, they were
   * missing for minutes, and controllers that ended meanwhile served nothing until the cloud was
   * back.
   */
  private void keepTypes() {
    if (told == null || keeping || node.directory.types() != null) {
      return;
    }
    keeping = true;
    Futures.logFailure(
        node.store
            .settle(new Txn().when(Rows.TYPES, 0).set(Rows.TYPES, CloudWire.types(told)))
            .whenComplete((outcome, failure) -> keeping = false),
        "store the machine types");
  }

  private void giveBack(OwnedEntity h, double now) {
    List<Machine> out = new ArrayList<>();
    Map<JobSpec, Integer> surplus = null;
    for (Machine m : h.machines.values()) {
      if (m.returning) {
        out.add(m);
      } else if (ofNoUse(m, now)) {
        if (surplus == null) {
          surplus = surplus(h, now);
        }
        if (!idle(m) || dispensable(m, surplus)) {
          if (m.empty() || !idle(m)) {
            m.returning = true;
            out.add(m);
          } else {
            // Only spare work is left here: it saves, and the machine goes.
            m.draining = true;
          }
        }
      }
    }
    if (out.isEmpty() || returning || !cloud.mayCall()) {
      return;
    }
    List<Machine> batch = out.subList(0, Math.min(out.size(), CloudWire.MAX_RETURN));
    returning = true;
    LOG.info("entity {}: returning {}", h.entity(), batch.stream().map(Machine::id).toList());
    Futures.logFailure(
        cloud
            .giveBack(batch.stream().map(Machine::id).toList())
            .whenComplete(
                (answer, failure) -> {
                  returning = false;
                  switch (failure == null ? answer : Return.UNCERTAIN) {
                    case GONE -> batch.forEach(m -> forget(h, m));
                    case REFUSED -> batch.forEach(m -> m.returning = m.returnUncertain);
                    default -> batch.forEach(m -> m.returnUncertain = true);
                  }
                }),
        "return machines");
  }

  private static boolean idle(Machine m) {
    return m.row.up() && m.heard && !m.silent && !m.draining;
  }

  /** How much more room there is than is kept ahead of need, for each class that it is kept for. */
  private Map<JobSpec, Integer> surplus(OwnedEntity h, double now) {
    Map<JobSpec, Integer> surplus = new HashMap<>();
    spares
        .wanted(node.types().values(), now)
        .forEach(
            (spec, tasks) ->
                surplus.put(spec, Spares.room(spec, h.machines.values(), node.prices()) - tasks));
    return surplus;
  }

  /** Whether an idle machine can go without room kept ahead of need; takes it off the surplus. */
  private boolean dispensable(Machine m, Map<JobSpec, Integer> surplus) {
    Map<JobSpec, Integer> rooms = new HashMap<>();
    for (var e : surplus.entrySet()) {
      int room = Spares.room(e.getKey(), List.of(m), node.prices());
      if (room > 0 && room > e.getValue()) {
        return false;
      }
      rooms.put(e.getKey(), room);
    }
    rooms.forEach((spec, room) -> surplus.merge(spec, -room, Integer::sum));
    return true;
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
      return boots.givenUp(m.type, m.rentedS, now);
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
        && (m.empty() || (m.spare() && !m.row.spot()))
        && now - m.idleSinceS > node.prices().idleS(m.type, m.row.spot(), node.options.idleS());
  }

  private void forget(OwnedEntity h, Machine m) {
    if (h.machines.get(m.id()) != m) {
      return;
    }
    double age = node.loop.seconds() - m.rentedS;
    if (!m.row.up()) {
      boots.never(m.type, m.rentedS);
    }
    LOG.info(
        "machine {} ({}, spot {}) returned after {} s, used {} s",
        m.id(),
        m.row.type(),
        m.row.spot(),
        Math.round(age),
        Math.round(m.usedS));
    node.removed(h, m);
    Futures.logFailure(
        h.register
            .remove(m.row)
            .whenComplete(
                (row, failure) -> {
                  if (failure != null) {
                    node.membership.relistThen(() -> node.gone.remove(m.id()));
                  } else {
                    node.gone.remove(m.id());
                  }
                }),
        "delete a machine's record");
  }

  /** Puts what waits into machines that boot, and rents for the rest. */
  private void rent(OwnedEntity h, double now) {
    RentPlan plan =
        new RentPlan(
            node.types().values(),
            node.dispatcher.acceleratorsWanted(now),
            node.prices(),
            hires::refused,
            job -> node.dispatcher.worth(job, now),
            mayBoot(),
            tasteSeed);
    int replaced = maxReplaced(h);
    for (Machine m : h.machines.values()) {
      if (!m.row.up() && !m.returning) {
        if (replaced > 0 && boots.late(m.type, m.rentedS, now)) {
          replaced--;
        } else {
          plan.coming(offer(m), m.type.size());
        }
      } else if (m.open()) {
        plan.there(offer(m), roomSoon(m, now), later(m, now));
      }
    }
    Map<Offer, Integer> pending = hires.pending(h);
    pending.forEach(
        (offer, count) -> {
          MachineType type = node.type(offer.type());
          for (int i = 0; type != null && i < count; i++) {
            plan.coming(offer, type.size());
          }
        });
    boolean uncertain = h.uncertain(now);
    Map<String, Amounts> left = new HashMap<>();
    List<Job> spareWork = new ArrayList<>();
    for (Job job : node.dispatcher.order(h)) {
      if (job.spareWork) {
        spareWork.add(job);
        continue;
      }
      boolean urgent = spares.urgent(job.spec, node.types().values());
      boolean peersFirst =
          !urgent
              && now - job.arrivedS < TransferRequests.FIRST_S
              && node.directory.aliveCount() > 1;
      boolean probe = job.trial.suspect() && placeable(h, job);
      if (job.mayStart(now) == 0 || (job.recovered && uncertain) || peersFirst || probe) {
        continue;
      }
      Amounts quota = left.computeIfAbsent(job.spec.team(), t -> node.dispatcher.quota(h, t, now));
      int tasks = Math.min(wanted(job, now), quota.count(job.spec.task()));
      left.put(job.spec.team(), quota.minus(job.spec.task().times(tasks)));
      plan.demand(job, tasks, urgent);
    }
    if (plan.wanted().isEmpty() && pending.isEmpty()) {
      keepSpares(h, plan, now);
    }
    for (Job job : spareWork) {
      if (!job.trial.suspect() && !(job.recovered && uncertain)) {
        plan.demand(job, job.unplaced(), false);
      }
    }
    plan.inOrder().forEach(e -> hires.hire(h, e.getKey(), e.getValue()));
  }

  /**
   * How many machines that are late may be replaced at the same time: where all boots are slow, the
   * fleet must not double.
   */
  private static int maxReplaced(OwnedEntity h) {
    int up = 0;
    for (Machine m : h.machines.values()) {
      up += m.row.up() ? 1 : 0;
    }
    return Math.max(2, up / 4);
  }

  /** Whether a probe of a job that fails everywhere finds a machine that is there anyway. */
  private static boolean placeable(OwnedEntity h, Job job) {
    int room = 0;
    for (Machine m : h.machines.values()) {
      if (m.open() && job.spec.allows(m.row.type(), m.row.zone(), m.row.spot())) {
        room += m.type.size().count(job.spec.task());
      }
    }
    return room >= (job.spec.shape() == Shape.GANG ? job.spec.tasks() : 1);
  }

  /**
   * How many machines may be on their way: each takes about three writes until it works, and those
   * must not take longer than a boot.
   */
  private int mayBoot() {
    double writes = node.settings.stateLimits().writeRps() / (node.settings.peers().size() + 1);
    return (int) Math.max(4, writes * boot() / 3);
  }

  private void keepSpares(OwnedEntity h, RentPlan plan, double now) {
    spares
        .wanted(node.types().values(), now)
        .forEach(
            (spec, tasks) -> {
              int have = Spares.room(spec, h.machines.values(), node.prices());
              if (have < tasks && h.entity().equals(node.settings.self())) {
                plan.spare(new Job(spec, 0, now, false));
              }
            });
  }

  /** The cloud has none of these for now. */
  public void soldOut(String type, String zone, boolean spot) {
    hires.soldOut(new Offer(type, zone, spot));
  }

  /** Repeats the rental requests that a former owner left open. */
  public void resume(OwnedEntity h, List<Entry> entries) {
    hires.resume(h, entries);
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
    for (Placement p : m.tasks().values()) {
      if (endsInS(p, now) < m.type.bootS()) {
        room = room.plus(p.job.spec.task());
      }
    }
    return room;
  }

  /**
   * What may start there after those, one task after the other like what runs there now, before
   * another machine would be up. Dear machines were rented for short tasks, and had nothing to do
   * when they came up.
   */
  private Amounts later(Machine m, double now) {
    Amounts room = Amounts.NONE;
    for (Placement p : m.tasks().values()) {
      double left = m.type.bootS() - endsInS(p, now);
      int turns = (int) (left / node.estimates.runS(p.job.spec));
      if (left > 0 && turns > 0 && p.job.spec.shape() == Shape.ARRAY) {
        room = room.plus(p.job.spec.task().times((int) Math.min(MAX_TURNS, turns)));
      }
    }
    return room;
  }

  private double endsInS(Placement p, double now) {
    double began =
        p.runningS > 0 ? p.runningS : now + p.job.spec.imageGb() / p.machine.type.fetchGbPerS();
    return Math.max(0, began + node.estimates.runS(p.job.spec) - now);
  }

  /** How many of a job's waiting tasks are worth machines of their own, the rest taking turns. */
  private int wanted(Job job, double now) {
    int waiting = job.mayStart(now);
    if (job.spec.shape() != Shape.ARRAY) {
      return waiting;
    }
    double run = node.estimates.runS(job.spec);
    double due = node.dispatcher.nextDueS(job, now);
    if (Double.isInfinite(due)) {
      return waiting;
    }
    double left = due - now - spares.startsInS(job.spec, node.types().values());
    double turns = Math.max(1, Math.min(MAX_TURNS, Math.floor(left / run)));
    return (int) Math.ceil(waiting / turns);
  }
}
