package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.fleet.MachineTypes;
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
 * Chooses machines for tasks. Of the machines on which a task fits ({@link PlacementConstraints}),
 * it compares a random sample and takes the one with the best score ({@link MachineScorer}). It
 * changes neither jobs nor machines.
 *
 * <p>Called by {@link TaskScheduler} on the event loop's thread, between {@link #beginPass} and the
 * end of the pass. Its state is lost with the process.
 */
public final class BinPacker {
  /**
   * A machine with a lower utilization may be left without new tasks, so that it becomes idle and
   * can be returned.
   */
  private static final double LIGHT_UTILIZATION = 0.5;

  private final PlacementConstraints constraints;
  private final MachineScorer scorer;
  private final Random random;
  private final int sampleSize;
  private final MachineTypes machineTypes;
  private double passStartedAtSeconds;
  private Prices prices;
  private long examinedCount;

  /**
   * Creates a bin packer.
   *
   * @param constraints decides on which machines a task may be placed
   * @param random selects the machines that are compared
   * @param sampleSize the maximum number of machines that are compared for a task
   */
  public BinPacker(
      PlacementConstraints constraints,
      ServiceLevelObjectives objectives,
      MachineTypes machineTypes,
      Random random,
      int sampleSize) {
    this.constraints = constraints;
    this.scorer = new MachineScorer(objectives);
    this.machineTypes = machineTypes;
    this.random = random;
    this.sampleSize = sampleSize;
  }

  /** Sets the time and the pending jobs on which the next decisions are based. */
  void beginPass(double nowSeconds, List<Job> pendingJobs) {
    passStartedAtSeconds = nowSeconds;
    prices = machineTypes.prices();
    constraints.beginPass(pendingJobs);
  }

  /** Returns how many machines were examined so far, a measure of the cost of placement. */
  long machinesExamined() {
    return examinedCount;
  }

  /** Returns those of the machines on which the next task of the job may start now. */
  List<Machine> findFittingMachines(
      Job job,
      Collection<Machine> schedulableMachines,
      ZoneAllowance allowance,
      double nowSeconds) {
    List<Machine> fittingMachines = new ArrayList<>();
    for (Machine machine : schedulableMachines) {
      if (fits(job, machine, allowance, nowSeconds)) {
        fittingMachines.add(machine);
      }
    }
    return fittingMachines;
  }

  /** Returns whether a task of the job may start on the machine now. */
  boolean fits(Job job, Machine machine, ZoneAllowance allowance, double nowSeconds) {
    examinedCount++;
    return constraints.fits(job, machine, allowance, nowSeconds);
  }

  /**
   * Returns whether this machine is lightly used and all pending tasks of the job fit on machines
   * with a higher utilization. Then no task should be placed here, so that the machine becomes idle
   * and can be transferred or returned. If it were filled again after each heartbeat, every machine
   * of a half-used fleet would stay half used.
   */
  boolean hasRoomOnBusierMachines(
      Job job, Machine machine, Collection<Machine> machines, double nowSeconds) {
    double utilization = machine.utilization();
    if (utilization >= LIGHT_UTILIZATION) {
      return false;
    }
    int slotCount = 0;
    int unplacedCount = job.unplacedCount();
    ZoneAllowance allowance = ZoneAllowance.of(job);
    for (Machine other : machines) {
      if (other != machine
          && other.isSchedulable()
          && other.utilization() > utilization
          && fits(job, other, allowance, nowSeconds)) {
        String zone = other.row().zone();
        int slots =
            Math.min(
                other.freeCapacity().countFitting(job.spec().taskResources()),
                allowance.remaining(zone));
        allowance.add(zone, slots);
        slotCount += slots;
        if (slotCount >= unplacedCount) {
          return true;
        }
      }
    }
    return false;
  }

  /**
   * Returns the best machine of a random sample; empty if the list is empty. Reorders the list. The
   * machines must all fit the job.
   */
  Optional<Machine> chooseBest(Job job, List<Machine> fittingMachines) {
    Machine bestMachine = null;
    double bestScore = Double.POSITIVE_INFINITY;
    int sampleCount = Math.min(sampleSize, fittingMachines.size());
    for (int i = 0; i < sampleCount; i++) {
      // A partial shuffle samples without repetition, at a cost that depends only on sampleCount.
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
   * Returns the machines for all of a gang's tasks, one entry for each task; empty if the gang does
   * not fit as a whole. A single-zone gang gets the zone with the least room that suffices, so that
   * zones with more room remain available to wider gangs.
   */
  Optional<List<Machine>> planGang(
      Job job, Collection<Machine> schedulableMachines, double nowSeconds) {
    List<Machine> fittingMachines =
        findFittingMachines(job, schedulableMachines, ZoneAllowance.of(job), nowSeconds);
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
    long bestSlotCount = Long.MAX_VALUE;
    for (List<Machine> zoneMachines : machinesByZone.values()) {
      long slotCount = countSlots(job, zoneMachines);
      if (slotCount >= job.startTogetherCount() && slotCount < bestSlotCount) {
        bestZone = zoneMachines;
        bestSlotCount = slotCount;
      }
    }
    return Optional.ofNullable(bestZone);
  }

  private static long countSlots(Job job, List<Machine> machines) {
    long slotCount = 0;
    for (Machine machine : machines) {
      slotCount += machine.freeCapacity().countFitting(job.spec().taskResources());
    }
    return slotCount;
  }

  private Optional<List<Machine>> planTasks(Job job, List<Machine> fittingMachines) {
    JobSpec spec = job.spec();
    if (countSlots(job, fittingMachines) < job.startTogetherCount()) {
      return Optional.empty();
    }
    List<Machine> chosenMachines = new ArrayList<>();
    ZoneAllowance allowance = ZoneAllowance.of(job);
    Map<Machine, Integer> plannedCountByMachine = new HashMap<>();
    while (chosenMachines.size() < job.startTogetherCount()) {
      Machine machine = chooseBest(job, fittingMachines).orElse(null);
      if (machine == null) {
        return Optional.empty();
      }
      int plannedCount = plannedCountByMachine.getOrDefault(machine, 0);
      if (!allowance.allows(machine.row().zone())
          || !spec.taskResources().times(plannedCount + 1).fitsIn(machine.freeCapacity())) {
        fittingMachines.remove(machine);
        continue;
      }
      chosenMachines.add(machine);
      plannedCountByMachine.put(machine, plannedCount + 1);
      allowance.add(machine.row().zone(), 1);
    }
    return Optional.of(chosenMachines);
  }

  /** Returns whether the job's tasks may start one by one, which is so unless it is a gang. */
  static boolean startsTasksIndividually(Job job) {
    return job.spec().shape() != JobShape.GANG;
  }
}
