package io.violetrail.fleet;

import io.violetrail.cloud.CloudClient;
import io.violetrail.cloud.CloudClient.Return;
import io.violetrail.config.Settings;
import io.violetrail.model.JobSpec;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Timing;
import io.violetrail.wire.CloudWire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Returns machines of no use to the cloud: idle, silent, drained or never up. */
public final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** A worker gives a dead controller up after 4 s and tries the next one a second later. */
  private static final double UNHEARD_S = 5;

  private final Settings settings;
  private final double idleSeconds;
  private final Loop loop;
  private final Timing timing;
  private final Directory directory;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final EntityMachines entityMachines;
  private final Boots bootTimes;
  private final Spares spares;
  private final CloudClient cloud;
  private boolean returning;

  /**
   * Made once for a controller.
   *
   * @param idleSeconds how long the cheapest type of machine may be idle; dearer ones are returned
   *     sooner
   */
  public ScaleIn(
      Settings settings,
      double idleSeconds,
      Loop loop,
      Timing timing,
      Directory directory,
      Membership membership,
      MachineTypes machineTypes,
      EntityMachines entityMachines,
      Boots bootTimes,
      Spares spares,
      CloudClient cloud) {
    this.settings = settings;
    this.idleSeconds = idleSeconds;
    this.loop = loop;
    this.timing = timing;
    this.directory = directory;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.entityMachines = entityMachines;
    this.bootTimes = bootTimes;
    this.spares = spares;
    this.cloud = cloud;
  }

  /** Returns the entity's machines that are of no use, as many as one call may name. */
  void returnUseless(OwnedEntity h, double now) {
    List<Machine> out = new ArrayList<>();
    Map<JobSpec, Integer> surplus = null;
    for (Machine m : h.machines().values()) {
      if (m.returning()) {
        out.add(m);
      } else if (ofNoUse(m, now)) {
        if (surplus == null) {
          surplus = surplus(h, now);
        }
        if (!idle(m) || dispensable(m, surplus)) {
          takeOutOfUse(m, out);
        }
      }
    }
    if (!out.isEmpty() && !returning && cloud.mayCall()) {
      returnToCloud(h, out);
    }
  }

  private static void takeOutOfUse(Machine m, List<Machine> out) {
    if (m.empty() || !idle(m)) {
      m.startReturn();
      out.add(m);
    } else {
      // Only spare work is left here: it saves, and the machine goes.
      m.setDraining(true);
    }
  }

  private void returnToCloud(OwnedEntity h, List<Machine> out) {
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
                    case REFUSED -> batch.forEach(Machine::returnRefused);
                    default -> batch.forEach(Machine::returnUnclear);
                  }
                }),
        "return machines to the cloud");
  }

  private static boolean idle(Machine m) {
    return m.row().up() && m.heard() && !m.silent() && !m.draining();
  }

  /** How much more room there is than is kept ahead of need, for each class that it is kept for. */
  private Map<JobSpec, Integer> surplus(OwnedEntity h, double now) {
    Map<JobSpec, Integer> surplus = new HashMap<>();
    spares
        .wanted(machineTypes.all(), now)
        .forEach(
            (spec, tasks) ->
                surplus.put(
                    spec, Spares.room(spec, h.machines().values(), machineTypes.prices()) - tasks));
    return surplus;
  }

  /** Whether an idle machine can go without room kept ahead of need; takes it off the surplus. */
  private boolean dispensable(Machine m, Map<JobSpec, Integer> surplus) {
    Map<JobSpec, Integer> rooms = new HashMap<>();
    for (var e : surplus.entrySet()) {
      int room = Spares.room(e.getKey(), List.of(m), machineTypes.prices());
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
    long dead = settings.peers().keySet().stream().filter(p -> !directory.isAlive(p)).count();
    return UNHEARD_S * Math.max(1, dead) + 2 * settings.workers().reportS();
  }

  private boolean ofNoUse(Machine m, double now) {
    if (m.promised()) {
      return false;
    }
    if (!m.row().up()) {
      return bootTimes.givenUp(m.type(), m.rentedS(), now);
    }
    if (m.uncertain(now) && now - m.heardS() > findsUsS()) {
      // Everything recovered waits for what it may hold, and the cloud's answer settles that.
      return true;
    }
    if (m.silent()) {
      return m.empty() && now - m.heardS() > timing.goneAfterAnswerS() + 5;
    }
    if (m.draining()) {
      return m.empty();
    }
    return m.heard()
        && (m.empty() || (m.spare() && !m.row().spot()))
        && now - m.idleSinceS()
            > machineTypes.prices().idleS(m.type(), m.row().spot(), idleSeconds);
  }

  private void forget(OwnedEntity h, Machine m) {
    if (h.machines().get(m.id()) != m) {
      return;
    }
    double age = loop.seconds() - m.rentedS();
    if (!m.row().up()) {
      bootTimes.never(m.type(), m.rentedS());
    }
    LOG.info(
        "machine {} ({}, spot {}) returned after {} s, used {} s",
        m.id(),
        m.row().type(),
        m.row().spot(),
        Math.round(age),
        Math.round(m.usedS()));
    entityMachines.remove(h, m);
    Futures.logFailure(
        h.register()
            .remove(m.row())
            .whenComplete(
                (row, failure) -> {
                  if (failure != null) {
                    membership.relistThen(() -> entityMachines.rowRemoved(m.id()));
                  } else {
                    entityMachines.rowRemoved(m.id());
                  }
                }),
        "remove a returned machine's record");
  }
}
