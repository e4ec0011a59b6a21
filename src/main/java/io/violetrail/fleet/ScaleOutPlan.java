package io.violetrail.fleet;

import io.violetrail.model.JobShape;
import io.violetrail.model.MachineType;
import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.PlacementConstraints;
import io.violetrail.scheduling.SingleZonePlanner;
import io.violetrail.scheduling.ZoneAllowance;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which machines to rent for an entity. Pending tasks are packed into the capacity of its
 * running and booting machines, and the cheapest offerings are chosen for the rest. A plan has no
 * side effects; {@link ScaleOut} creates one in each pass.
 */
final class ScaleOutPlan {
  private final Collection<MachineType> types;
  private final OfferingSelector selector;
  private final PlacementConstraints constraints;
  private final SingleZonePlanner singleZonePlanner;
  private final double nowSeconds;
  private int remainingRentals;

  /** Capacity of running, booting and planned machines, in the order in which it is filled. */
  private final List<CapacityBin> bins = new ArrayList<>();

  private final Map<MachineOffering, Integer> machineCountsByOffering = new HashMap<>();

  /** The highest priority of the jobs that each planned offering is for. */
  private final Map<MachineOffering, Priority> highestPriorityByOffering = new HashMap<>();

  /**
   * Creates a plan without machines.
   *
   * @param constraints decides which jobs may use the room on running machines
   * @param singleZonePlanner tells which services must move to another zone
   * @param maxRentals how many machines may be requested or booting at once; those that already are
   *     count against it
   */
  ScaleOutPlan(
      Collection<MachineType> types,
      OfferingSelector selector,
      PlacementConstraints constraints,
      SingleZonePlanner singleZonePlanner,
      int maxRentals,
      double nowSeconds) {
    this.types = types;
    this.selector = selector;
    this.constraints = constraints;
    this.singleZonePlanner = singleZonePlanner;
    this.nowSeconds = nowSeconds;
    this.remainingRentals = maxRentals;
  }

  /** Adds a machine that is booting or requested. */
  void addBooting(MachineOffering offering, Resources capacity) {
    bins.add(CapacityBin.ofBooting(offering, capacity));
    remainingRentals--;
  }

  /**
   * Adds a running machine.
   *
   * @param freeCapacity what is free now or will be by the time that another machine has booted
   * @param sequentialCapacity what tasks can use one after the other until then
   */
  void addRunning(Machine machine, Resources freeCapacity, Resources sequentialCapacity) {
    bins.add(CapacityBin.ofRunning(machine, freeCapacity, sequentialCapacity));
  }

  Map<MachineOffering, Integer> machineCounts() {
    return machineCountsByOffering;
  }

  /**
   * Returns the planned machines in the order in which to request them, as calls to the provider
   * are limited: by priority, then by the number of machines. Ordered by number alone, the single
   * machine for an urgent job waited for the many of a wide array.
   */
  List<Map.Entry<MachineOffering, Integer>> machineCountsByUrgency() {
    List<Map.Entry<MachineOffering, Integer>> order =
        new ArrayList<>(machineCountsByOffering.entrySet());
    order.sort(
        Comparator.comparing(
                (Map.Entry<MachineOffering, Integer> entry) ->
                    highestPriorityByOffering.get(entry.getKey()))
            .thenComparing(entry -> -entry.getValue()));
    return order;
  }

  /**
   * Plans machines for those of the job's pending tasks that do not fit into the capacity so far.
   * Room counts only if the tasks may use it, given the job's other tasks. A gang that has no
   * placed tasks is planned as a whole or not at all, since it is placed that way.
   *
   * @param urgent whether the job cannot wait for running tasks to end, so that only the capacity
   *     of booting and planned machines counts
   */
  void addDemand(Job job, int taskCount, boolean urgent) {
    boolean plannedAsWhole =
        job.spec().shape() == JobShape.GANG && (job.spec().singleZone() || job.hasNoPlacements());
    if (plannedAsWhole && taskCount < job.startTogetherCount()) {
      return;
    }
    ZoneAllowance allowance = ZoneAllowance.of(job);
    if (allowance.mayChooseSingleZone()) {
      addDemandInCheapestZone(job, taskCount, urgent, allowance);
      return;
    }
    int remainingTasks = taskCount - fillBins(job, taskCount, urgent, allowance);
    if (remainingTasks > 0 && singleZonePlanner.needsAnotherZone(job)) {
      addDemandInCheapestZone(
          job, job.spec().taskCount(), urgent, ZoneAllowance.ofUnplaced(job.spec()));
    } else {
      rentForRemaining(job, remainingTasks, allowance);
    }
  }

