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

/**
 * Places pending tasks on the machines of their entity: all pending jobs in a pass, and those that
 * fit on a single machine when its heartbeat shows free room.
 *
 * <p>Called on the event loop's thread. Nothing survives the process: what was placed comes back
 * with the workers' reports.
 */
public final class TaskScheduler {
  /** Gangs that one heartbeat may try to place; the next pass tries the rest. */
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

  /** Machines with new placements, whose workers may wait in a long poll. */
  private final Set<MachineId> machinesToNotify = new LinkedHashSet<>();

  /** Places the jobs of {@code pendingQueues} through the bin packer, within the teams' quotas. */
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

  /** Runs a pass: places what is pending in all owned entities, if tasks may be started now. */
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

  /** Machines examined so far: what placement costs, for metrics and tests. */
  public long machinesExamined() {
    return binPacker.machinesExamined();
  }

  private void placePendingJobs(OwnedEntity entity) {
    List<Job> pendingJobs = pendingQueues.inOrder(entity);
    if (pendingJobs.isEmpty()) {
      return;
    }
    double nowSeconds = loop.monotonicSeconds();
    binPacker.beginPass(nowSeconds, machineTypes.prices(), pendingJobs);
    List<Machine> schedulableMachines = findMachinesWithRoom(entity);
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

  private static List<Machine> findMachinesWithRoom(OwnedEntity entity) {
    List<Machine> machinesWithRoom = new ArrayList<>();
    for (Machine machine : entity.machines().values()) {
      if (machine.isSchedulable() && machine.freeCapacity().cpus() > 0) {
        machinesWithRoom.add(machine);
      }
    }
    return machinesWithRoom;
  }

  /**
   * Fills what has become free on a machine, for the reply to its heartbeat; a gang may get room on
   * other machines as well. Only for an active entity, under a valid lease.
   */
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

  /** Ends the long polls of machines with new placements. */
  private void answerWaitingWorkers() {
    List<MachineId> notified = List.copyOf(machinesToNotify);
    machinesToNotify.clear();
    notified.forEach(longPolls::answer);
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
      // A machine once chosen takes as many tasks as it can: they share its image.
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

  /** No healthy task is preempted for a job that fails on every machine. */
  private void preemptIfWorthwhile(OwnedEntity entity, Job job, double nowSeconds) {
    if (!job.isSuspect()
        && !(BinPacker.startsTaskByTask(job) && preemptBestEffortFor(entity, job, nowSeconds))) {
      preemption.preemptFor(entity, job, nowSeconds);
    }
  }

  /**
   * Preempts best-effort work on as many machines as the job's pending tasks need, all at once: the
   * ordinary preemption of one task a second would be too slow, and best-effort work may always be
   * preempted.
   *
   * @return whether any machine was cleared
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
        drainer.clearBestEffortWork(entity, machine);
      }
    }
    return cleared;
  }

  /** Places all of a gang's tasks at once, or none. */
  private Resources placeGang(
      OwnedEntity entity,
      Job job,
      Collection<Machine> schedulableMachines,
      Resources quota,
      double nowSeconds) {
    Resources gangResources = job.spec().taskResources().times(job.spec().taskCount());
    if (!job.hasNoPlacements()
        || !gangResources.fitsIn(quota)
        || !job.retries().mayStartAll(nowSeconds)) {
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
