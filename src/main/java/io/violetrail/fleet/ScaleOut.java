package io.violetrail.fleet;

import io.violetrail.config.Settings;
import io.violetrail.model.JobShape;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.PendingQueues;
import io.violetrail.scheduling.PlacementConstraints;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.ServiceLevelObjectives;
import io.violetrail.scheduling.SingleZonePlanner;
import io.violetrail.scheduling.ZoneAllowance;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Rents machines for an entity's pending tasks that fit on none of its running, booting or
 * requested machines. Called by the {@link Autoscaler} on the event loop's thread. Nothing here
 * survives a crash: {@link ScaleOutRequests} keeps track of the requests, and everything else is
 * decided anew in each pass.
 */
public final class ScaleOut {
  private static final int MIN_BOOTING_MACHINES = 4;

  /** State store writes for a machine's record and its request until it can run tasks. */
  private static final int WRITES_PER_MACHINE = 3;

  private final Settings settings;
  private final Random random;
  private final ClusterView clusterView;
  private final MachineTypes machineTypes;
  private final PendingQueues pendingQueues;
  private final PlacementConstraints constraints;
  private final ServiceLevelObjectives serviceLevelObjectives;
  private final RuntimeEstimates runtimeEstimates;
  private final QuotaTransfer quotaTransfer;
  private final BootTimes bootTimes;
  private final WarmCapacity warmCapacity;
  private final ScaleOutRequests scaleOutRequests;
  private final SoldOutOfferings soldOutOfferings;
  private final SingleZonePlanner singleZonePlanner;
  private final FreeCapacityForecast capacityForecast;
  private int tieBreakSeed;

  /** Creates the scale-out of one controller; {@code scaleOutRequests} rents the machines. */
  public ScaleOut(
      Settings settings,
      Random random,
      ClusterView clusterView,
      MachineTypes machineTypes,
      PendingQueues pendingQueues,
      PlacementConstraints constraints,
      ServiceLevelObjectives objectives,
      RuntimeEstimates runtimeEstimates,
      QuotaTransfer quotaTransfer,
      BootTimes bootTimes,
      WarmCapacity warmCapacity,
      ScaleOutRequests scaleOutRequests,
      SoldOutOfferings soldOutOfferings,
      SingleZonePlanner singleZonePlanner) {
    this.settings = settings;
    this.random = random;
    this.clusterView = clusterView;
    this.machineTypes = machineTypes;
    this.pendingQueues = pendingQueues;
    this.constraints = constraints;
    this.serviceLevelObjectives = objectives;
    this.runtimeEstimates = runtimeEstimates;
    this.quotaTransfer = quotaTransfer;
    this.bootTimes = bootTimes;
    this.warmCapacity = warmCapacity;
    this.scaleOutRequests = scaleOutRequests;
    this.soldOutOfferings = soldOutOfferings;
    this.singleZonePlanner = singleZonePlanner;
    this.capacityForecast = new FreeCapacityForecast(runtimeEstimates);
  }

  /** Draws a new seed, which decides between equally cheap offerings until the next draw. */
  void drawTieBreak() {
    tieBreakSeed = random.nextInt();
  }

  /** Packs the entity's pending tasks into its machines, and rents machines for the rest. */
  void rentForPendingTasks(OwnedEntity entity, double nowSeconds) {
    constraints.beginPass(pendingQueues.orderedJobs(entity));
    ScaleOutPlan plan = newPlan(nowSeconds);
    addMachines(entity, plan, nowSeconds);
    Map<MachineOffering, Integer> pendingCounts = scaleOutRequests.pendingMachineCounts(entity);
    addPendingMachines(plan, pendingCounts);
    boolean awaitingFirstReports = entity.hasUncertainMachine(nowSeconds);
    List<Job> bestEffortJobs = addRegularDemand(entity, plan, awaitingFirstReports, nowSeconds);
    if (plan.machineCounts().isEmpty() && pendingCounts.isEmpty()) {
      addWarmCapacity(entity, plan, nowSeconds);
    }
    for (Job job : bestEffortJobs) {
      if (!job.failureHistory().isSuspect() && !(job.loadedFromStore() && awaitingFirstReports)) {
        plan.addDemand(job, entity.startableCount(job, nowSeconds), false);
      }
    }
    plan.machineCountsByUrgency()
        .forEach(
            entry -> scaleOutRequests.requestMachines(entity, entry.getKey(), entry.getValue()));
  }

