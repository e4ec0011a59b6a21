package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.fleet.Prices;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Resources;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whether a task of a job may be placed on a machine: room, reservations, the job's constraints on
 * types, zones and spot machines, room left for accelerators, and the price.
 *
 * <p>Part of {@link BinPacker}, used on the event loop's thread; nothing survives the process.
 */
final class PlacementConstraints {
  private final ServiceLevelObjectives objectives;
  private final RuntimeEstimates runtimeEstimates;
  private final RecentAcceleratorDemand acceleratorDemand;
  private Prices prices;
  private boolean acceleratorJobPending;

  PlacementConstraints(
      ServiceLevelObjectives objectives,
      RuntimeEstimates runtimeEstimates,
      RecentAcceleratorDemand acceleratorDemand) {
    this.objectives = objectives;
    this.runtimeEstimates = runtimeEstimates;
    this.acceleratorDemand = acceleratorDemand;
  }

  /** Sets what the next decisions are based on. */
  void beginPass(Prices currentPrices, List<Job> pendingJobs) {
    prices = currentPrices;
    acceleratorJobPending =
        pendingJobs.stream().anyMatch(job -> job.spec().taskResources().gpus() > 0);
  }

  /** Whether a task of the job may start there now. */
  boolean fits(
      Job job, Machine machine, Map<String, Integer> placedCountByZone, double nowSeconds) {
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
    return (machine.type().capacity().gpus() == 0 || job.spec().taskResources().gpus() > 0)
        && isAllowed(job, machine, countPlacedByZone(job))
        && isAffordable(job, machine, nowSeconds);
  }

  /** Whether the job's own constraints, on type, zone and spot machines, admit the machine. */
  static boolean isAllowed(Job job, Machine machine, Map<String, Integer> placedCountByZone) {
    JobSpec spec = job.spec();
    String zone = machine.row().zone();
    if (!spec.allowsMachine(machine.row().type(), zone, machine.row().spot())
        || job.failureHistory().avoidsMachine(machine.id())) {
      return false;
    }
    if (spec.singleZone()
        && !placedCountByZone.isEmpty()
        && !(placedCountByZone.size() == 1 && placedCountByZone.containsKey(zone))) {
      return false;
    }
    return !spec.spreadAcrossZones()
        || placedCountByZone.getOrDefault(zone, 0) < spec.maxTasksPerZone();
  }

  /** How many of the job's placed tasks are in each zone; empty where zones do not matter. */
  static Map<String, Integer> countPlacedByZone(Job job) {
    if (!job.spec().singleZone() && !job.spec().spreadAcrossZones()) {
      return Map.of();
    }
    Map<String, Integer> placedCountByZone = new HashMap<>();
    for (TaskPlacement placement : job.placements()) {
      placedCountByZone.merge(placement.machine().row().zone(), 1, Integer::sum);
    }
    return placedCountByZone;
  }

  /** Work without accelerators takes only what recent work with accelerators cannot use. */
  private boolean leavesRoomForAccelerators(Job job, Machine machine, double nowSeconds) {
    if (job.spec().taskResources().gpus() > 0 || machine.type().capacity().gpus() == 0) {
      return true;
    }
    if (job.isAtLastResort(nowSeconds) && !acceleratorJobPending) {
      // Room that is left for work that may never come must not stay empty while this job waits.
      return true;
    }
    Resources room = machine.freeCapacity();
    Resources remaining = room.minus(job.spec().taskResources());
    return !acceleratorDemand.losesRoom(room, remaining, nowSeconds);
  }

  /** An expensive machine is not kept from scale-in by work that could run on a cheap one. */
  private boolean isAffordable(Job job, Machine machine, double nowSeconds) {
    int sharingTaskCount = job.unplacedCount() + machine.placements().size();
    double maxPriceRatio =
        job.maxPriceRatio(
            nowSeconds,
            () ->
                objectives.maxPriceRatio(
                    job, nowSeconds, runtimeEstimates.expectedRuntimeSeconds(job.spec())));
    // Cores beside accelerators: late small tasks there would keep expensive machines that have no
    // other use. So neither best effort nor a high worth is a reason to take them.
    boolean usesLeftoverCpus =
        job.spec().taskResources().gpus() == 0
            && machine.type().capacity().gpus() > 0
            && acceleratorDemand.isPresent(nowSeconds);
    if (!usesLeftoverCpus && job.bestEffort()) {
      // It may use what is there, since it does not keep an ordinary machine from scale-in.
      return true;
    }
    if (!usesLeftoverCpus
        && prices.isWorthwhile(
            job.spec(), machine.type(), machine.row().spot(), sharingTaskCount, maxPriceRatio)) {
      return true;
    }
    return isKeptByAcceleratorWork(job, machine);
  }

  /** Whether the machine cannot be returned anyway, for work that uses more accelerators. */
  private static boolean isKeptByAcceleratorWork(Job job, Machine machine) {
    for (TaskPlacement placement : machine.placements().values()) {
      if (placement.job().spec().taskResources().gpus() > job.spec().taskResources().gpus()) {
        return true;
      }
    }
    return false;
  }
}
