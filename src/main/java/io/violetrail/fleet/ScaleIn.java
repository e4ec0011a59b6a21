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

/**
 * Returns machines of no use to the provider: idle, unresponsive, drained or never booted. Called
 * by the {@link Autoscaler} on the event loop's thread. Nothing here survives a crash: the next
 * owner finds the same machines of no use, and {@link OrphanedMachines} those without a record.
 */
public final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** A worker gives a dead controller up after 4 s and tries the next one a second later. */
  private static final double SECONDS_PER_DEAD_CONTROLLER = 5;

  /** An unresponsive machine is kept so much longer than its tasks may run. */
  private static final double UNRESPONSIVE_MARGIN_SECONDS = 5;

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
  private boolean returnInFlight;

  /**
   * Creates the scale in of one controller.
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
  void returnUseless(OwnedEntity entity, double nowSeconds) {
    List<Machine> machines = new ArrayList<>();
    Map<JobSpec, Integer> surplusByJob = null;
    for (Machine machine : entity.machines().values()) {
      if (machine.returning()) {
        machines.add(machine);
      } else if (isUseless(machine, nowSeconds)) {
        if (surplusByJob == null) {
          surplusByJob = surplusSlots(entity, nowSeconds);
        }
        if (!isIdle(machine) || isDispensable(machine, surplusByJob)) {
          takeOutOfUse(machine, machines);
        }
      }
    }
    if (!machines.isEmpty() && !returnInFlight && cloud.tryAcquireCall()) {
      returnToCloud(entity, machines);
    }
  }

  private static void takeOutOfUse(Machine machine, List<Machine> machines) {
    if (machine.isEmpty() || !isIdle(machine)) {
      machine.startReturn();
      machines.add(machine);
    } else {
      // Only best-effort work is left here: it saves its checkpoints, and the machine goes.
      machine.startDraining();
    }
  }

  private void returnToCloud(OwnedEntity entity, List<Machine> machines) {
    List<Machine> batch =
        machines.subList(0, Math.min(machines.size(), CloudMessages.MAX_MACHINES_PER_RETURN));
    returnInFlight = true;
    LOG.info("entity {}: returning {}", entity.id(), batch.stream().map(Machine::id).toList());
    Futures.logFailure(
        cloud
            .returnMachines(batch.stream().map(Machine::id).toList())
            .whenComplete(
                (answer, failure) -> {
                  returnInFlight = false;
                  switch (failure == null ? answer : ReturnOutcome.UNCERTAIN) {
                    case GONE -> batch.forEach(m -> removeReturned(entity, m));
                    case REFUSED -> batch.forEach(Machine::cancelReturn);
                    default -> batch.forEach(Machine::markReturnUncertain);
                  }
                }),
        "return machines to the cloud");
  }

  private static boolean isIdle(Machine machine) {
    return machine.row().hasReported()
        && machine.tasksKnown()
        && !machine.unresponsive()
        && !machine.draining();
  }

  /**
   * How many more task slots there are than are kept warm, for each class that they are kept for.
   */
  private Map<JobSpec, Integer> surplusSlots(OwnedEntity entity, double nowSeconds) {
    Map<JobSpec, Integer> surplusByJob = new HashMap<>();
    warmCapacity
        .wantedTaskCounts(machineTypes.all(), nowSeconds)
        .forEach(
            (spec, tasks) ->
                surplusByJob.put(
                    spec,
                    WarmCapacity.freeTaskSlots(
                            spec, entity.machines().values(), machineTypes.prices())
                        - tasks));
    return surplusByJob;
  }

  /** Whether an idle machine can go without touching warm capacity; takes it off the surplus. */
  private boolean isDispensable(Machine machine, Map<JobSpec, Integer> surplusByJob) {
    Map<JobSpec, Integer> slotsByJob = new HashMap<>();
    for (var entry : surplusByJob.entrySet()) {
      int slots =
          WarmCapacity.freeTaskSlots(entry.getKey(), List.of(machine), machineTypes.prices());
      if (slots > 0 && slots > entry.getValue()) {
        return false;
      }
      slotsByJob.put(entry.getKey(), slots);
    }
    slotsByJob.forEach((spec, slots) -> surplusByJob.merge(spec, -slots, Integer::sum));
    return true;
  }

  /** How long a worker may need to find a new owner, trying dead controllers on its way. */
  private double reconnectSeconds() {
    long dead = settings.peers().keySet().stream().filter(p -> !clusterView.isAlive(p)).count();
    return SECONDS_PER_DEAD_CONTROLLER * Math.max(1, dead)
        + 2 * settings.workerTiming().heartbeatIntervalSeconds();
  }

  private boolean isUseless(Machine machine, double nowSeconds) {
    if (machine.transferInFlight()) {
      return false;
    }
    if (!machine.row().hasReported()) {
      return bootTimes.isGivenUp(machine.type(), machine.rentedAtSeconds(), nowSeconds);
    }
    if (machine.mayHoldUnreportedTasks(nowSeconds)
        && nowSeconds - machine.lastHeartbeatAtSeconds() > reconnectSeconds()) {
      // Everything recovered waits for what it may hold, and the provider's answer settles that.
      return true;
    }
    if (machine.unresponsive()) {
      return machine.isEmpty()
          && nowSeconds - machine.lastHeartbeatAtSeconds()
              > leaseTiming.tasksGoneAfterReplySeconds() + UNRESPONSIVE_MARGIN_SECONDS;
    }
    if (machine.draining()) {
      return machine.isEmpty();
    }
    return machine.tasksKnown()
        && (machine.isEmpty() || (machine.hasOnlyBestEffortTasks() && !machine.row().spot()))
        && nowSeconds - machine.idleSinceSeconds()
            > machineTypes
                .prices()
                .maxIdleSeconds(machine.type(), machine.row().spot(), idleSeconds);
  }

  private void removeReturned(OwnedEntity entity, Machine machine) {
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