  private ScaleOutPlan newPlan(double nowSeconds) {
    OfferingSelector selector =
        new OfferingSelector(
            machineTypes.all(),
            constraints.hasRecentAcceleratorDemand(nowSeconds),
            machineTypes.prices(),
            soldOutOfferings::contains,
            job ->
                serviceLevelObjectives.maxPriceRatio(
                    job, nowSeconds, runtimeEstimates.expectedRuntimeSeconds(job.spec())),
            tieBreakSeed);
    return new ScaleOutPlan(
        machineTypes.all(),
        selector,
        constraints,
        singleZonePlanner,
        maxBootingMachines(),
        nowSeconds);
  }

  /**
   * Adds the entity's schedulable and booting machines to the plan. Up to {@link
   * #maxReplacedMachines} late-booting ones are left out, so that they are replaced.
   */
  private void addMachines(OwnedEntity entity, ScaleOutPlan plan, double nowSeconds) {
    int remainingReplacements = maxReplacedMachines(entity);
    for (Machine machine : entity.machines().values()) {
      if (!machine.row().hasReported() && !machine.isReturning()) {
        if (remainingReplacements > 0
            && bootTimes.isLate(machine.type(), machine.rentedAtSeconds(), nowSeconds)) {
          remainingReplacements--;
        } else {
          plan.addBooting(MachineOffering.of(machine), machine.type().capacity());
        }
      } else if (machine.isSchedulable()) {
        plan.addRunning(
            machine,
            capacityForecast.freeAtBootTime(machine, nowSeconds),
            capacityForecast.sequentialCapacity(machine, nowSeconds));
      }
    }
  }

  private void addPendingMachines(ScaleOutPlan plan, Map<MachineOffering, Integer> pendingCounts) {
    pendingCounts.forEach(
        (offering, count) -> {
          MachineType type = machineTypes.find(offering.type());
          for (int i = 0; type != null && i < count; i++) {
            plan.addBooting(offering, type.capacity());
          }
        });
  }

  /** Adds the demand of all but best-effort jobs to the plan, and returns the best-effort jobs. */
  private List<Job> addRegularDemand(
      OwnedEntity entity, ScaleOutPlan plan, boolean awaitingFirstReports, double nowSeconds) {
    Map<String, Resources> remainingQuotas = new HashMap<>();
    List<Job> bestEffortJobs = new ArrayList<>();
    for (Job job : pendingQueues.orderedJobs(entity)) {
      if (job.bestEffort()) {
        bestEffortJobs.add(job);
        continue;
      }
      boolean urgent = warmCapacity.isUrgent(job.spec(), machineTypes.all());
      if (mustDeferRental(entity, job, urgent, awaitingFirstReports, nowSeconds)) {
        continue;
      }
      Resources quota =
          remainingQuotas.computeIfAbsent(
              job.spec().team(), team -> quotaTransfer.availableQuota(entity, team, nowSeconds));
      int taskCount =
          Math.min(
              wantedTaskCount(entity, job, nowSeconds),
              quota.countFitting(job.spec().taskResources()));
      remainingQuotas.put(
          job.spec().team(), quota.minus(job.spec().taskResources().times(taskCount)));
      plan.addDemand(job, taskCount, urgent);
    }
    return bestEffortJobs;
  }

