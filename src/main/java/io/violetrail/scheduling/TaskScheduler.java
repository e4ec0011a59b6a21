package io.violetrail.scheduling;

import io.violetrail.configuration.Configuration;
import io.violetrail.fleet.Machine;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.fleet.QuotaTransfer;
import io.violetrail.fleet.TransferRequests;
import io.violetrail.model.MachineId;
import io.violetrail.model.Resources;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.worker.LongPolls;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Decides which task goes to which machine of its entity. */
public final class TaskScheduler {
  /** Gangs that one report may try to place; the next pass tries the rest. */
  private static final int MAX_GANG_ATTEMPTS_PER_HEARTBEAT = 2;

  private final EventLoop loop;
  private final Membership membership;
  private final Configuration configuration;
  private final MachineTypes machineTypes;
  private final PendingQueues pendingQueues;
  private final BinPacker binPacker;
  private final Preemption preemption;
  private final MachineDrainer drainer;
  private final QuotaTransfer quotaTransfer;
  private final TransferRequests transferRequests;
  private final LongPolls longPolls;

  /** Machines with new placements whose workers may be waiting. */
  private final Set<MachineId> machinesToNotify = new LinkedHashSet<>();

  /** Places what {@link PendingQueues} holds through the placer, within the teams' quotas. */
  public TaskScheduler(
      EventLoop loop,
      Membership membership,
      Configuration configuration,
      MachineTypes machineTypes,
      PendingQueues pendingQueues,
      BinPacker binPacker,
      Preemption preemption,
      MachineDrainer drainer,
      QuotaTransfer quotaTransfer,
      TransferRequests transferRequests,
      LongPolls longPolls) {
    this.loop = loop;
    this.membership = membership;
    this.configuration = configuration;
    this.machineTypes = machineTypes;
    this.pendingQueues = pendingQueues;
    this.binPacker = binPacker;
    this.preemption = preemption;
    this.drainer = drainer;
    this.quotaTransfer = quotaTransfer;
    this.transferRequests = transferRequests;
    this.longPolls = longPolls;
  }

  /** Places what is pending in all owned entities, if this controller may start tasks now. */
  public void runPass() {
    if (!membership.isLeaseValid() || !configuration.isFresh()) {
      return;
    }
    for (OwnedEntity entity : membership.ownedEntities()) {
      if (entity.isActive()) {
        placePendingJobs(entity);
      }
    }
    answerWaitingWorkers();
  }

  /** Machines examined so far, a measure of what placement costs. */
  public long machinesExamined() {
    return binPacker.machinesExamined();
  }

  /** Finds places for what waits in an entity. */
  private void placePendingJobs(OwnedEntity entity) {
    List<Job> pendingJobs = pendingQueues.inOrder(entity);
    if (pendingJobs.isEmpty()) {
      return;
    }
    double nowSeconds = loop.monotonicSeconds();
    binPacker.beginPass(nowSeconds, machineTypes.prices(), pendingJobs);
    List<Machine> schedulableMachines = new ArrayList<>();
    for (Machine machine : entity.machines().values()) {
      if (machine.isSchedulable() && machine.freeCapacity().cpus() > 0) {
        schedulableMachines.add(machine);
      }
    }
    boolean awaitingFirstReports = entity.hasUncertainMachine(nowSeconds);
    Map<String, Resources> remainingQuotaByTeam = new HashMap<>();
    for (Job job : pendingJobs) {
      binPacker.recordDemand(job.spec(), nowSeconds);
      if (!isStartable(job, awaitingFirstReports, nowSeconds)) {
        continue;
      }
      Resources quota =
          remainingQuotaByTeam.computeIfAbsent(
              job.spec().team(), t -> quotaTransfer.availableQuota(entity, t, nowSeconds));
      Resources used =
          BinPacker.startsTaskByTask(job)
              ? placeTasks(entity, job, schedulableMachines, quota, nowSeconds)
              : placeGang(entity, job, schedulableMachines, quota, nowSeconds);
      remainingQuotaByTeam.put(job.spec().team(), quota.minus(used));
    }
    transferRequests.requestMissingResources(entity);
  }

  /** Fills what has become free on a machine, for the answer to its report. */
  public void fillMachine(OwnedEntity entity, Machine machine) {
    double nowSeconds = loop.monotonicSeconds();
    if (!machine.isSchedulable() || !configuration.isFresh()) {
      return;
    }
    List<Job> pendingJobs = pendingQueues.inOrder(entity);
    binPacker.beginPass(nowSeconds, machineTypes.prices(), pendingJobs);
    boolean awaitingFirstReports = entity.hasUncertainMachine(nowSeconds);
    int gangAttemptCount = 0;
    List<Machine> schedulableMachines = List.of(machine);
    Map<String, Resources> remainingQuotaByTeam = new HashMap<>();
    for (Job job : pendingJobs) {
      if (!isStartable(job, awaitingFirstReports, nowSeconds)
          || !binPacker.fits(
              job, machine, PlacementConstraints.countPlacedByZone(job), nowSeconds)) {
        continue;
      }
      Resources quota =
          remainingQuotaByTeam.computeIfAbsent(
              job.spec().team(), t -> quotaTransfer.availableQuota(entity, t, nowSeconds));
      Resources used = Resources.NONE;
      if (BinPacker.startsTaskByTask(job)) {
        if (binPacker.hasRoomOnFullerMachines(
            job, machine, entity.machines().values(), nowSeconds)) {
          continue;
        }
        used = placeTasks(entity, job, schedulableMachines, quota, nowSeconds);
      } else if (gangAttemptCount++ < MAX_GANG_ATTEMPTS_PER_HEARTBEAT) {
        used =
            placeGang(
                entity,
                job,
                entity.machines().values().stream().filter(Machine::isSchedulable).toList(),
                quota,
                nowSeconds);
      }
      remainingQuotaByTeam.put(job.spec().team(), quota.minus(used));
    }
    answerWaitingWorkers();
  }

