package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.fleet.Prices;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Chooses machines for tasks: the best fit among a few sampled ones with room. Plain decisions on
 * what is handed in; nothing is changed here.
 */
public final class BinPacker {
  /** A class of jobs not seen for this long is not kept room for. */
  private static final double RECENT_DEMAND_SECONDS = 600;

  /** Weight of a fetch that takes all of the time within which the job is to start. */
  private static final double URGENT_FETCH_WEIGHT = 1.5;

  private final ServiceLevelObjectives objectives;
  private final RuntimeEstimates runtimeEstimates;
  private final Random random;
  private final int sampleSize;

  /** Classes of jobs with accelerators that were here lately, with what their tasks take. */
  private final Map<String, AcceleratorDemand> recentAcceleratorDemand = new HashMap<>();

  /** Weight of a machine's idleness, below those of price and images. */
  private static final double IDLENESS_WEIGHT = 0.3;

  /** The idle time at which a machine gets all of that weight. */
  private static final double FULL_IDLENESS_SECONDS = 60;

  private double passStartedAtSeconds;
  private Prices prices;
  private boolean acceleratorJobPending;

  /** A machine used less than this may be emptied by and by. */
  private static final double LIGHT_USE_SHARE = 0.5;

  /** Machines looked at so far: what placement costs, for the metrics and the stories. */
  private long examinedCount;

  private record AcceleratorDemand(Resources taskResources, double seenAtSeconds) {}

  /** Compares {@code sampleSize} machines for each task. */
  public BinPacker(
      ServiceLevelObjectives objectives,
      RuntimeEstimates runtimeEstimates,
      Random random,
      int sampleSize) {
    this.objectives = objectives;
    this.runtimeEstimates = runtimeEstimates;
    this.random = random;
    this.sampleSize = sampleSize;
  }

  /** What the next decisions go by: the time, prices, and the jobs that wait. */
  void beginPass(double nowSeconds, Prices currentPrices, List<Job> pendingJobs) {
    passStartedAtSeconds = nowSeconds;
    prices = currentPrices;
    acceleratorJobPending = pendingJobs.stream().anyMatch(j -> j.spec().taskResources().gpus() > 0);
  }

  long machinesExamined() {
    return examinedCount;
  }

  /** A job waits or runs here; work without accelerators leaves room for its class from now on. */
  void recordDemand(JobSpec job, double nowSeconds) {
    if (job.taskResources().gpus() > 0) {
      recentAcceleratorDemand.put(
          job.jobClass(), new AcceleratorDemand(job.taskResources(), nowSeconds));
    }
  }

  public boolean hasRecentAcceleratorDemand(double nowSeconds) {
    return recentAcceleratorDemand.values().stream()
        .anyMatch(a -> nowSeconds - a.seenAtSeconds() < RECENT_DEMAND_SECONDS);
  }

  /** The machines among {@code schedulableMachines} on which a next task of the job could start. */
  List<Machine> findFittingMachines(
      Job job,
      Collection<Machine> schedulableMachines,
      Map<String, Integer> placedCountByZone,
      double nowSeconds) {
    List<Machine> fittingMachines = new ArrayList<>();
    for (Machine machine : schedulableMachines) {
      if (fits(job, machine, placedCountByZone, nowSeconds)) {
        fittingMachines.add(machine);
      }
    }
    return fittingMachines;
  }

  boolean fits(
      Job job, Machine machine, Map<String, Integer> placedCountByZone, double nowSeconds) {
    examinedCount++;
    return job.spec().taskResources().fitsIn(machine.freeCapacity())
        && (machine.reservedForJob() == null
            || machine.reservedForJob() == job
            || nowSeconds > machine.reservedUntilSeconds())
        && nowSeconds > machine.reservedForTransferUntilSeconds()
        && !(job.bestEffort() && nowSeconds < machine.bestEffortBarredUntilSeconds())
        && isAllowed(job, machine, placedCountByZone)
        && leavesRoomForAccelerators(job, machine, nowSeconds)
        && isAffordable(job, machine, nowSeconds);
  }

  /** Whether a task of the job could start there if there were room. */
  boolean isSuitable(Job job, Machine machine, double nowSeconds) {
    return machine.type().suitsAcceleratorNeed(job.spec().taskResources())
        && isAllowed(job, machine, countPlacedByZone(job))
        && isAffordable(job, machine, nowSeconds);
  }

