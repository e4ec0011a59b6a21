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
 * What to rent for an entity: its waiting tasks are packed into the capacity that is coming anyway,
 * and the cheapest offerings are taken for the rest. A plain decision on what is handed in, made
 * anew by {@link ScaleOut} at each pass.
 */
final class ScaleOutPlan {
  private final Collection<MachineType> types;
  private final OfferingSelector selector;
  private int rentalsLeft;

  /** Room that is there or coming, in the order in which it is filled. */
  private final List<CapacityBin> bins = new ArrayList<>();

  private final Map<MachineOffering, Integer> machineCounts = new HashMap<>();

  /** The most urgent priority for which each offer is wanted. */
  private final Map<MachineOffering, Priority> highestPriority = new HashMap<>();

  /**
   * Creates a plan for the machines that waiting work needs.
   *
   * @param maxRentals how many machines more may be on their way
   */
  ScaleOutPlan(Collection<MachineType> types, OfferingSelector selector, int maxRentals) {
    this.types = types;
    this.selector = selector;
    this.rentalsLeft = maxRentals;
  }

  /** A machine that boots or was asked for. */
  void addBooting(MachineOffering offering, Resources size) {
    bins.add(new CapacityBin(offering, size, Resources.NONE, true));
    rentalsLeft--;
  }

  /**
   * What a machine that is up has free, or will have by the time that another one boots, and what
   * may start there one after the other until then.
   */
  void addRunning(MachineOffering offering, Resources freeCapacity, Resources sequentialCapacity) {
    bins.add(new CapacityBin(offering, freeCapacity, sequentialCapacity, false));
  }

  Map<MachineOffering, Integer> machineCounts() {
    return machineCounts;
  }

  /**
   * What is wanted in the order in which it is to be asked for, since calls are few: the most
   * urgent first, and of those the call that brings the most machines. By numbers alone, the one
   * machine of an urgent job waited for a wide array's.
   */
  List<Map.Entry<MachineOffering, Integer>> machineCountsByUrgency() {
    List<Map.Entry<MachineOffering, Integer>> order = new ArrayList<>(machineCounts.entrySet());
    order.sort(
        Comparator.comparing(
                (Map.Entry<MachineOffering, Integer> e) -> highestPriority.get(e.getKey()))
            .thenComparing(e -> -e.getValue()));
    return order;
  }

  /**
   * Rents what the job's waiting tasks lack.
   *
   * @param urgent it does not wait for others to end: only machines on their way count
   */
  void addDemand(Job job, int taskCount, boolean urgent) {
    if (job.spec().shape() == JobShape.GANG && job.spec().singleZone()) {
      if (taskCount >= job.spec().taskCount()) {
        addGangDemand(job, urgent);
      }
      return;
    }
    int tasksLeft = taskCount - fillBins(job, taskCount, urgent, null);
    rentForRemaining(job, tasksLeft, null);
  }

  /** A gang of one zone gets its machines in the zone where the least has to be paid for more. */
  private void addGangDemand(Job job, boolean urgent) {
    Set<String> zones = new HashSet<>();
    types.forEach(t -> zones.addAll(t.zones()));
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
    int tasksLeft =
        job.spec().taskCount() - fillBins(job, job.spec().taskCount(), urgent, bestZone);
    rentForRemaining(job, tasksLeft, bestZone);
  }

  /** Rents the cheapest, in the zone if one is named, until all of the tasks fit. */
  private void rentForRemaining(Job job, int taskCount, String zone) {
    int tasksLeft = taskCount;
    while (tasksLeft > 0 && rentalsLeft > 0) {
      MachineOffering offering = selector.findCheapest(job, tasksLeft, zone);
      if (offering == null) {
        return;
      }
      tasksLeft -= rentOne(job, offering, tasksLeft);
    }
  }

  private int rentOne(Job job, MachineOffering offering, int taskCount) {
    MachineType type = selector.typeOf(offering);
    CapacityBin bin = new CapacityBin(offering, type.capacity(), Resources.NONE, true);
    bins.add(bin);
    machineCounts.merge(offering, 1, Integer::sum);
    highestPriority.merge(offering, job.spec().priority(), (a, b) -> a.compareTo(b) < 0 ? a : b);
    rentalsLeft--;
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

  /** Room ahead of need: one machine more for tasks like these. */
  void addWarmMachine(Job job) {
    MachineOffering offering = rentalsLeft > 0 ? selector.findCheapest(job, 1, null) : null;
    if (offering != null) {
      rentOne(job, offering, 1);
    }
  }
}
