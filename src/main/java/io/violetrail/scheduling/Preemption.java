package io.violetrail.scheduling;

import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.fleet.Machine;
import io.violetrail.model.JobShape;
import io.violetrail.model.Resources;
import io.violetrail.ownership.OwnedEntity;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Preempts tasks of lower priority to make room for a job of higher priority. Chooses the tasks
 * whose preemption loses the least work, and reserves the freed room for the job.
 *
 * <p>Called on the event loop's thread; has no state. The reservations are kept in {@link Machine}
 * and are lost with the process.
 */
public final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

  /**
   * How long a reservation lasts beyond the grace period for saving checkpoints. Two heartbeats
   * arrive within this time.
   */
  static final double RESERVATION_SECONDS = 6;

  /** The minimum interval between two searches for victims for one job; a search is expensive. */
  private static final double RETRY_SECONDS = 1;

  /** The number of cores to which one accelerator is equivalent when lost work is computed. */
  private static final double CPUS_PER_GPU = 8;

  private final PlacementConstraints constraints;
  private final Consumer<TaskPlacement> onStopRequested;

  /**
   * Creates a preemption.
   *
   * @param constraints decides on which machines room may be made for a job
   * @param onStopRequested called with each placement whose stop is requested
   */
  public Preemption(PlacementConstraints constraints, Consumer<TaskPlacement> onStopRequested) {
    this.constraints = constraints;
    this.onStopRequested = onStopRequested;
  }

  /**
   * A machine that has room for {@code taskCount} tasks of the job once the victims are stopped.
   */
  private record PreemptionCandidate(
      Machine machine, int taskCount, List<TaskPlacement> victims, double lostCpuSeconds) {}

  /**
   * Makes room for a pending job and reserves it until the preempted tasks are gone and the job can
   * be placed. For a gang, room is made for all of its tasks or not at all, since gangs that each
   * reserve a part of the room would all wait for each other. For other jobs, room is made for one
   * task.
   *
   * @param allowance the zones in which the job's next tasks may start
   */
  void preemptFor(OwnedEntity entity, Job job, ZoneAllowance allowance, double nowSeconds) {
    if (!job.mayPreempt(nowSeconds)
        || !entity.hasPlacedTaskOfLowerPriority(job.spec().priority())) {
      return;
    }
    job.deferPreemptionUntil(nowSeconds + RETRY_SECONDS);
    if (hasReservation(entity, job, nowSeconds)) {
      return;
    }
    Map<String, List<PreemptionCandidate>> candidatesByZone = new HashMap<>();
    for (Machine machine : entity.machines().values()) {
      PreemptionCandidate candidate =
          constraints.isSuitable(job, machine, allowance, nowSeconds)
              ? findCandidate(job, machine, nowSeconds)
              : null;
      if (candidate != null) {
        String zone = job.spec().singleZone() ? machine.row().zone() : "";
        candidatesByZone.computeIfAbsent(zone, z -> new ArrayList<>()).add(candidate);
      }
    }
    int neededTaskCount = job.startTogetherCount();
    List<PreemptionCandidate> bestCandidates = List.of();
    double bestLostCpuSeconds = Double.POSITIVE_INFINITY;
    for (List<PreemptionCandidate> zoneCandidates : candidatesByZone.values()) {
      List<PreemptionCandidate> cheapest =
          selectCheapest(zoneCandidates, neededTaskCount, allowance.copy());
      double lostCpuSeconds = 0;
      for (PreemptionCandidate chosen : cheapest) {
        lostCpuSeconds += chosen.lostCpuSeconds();
      }
      if (!cheapest.isEmpty() && lostCpuSeconds < bestLostCpuSeconds) {
        bestCandidates = cheapest;
        bestLostCpuSeconds = lostCpuSeconds;
      }
    }
    if (!bestCandidates.isEmpty()) {
      preemptAndReserve(entity, job, bestCandidates, nowSeconds);
    }
  }

  private static boolean hasReservation(OwnedEntity entity, Job job, double nowSeconds) {
    for (Machine machine : entity.machines().values()) {
      if (machine.reservedForJob() == job && nowSeconds <= machine.reservedUntilSeconds()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Selects candidates in the order of lost work per task until they have room for {@code
   * neededTaskCount} tasks. Returns an empty list if all candidates together have too little room.
   *
   * @param allowance the zones in which the job's next tasks may start; the chosen ones are added
   */
  private static List<PreemptionCandidate> selectCheapest(
      List<PreemptionCandidate> candidates, int neededTaskCount, ZoneAllowance allowance) {
    candidates.sort(
        Comparator.comparingDouble(
            candidate -> candidate.lostCpuSeconds() / candidate.taskCount()));
    List<PreemptionCandidate> chosen = new ArrayList<>();
    int coveredTaskCount = 0;
    for (PreemptionCandidate candidate : candidates) {
      if (coveredTaskCount >= neededTaskCount) {
        break;
      }
      String zone = candidate.machine().row().zone();
      int usableTaskCount = Math.min(candidate.taskCount(), allowance.remaining(zone));
      if (usableTaskCount > 0) {
        chosen.add(candidate);
        allowance.add(zone, usableTaskCount);
        coveredTaskCount += usableTaskCount;
      }
    }
    return coveredTaskCount >= neededTaskCount ? chosen : List.of();
  }

  private void preemptAndReserve(
      OwnedEntity entity, Job job, List<PreemptionCandidate> candidates, double nowSeconds) {
    double graceSeconds = 0;
    int preemptedCount = 0;
    for (PreemptionCandidate candidate : candidates) {
      for (TaskPlacement placement : candidate.victims()) {
        graceSeconds = Math.max(graceSeconds, preempt(entity, placement, nowSeconds));
        preemptedCount++;
      }
    }
    for (PreemptionCandidate candidate : candidates) {
      candidate.machine().reserve(job, nowSeconds + graceSeconds + RESERVATION_SECONDS);
    }
    LOG.info(
        "job {}: preempted {} tasks of lower priority on {} machines",
        job.spec().id(),
        preemptedCount,
        candidates.size());
  }

  /**
   * Preempts a task, or its whole gang. Tasks with checkpoints get a grace period to save one; a
   * task whose launch was not sent yet is removed without a stop.
   *
   * @return the grace period in seconds; 0 without checkpoints
   */
  double preempt(OwnedEntity entity, TaskPlacement placement, double nowSeconds) {
    double saveSeconds =
        placement.job().spec().checkpointIntervalSeconds() > 0
            ? placement.job().spec().checkpointSaveSeconds()
            : 0;
    if (placement.job().spec().shape() == JobShape.GANG) {
      for (TaskPlacement gangPlacement : placement.job().placements()) {
        gangPlacement.requestStop(saveSeconds);
        onStopRequested.accept(gangPlacement);
      }
    } else if (placement.isRevocable()) {
      entity.removePlacement(placement, nowSeconds, TerminationEvidence.NEVER_SENT);
    } else {
      placement.requestStop(saveSeconds);
      onStopRequested.accept(placement);
    }
    return saveSeconds;
  }

  /**
   * Returns the machine as a candidate with its current free room or, if no task of the job fits
   * there, with the victims for one task. Returns null if the machine is not eligible, or if there
   * is no room even after preempting all tasks of lower priority.
   */
  private static PreemptionCandidate findCandidate(Job job, Machine machine, double nowSeconds) {
    Resources taskResources = job.spec().taskResources();
    boolean reserved =
        machine.reservedForJob() != null && nowSeconds <= machine.reservedUntilSeconds();
    if (reserved || !machine.isSchedulable() || !taskResources.fitsIn(machine.type().capacity())) {
      return null;
    }
    // The time to fetch the image counts as lost work.
    double fetchCpuSeconds =
        machine.hasImage(job.spec().image())
            ? 0
            : job.spec().imageGb() / machine.type().fetchGbPerSecond() * taskResources.cpus();
    int freeTaskCount = machine.freeCapacity().countFitting(taskResources);
    if (freeTaskCount > 0) {
      return new PreemptionCandidate(
          machine, freeTaskCount, List.of(), fetchCpuSeconds * freeTaskCount);
    }
    return findVictims(job, machine, nowSeconds, fetchCpuSeconds);
  }

  /**
   * Returns the victims for one task of the job, those with the least lost work first; null if
   * there is no room even after preempting all tasks of lower priority.
   */
  private static PreemptionCandidate findVictims(
      Job job, Machine machine, double nowSeconds, double fetchCpuSeconds) {
    Resources taskResources = job.spec().taskResources();
    List<TaskPlacement> lowerPriority = new ArrayList<>();
    Resources capacityAfterPreemption = machine.freeCapacity();
    for (TaskPlacement placement : machine.placements().values()) {
      if (!placement.isExitReported()
          && placement.job().spec().priority().compareTo(job.spec().priority()) > 0) {
        lowerPriority.add(placement);
        capacityAfterPreemption =
            capacityAfterPreemption.plus(placement.job().spec().taskResources());
      }
    }
    if (!taskResources.fitsIn(capacityAfterPreemption)) {
      return null;
    }
    lowerPriority.sort(
        Comparator.comparingDouble(placement -> lostCpuSeconds(placement, nowSeconds)));
    capacityAfterPreemption = machine.freeCapacity();
    List<TaskPlacement> victims = new ArrayList<>();
    double totalLostCpuSeconds = 0;
    for (TaskPlacement placement : lowerPriority) {
      if (taskResources.fitsIn(capacityAfterPreemption)) {
        break;
      }
      capacityAfterPreemption =
          capacityAfterPreemption.plus(placement.job().spec().taskResources());
      victims.add(placement);
      totalLostCpuSeconds += lostCpuSeconds(placement, nowSeconds);
    }
    return new PreemptionCandidate(machine, 1, victims, totalLostCpuSeconds + fetchCpuSeconds);
  }

  /**
   * Returns the work that is lost if all tasks of a machine are stopped, in core-seconds. A gang
   * with tasks there is counted once, with all of its tasks, since all of them are stopped.
   */
  public static double lostCpuSeconds(Machine machine, double nowSeconds) {
    double totalCpuSeconds = 0;
    Set<Job> countedGangs = new HashSet<>();
    for (TaskPlacement placement : machine.placements().values()) {
      Job job = placement.job();
      if (job.spec().shape() != JobShape.GANG) {
        totalCpuSeconds += lostCpuSeconds(placement, nowSeconds);
      } else if (countedGangs.add(job)) {
        for (TaskPlacement gangPlacement : job.placements()) {
          totalCpuSeconds += lostCpuSeconds(gangPlacement, nowSeconds);
        }
      }
    }
    return totalCpuSeconds;
  }

  /**
   * Returns the work that is lost if a task is stopped, in core-seconds. For a task with
   * checkpoints that is at most the time to save one.
   */
  private static double lostCpuSeconds(TaskPlacement placement, double nowSeconds) {
    double runSeconds = nowSeconds - placement.placedAtSeconds();
    double lostSeconds =
        placement.job().spec().checkpointIntervalSeconds() > 0
            ? Math.min(runSeconds, placement.job().spec().checkpointSaveSeconds())
            : runSeconds;
    return lostSeconds
        * (placement.job().spec().taskResources().cpus()
            + CPUS_PER_GPU * placement.job().spec().taskResources().gpus());
  }
}