  /**
   * Whether all that waits of the job has room on machines that are used more than this one. Then
   * it is left alone, so that it falls idle and can be passed over or returned: filled again after
   * each report, every machine of a half-used fleet stayed half used.
   */
  boolean hasRoomOnFullerMachines(
      Job job, Machine machine, Collection<Machine> machines, double nowSeconds) {
    double usedShare = machine.utilization();
    if (usedShare >= LIGHT_USE_SHARE) {
      return false;
    }
    int roomCount = 0;
    int unplacedCount = job.unplacedCount();
    Map<String, Integer> placedCountByZone = countPlacedByZone(job);
    for (Machine other : machines) {
      if (other != machine
          && other.isSchedulable()
          && other.utilization() > usedShare
          && fits(job, other, placedCountByZone, nowSeconds)) {
        roomCount += other.freeCapacity().countFitting(job.spec().taskResources());
        if (roomCount >= unplacedCount) {
          return true;
        }
      }
    }
    return false;
  }

  /** The best of a few sampled machines. The list's order is lost; null if it is empty. */
  Machine chooseBest(Job job, List<Machine> fittingMachines) {
    Machine bestMachine = null;
    double bestScore = Double.POSITIVE_INFINITY;
    int sampleCount = Math.min(sampleSize, fittingMachines.size());
    for (int i = 0; i < sampleCount; i++) {
      // The first steps of a shuffle: a sample without repetition at the cost of the sample alone.
      Collections.swap(fittingMachines, i, i + random.nextInt(fittingMachines.size() - i));
      Machine machine = fittingMachines.get(i);
      double score = scoreMachine(job, machine);
      if (score < bestScore) {
        bestScore = score;
        bestMachine = machine;
      }
    }
    examinedCount += sampleCount;
    return bestMachine;
  }

  /** How many of the job's placed tasks are in each zone; empty where zones do not matter. */
  static Map<String, Integer> countPlacedByZone(Job job) {
    if (!job.spec().singleZone() && !job.spec().spreadAcrossZones()) {
      return Map.of();
    }
    Map<String, Integer> placedCountByZone = new HashMap<>();
    job.placements()
        .forEach(p -> placedCountByZone.merge(p.machine().row().zone(), 1, Integer::sum));
    return placedCountByZone;
  }

  /**
   * Machines for all of a gang's tasks at once, one entry a task; null if they do not fit whole.
   * Gangs of one zone get the zone whose room exceeds their need the least: a wide one later finds
   * the widest room whole.
   */
  List<Machine> planGang(Job job, Collection<Machine> schedulableMachines, double nowSeconds) {
    List<Machine> fittingMachines =
        findFittingMachines(job, schedulableMachines, Map.of(), nowSeconds);
    if (!job.spec().singleZone()) {
      return planTasks(job, fittingMachines);
    }
    Map<String, List<Machine>> machinesByZone = new HashMap<>();
    for (Machine machine : fittingMachines) {
      machinesByZone.computeIfAbsent(machine.row().zone(), z -> new ArrayList<>()).add(machine);
    }
    List<Machine> bestZone = null;
    int bestRoomCount = Integer.MAX_VALUE;
    for (List<Machine> zoneMachines : machinesByZone.values()) {
      int roomCount = 0;
      for (Machine machine : zoneMachines) {
        roomCount += machine.freeCapacity().countFitting(job.spec().taskResources());
      }
      if (roomCount >= job.spec().taskCount() && roomCount < bestRoomCount) {
        bestZone = zoneMachines;
        bestRoomCount = roomCount;
      }
    }
    return bestZone == null ? null : planTasks(job, bestZone);
  }

  private List<Machine> planTasks(Job job, List<Machine> fittingMachines) {
    List<Machine> chosenMachines = new ArrayList<>();
    Map<String, Integer> placedCountByZone = new HashMap<>();
    Map<Machine, Integer> plannedCountByMachine = new HashMap<>();
    while (chosenMachines.size() < job.spec().taskCount()) {
      Machine machine = chooseBest(job, fittingMachines);
      if (machine == null) {
        return null;
      }
      int plannedCount = plannedCountByMachine.getOrDefault(machine, 0);
      boolean zoneFull =
          job.spec().spreadAcrossZones()
              && placedCountByZone.getOrDefault(machine.row().zone(), 0)
                  >= job.spec().maxTasksPerZone();
      if (zoneFull
          || !job.spec().taskResources().times(plannedCount + 1).fitsIn(machine.freeCapacity())) {
        fittingMachines.remove(machine);
        continue;
      }
      chosenMachines.add(machine);
      plannedCountByMachine.put(machine, plannedCount + 1);
      placedCountByZone.merge(machine.row().zone(), 1, Integer::sum);
    }
    return chosenMachines;
  }

