package io.violetrail.fleet;

import io.violetrail.fleet.ScaleOutRequests.MachineOffering;
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
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * What to rent for an entity: its waiting tasks are put into the room that is coming anyway, and
 * the cheapest offers are taken for the rest. A plain decision on what is handed in.
 */
final class ScaleOutPlan {
  private final Collection<MachineType> types;
  private final boolean acceleratorsWanted;
  private final Prices prices;
  private final Predicate<MachineOffering> isSoldOut;
  private final ToDoubleFunction<Job> maxPriceRatioOf;
  private final int tieBreakSeed;
  private int rentalsLeft;

  /** Room that is there or coming, in the order in which it is filled. */
  private final List<Bin> bins = new ArrayList<>();

  private final Map<MachineOffering, Integer> machineCounts = new HashMap<>();

  /** The most urgent priority for which each offer is wanted. */
  private final Map<MachineOffering, Priority> highestPriority = new HashMap<>();

  /** A machine as room for what waits. */
  private static final class Bin {
    final MachineOffering offering;
    final boolean booting;
    Resources freeCapacity;

    /** Further turns, for tasks that need not run side by side. */
    Resources sequentialCapacity;

    Bin(
        MachineOffering offering,
        Resources freeCapacity,
        Resources sequentialCapacity,
        boolean booting) {
      this.offering = offering;
      this.freeCapacity = freeCapacity;
      this.sequentialCapacity = sequentialCapacity;
      this.booting = booting;
    }
  }

  /**
   * Creates a plan for the machines that waiting work needs.
   *
   * @param acceleratorsWanted work with accelerators was here lately: machines that have them are
   *     not for other work, as placement sees it too
   * @param maxRentals how many machines more may be on their way
   */
  ScaleOutPlan(
      Collection<MachineType> types,
      boolean acceleratorsWanted,
      Prices prices,
      Predicate<MachineOffering> isSoldOut,
      ToDoubleFunction<Job> maxPriceRatioOf,
      int maxRentals,
      int tieBreakSeed) {
    this.types = types;
    this.acceleratorsWanted = acceleratorsWanted;
    this.prices = prices;
    this.isSoldOut = isSoldOut;
    this.rentalsLeft = maxRentals;
    this.tieBreakSeed = tieBreakSeed;
    this.maxPriceRatioOf = maxPriceRatioOf;
  }

  /** A machine that boots or was asked for. */
  void addBooting(MachineOffering offering, Resources size) {
    bins.add(new Bin(offering, size, Resources.NONE, true));
    rentalsLeft--;
  }

