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
 * Returns unneeded machines to the provider: idle, unresponsive, drained or never booted ones.
 * Called by the {@link Autoscaler} on the event loop's thread. Nothing here survives a crash: the
 * next owner detects the same unneeded machines, and {@link OrphanedMachines} those without a
 * record.
 */
public final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** A worker gives up on a dead controller after 4 s and tries the next one a second later. */
  private static final double SECONDS_PER_DEAD_CONTROLLER = 5;

  /** How much longer an unresponsive machine is kept than its tasks may run. */
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
   * Creates the scale-in of one controller.
   *
   * @param idleSeconds how long a machine of the cheapest type may be idle; more expensive ones are
   *     returned sooner
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

  /**
   * Starts to return the entity's unneeded machines, with at most one call to the provider in
   * flight and at most {@code MAX_MACHINES_PER_RETURN} machines in it.
   */
  void returnUnneededMachines(OwnedEntity entity, double nowSeconds) {
    List<Machine> machinesToReturn = new ArrayList<>();
    Map<JobSpec, Integer> surplusSlotsByJob = null;
    for (Machine machine : entity.machines().values()) {
      if (machine.isReturning()) {
        machinesToReturn.add(machine);
      } else if (isUnneeded(machine, nowSeconds)) {
        if (surplusSlotsByJob == null) {
          surplusSlotsByJob = surplusSlots(entity, nowSeconds);
        }
        if (!isIdle(machine) || isSurplus(machine, surplusSlotsByJob)) {
          takeOutOfService(machine, machinesToReturn);
        }
      }
    }
    if (!machinesToReturn.isEmpty() && !returnInFlight && cloud.tryAcquireCall()) {
      returnToCloud(entity, machinesToReturn);
    }
  }

  private static void takeOutOfService(Machine machine, List<Machine> machinesToReturn) {
    if (machine.isEmpty() || !isIdle(machine)) {
      machine.startReturn();
      machinesToReturn.add(machine);
    } else {
      // Only best-effort work is left: drain the machine so that it saves its checkpoints first.
      machine.startDraining();
    }
  }

  private void returnToCloud(OwnedEntity entity, List<Machine> machines) {
    List<Machine> batch =
        machines.subList(0, Math.min(machines.size(), CloudMessages.MAX_MACHINES_PER_RETURN));
    returnInFlight = true;
    LOG.info(
        "entity {}: returning machines {} to the provider",
        entity.id(),
        batch.stream().map(Machine::id).toList());
    Futures.logFailure(
        cloud
            .returnMachines(batch.stream().map(Machine::id).toList())
            .whenComplete(
                (answer, failure) -> {
                  returnInFlight = false;
                  switch (failure == null ? answer : ReturnOutcome.UNCERTAIN) {
                    case TERMINATED -> batch.forEach(machine -> removeReturned(entity, machine));
                    case REFUSED -> batch.forEach(Machine::cancelReturn);
                    default -> batch.forEach(Machine::markReturnUncertain);
                  }
                }),
        "return machines to the cloud");
  }

  private static boolean isIdle(Machine machine) {
    return machine.row().hasReported()
        && machine.tasksKnown()
        && !machine.isUnresponsive()
        && !machine.isDraining();
  }

  /**
   * Returns, for each class with warm capacity, how many free task slots exceed those to be kept
   * warm.
   */
  private Map<JobSpec, Integer> surplusSlots(OwnedEntity entity, double nowSeconds) {
    Map<JobSpec, Integer> surplusSlotsByJob = new HashMap<>();
    warmCapacity
        .wantedTaskCounts(machineTypes.all(), nowSeconds)
        .forEach(
            (spec, tasks) ->
                surplusSlotsByJob.put(
                    spec,
                    WarmCapacity.freeTaskSlots(
                            spec, entity.machines().values(), machineTypes.prices())
                        - tasks));
    return surplusSlotsByJob;
  }

  /**
   * Returns whether an idle machine can be returned without reducing warm capacity; if so,
   * subtracts its task slots from the surplus.
   */
  private boolean isSurplus(Machine machine, Map<JobSpec, Integer> surplusSlotsByJob) {
    Map<JobSpec, Integer> slotsByJob = new HashMap<>();
    for (var entry : surplusSlotsByJob.entrySet()) {
      int slots =
          WarmCapacity.freeTaskSlots(entry.getKey(), List.of(machine), machineTypes.prices());
      if (slots > 0 && slots > entry.getValue()) {
        return false;
      }
      slotsByJob.put(entry.getKey(), slots);
    }
    slotsByJob.forEach((spec, slots) -> surplusSlotsByJob.merge(spec, -slots, Integer::sum));
    return true;
  }

  /**
   * Returns how long a worker may take to find the new owner of its machine, since it may try dead
   * controllers first.
   */
  private double maxReconnectSeconds() {
    long deadControllerCount =
        settings.peers().keySet().stream().filter(peer -> !clusterView.isAlive(peer)).count();
    return SECONDS_PER_DEAD_CONTROLLER * Math.max(1, deadControllerCount)
        + 2 * settings.workerTiming().heartbeatIntervalSeconds();
  }

  private boolean isUnneeded(Machine machine, double nowSeconds) {
    if (machine.isTransferInFlight()) {
      return false;
    }
    if (!machine.row().hasReported()) {
      return bootTimes.isGivenUp(machine.type(), machine.rentedAtSeconds(), nowSeconds);
    }
    if (machine.mayHoldUnreportedTasks(nowSeconds)
        && nowSeconds - machine.lastHeartbeatAtSeconds() > maxReconnectSeconds()) {
      // All recovered jobs wait until it is known which tasks this machine holds. Once the provider
      // confirms the machine's return, it certainly holds none.
      return true;
    }
    if (machine.isUnresponsive()) {
      return machine.isEmpty()
          && nowSeconds - machine.lastHeartbeatAtSeconds()
              > leaseTiming.tasksGoneAfterReplySeconds() + UNRESPONSIVE_MARGIN_SECONDS;
    }
    if (machine.isDraining()) {
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
    double ageSeconds = loop.monotonicSeconds() - machine.rentedAtSeconds();
    if (!machine.row().hasReported()) {
      bootTimes.recordNeverBooted(machine.type(), machine.rentedAtSeconds());
    }
    LOG.info(
        "machine {} (type {}, spot {}) returned {} s after it was rented, with {} s of full use",
        machine.id(),
        machine.row().type(),
        machine.row().spot(),
        Math.round(ageSeconds),
        Math.round(machine.fullUseSeconds()));
    entityMachines.remove(entity, machine);
    Futures.logFailure(
        entity
            .machineRecords()
            .remove(machine.row())
            .whenComplete(
                (row, failure) -> {
                  if (failure != null) {
                    membership.relistThen(() -> entityMachines.forgetReturned(machine.id()));
                  } else {
                    entityMachines.forgetReturned(machine.id());
                  }
                }),
        "remove a returned machine's record");
  }
}
