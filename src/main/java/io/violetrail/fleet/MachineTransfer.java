package io.violetrail.fleet;

import io.violetrail.model.Resources;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.peer.ResourceRequest;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.MachineDrainer;
import io.violetrail.scheduling.PlacementConstraints;
import io.violetrail.scheduling.Preemption;
import io.violetrail.scheduling.ZoneAllowance;
import io.violetrail.worker.LongPolls;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Transfers machines of owned entities to entities that request them: idle machines, machines
 * cleared of best-effort tasks and, for starving jobs, machines from which all tasks are evicted.
 *
 * <p>Called by {@link TransferRequests} on the event loop's thread. A transfer is one conditional
 * write of the machine's record, so after a crash the machine belongs either to the donor or to the
 * recipient.
 */
public final class MachineTransfer {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTransfer.class);

  /** How long an emptied machine is kept free for the request for which it was emptied. */
  private static final double EVICTION_HOLD_SECONDS = 30;

  /**
   * Machines with a higher utilization are not emptied for other entities: too much work would be
   * lost.
   */
  private static final double MAX_EVICTED_UTILIZATION = 0.5;

  /** How long a machine must have been in its entity before it is emptied for another one. */
  private static final double MIN_RESIDENCE_SECONDS = 60;

  private final EventLoop loop;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final EntityMachines entityMachines;
  private final PlacementConstraints constraints;
  private final MachineDrainer drainer;
  private final QuotaTransfer quotaTransfer;
  private final LongPolls longPolls;

  /** Creates the transfer of one controller's machines; {@code drainer} empties them. */
  public MachineTransfer(
      EventLoop loop,
      Membership membership,
      MachineTypes machineTypes,
      EntityMachines entityMachines,
      PlacementConstraints constraints,
      MachineDrainer drainer,
      QuotaTransfer quotaTransfer,
      LongPolls longPolls) {
    this.loop = loop;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.entityMachines = entityMachines;
    this.constraints = constraints;
    this.drainer = drainer;
    this.quotaTransfer = quotaTransfer;
    this.longPolls = longPolls;
  }

  /**
   * Transfers idle machines of an owned entity that suit the request, and empties other machines
   * for it. Emptied machines are transferred at a later request.
   *
   * @param recipientRow the recipient entity's row as it was last read
   * @param availableQuotaByTeam caches the available quota of teams in the donor entity; this
   *     method adds the teams that it computes
   */
  void transferMachines(
      OwnedEntity entity,
      EntityRow recipientRow,
      ResourceRequest request,
      Map<String, Resources> availableQuotaByTeam) {
    double nowSeconds = loop.monotonicSeconds();
    List<Job> jobsAhead =
        request.starving()
            ? startableJobsAheadOf(entity, request, availableQuotaByTeam, nowSeconds)
            : jobsWaitingAheadOf(entity, request);
    int uncoveredTasks =
        transferIdleMachines(entity, recipientRow, request, jobsAhead, request.tasks(), nowSeconds);
    if (uncoveredTasks <= 0 || !jobsAhead.isEmpty()) {
      return;
    }
    uncoveredTasks = clearBestEffortMachines(entity, request, uncoveredTasks);
    // A job that already runs in part does not preempt work of other entities: wide arrays wait
    // for a long time, and the other entities lost more work than the arrays gained.
    if (uncoveredTasks > 0 && request.starving() && request.mayEvict()) {
      evictWithLeastLoss(entity, request, uncoveredTasks, nowSeconds);
    }
  }

  /** Transfers idle machines until all tasks fit, and returns the number that still do not. */
  private int transferIdleMachines(
      OwnedEntity entity,
      EntityRow recipientRow,
      ResourceRequest request,
      List<Job> jobsAhead,
      int taskCount,
      double nowSeconds) {
    int uncoveredTasks = taskCount;
    for (Machine machine : List.copyOf(entity.machines().values())) {
      if (uncoveredTasks <= 0) {
        return uncoveredTasks;
      }
      int taskSlots = taskSlots(machine, request);
      // A machine that was emptied for a starving request is transferred even if the tasks that
      // were preempted on it now wait in this entity.
      boolean isReserved = nowSeconds <= machine.reservedForTransferUntilSeconds();
      boolean isReleasable =
          isReserved
              ? request.starving() || jobsAhead.isEmpty()
              : !isUsableByAny(jobsAhead, machine, nowSeconds);
      if (taskSlots > 0 && machine.isEmpty() && isTransferable(machine, request) && isReleasable) {
        uncoveredTasks -= taskSlots;
        transferMachine(entity, machine, recipientRow);
      }
    }
    return uncoveredTasks;
  }

  /**
   * Clears machines that run only best-effort tasks until all requested tasks fit, and returns the
   * number that still do not. The machines are transferred at the next request after the
   * best-effort tasks have saved their checkpoints.
   */
  private int clearBestEffortMachines(OwnedEntity entity, ResourceRequest request, int taskCount) {
    int uncoveredTasks = taskCount;
    for (Machine machine : entity.machines().values()) {
      int taskSlots = taskSlots(machine, request);
      if (uncoveredTasks > 0
          && taskSlots > 0
          && !machine.isEmpty()
          && machine.hasOnlyBestEffortTasks()
          && isTransferable(machine, request)) {
        uncoveredTasks -= taskSlots;
        drainer.evictBestEffortTasks(entity, machine);
      }
    }
    return uncoveredTasks;
  }

  private static int taskSlots(Machine machine, ResourceRequest request) {
    return machine.type().capacity().countFitting(request.requestedAmounts());
  }

  /**
   * Evicts all tasks from machines that have room for a task of a starving job, since tasks of two
   * entities cannot share a machine. Machines where the least work is lost come first. They are
   * transferred at a later request. Nothing is evicted while jobs that are not best effort wait in
   * this entity, nor from machines that joined it recently, so that no machine moves back and forth
   * between two entities.
   */
  private void evictWithLeastLoss(
      OwnedEntity entity, ResourceRequest request, int taskCount, double nowSeconds) {
    List<Machine> candidates = new ArrayList<>();
    int uncoveredTasks = taskCount;
    for (Machine machine : entity.machines().values()) {
      boolean isUseful = isTransferable(machine, request) && taskSlots(machine, request) > 0;
      if (isUseful && nowSeconds <= machine.reservedForTransferUntilSeconds()) {
        uncoveredTasks -= taskSlots(machine, request);
      } else if (isUseful
          && !machine.isEmpty()
          && machine.utilization() <= MAX_EVICTED_UTILIZATION
          && machine.freeCapacity().countFitting(request.requestedAmounts()) > 0
          && nowSeconds - machine.joinedAtSeconds() > MIN_RESIDENCE_SECONDS) {
        candidates.add(machine);
      }
    }
    if (uncoveredTasks <= 0 || candidates.isEmpty() || hasWaitingJobs(entity)) {
      return;
    }
    candidates.sort(
        Comparator.comparingDouble(machine -> Preemption.lostCpuSeconds(machine, nowSeconds)));
    for (Machine machine : candidates) {
      if (uncoveredTasks > 0) {
        uncoveredTasks -= taskSlots(machine, request);
        LOG.info(
            "evicting all tasks from machine {} for job {} of another entity",
            machine.id(),
            request.job());
        drainer.evictAll(entity, machine, EVICTION_HOLD_SECONDS);
      }
    }
  }

  private static boolean hasWaitingJobs(OwnedEntity entity) {
    for (Job job : entity.jobs().values()) {
      if (job.phase() == Job.Phase.OPEN && job.unplacedCount() > 0 && !job.bestEffort()) {
        return true;
      }
    }
    return false;
  }

  private boolean isTransferable(Machine machine, ResourceRequest request) {
    // Without the price limit, machines too expensive for the request moved back and forth between
    // entities, idle and charged for.
    double priceRatio =
        machineTypes
            .prices()
            .priceRatio(
                request.requestedAmounts(),
                request.allowedTypes(),
                request::allowsZone,
                machine.type(),
                machine.row().spot(),
                request.tasks());
    return machine.isSchedulable()
        && priceRatio <= request.worth()
        && machineTypes.acceleratorPolicy().suits(request, machine.type())
        && request.allowsMachine(machine.row().type(), machine.row().zone(), machine.row().spot());
  }

  /**
   * Returns the entity's jobs that are ordered before the request and wait for the same kind of
   * machine.
   */
  private static List<Job> jobsWaitingAheadOf(OwnedEntity entity, ResourceRequest request) {
    return entity.jobs().values().stream().filter(job -> waitsAheadOf(job, request)).toList();
  }

  /**
   * Returns whether the job has unplaced tasks, is ordered before the request, and needs the same
   * kind of machine: with or without accelerators. Best-effort jobs and jobs that fail on every
   * machine do not count.
   */
  private static boolean waitsAheadOf(Job job, ResourceRequest request) {
    return job.phase() == Job.Phase.OPEN
        && job.unplacedCount() > 0
        && !job.bestEffort()
        && !job.failureHistory().isSuspect()
        && RequestOrder.isAheadOf(job, request)
        && (job.spec().taskResources().gpus() > 0) == (request.gpus() > 0);
  }

  /**
   * Returns the entity's jobs that are ordered before the request, wait for the same kind of
   * machine, may hold reservations now, and have quota for at least one task.
   */
  private List<Job> startableJobsAheadOf(
      OwnedEntity entity,
      ResourceRequest request,
      Map<String, Resources> availableQuotaByTeam,
      double nowSeconds) {
    List<Job> jobsAhead = new ArrayList<>();
    for (Job job : entity.jobs().values()) {
      if (waitsAheadOf(job, request)
          && job.mayHoldReservations(nowSeconds)
          && availableQuotaByTeam
                  .computeIfAbsent(
                      job.spec().team(),
                      team -> quotaTransfer.availableQuota(entity, team, nowSeconds))
                  .countFitting(job.spec().taskResources())
              > 0) {
        jobsAhead.add(job);
      }
    }
    return jobsAhead;
  }

  /** Returns whether the next task of one of the jobs could run on the machine. */
  private boolean isUsableByAny(List<Job> jobs, Machine machine, double nowSeconds) {
    for (Job job : jobs) {
      if (job.spec().taskResources().fitsIn(machine.type().capacity())
          && constraints.mayUse(job, machine, ZoneAllowance.of(job), nowSeconds)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Starts the conditional write that assigns the machine to the recipient entity and raises the
   * machine's fencing token above its present token and the recipient's version. If the write is
   * not confirmed, a read determines which entity has the machine.
   */
  private void transferMachine(OwnedEntity entity, Machine machine, EntityRow recipientRow) {
    machine.startTransfer();
    Version highestVersion =
        entity.fencingTokenFor(machine).compareTo(recipientRow.version()) > 0
            ? entity.fencingTokenFor(machine)
            : recipientRow.version();
    MachineRow newRow =
        machine
            .row()
            .transferredTo(
                recipientRow.entity(),
                highestVersion.nextOwnedBy(recipientRow.version().ownerIndex()));
    Futures.logFailure(
        entity
            .machineRecords()
            .transfer(machine.row(), newRow, recipientRow)
            .whenComplete(
                (row, failure) -> {
                  if (failure == null) {
                    LOG.info(
                        "transferred machine {} from entity {} to entity {} with fencing token {}",
                        machine.id(),
                        entity.id(),
                        newRow.entity(),
                        newRow.term());
                    entity.removeMachine(machine);
                    membership.notifyRowsChanged();
                    longPolls.sendDelayedReply(machine.id());
                  } else {
                    entityMachines.verifyOwner(entity, machine);
                  }
                }),
        "transfer a machine");
  }
}