  /**
   * What a machine that is up has free, or will have by the time that another one boots, and what
   * may start there one after the other until then.
   */
  void addRunning(MachineOffering offering, Resources freeCapacity, Resources sequentialCapacity) {
    bins.add(new Bin(offering, freeCapacity, sequentialCapacity, false));
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
      MachineOffering offering = missingCount > 0 ? findCheapest(job, missingCount, zone) : null;
      if (missingCount > 0 && offering == null) {
        continue;
      }
      double cost = missingCount <= 0 ? 0 : missingCount * costPerTask(job, offering, missingCount);
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
      MachineOffering offering = findCheapest(job, tasksLeft, zone);
      if (offering == null) {
        return;
      }
      tasksLeft -= rentOne(job, offering, tasksLeft);
    }
  }

  private int rentOne(Job job, MachineOffering offering, int taskCount) {
    MachineType type = typeOf(offering);
    Bin bin = new Bin(offering, type.capacity(), Resources.NONE, true);
    bins.add(bin);
    machineCounts.merge(offering, 1, Integer::sum);
    highestPriority.merge(offering, job.spec().priority(), (a, b) -> a.compareTo(b) < 0 ? a : b);
    rentalsLeft--;
    return fillBin(job, bin, taskCount);
  }

  private static int fillBin(Job job, Bin bin, int taskCount) {
    int placed = Math.min(taskCount, bin.freeCapacity.countFitting(job.spec().taskResources()));
    bin.freeCapacity = bin.freeCapacity.minus(job.spec().taskResources().times(placed));
    if (placed < taskCount && job.spec().shape() == JobShape.ARRAY) {
      int placedSequentially =
          Math.min(
              taskCount - placed, bin.sequentialCapacity.countFitting(job.spec().taskResources()));
      bin.sequentialCapacity =
          bin.sequentialCapacity.minus(job.spec().taskResources().times(placedSequentially));
      placed += placedSequentially;
    }
    return placed;
  }

  private boolean isUsable(Job job, Bin bin, boolean urgent, String zone) {
    return (bin.booting || !urgent)
        && suitsAcceleratorNeed(job, typeOf(bin.offering))
        && (zone == null || zone.equals(bin.offering.zone()))
        && job.spec().allowsMachine(bin.offering.type(), bin.offering.zone(), bin.offering.spot());
  }

  /**
   * Dear machines with accelerators were rented for work that waited long, which was then not
   * placed there: one in seven hours of a day's cost.
   */
  private boolean suitsAcceleratorNeed(Job job, MachineType type) {
    return job.spec().taskResources().gpus() > 0
        || type.capacity().gpus() == 0
        || !acceleratorsWanted;
  }

  private int fillBins(Job job, int taskCount, boolean urgent, String zone) {
    int filled = 0;
    for (Bin bin : bins) {
      if (filled < taskCount && isUsable(job, bin, urgent, zone)) {
        filled += fillBin(job, bin, taskCount - filled);
      }
    }
    return filled;
  }

  private int freeTaskSlots(Job job, boolean urgent, String zone) {
    int slots = 0;
    for (Bin bin : bins) {
      slots +=
          isUsable(job, bin, urgent, zone)
              ? bin.freeCapacity.countFitting(job.spec().taskResources())
              : 0;
    }
    return slots;
  }

  /** Room ahead of need: one machine more for tasks like these. */
  void addWarmMachine(Job job) {
    MachineOffering offering = rentalsLeft > 0 ? findCheapest(job, 1, null) : null;
    if (offering != null) {
      rentOne(job, offering, 1);
    }
  }

  private MachineType typeOf(MachineOffering offering) {
    for (MachineType machineType : types) {
      if (machineType.name().equals(offering.type())) {
        return machineType;
      }
    }
    throw new IllegalStateException("unknown type " + offering.type());
  }

  /** What a task costs on the offer, counting boot and fetch. */
  private double costPerTask(Job job, MachineOffering offering, int taskCount) {
    MachineType machineType = typeOf(offering);
    double runSeconds = Math.max(30, job.spec().estimatedRuntimeSeconds());
    double timeFactor =
        (runSeconds
                + machineType.bootSeconds()
                + job.spec().imageGb() / machineType.fetchGbPerSecond())
            / runSeconds;
    int sharingTasks =
        Math.min(machineType.capacity().countFitting(job.spec().taskResources()), taskCount);
    return machineType.priceFor(offering.spot())
        * timeFactor
        / sharingTasks
        * (1 + 0.01 * tieBreak(offering));
  }

  /** The cheapest offer for what waits, in the zone if one is named; null if all is sold out. */
  private MachineOffering findCheapest(Job job, int taskCount, String onlyZone) {
    MachineOffering best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    double maxPriceRatio = maxPriceRatioOf.applyAsDouble(job);
    for (MachineType machineType : types) {
      if (machineType.capacity().countFitting(job.spec().taskResources()) == 0
          || !suitsAcceleratorNeed(job, machineType)) {
        continue;
      }
      for (String zone : machineType.zones()) {
        if (onlyZone != null && !onlyZone.equals(zone)) {
          continue;
        }
        for (boolean spot : new boolean[] {true, false}) {
          MachineOffering offering = new MachineOffering(machineType.name(), zone, spot);
          if (!job.spec().allowsMachine(machineType.name(), zone, spot)
              || isSoldOut.test(offering)
              || !prices.isWorthwhile(job.spec(), machineType, spot, taskCount, maxPriceRatio)) {
            continue;
          }
          double cost = costPerTask(job, offering, taskCount);
          if (cost < bestCost) {
            bestCost = cost;
            best = offering;
          }
        }
      }
    }
    return best;
  }

  /**
   * Between 0 and 1: an order of equal offers that lasts a while, so that requests for one gather.
   */
  private double tieBreak(MachineOffering offering) {
    return (Objects.hash(offering, tieBreakSeed) & 0xffff) / 65536.0;
  }
}