  private void queueNotification(Machine machine) {
    machinesToNotify.add(machine.id());
  }

  /** Workers that wait for something to do get it now. */
  private void answerWaitingWorkers() {
    List<MachineId> all = List.copyOf(machinesToNotify);
    machinesToNotify.clear();
    all.forEach(longPolls::answer);
  }

  private static boolean isStartable(Job job, boolean awaitingFirstReports, double nowSeconds) {
    return job.phase() == Job.Phase.OPEN
        && job.startableCount(nowSeconds) > 0
        && !(job.loadedFromStore() && awaitingFirstReports);
  }

  private Resources placeTasks(
      OwnedEntity entity,
      Job job,
      Collection<Machine> schedulableMachines,
      Resources quota,
      double nowSeconds) {
    Resources taskResources = job.spec().taskResources();
    Map<String, Integer> placedCountByZone = PlacementConstraints.countPlacedByZone(job);
    boolean zonesMatter = job.spec().singleZone() || job.spec().spreadAcrossZones();
    int startableCount =
        Math.min(
            quota.countFitting(taskResources),
            job.prioritizedForFirstTask() ? 1 : job.startableCount(nowSeconds));
    int placedCount = 0;
    List<Machine> fittingMachines = null;
    Machine machine = null;
    for (int taskIndex = job.findNextUnplaced(0);
        taskIndex >= 0 && placedCount < startableCount;
        taskIndex = job.findNextUnplaced(taskIndex + 1)) {
      if (!job.retries().mayStart(taskIndex, nowSeconds)) {
        continue;
      }
      if (fittingMachines == null) {
        fittingMachines =
            binPacker.findFittingMachines(job, schedulableMachines, placedCountByZone, nowSeconds);
      }
      // A machine once chosen takes as many as it can: they share its image.
      while (machine == null || !binPacker.fits(job, machine, placedCountByZone, nowSeconds)) {
        fittingMachines.remove(machine);
        machine = binPacker.chooseBest(job, fittingMachines).orElse(null);
        if (machine == null) {
          preemptIfWorthwhile(entity, job, nowSeconds);
          return taskResources.times(placedCount);
        }
      }
      entity.addPlacement(
          new TaskPlacement(job, taskIndex, machine, entity.nextAttemptId(), nowSeconds));
      job.prioritizeForFirstTask(false);
      queueNotification(machine);
      placedCount++;
      if (zonesMatter) {
        placedCountByZone.merge(machine.row().zone(), 1, Integer::sum);
      }
    }
    return taskResources.times(placedCount);
  }

  /** Nothing that runs well is stopped for a job that fails wherever it goes. */
  private void preemptIfWorthwhile(OwnedEntity entity, Job job, double nowSeconds) {
    if (!job.isSuspect()
        && !(BinPacker.startsTaskByTask(job) && preemptBestEffortFor(entity, job, nowSeconds))) {
      preemption.preemptFor(entity, job, nowSeconds);
    }
  }

  /**
   * Clears spare work from machines that then hold what waits of the job, all at once: it is there
   * on sufferance, and one task a second would be too slow.
   */
  private boolean preemptBestEffortFor(OwnedEntity entity, Job job, double nowSeconds) {
    if (job.bestEffort() || !entity.hasPlacedTaskBelow(job.spec().priority())) {
      return false;
    }
    Resources taskResources = job.spec().taskResources();
    int missingCount = job.startableCount(nowSeconds);
    boolean cleared = false;
    for (Machine machine : entity.machines().values()) {
      int additionalCount =
          machine.freeCapacityWithoutBestEffort().countFitting(taskResources)
              - machine.freeCapacity().countFitting(taskResources);
      if (missingCount > 0
          && additionalCount > 0
          && machine.isSchedulable()
          && binPacker.isSuitable(job, machine, nowSeconds)) {
        missingCount -= additionalCount;
        cleared = true;
        drainer.clearSpareWork(entity, machine);
      }
    }
    return cleared;
  }

  /** All of a gang's tasks get their places at once, or none does. */
  private Resources placeGang(
      OwnedEntity entity,
      Job job,
      Collection<Machine> schedulableMachines,
      Resources quota,
      double nowSeconds) {
    Resources gangResources = job.spec().taskResources().times(job.spec().taskCount());
    if (!job.hasNoPlacements() || !gangResources.fitsIn(quota)) {
      return Resources.NONE;
    }
    if (!job.retries().mayStartAll(nowSeconds)) {
      return Resources.NONE;
    }
    Optional<List<Machine>> plan = binPacker.planGang(job, schedulableMachines, nowSeconds);
    if (plan.isEmpty()) {
      preemptIfWorthwhile(entity, job, nowSeconds);
      return Resources.NONE;
    }
    List<Machine> chosenMachines = plan.get();
    long attempt = entity.nextAttemptId();
    for (int i = 0; i < chosenMachines.size(); i++) {
      entity.addPlacement(new TaskPlacement(job, i, chosenMachines.get(i), attempt, nowSeconds));
      queueNotification(chosenMachines.get(i));
    }
    return gangResources;
  }
}
