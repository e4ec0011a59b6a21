package io.violetrail.scheduling;

import io.violetrail.fleet.AcceleratorPolicy;
import io.violetrail.fleet.Machine;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.fleet.Prices;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Resources;
import java.util.List;
import java.util.Map;

/**
 * Decides whether a task of a job may be placed on a machine. It checks the free room,
 * reservations, the job's constraints on types, zones and spot machines, the room to be left for
 * accelerator jobs, and the price.
 *
 * <p>Part of {@link BinPacker}, used on the event loop's thread. Its state is lost with the
 * process.
 */
final class PlacementConstraints {
  private final ServiceLevelObjectives objectives;
  private final RuntimeEstimates runtimeEstimates;
  private final RecentAcceleratorDemand acceleratorDemand;
  private final PendingAcceleratorJobs pendingAcceleratorJobs = new PendingAcceleratorJobs();
  private Prices prices;
  private AcceleratorPolicy acceleratorPolicy;

  PlacementConstraints(
      ServiceLevelObjectives objectives,
      RuntimeEstimates runtimeEstimates,
      RecentAcceleratorDemand acceleratorDemand) {
    this.objectives = objectives;
    this.runtimeEstimates = runtimeEstimates;
    this.acceleratorDemand = acceleratorDemand;
  }

  /** Sets the machine types and the pending jobs on which the next decisions are based. */
  void beginPass(MachineTypes machineTypes, List<Job> pendingJobs) {
    prices = machineTypes.prices();
    acceleratorPolicy = machineTypes.acceleratorPolicy();
    pendingAcceleratorJobs.replaceAll(pendingJobs);
  }

  /** Returns whether a task of the job may start on the machine now. */
  boolean fits(
      Job job, Machine machine, Map<String, Integer> placedCountByZone, double nowSeconds) {
    return job.spec().taskResources().fitsIn(machine.freeCapacity())
        && (machine.reservedForJob() == null
            || machine.reservedForJob() == job
            || nowSeconds > machine.reservedUntilSeconds())
        && nowSeconds > machine.reservedForTransferUntilSeconds()
        && !(job.bestEffort() && nowSeconds < machine.bestEffortBarredUntilSeconds())
        && isAllowed(job, machine, placedCountByZone)
        && keepsAcceleratorReserve(job, machine, nowSeconds)
        && isAffordable(job, machine, nowSeconds);
  }

  /** Returns whether a task of the job could start on the machine if it had enough free room. */
  boolean isSuitable(Job job, Machine machine, double nowSeconds) {
    return acceleratorPolicy.suits(job.spec(), machine.type())
        && isAllowed(job, machine, countPlacedByZone(job))
        && isAffordable(job, machine, nowSeconds);
  }

  /**
   * Returns whether the job's constraints on types, zones and spot machines allow the machine, and
   * the job does not avoid it because of failures there.
   */
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

  /**
   * Returns how many of the job's placed tasks are in each zone; empty if the job has no
   * constraints that depend on this.
   */
  static Map<String, Integer> countPlacedByZone(Job job) {
    if (!job.spec().singleZone() && !job.spec().spreadAcrossZones()) {
      return Map.of();
    }
    return job.placedCountByZone();
  }

  /**
   * Returns whether the task leaves enough room for accelerator jobs. A CPU-only task may use only
   * the resources of an accelerator machine that recent accelerator jobs could not use.
   */
  private boolean keepsAcceleratorReserve(Job job, Machine machine, double nowSeconds) {
    if (acceleratorPolicy.suits(job.spec(), machine.type())
        || mayUseAcceleratorReserve(job, machine, nowSeconds)) {
      return true;
    }
    Resources freeAfter = machine.freeCapacity().minus(job.spec().taskResources());
    return !acceleratorDemand.reducesAcceleratorSlots(machine, freeAfter, nowSeconds);
  }

  /**
   * Returns whether the job has waited so long that it may use what is kept free for accelerator
   * jobs. These may never arrive, or may not be able to use the machine: the room must not stay
   * unused while this job waits. For a while longer it waits for accelerator jobs that are pending.
   */
  private boolean mayUseAcceleratorReserve(Job job, Machine machine, double nowSeconds) {
    return job.mayUseAnyRoom(nowSeconds)
        || (job.mayUseAcceleratorReserve(nowSeconds)
            && !pendingAcceleratorJobs.mayUse(machine, nowSeconds));
  }

  /**
   * Returns whether the job is worth the price of the machine. Without this check, tasks that could
   * run on a cheap machine would keep an expensive one from scale-in.
   */
  private boolean isAffordable(Job job, Machine machine, double nowSeconds) {
    if (job.mayUseAnyRoom(nowSeconds)) {
      return true;
    }
    int sharingTaskCount = job.unplacedCount() + machine.placements().size();
    double maxPriceRatio =
        job.maxPriceRatio(
            nowSeconds,
            () ->
                objectives.maxPriceRatio(
                    job, nowSeconds, runtimeEstimates.expectedRuntimeSeconds(job.spec())));
    // Small, late CPU-only tasks on accelerator machines would keep these expensive machines rented
    // without another use. So neither best effort nor a high price ratio admits such tasks there,
    // as long as they do not wait for too long.
    boolean usesAcceleratorMachineCpus =
        !acceleratorPolicy.suits(job.spec(), machine.type())
            && acceleratorDemand.hasRecentDemand(nowSeconds)
            && !mayUseAcceleratorReserve(job, machine, nowSeconds);
    if (!usesAcceleratorMachineCpus && job.bestEffort()) {
      // A best-effort job may use any existing machine, since it does not keep an on-demand machine
      // from scale-in.
      return true;
    }
    if (!usesAcceleratorMachineCpus
        && prices.isWorthwhile(
            job.spec(), machine.type(), machine.row().spot(), sharingTaskCount, maxPriceRatio)) {
      return true;
    }
    return isHeldByMoreAccelerators(job, machine);
  }

  /**
   * Returns whether a task on the machine uses more accelerators than a task of this job. Such a
   * task keeps the machine from scale-in, whether or not this job uses the machine too.
   */
  private static boolean isHeldByMoreAccelerators(Job job, Machine machine) {
    return machine.largestAcceleratorUse() > job.spec().taskResources().gpus();
  }
}
