package io.violetrail.scheduling;

import io.violetrail.fleet.AcceleratorPolicy;
import io.violetrail.fleet.Machine;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.fleet.Prices;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Resources;
import java.util.List;

/**
 * Decides where the next task of a job may run. Two questions are answered here for every caller:
 *
 * <ul>
 *   <li>{@link #mayUse}: could the task run on this machine if there were room? It checks the job's
 *       constraints on types, zones and spot machines, given its other tasks ({@link
 *       ZoneAllowance}), its failures there, reservations and the price. Preemption, scale-out and
 *       transfers of machines between entities ask this.
 *   <li>{@link #fits}: may the task start there now? It checks the free room too, and what is to be
 *       left for accelerator jobs. Placement asks this.
 * </ul>
 *
 * <p>Since {@code fits} implies {@code mayUse}, nobody counts on room that placement refuses; a job
 * for which one part counts such room and another does not is left waiting.
 *
 * <p>Used on the event loop's thread, between {@link #beginPass} and the end of the pass. Its state
 * is lost with the process.
 */
public final class PlacementConstraints {
  private final ServiceLevelObjectives objectives;
  private final RuntimeEstimates runtimeEstimates;
  private final MachineTypes machineTypes;
  private final RecentAcceleratorDemand acceleratorDemand = new RecentAcceleratorDemand();
  private final PendingAcceleratorJobs pendingAcceleratorJobs = new PendingAcceleratorJobs();
  private Prices prices;
  private AcceleratorPolicy acceleratorPolicy;

  /** Creates constraints with no recorded accelerator demand. */
  public PlacementConstraints(
      ServiceLevelObjectives objectives,
      RuntimeEstimates runtimeEstimates,
      MachineTypes machineTypes) {
    this.objectives = objectives;
    this.runtimeEstimates = runtimeEstimates;
    this.machineTypes = machineTypes;
    beginPass(List.of());
  }

  /** Sets the pending jobs on which the next decisions are based, and reads the machine types. */
  public void beginPass(List<Job> pendingJobs) {
    prices = machineTypes.prices();
    acceleratorPolicy = machineTypes.acceleratorPolicy();
    pendingAcceleratorJobs.replaceAll(pendingJobs);
  }

  /** Records a pending job. If it needs accelerators, CPU-only tasks leave room for its class. */
  void recordDemand(JobSpec job, double nowSeconds) {
    acceleratorDemand.record(job, nowSeconds);
  }

  /** Returns whether a job that needs accelerators was pending in the last ten minutes. */
  public boolean hasRecentAcceleratorDemand(double nowSeconds) {
    return acceleratorDemand.hasRecentDemand(nowSeconds);
  }

  /**
   * Returns whether the job's next task may start on the machine now.
   *
   * @param allowance the zones in which it may start
   */
  boolean fits(Job job, Machine machine, ZoneAllowance allowance, double nowSeconds) {
    return job.spec().taskResources().fitsIn(machine.freeCapacity())
        && !(job.bestEffort() && nowSeconds < machine.bestEffortBarredUntilSeconds())
        && isAllowed(job, machine, allowance, nowSeconds)
        && !isReservedForOthers(job, machine, nowSeconds)
        && keepsAcceleratorReserve(job, machine, allowance, nowSeconds)
        && isAffordable(job, machine, allowance, nowSeconds);
  }

  /**
   * Returns whether the job's next task could run on the machine if there were room. The room
   * itself, and whether the machine is in service, are left to the caller.
   *
   * @param allowance the zones in which the task may start
   */
  public boolean mayUse(Job job, Machine machine, ZoneAllowance allowance, double nowSeconds) {
    return isAllowed(job, machine, allowance, nowSeconds)
        && !isReservedForOthers(job, machine, nowSeconds)
        && isAffordable(job, machine, allowance, nowSeconds);
  }

  /**
   * Returns whether the machine is worth making room on for the job's next task: the task could run
   * there, and the machine suits it as far as accelerators are concerned.
   */
  public boolean isSuitable(Job job, Machine machine, ZoneAllowance allowance, double nowSeconds) {
    return acceleratorPolicy.suits(job.spec(), allowance::allows, machine.type())
        && mayUse(job, machine, allowance, nowSeconds);
  }

  /**
   * Returns whether the job's constraints on types, zones and spot machines allow the machine, and
   * the job does not avoid it because of failures there. A job that has waited for too long avoids
   * none: there may be no other machine, and a fault may have passed.
   */
  private static boolean isAllowed(
      Job job, Machine machine, ZoneAllowance allowance, double nowSeconds) {
    return machine.isAllowedFor(job.spec())
        && allowance.allows(machine.row().zone())
        && (!job.failureHistory().avoidsMachine(machine.id()) || job.mayUseAnyRoom(nowSeconds));
  }

  /**
   * Returns whether the machine's room is kept for a more urgent job, or for a transfer to another
   * entity.
   */
  private static boolean isReservedForOthers(Job job, Machine machine, double nowSeconds) {
    boolean reservedForOtherJob =
        machine.reservedForJob() != null
            && machine.reservedForJob() != job
            && nowSeconds <= machine.reservedUntilSeconds();
    return reservedForOtherJob || nowSeconds <= machine.reservedForTransferUntilSeconds();
  }

  /**
   * Returns whether the task leaves enough room for accelerator jobs. A CPU-only task may use only
   * the resources of an accelerator machine that recent accelerator jobs could not use.
   */
  private boolean keepsAcceleratorReserve(
      Job job, Machine machine, ZoneAllowance allowance, double nowSeconds) {
    if (acceleratorPolicy.suits(job.spec(), allowance::allows, machine.type())
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
  private boolean isAffordable(
      Job job, Machine machine, ZoneAllowance allowance, double nowSeconds) {
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
        !acceleratorPolicy.suits(job.spec(), allowance::allows, machine.type())
            && acceleratorDemand.hasRecentDemand(nowSeconds)
            && !mayUseAcceleratorReserve(job, machine, nowSeconds);
    if (!usesAcceleratorMachineCpus && job.bestEffort()) {
      // A best-effort job may use any existing machine, since it does not keep an on-demand machine
      // from scale-in.
      return true;
    }
    if (!usesAcceleratorMachineCpus
        && prices.isWorthwhile(
            job.spec(),
            allowance::allows,
            machine.type(),
            machine.row().spot(),
            sharingTaskCount,
            maxPriceRatio)) {
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