  /** Plans machines for all of the tasks in the zone where the additional cost is lowest. */
  private void addDemandInCheapestZone(
      Job job, int taskCount, boolean urgent, ZoneAllowance allowance) {
    Optional<String> zone = findCheapestZone(job, taskCount, urgent, allowance);
    if (zone.isPresent()) {
      ZoneAllowance inZone = allowance.restrictedTo(zone.get());
      rentForRemaining(job, taskCount - fillBins(job, taskCount, urgent, inZone), inZone);
    }
  }

  /** Returns the zone where the additional cost of all of the tasks together is lowest. */
  private Optional<String> findCheapestZone(
      Job job, int taskCount, boolean urgent, ZoneAllowance allowance) {
    Set<String> zones = new HashSet<>();
    types.forEach(type -> zones.addAll(type.zones()));
    String bestZone = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (String zone : zones) {
      double cost = additionalCost(job, taskCount, urgent, allowance.restrictedTo(zone));
      if (cost < bestCost) {
        bestZone = zone;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(bestZone);
  }

  /**
   * Returns the hourly price of the machines for those tasks that do not fit into the capacity so
   * far; infinite if no offering suits them.
   */
  private double additionalCost(Job job, int taskCount, boolean urgent, ZoneAllowance allowance) {
    int missingCount = taskCount - freeTaskSlots(job, urgent, allowance);
    if (missingCount <= 0) {
      return 0;
    }
    MachineOffering offering = selector.findCheapest(job, missingCount, allowance);
    return offering == null
        ? Double.POSITIVE_INFINITY
        : missingCount * selector.costPerTask(job, offering, missingCount);
  }

  /**
   * Plans machines of the cheapest offerings until all of the tasks fit, no offering suits them, or
   * {@code maxRentals} is reached.
   *
   * @param allowance the zones in which the tasks may start; the planned ones are added
   */
  private void rentForRemaining(Job job, int taskCount, ZoneAllowance allowance) {
    int remainingTasks = taskCount;
    while (remainingTasks > 0 && remainingRentals > 0) {
      MachineOffering offering = selector.findCheapest(job, remainingTasks, allowance);
      if (offering == null) {
        return;
      }
      int allowedCount = Math.min(remainingTasks, allowance.remaining(offering.zone()));
      int placedCount = rentOne(job, offering, allowedCount);
      allowance.add(offering.zone(), placedCount);
      remainingTasks -= placedCount;
    }
  }

  private int rentOne(Job job, MachineOffering offering, int taskCount) {
    MachineType type = selector.typeOf(offering);
    CapacityBin bin = CapacityBin.ofBooting(offering, type.capacity());
    bins.add(bin);
    machineCountsByOffering.merge(offering, 1, Integer::sum);
    highestPriorityByOffering.merge(
        offering, job.spec().priority(), (a, b) -> a.compareTo(b) < 0 ? a : b);
    remainingRentals--;
    return bin.fill(job, taskCount);
  }

  private boolean isUsable(Job job, CapacityBin bin, boolean urgent, ZoneAllowance allowance) {
    MachineOffering offering = bin.offering();
    if ((urgent && !bin.isBooting())
        || !allowance.allows(offering.zone())
        || !job.spec().allowsMachine(offering.type(), offering.zone(), offering.spot())
        || !selector.suitsAcceleratorNeed(job, allowance, selector.typeOf(offering))) {
      return false;
    }
    return bin.isBooting() || constraints.mayUse(job, bin.runningMachine(), allowance, nowSeconds);
  }

  /** Uses the capacity so far for the tasks, adds them to the allowance, and returns how many. */
  private int fillBins(Job job, int taskCount, boolean urgent, ZoneAllowance allowance) {
    int filled = 0;
    for (CapacityBin bin : bins) {
      if (filled < taskCount && bin.hasRoomFor(job) && isUsable(job, bin, urgent, allowance)) {
        String zone = bin.offering().zone();
        int placedCount = bin.fill(job, Math.min(taskCount - filled, allowance.remaining(zone)));
        allowance.add(zone, placedCount);
        filled += placedCount;
      }
    }
    return filled;
  }

  private int freeTaskSlots(Job job, boolean urgent, ZoneAllowance allowance) {
    int slots = 0;
    for (CapacityBin bin : bins) {
      int binSlots = bin.freeTaskSlots(job);
      if (binSlots > 0 && isUsable(job, bin, urgent, allowance)) {
        slots += binSlots;
      }
    }
    return slots;
  }

  /** Plans one machine to keep capacity warm for tasks like the job's. */
  void addWarmMachine(Job job) {
    MachineOffering offering =
        remainingRentals > 0
            ? selector.findCheapest(job, 1, ZoneAllowance.ofUnplaced(job.spec()))
            : null;
    if (offering != null) {
      rentOne(job, offering, 1);
    }
  }
}