  /**
   * Returns whether no machine may be rented for the job yet: it has no task to start now, its
   * tasks may be running on machines that have not reported, peers may still transfer machines for
   * it, or it fails on every machine and its probe has a machine.
   */
  private boolean mustDeferRental(
      OwnedEntity entity,
      Job job,
      boolean urgent,
      boolean awaitingFirstReports,
      double nowSeconds) {
    boolean awaitingPeerMachines =
        !urgent
            && nowSeconds - job.arrivedAtSeconds() < TransferRequests.SCALE_OUT_DELAY_SECONDS
            && clusterView.aliveControllerCount() > 1;
    boolean hasProbeMachine =
        job.failureHistory().isSuspect() && hasMachineForProbe(entity, job, nowSeconds);
    return entity.startableCount(job, nowSeconds) == 0
        || (job.loadedFromStore() && awaitingFirstReports)
        || awaitingPeerMachines
        || hasProbeMachine;
  }

  /**
   * Returns how many late-booting machines may be replaced at the same time. The limit keeps the
   * fleet from doubling when all boots are slow.
   */
  private static int maxReplacedMachines(OwnedEntity entity) {
    int bootedCount = 0;
    for (Machine machine : entity.machines().values()) {
      bootedCount += machine.row().hasReported() ? 1 : 0;
    }
    return Math.max(2, bootedCount / 4);
  }

  /** Returns whether the entity's schedulable machines have the capacity for a probe of the job. */
  private boolean hasMachineForProbe(OwnedEntity entity, Job job, double nowSeconds) {
    int slots = 0;
    ZoneAllowance allowance = ZoneAllowance.of(job);
    for (Machine machine : entity.machines().values()) {
      if (machine.isSchedulable() && constraints.mayUse(job, machine, allowance, nowSeconds)) {
        slots += machine.type().capacity().countFitting(job.spec().taskResources());
      }
    }
    return slots >= job.startTogetherCount();
  }

  /**
   * Returns how many machines may be requested or booting at once. The state store writes that they
   * need until they can run tasks must not take longer than a boot.
   */
  private int maxBootingMachines() {
    double writesPerSecond =
        settings.stateStoreLimits().writesPerSecond() / (settings.peers().size() + 1);
    double bootSeconds = machineTypes.shortestBootSeconds().orElse(0);
    return (int) Math.max(MIN_BOOTING_MACHINES, writesPerSecond * bootSeconds / WRITES_PER_MACHINE);
  }

  private void addWarmCapacity(OwnedEntity entity, ScaleOutPlan plan, double nowSeconds) {
    warmCapacity
        .wantedTaskCounts(machineTypes.all(), nowSeconds)
        .forEach(
            (spec, wantedCount) -> {
              int slots =
                  WarmCapacity.freeTaskSlots(
                      spec, entity.machines().values(), machineTypes.prices());
              if (slots < wantedCount && entity.id().equals(settings.self())) {
                plan.addWarmMachine(new Job(spec, 0, nowSeconds, false));
              }
            });
  }

  /**
   * Returns for how many of the job's pending tasks to rent capacity. The other tasks of an array
   * run after them on the same machines if the job's deadline allows it.
   */
  private int wantedTaskCount(OwnedEntity entity, Job job, double nowSeconds) {
    int waitingCount = entity.startableCount(job, nowSeconds);
    if (job.spec().shape() != JobShape.ARRAY || !runtimeEstimates.hasExpectedRuntime(job.spec())) {
      return waitingCount;
    }
    double runSeconds = runtimeEstimates.expectedRuntimeSeconds(job.spec());
    double deadlineSeconds =
        serviceLevelObjectives.nextReachableDeadlineSeconds(job, nowSeconds, runSeconds);
    if (Double.isInfinite(deadlineSeconds)) {
      return waitingCount;
    }
    double secondsLeft =
        deadlineSeconds
            - nowSeconds
            - warmCapacity.secondsUntilStart(job.spec(), machineTypes.all());
    double tasksPerSlot =
        Math.max(
            1,
            Math.min(
                FreeCapacityForecast.MAX_SEQUENTIAL_TASKS, Math.floor(secondsLeft / runSeconds)));
    return (int) Math.ceil(waitingCount / tasksPerSlot);
  }
}