  static boolean isAllowed(Job job, Machine machine, Map<String, Integer> placedCountByZone) {
    JobSpec spec = job.spec();
    if (!spec.allowsMachine(machine.row().type(), machine.row().zone(), machine.row().spot())) {
      return false;
    }
    if (job.failureHistory().avoidsMachine(machine.id())) {
      return false;
    }
    if (spec.singleZone()
        && !placedCountByZone.isEmpty()
        && !(placedCountByZone.size() == 1
            && placedCountByZone.containsKey(machine.row().zone()))) {
      return false;
    }
    return !spec.spreadAcrossZones()
        || placedCountByZone.getOrDefault(machine.row().zone(), 0) < spec.maxTasksPerZone();
  }

  /** Work without accelerators takes only what work with accelerators seen lately cannot use. */
  private boolean leavesRoomForAccelerators(Job job, Machine machine, double nowSeconds) {
    if (machine.type().suitsAcceleratorNeed(job.spec().taskResources())) {
      return true;
    }
    if (job.isAtLastResort(nowSeconds) && !acceleratorJobPending) {
      // Kept for work that may come, rooms stayed empty while this waited.
      return true;
    }
    Resources room = machine.freeCapacity();
    Resources remaining = room.minus(job.spec().taskResources());
    for (AcceleratorDemand demand : recentAcceleratorDemand.values()) {
      if (nowSeconds - demand.seenAtSeconds() < RECENT_DEMAND_SECONDS
          && remaining.countFitting(demand.taskResources())
              < room.countFitting(demand.taskResources())) {
        return false;
      }
    }
    return true;
  }

  /** A dear machine is not kept from being returned by work that could run on a cheap one. */
  private boolean isAffordable(Job job, Machine machine, double nowSeconds) {
    int sharingTaskCount = job.unplacedCount() + machine.placements().size();
    double worth =
        job.worthAt(
            nowSeconds,
            () ->
                objectives.maxPriceRatio(
                    job, nowSeconds, runtimeEstimates.expectedRuntimeSeconds(job.spec())));
    // Late small tasks in the processors left over kept dear machines rented that had no other use.
    boolean usesLeftoverCpus =
        !machine.type().suitsAcceleratorNeed(job.spec().taskResources())
            && hasRecentAcceleratorDemand(nowSeconds);
    if (!usesLeftoverCpus && job.bestEffort()) {
      // It may use what is there; it does not keep an ordinary machine from being returned.
      return true;
    }
    if (!usesLeftoverCpus
        && prices.isWorthwhile(
            job.spec(), machine.type(), machine.row().spot(), sharingTaskCount, worth)) {
      return true;
    }
    // It is kept by other work anyway.
    for (TaskPlacement placement : machine.placements().values()) {
      if (placement.job().spec().taskResources().gpus() > job.spec().taskResources().gpus()) {
        return true;
      }
    }
    return false;
  }

  /** Lower is better: little left over, no idle accelerators, the image at hand. */
  private double scoreMachine(Job job, Machine machine) {
    Resources capacity = machine.type().capacity();
    Resources remaining = machine.freeCapacity().minus(job.spec().taskResources());
    double score =
        remaining.cpus() / capacity.cpus()
            + 0.6
                * prices.priceRatio(
                    job.spec(), machine.type(), machine.row().spot(), Integer.MAX_VALUE);
    if (capacity.gpus() > 0) {
      score += job.spec().taskResources().gpus() > 0 ? remaining.gpus() / capacity.gpus() : 1;
    }
    if (machine.isEmpty()) {
      // The one that fell idle last: taken at random, each of many idle machines was used again
      // just before it would have been returned.
      score +=
          IDLENESS_WEIGHT
              * Math.min(
                  1, (passStartedAtSeconds - machine.idleSinceSeconds()) / FULL_IDLENESS_SECONDS);
    }
    if (!machine.hasImage(job.spec().image())) {
      double fetchSeconds = job.spec().imageGb() / machine.type().fetchGbPerSecond();
      score +=
          Math.min(1, fetchSeconds / 20)
              + URGENT_FETCH_WEIGHT
                  * Math.min(1, fetchSeconds / objectives.startObjectiveSeconds(job.spec()));
    }
    return score;
  }

  /** Whether the job's tasks start one by one. */
  static boolean startsTaskByTask(Job job) {
    return job.spec().shape() != JobShape.GANG;
  }
}
