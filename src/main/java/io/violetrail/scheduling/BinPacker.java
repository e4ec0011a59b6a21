package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.fleet.Prices;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses machines for tasks: the best ({@link MachineScorer}) of a few sampled machines that fit
 * ({@link PlacementConstraints}). It changes neither jobs nor machines.
 *
 * <p>Called by {@link TaskScheduler} on the event loop's thread, between {@link #beginPass} and the
 * end of a pass. Nothing survives the process.
 */
public final class BinPacker {
  /** A machine used less than this may be emptied, so that it can be returned. */
  private static final double LIGHT_USE_SHARE = 0.5;

  private final RecentAcceleratorDemand acceleratorDemand = new RecentAcceleratorDemand();
  private final PlacementConstraints constraints;
  private final MachineScorer scorer;
  private final Random random;
  private final int sampleSize;
  private double passStartedAtSeconds;
  private Prices prices;
  private long examinedCount;

  /**
   * Creates a bin packer without any demand recorded.
   *
   * @param random samples machines
   * @param sampleSize how many machines are compared for each task
   */
  public BinPacker(
      ServiceLevelObjectives objectives,
      RuntimeEstimates runtimeEstimates,
      Random random,
      int sampleSize) {
    this.constraints = new PlacementConstraints(objectives, runtimeEstimates, acceleratorDemand);
    this.scorer = new MachineScorer(objectives);
    this.random = random;
    this.sampleSize = sampleSize;
  }

  /** Sets what the next decisions are based on: the time, prices, and the pending jobs. */
  void beginPass(double nowSeconds, Prices currentPrices, List<Job> pendingJobs) {
    passStartedAtSeconds = nowSeconds;
    prices = currentPrices;
    constraints.beginPass(currentPrices, pendingJobs);
  }

  /** Machines examined so far: what placement costs, for metrics and tests. */
  long machinesExamined() {
    return examinedCount;
  }

  /** A job is pending; work without accelerators leaves room for its class from now on. */
  void recordDemand(JobSpec job, double nowSeconds) {
    acceleratorDemand.record(job, nowSeconds);
  }

  /** Whether a job with accelerators was pending here lately. */
  public boolean hasRecentAcceleratorDemand(double nowSeconds) {
    return acceleratorDemand.isPresent(nowSeconds);
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

  /** Whether a task of the job may start on the machine now. */
  boolean fits(
      Job job, Machine machine, Map<String, Integer> placedCountByZone, double nowSeconds) {
    examinedCount++;
    return constraints.fits(job, machine, placedCountByZone, nowSeconds);
  }

  /** Whether a task of the job could start there if there were room. */
  boolean isSuitable(Job job, Machine machine, double nowSeconds) {
    return constraints.isSuitable(job, machine, nowSeconds);
  }

  /**
   * Whether all pending tasks of the job have room on machines that are used more than this one.
   * Then this one is left alone, so that it becomes idle and can be transferred or returned: if it
   * were filled again after each report, every machine of a half-used fleet would stay half used.
   */
  boolean hasRoomOnFullerMachines(
      Job job, Machine machine, Collection<Machine> machines, double nowSeconds) {
    double usedShare = machine.utilization();
    if (usedShare >= LIGHT_USE_SHARE) {
      return false;
    }
    int roomCount = 0;
    int unplacedCount = job.unplacedCount();
    Map<String, Integer> placedCountByZone = PlacementConstraints.countPlacedByZone(job);
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

  /** The best of a few sampled machines; empty if there is none. The list's order is lost. */
  Optional<Machine> chooseBest(Job job, List<Machine> fittingMachines) {
    Machine bestMachine = null;
    double bestScore = Double.POSITIVE_INFINITY;
    int sampleCount = Math.min(sampleSize, fittingMachines.size());
    for (int i = 0; i < sampleCount; i++) {
      // The first steps of a shuffle: a sample without repetition at the cost of the sample alone.
      Collections.swap(fittingMachines, i, i + random.nextInt(fittingMachines.size() - i));
      Machine machine = fittingMachines.get(i);
      double score = scorer.score(job, machine, prices, passStartedAtSeconds);
      if (score < bestScore) {
        bestScore = score;
        bestMachine = machine;
      }
    }
    examinedCount += sampleCount;
    return Optional.ofNullable(bestMachine);
  }

  /**
   * Machines for all of a gang's tasks at once, one entry for each task; empty if the gang does not
   * fit as a whole. A gang of a single zone gets the zone whose room exceeds its need the least, so
   * that the widest room stays whole for a wide gang.
   */
  Optional<List<Machine>> planGang(
      Job job, Collection<Machine> schedulableMachines, double nowSeconds) {
    List<Machine> fittingMachines =
        findFittingMachines(job, schedulableMachines, Map.of(), nowSeconds);
    return job.spec().singleZone()
        ? findTightestZone(job, fittingMachines).flatMap(zone -> planTasks(job, zone))
        : planTasks(job, fittingMachines);
  }

  private static Optional<List<Machine>> findTightestZone(Job job, List<Machine> fittingMachines) {
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
    return Optional.ofNullable(bestZone);
  }

  private Optional<List<Machine>> planTasks(Job job, List<Machine> fittingMachines) {
    JobSpec spec = job.spec();
    List<Machine> chosenMachines = new ArrayList<>();
    Map<String, Integer> plannedCountByZone = new HashMap<>();
    Map<Machine, Integer> plannedCountByMachine = new HashMap<>();
    while (chosenMachines.size() < spec.taskCount()) {
      Machine machine = chooseBest(job, fittingMachines).orElse(null);
      if (machine == null) {
        return Optional.empty();
      }
      int plannedCount = plannedCountByMachine.getOrDefault(machine, 0);
      boolean zoneFull =
          spec.spreadAcrossZones()
              && plannedCountByZone.getOrDefault(machine.row().zone(), 0) >= spec.maxTasksPerZone();
      if (zoneFull
          || !spec.taskResources().times(plannedCount + 1).fitsIn(machine.freeCapacity())) {
        fittingMachines.remove(machine);
        continue;
      }
      chosenMachines.add(machine);
      plannedCountByMachine.put(machine, plannedCount + 1);
      plannedCountByZone.merge(machine.row().zone(), 1, Integer::sum);
    }
    return Optional.of(chosenMachines);
  }

  /** Whether the job's tasks start one by one. */
  static boolean startsTaskByTask(Job job) {
    return job.spec().shape() != JobShape.GANG;
  }
}
