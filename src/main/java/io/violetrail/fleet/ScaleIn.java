package io.violetrail.fleet;

import io.violetrail.cloud.CloudClient;
import io.violetrail.cloud.CloudClient.ReturnOutcome;
import io.violetrail.config.Settings;
import io.violetrail.model.JobSpec;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.LeaseTiming;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.wire.CloudMessages;
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
  private final EventLoop loop;
  private final LeaseTiming leaseTiming;
  private final ClusterView clusterView;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final EntityMachines entityMachines;
  private final BootTimes bootTimes;
  private final WarmCapacity warmCapacity;
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
      EventLoop loop,
      LeaseTiming leaseTiming,
      ClusterView clusterView,
      Membership membership,
      MachineTypes machineTypes,
      EntityMachines entityMachines,
      BootTimes bootTimes,
      WarmCapacity warmCapacity,
      CloudClient cloud) {
    this.settings = settings;
    this.idleSeconds = idleSeconds;
    this.loop = loop;
    this.leaseTiming = leaseTiming;
    this.clusterView = clusterView;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.entityMachines = entityMachines;
    this.bootTimes = bootTimes;
    this.warmCapacity = warmCapacity;
    this.cloud = cloud;
  }

  /** Returns the entity's machines that are of no use, as many as one call may name. */
  void returnUseless(OwnedEntity entity, double now) {
    List<Machine> out = new ArrayList<>();
    Map<JobSpec, Integer> surplus = null;
    for (Machine machine : entity.machines().values()) {
      if (machine.returning()) {
        out.add(machine);
      } else if (ofNoUse(machine, now)) {
        if (surplus == null) {
          surplus = surplus(entity, now);
        }
        if (!idle(machine) || dispensable(machine, surplus)) {
          takeOutOfUse(machine, out);
        }
      }
    }
    if (!out.isEmpty() && !returning && cloud.tryAcquireCall()) {
      returnToCloud(entity, out);
    }
  }

  private static void takeOutOfUse(Machine machine, List<Machine> out) {
    if (machine.isEmpty() || !idle(machine)) {
      machine.startReturn();
      out.add(machine);
    } else {
      // Only spare work is left here: it saves, and the machine goes.
      machine.startDraining();
    }
  }

  private void returnToCloud(OwnedEntity entity, List<Machine> out) {
    List<Machine> batch =
        out.subList(0, Math.min(out.size(), CloudMessages.MAX_MACHINES_PER_RETURN));
    returning = true;
    LOG.info("entity {}: returning {}", entity.id(), batch.stream().map(Machine::id).toList());
    Futures.logFailure(
        cloud
            .returnMachines(batch.stream().map(Machine::id).toList())
            .whenComplete(
                (answer, failure) -> {
                  returning = false;
                  switch (failure == null ? answer : ReturnOutcome.UNCERTAIN) {
                    case GONE -> batch.forEach(m -> forget(entity, m));
                    case REFUSED -> batch.forEach(Machine::cancelReturn);
                    default -> batch.forEach(Machine::markReturnUncertain);
                  }
                }),
        "return machines to the cloud");
  }

  private static boolean idle(Machine machine) {
    return machine.row().hasReported()
        && machine.tasksKnown()
        && !machine.unresponsive()
        && !machine.draining();
  }

  /** How much more room there is than is kept ahead of need, for each class that it is kept for. */
  private Map<JobSpec, Integer> surplus(OwnedEntity entity, double now) {
    Map<JobSpec, Integer> surplus = new HashMap<>();
    warmCapacity
        .wantedTaskCounts(machineTypes.all(), now)
        .forEach(
            (spec, tasks) ->
                surplus.put(
                    spec,
                    WarmCapacity.freeTaskSlots(
                            spec, entity.machines().values(), machineTypes.prices())
                        - tasks));
    return surplus;
  }

  /** Whether an idle machine can go without room kept ahead of need; takes it off the surplus. */
  private boolean dispensable(Machine machine, Map<JobSpec, Integer> surplus) {
    Map<JobSpec, Integer> rooms = new HashMap<>();
    for (var entry : surplus.entrySet()) {
      int room =
          WarmCapacity.freeTaskSlots(entry.getKey(), List.of(machine), machineTypes.prices());
      if (room > 0 && room > entry.getValue()) {
        return false;
      }
      rooms.put(entry.getKey(), room);
    }
    rooms.forEach((spec, room) -> surplus.merge(spec, -room, Integer::sum));
    return true;
  }

  /** How long a worker may need to find a new owner, trying dead controllers on its way. */
  private double findsUsS() {
    long dead = settings.peers().keySet().stream().filter(p -> !clusterView.isAlive(p)).count();
    return UNHEARD_S * Math.max(1, dead) + 2 * settings.workerTiming().heartbeatIntervalSeconds();
  }

  private boolean ofNoUse(Machine machine, double now) {
    if (machine.transferInFlight()) {
      return false;
    }
    if (!machine.row().hasReported()) {
      return bootTimes.isGivenUp(machine.type(), machine.rentedAtSeconds(), now);
    }
    if (machine.mayHoldUnreportedTasks(now)
        && now - machine.lastHeartbeatAtSeconds() > findsUsS()) {
      // Everything recovered waits for what it may hold, and the cloud's answer settles that.
      return true;
    }
    if (machine.unresponsive()) {
      return machine.isEmpty()
          && now - machine.lastHeartbeatAtSeconds() > leaseTiming.tasksGoneAfterReplySeconds() + 5;
    }
    if (machine.draining()) {
      return machine.isEmpty();
    }
    return machine.tasksKnown()
        && (machine.isEmpty() || (machine.hasOnlyBestEffortTasks() && !machine.row().spot()))
        && now - machine.idleSinceSeconds()
            > machineTypes
                .prices()
                .maxIdleSeconds(machine.type(), machine.row().spot(), idleSeconds);
  }

  private void forget(OwnedEntity entity, Machine machine) {
    if (entity.machines().get(machine.id()) != machine) {
      return;
    }
    double age = loop.monotonicSeconds() - machine.rentedAtSeconds();
    if (!machine.row().hasReported()) {
      bootTimes.recordNeverBooted(machine.type(), machine.rentedAtSeconds());
    }
    LOG.info(
        "machine {} ({}, spot {}) returned after {} s, used {} s",
        machine.id(),
        machine.row().type(),
        machine.row().spot(),
        Math.round(age),
        Math.round(machine.fullUseSeconds()));
    entityMachines.remove(entity, machine);
    Futures.logFailure(
        entity
            .machineRecords()
            .remove(machine.row())
            .whenComplete(
                (row, failure) -> {
                  if (failure != null) {
                    membership.relistThen(() -> entityMachines.rowRemoved(machine.id()));
                  } else {
                    entityMachines.rowRemoved(machine.id());
                  }
                }),
        "remove a returned machine's record");
  }
}
