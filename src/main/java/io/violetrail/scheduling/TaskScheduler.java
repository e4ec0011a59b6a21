package io.violetrail.scheduling;

import io.violetrail.configuration.Configuration;
import io.violetrail.fleet.Machine;
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
 * Decides on which machine each pending task runs. Each entity (a shard of jobs and machines) that
 * this controller owns is scheduled separately: its tasks are placed only on its own machines.
 *
 * <p>Scheduling is triggered in two ways:
 *
 * <ul>
 *   <li>A pass ({@link #runPass}) considers all pending jobs and all machines with free capacity.
 *       {@link SchedulingLoop} runs it after changes that may let a task be placed, and repeatedly
 *       while jobs are pending.
 *   <li>When a heartbeat shows that tasks on a machine have ended, {@link
 *       #placeTasksOnFreedMachine} reuses the freed capacity at once, so that the reply to that
 *       heartbeat can launch the next tasks. It considers only jobs that fit on that machine, and
 *       places their tasks only there. The exception is a small number of gangs, for which it
 *       considers all machines.
 * </ul>
 *
 * <p>In both cases, jobs are taken in the order of {@link PendingQueues}, the most urgent first,
 * and {@link BinPacker} chooses the machines. No team's tasks exceed the entity's share of the
 * team's quota ({@link QuotaTransfer}). A gang is placed as a whole or not at all; the tasks of
 * other jobs are placed one by one. For a job that does not fit, {@link Preemption} may stop tasks
 * of lower priority and reserve their room for the job, which a later pass places there. At the end
 * of a pass, {@link TransferRequests} asks other entities for the machines and quota that pending
 * jobs still lack.
 *
 * <p>Placing a task only records a {@link TaskPlacement} in memory. The launch is sent in the next
 * reply to a heartbeat of the machine's worker. If a heartbeat is held open as a long poll, its
 * reply is sent at once.
 *
 * <p>Called on the event loop's thread. Placements are not stored: after a restart or failover they
 * are rebuilt from the workers' heartbeats. A job that was loaded from the state store may have
 * tasks on machines that have not reported yet. Such jobs are therefore not placed until each of
 * the entity's machines has reported or can no longer run unreported tasks.
 */
public final class TaskScheduler {
  /** The maximum number of gangs to try for one heartbeat; the next pass tries the others. */
  private static final int MAX_GANG_ATTEMPTS_PER_HEARTBEAT = 2;

  /**
   * The number of tasks after which a pass, or the scheduling for one heartbeat, places no more.
   * The next pass continues. A gang is placed as a whole and may exceed it.
   */
  static final int MAX_PLACEMENTS_AT_ONCE = 2_000;

  private final EventLoop loop;
  private final Membership membership;
  private final Configuration configuration;
  private final PlacementConstraints constraints;
  private final SingleZonePlanner singleZonePlanner;
  private final PendingQueues pendingQueues;
  private final BinPacker binPacker;
  private final Preemption preemption;
  private final MachineDrainer drainer;
  private final QuotaTransfer quotaTransfer;
  private final TransferRequests transferRequests;
  private final LongPolls longPolls;

  /** How many more tasks may be placed before the event loop is left to others. */
  private int remainingPlacements;

  /** Machines with new placements. Their workers may be waiting for launches in a long poll. */
  private final Set<MachineId> machinesWithNewPlacements = new LinkedHashSet<>();

  /**
   * Creates a scheduler; it places nothing until {@link #runPass} or {@link
   * #placeTasksOnFreedMachine}.
   */
  public TaskScheduler(
      EventLoop loop,
      Membership membership,
      Configuration configuration,
      PlacementConstraints constraints,
      SingleZonePlanner singleZonePlanner,
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
    this.constraints = constraints;
    this.singleZonePlanner = singleZonePlanner;
    this.pendingQueues = pendingQueues;
    this.binPacker = binPacker;
    this.preemption = preemption;
    this.drainer = drainer;
    this.quotaTransfer = quotaTransfer;
    this.transferRequests = transferRequests;
    this.longPolls = longPolls;
  }

  /**
   * Runs a scheduling pass over all active entities that this controller owns. Does nothing while
   * the controller's lease is not valid or its configuration is not fresh.
   *
   * @return whether the pass has ended because it has placed {@link #MAX_PLACEMENTS_AT_ONCE} tasks
   */
  public boolean runPass() {
    if (!membership.isLeaseValid() || !configuration.isFresh()) {
      return false;
    }
    remainingPlacements = MAX_PLACEMENTS_AT_ONCE;
    for (OwnedEntity entity : membership.ownedEntities()) {
      if (entity.isActive()) {
        placePendingJobs(entity);
      }
    }
    endLongPolls();
    return remainingPlacements <= 0;
  }

  /** Returns how many machines were examined so far, a measure of the cost of placement. */
  public long machinesExamined() {
    return binPacker.machinesExamined();
  }

  private void placePendingJobs(OwnedEntity entity) {
    List<Job> pendingJobs = pendingQueues.orderedJobs(entity);
    if (pendingJobs.isEmpty()) {
      return;
    }
    double nowSeconds = loop.monotonicSeconds();
    binPacker.beginPass(nowSeconds, pendingJobs);
    List<Machine> schedulableMachines = findMachinesWithRoom(entity);
    boolean awaitingFirstReports = entity.hasUncertainMachine(nowSeconds);
    Map<String, Resources> remainingQuotaByTeam = new HashMap<>();
    for (Job job : pendingJobs) {
      constraints.recordDemand(job.spec(), nowSeconds);
      if (!isStartable(entity, job, awaitingFirstReports, nowSeconds)) {
        continue;
      }
      Resources quota =
          remainingQuotaByTeam.computeIfAbsent(
              job.spec().team(), team -> quotaTransfer.availableQuota(entity, team, nowSeconds));
      Resources used =
          BinPacker.startsTasksIndividually(job)
              ? placeTasks(entity, job, schedulableMachines, quota, nowSeconds)
              : placeGang(entity, job, schedulableMachines, quota, nowSeconds);
      remainingQuotaByTeam.put(job.spec().team(), quota.minus(used));
    }
    if (remainingPlacements > 0) {
      // Otherwise the entity's own machines may have room for jobs that the next pass places.
      transferRequests.requestMissingResources(entity);
    }
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
   * Places tasks on a machine whose heartbeat has shown that tasks ended, before the heartbeat is
   * answered. A gang that fits there may also be placed on other machines of the entity. Does
   * nothing if the machine is not schedulable or the configuration is not fresh.
   *
   * <p>The caller must have checked that the entity is active and the controller's lease valid.
   */
  public void placeTasksOnFreedMachine(OwnedEntity entity, Machine machine) {
    double nowSeconds = loop.monotonicSeconds();
    if (!machine.isSchedulable() || !configuration.isFresh()) {
      return;
    }
    List<Job> pendingJobs = pendingQueues.orderedJobs(entity);
    binPacker.beginPass(nowSeconds, pendingJobs);
    boolean awaitingFirstReports = entity.hasUncertainMachine(nowSeconds);
    remainingPlacements = MAX_PLACEMENTS_AT_ONCE;
    int gangAttemptCount = 0;
    List<Machine> schedulableMachines = List.of(machine);
    Map<String, Resources> remainingQuotaByTeam = new HashMap<>();
    for (Job job : pendingJobs) {
      if (!isStartable(entity, job, awaitingFirstReports, nowSeconds)
          || !binPacker.fits(job, machine, ZoneAllowance.of(job), nowSeconds)) {
        continue;
      }
      Resources quota =
          remainingQuotaByTeam.computeIfAbsent(
              job.spec().team(), team -> quotaTransfer.availableQuota(entity, team, nowSeconds));
      Resources used = Resources.NONE;
      if (BinPacker.startsTasksIndividually(job)) {
        if (binPacker.hasRoomOnBusierMachines(
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
    endLongPolls();
  }

  private void recordNewPlacement(Machine machine) {
    machinesWithNewPlacements.add(machine.id());
  }

  /** Ends the long polls of machines with new placements, so that their launches are sent now. */
  private void endLongPolls() {
    List<MachineId> machineIds = List.copyOf(machinesWithNewPlacements);
    machinesWithNewPlacements.clear();
    machineIds.forEach(longPolls::sendDelayedReply);
  }

  private boolean isStartable(
      OwnedEntity entity, Job job, boolean awaitingFirstReports, double nowSeconds) {
    return remainingPlacements > 0
        && job.phase() == Job.Phase.OPEN
        && entity.startableCount(job, nowSeconds) > 0
        && !(job.loadedFromStore() && awaitingFirstReports);
  }

  /**
   * Places as many of the job's pending tasks as the machines and the quota allow, one by one.
   *
   * @return the resources of the placed tasks
   */
  private Resources placeTasks(
      OwnedEntity entity,
      Job job,
      Collection<Machine> schedulableMachines,
      Resources quota,
      double nowSeconds) {
    Resources taskResources = job.spec().taskResources();
    ZoneAllowance allowance = singleZonePlanner.allowanceFor(entity, job, nowSeconds);
    int startableCount =
        Math.min(
            Math.min(remainingPlacements, quota.countFitting(taskResources)),
            job.prioritizedForFirstTask() ? 1 : entity.startableCount(job, nowSeconds));
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
            binPacker.findFittingMachines(job, schedulableMachines, allowance, nowSeconds);
      }
      // Each chosen machine is filled before the next one, since the tasks share the cached image.
      while (machine == null || !binPacker.fits(job, machine, allowance, nowSeconds)) {
        fittingMachines.remove(machine);
        machine = binPacker.chooseBest(job, fittingMachines).orElse(null);
        if (machine == null) {
          singleZonePlanner.moveIfNeeded(entity, job, nowSeconds);
          preemptUnlessSuspect(entity, job, allowance, nowSeconds);
          return taskResources.times(placedCount);
        }
      }
      entity.addPlacement(
          new TaskPlacement(job, taskIndex, machine, entity.nextAttemptId(), nowSeconds));
      job.prioritizeForFirstTask(false);
      recordNewPlacement(machine);
      remainingPlacements--;
      placedCount++;
      allowance.add(machine.row().zone(), 1);
    }
    return taskResources.times(placedCount);
  }

  /**
   * Tries to make room for the job by preemption, unless it is suspect: no healthy task is
   * preempted for a job that fails on every machine. For a job that is not a gang, best-effort
   * tasks are preempted first, and other tasks only if no best-effort task could be.
   */
  private void preemptUnlessSuspect(
      OwnedEntity entity, Job job, ZoneAllowance allowance, double nowSeconds) {
    if (!job.isSuspect()
        && !(BinPacker.startsTasksIndividually(job)
            && preemptBestEffortFor(entity, job, allowance.copy(), nowSeconds))) {
      preemption.preemptFor(entity, job, allowance, nowSeconds);
    }
  }

  /**
   * Preempts best-effort tasks on as many machines as the job's pending tasks need, all at once.
   * {@link Preemption#preemptFor} makes room for at most one task a second, which would be too
   * slow, and best-effort tasks may always be preempted.
   *
   * @param allowance the zones in which the job's next tasks may start; planned ones are added
   * @return whether best-effort tasks were evicted from at least one machine
   */
  private boolean preemptBestEffortFor(
      OwnedEntity entity, Job job, ZoneAllowance allowance, double nowSeconds) {
    if (job.bestEffort() || !entity.hasPlacedTaskOfLowerPriority(job.spec().priority())) {
      return false;
    }
    Resources taskResources = job.spec().taskResources();
    int missingCount = entity.startableCount(job, nowSeconds);
    boolean preempted = false;
    for (Machine machine : entity.machines().values()) {
      int additionalCount =
          machine.freeCapacityWithoutBestEffort().countFitting(taskResources)
              - machine.freeCapacity().countFitting(taskResources);
      if (missingCount > 0
          && additionalCount > 0
          && machine.isSchedulable()
          && constraints.isSuitable(job, machine, allowance, nowSeconds)) {
        String zone = machine.row().zone();
        int usableCount = Math.min(additionalCount, allowance.remaining(zone));
        allowance.add(zone, usableCount);
        missingCount -= usableCount;
        preempted = true;
        drainer.evictBestEffortTasks(entity, machine);
      }
    }
    return preempted;
  }

  /**
   * Places all of a gang's tasks that are not done at once, or none.
   *
   * @return the resources of the placed tasks
   */
  private Resources placeGang(
      OwnedEntity entity,
      Job job,
      Collection<Machine> schedulableMachines,
      Resources quota,
      double nowSeconds) {
    Resources gangResources = job.spec().taskResources().times(job.startTogetherCount());
    if (!job.hasNoPlacements()
        || !gangResources.fitsIn(quota)
        || !job.retries().mayStartAll(nowSeconds)) {
      return Resources.NONE;
    }
    Optional<List<Machine>> plan = binPacker.planGang(job, schedulableMachines, nowSeconds);
    if (plan.isEmpty()) {
      preemptUnlessSuspect(entity, job, ZoneAllowance.of(job), nowSeconds);
      return Resources.NONE;
    }
    List<Machine> chosenMachines = plan.get();
    long attempt = entity.nextAttemptId();
    int taskIndex = -1;
    for (Machine machine : chosenMachines) {
      taskIndex = job.findNextUnplaced(taskIndex + 1);
      entity.addPlacement(new TaskPlacement(job, taskIndex, machine, attempt, nowSeconds));
      recordNewPlacement(machine);
    }
    remainingPlacements -= chosenMachines.size();
    return gangResources;
  }
}
