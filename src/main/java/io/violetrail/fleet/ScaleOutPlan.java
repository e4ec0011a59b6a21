package io.violetrail.fleet;

import io.violetrail.model.JobShape;
import io.violetrail.model.MachineType;
import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.scheduling.Job;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which machines to rent for an entity. Pending tasks are packed into the capacity of its
 * running and booting machines, and the cheapest offerings are chosen for the rest. A plan has no
 * side effects; {@link ScaleOut} creates one in each pass.
 */
final class ScaleOutPlan {
  private final Collection<MachineType> types;
  private final OfferingSelector selector;
  private int remainingRentals;

  /** Capacity of running, booting and planned machines, in the order in which it is filled. */
  private final List<CapacityBin> bins = new ArrayList<>();

  private final Map<MachineOffering, Integer> machineCountsByOffering = new HashMap<>();

  /** The highest priority of the jobs that each planned offering is for. */
  private final Map<MachineOffering, Priority> highestPriorityByOffering = new HashMap<>();

  /**
   * Creates a plan without machines.
   *
   * @param maxRentals how many machines may be requested or booting at once; those that already are
   *     count against it
   */
  ScaleOutPlan(Collection<MachineType> types, OfferingSelector selector, int maxRentals) {
    this.types = types;
    this.selector = selector;
    this.remainingRentals = maxRentals;
  }

  /** Adds a machine that is booting or requested. */
  void addBooting(MachineOffering offering, Resources capacity) {
    bins.add(new CapacityBin(offering, capacity, Resources.NONE, true));
    remainingRentals--;
  }

  /**
   * Adds a running machine.
   *
   * @param freeCapacity what is free now or will be by the time that another machine has booted
   * @param sequentialCapacity what tasks can use one after the other until then
   */
  void addRunning(MachineOffering offering, Resources freeCapacity, Resources sequentialCapacity) {
    bins.add(new CapacityBin(offering, freeCapacity, sequentialCapacity, false));
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
   *
   * @param urgent whether the job cannot wait for running tasks to end, so that only the capacity
   *     of booting and planned machines counts
   */
  void addDemand(Job job, int taskCount, boolean urgent) {
    if (job.spec().shape() == JobShape.GANG && job.spec().singleZone()) {
      if (taskCount >= job.spec().taskCount()) {
        addGangDemand(job, urgent);
      }
      return;
    }
    int remainingTasks = taskCount - fillBins(job, taskCount, urgent, null);
    rentForRemaining(job, remainingTasks, null);
  }

  /** Plans machines for a single-zone gang in the zone where the additional cost is lowest. */
  private void addGangDemand(Job job, boolean urgent) {
    Set<String> zones = new HashSet<>();
    types.forEach(type -> zones.addAll(type.zones()));
    String bestZone = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (String zone : zones) {
      int missingCount = job.spec().taskCount() - freeTaskSlots(job, urgent, zone);
      MachineOffering offering =
          missingCount > 0 ? selector.findCheapest(job, missingCount, zone) : null;
      if (missingCount > 0 && offering == null) {
        continue;
      }
      double cost =
          missingCount <= 0 ? 0 : missingCount * selector.costPerTask(job, offering, missingCount);
      if (cost < bestCost) {
        bestZone = zone;
        bestCost = cost;
      }
    }
    if (bestZone == null) {
      return;
    }
    int remainingTasks =
        job.spec().taskCount() - fillBins(job, job.spec().taskCount(), urgent, bestZone);
    rentForRemaining(job, remainingTasks, bestZone);
  }

  /**
   * Plans machines of the cheapest offerings until all of the tasks fit, no offering suits them, or
   * {@code maxRentals} is reached.
   *
   * @param zone the zone of the machines; null for any zone
   */
  private void rentForRemaining(Job job, int taskCount, String zone) {
    int remainingTasks = taskCount;
    while (remainingTasks > 0 && remainingRentals > 0) {
      MachineOffering offering = selector.findCheapest(job, remainingTasks, zone);
      if (offering == null) {
        return;
      }
      remainingTasks -= rentOne(job, offering, remainingTasks);
    }
  }

  private int rentOne(Job job, MachineOffering offering, int taskCount) {
    MachineType type = selector.typeOf(offering);
    CapacityBin bin = new CapacityBin(offering, type.capacity(), Resources.NONE, true);
    bins.add(bin);
    machineCountsByOffering.merge(offering, 1, Integer::sum);
    highestPriorityByOffering.merge(
        offering, job.spec().priority(), (a, b) -> a.compareTo(b) < 0 ? a : b);
    remainingRentals--;
    return bin.fill(job, taskCount);
  }

  private boolean isUsable(Job job, CapacityBin bin, boolean urgent, String zone) {
    return (bin.isBooting() || !urgent)
        && selector.suitsAcceleratorNeed(job, selector.typeOf(bin.offering()))
        && (zone == null || zone.equals(bin.offering().zone()))
        && job.spec()
            .allowsMachine(bin.offering().type(), bin.offering().zone(), bin.offering().spot());
  }

  private int fillBins(Job job, int taskCount, boolean urgent, String zone) {
    int filled = 0;
    for (CapacityBin bin : bins) {
      if (filled < taskCount && isUsable(job, bin, urgent, zone)) {
        filled += bin.fill(job, taskCount - filled);
      }
    }
    return filled;
  }

  private int freeTaskSlots(Job job, boolean urgent, String zone) {
    int slots = 0;
    for (CapacityBin bin : bins) {
      if (isUsable(job, bin, urgent, zone)) {
        slots += bin.freeTaskSlots(job);
      }
    }
    return slots;
  }

  /** Plans one machine to keep capacity warm for tasks like the job's. */
  void addWarmMachine(Job job) {
    MachineOffering offering = remainingRentals > 0 ? selector.findCheapest(job, 1, null) : null;
    if (offering != null) {
      rentOne(job, offering, 1);
    }
  }
}
