package io.violetrail.scheduling;

import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.fleet.Machine;
import io.violetrail.model.JobShape;
import io.violetrail.model.Resources;
import io.violetrail.ownership.OwnedEntity;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Preempts less urgent tasks where that makes room for a more urgent job with the least work lost.
 *
 * <p>Called on the event loop's thread; has no state. The reservations that it makes are kept in
 * {@link Machine} and are lost with the process.
 */
public final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

  /**
   * Room that is being made is reserved for this long beyond the time to save a checkpoint; two
   * heartbeats arrive meanwhile.
   */
  static final double RESERVATION_SECONDS = 6;

  /** The search for victims is expensive, so it is repeated for a job no sooner than after this. */
  private static final double RETRY_SECONDS = 1;

  /** An accelerator counts like so many cores in what is lost. */
  private static final double CPUS_PER_GPU = 8;

  private final Consumer<TaskPlacement> onStopRequested;

  /**
   * Creates a preemption that stops tasks through a callback.
   *
   * @param onStopRequested called with each placement whose stop is requested
   */
  public Preemption(Consumer<TaskPlacement> onStopRequested) {
    this.onStopRequested = onStopRequested;
  }

  /** A machine that would take some tasks of the job, after stopping some of others. */
  private record PreemptionCandidate(
      Machine machine, int taskCount, List<TaskPlacement> victims, double lostCpuSeconds) {}

  /**
   * Makes room for a pending job: for one task of an array, and for a gang as a whole or not at
   * all, since gangs that reserve parts of each other's room would all wait. The job is placed once
   * the preempted tasks are gone; until then the room is reserved for it.
   */
  void preemptFor(OwnedEntity entity, Job job, double nowSeconds) {
    if (!job.mayPreempt(nowSeconds) || !entity.hasPlacedTaskBelow(job.spec().priority())) {
      return;
    }
    job.preemptNotBefore(nowSeconds + RETRY_SECONDS);
    if (hasReservation(entity, job, nowSeconds)) {
      return;
    }
    Map<String, List<PreemptionCandidate>> candidatesByZone = new HashMap<>();
    for (Machine machine : entity.machines().values()) {
      PreemptionCandidate candidate = findCandidate(job, machine, nowSeconds);
      if (candidate != null) {
        String zone = job.spec().singleZone() ? machine.row().zone() : "";
        candidatesByZone.computeIfAbsent(zone, z -> new ArrayList<>()).add(candidate);
      }
    }
    int neededTaskCount = job.spec().shape() == JobShape.GANG ? job.spec().taskCount() : 1;
    List<PreemptionCandidate> bestCandidates = List.of();
    double bestLostCpuSeconds = Double.POSITIVE_INFINITY;
    for (List<PreemptionCandidate> zone : candidatesByZone.values()) {
      List<PreemptionCandidate> cheapest = selectCheapest(zone, neededTaskCount);
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

  /** The candidates with the least loss per task that take so many tasks; empty if all do not. */
  private static List<PreemptionCandidate> selectCheapest(
      List<PreemptionCandidate> candidates, int neededTaskCount) {
    candidates.sort(
        Comparator.comparingDouble(
            candidate -> candidate.lostCpuSeconds() / candidate.taskCount()));
    List<PreemptionCandidate> chosen = new ArrayList<>();
    int coveredTaskCount = 0;
    for (PreemptionCandidate candidate : candidates) {
      if (coveredTaskCount >= neededTaskCount) {
        break;
      }
      chosen.add(candidate);
      coveredTaskCount += candidate.taskCount();
    }
    return coveredTaskCount >= neededTaskCount ? chosen : List.of();
  }

  private void preemptAndReserve(
      OwnedEntity entity, Job job, List<PreemptionCandidate> candidates, double nowSeconds) {
    double graceSeconds = 0;
    int stoppedCount = 0;
    for (PreemptionCandidate candidate : candidates) {
      for (TaskPlacement placement : candidate.victims()) {
        graceSeconds = Math.max(graceSeconds, preempt(entity, placement, nowSeconds));
        stoppedCount++;
      }
    }
    for (PreemptionCandidate candidate : candidates) {
      candidate.machine().reserve(job, nowSeconds + graceSeconds + RESERVATION_SECONDS);
    }
    LOG.info(
        "job {}: {} less urgent tasks preempted on {} machines",
        job.spec().id(),
        stoppedCount,
        candidates.size());
  }

  /**
   * Preempts a task, or its whole gang, and lets it save a checkpoint if it can.
   *
   * @return how long the saving may take, in seconds
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

  /** What the machine could take of the job after preemptions; null if nothing. */
  private static PreemptionCandidate findCandidate(Job job, Machine machine, double nowSeconds) {
    Resources taskResources = job.spec().taskResources();
    boolean reserved =
        machine.reservedForJob() != null && nowSeconds <= machine.reservedUntilSeconds();
    if (reserved
        || !machine.isSchedulable()
        || !taskResources.fitsIn(machine.type().capacity())
        || !PlacementConstraints.isAllowed(job, machine, Map.of())) {
      return null;
    }
    if (machine.type().capacity().gpus() > 0 && taskResources.gpus() == 0) {
      // Work without accelerators is not placed there either while others may need them.
      return null;
    }
    // The time to fetch the image counts like work lost.
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

  /** The least loss that makes room for one task; null if all less urgent tasks do not. */
  private static PreemptionCandidate findVictims(
      Job job, Machine machine, double nowSeconds, double fetchCpuSeconds) {
    Resources taskResources = job.spec().taskResources();
    List<TaskPlacement> lessUrgent = new ArrayList<>();
    Resources room = machine.freeCapacity();
    for (TaskPlacement placement : machine.placements().values()) {
      if (placement.job().spec().priority().compareTo(job.spec().priority()) > 0) {
        lessUrgent.add(placement);
        room = room.plus(placement.job().spec().taskResources());
      }
    }
    if (!taskResources.fitsIn(room)) {
      return null;
    }
    lessUrgent.sort(Comparator.comparingDouble(p -> lostCpuSeconds(p, nowSeconds)));
    room = machine.freeCapacity();
    List<TaskPlacement> victims = new ArrayList<>();
    double loss = 0;
    for (TaskPlacement placement : lessUrgent) {
      if (taskResources.fitsIn(room)) {
        break;
      }
      room = room.plus(placement.job().spec().taskResources());
      victims.add(placement);
      loss += lostCpuSeconds(placement, nowSeconds);
    }
    return new PreemptionCandidate(machine, 1, victims, loss + fetchCpuSeconds);
  }

  /**
   * Work lost if all of a machine's tasks are stopped, and gangs with all their tasks, in seconds
   * of one core.
   */
  public static double lostCpuSeconds(Machine machine, double nowSeconds) {
    double totalCpuSeconds = 0;
    for (TaskPlacement placement : machine.placements().values()) {
      List<TaskPlacement> stopped =
          placement.job().spec().shape() == JobShape.GANG
              ? placement.job().placements()
              : List.of(placement);
      for (TaskPlacement gangPlacement : stopped) {
        totalCpuSeconds += lostCpuSeconds(gangPlacement, nowSeconds);
      }
    }
    return totalCpuSeconds;
  }

  /** Work lost with a task, in seconds of one core; little with checkpoints. */
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
