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
import io.violetrail.scheduling.Preemption;
import io.violetrail.worker.LongPolls;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Transfers machines to entities that lack them: idle ones, or emptied ones for starving jobs.
 * Called by {@link TransferRequests} on the event loop's thread. A transfer is one conditional
 * write of the machine's record, so after a crash the machine is with one entity or the other.
 */
public final class MachineTransfer {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTransfer.class);

  /** So long a machine is kept free for the request for which it is emptied. */
  private static final double EVICTION_HOLD_SECONDS = 30;

  /** What is used more than this is not emptied for others: too much work would be lost. */
  private static final double MAX_EVICTED_UTILIZATION = 0.5;

  /** A machine is not emptied for others sooner after it has come. */
  private static final double MIN_RESIDENCE_SECONDS = 60;

  private final EventLoop loop;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final EntityMachines entityMachines;
  private final MachineDrainer drainer;
  private final QuotaTransfer quotaTransfer;
  private final LongPolls longPolls;

  /** Creates the transfer, which empties machines through the drainer. */
  public MachineTransfer(
      EventLoop loop,
      Membership membership,
      MachineTypes machineTypes,
      EntityMachines entityMachines,
      MachineDrainer drainer,
      QuotaTransfer quotaTransfer,
      LongPolls longPolls) {
    this.loop = loop;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.entityMachines = entityMachines;
    this.drainer = drainer;
    this.quotaTransfer = quotaTransfer;
    this.longPolls = longPolls;
  }

  /**
   * Transfers idle machines of an owned entity that suit the request, and empties others for it.
   *
   * @param target the recipient's row as it was last read
   * @param freeQuotas the teams' available quotas in this entity as far as computed; filled here
   */
  void transferMachines(
      OwnedEntity entity,
      EntityRow target,
      ResourceRequest request,
      Map<String, Resources> freeQuotas) {
    double nowSeconds = loop.monotonicSeconds();
    List<Job> jobsAhead = startableJobsAheadOf(entity, request, freeQuotas, nowSeconds);
    if (!request.starving() && isWantedHere(entity, request)) {
      return;
    }
    int tasksLeft =
        transferIdleMachines(entity, target, request, jobsAhead, request.tasks(), nowSeconds);
    if (tasksLeft <= 0 || !jobsAhead.isEmpty()) {
      return;
    }
    tasksLeft = clearBestEffortMachines(entity, request, tasksLeft);
    // For the rest of what runs in part already no other entity's work is preempted: wide arrays
    // wait for long, and what was lost elsewhere was more than they gained.
    if (tasksLeft > 0 && request.starving() && request.mayEvict()) {
      evictLeastLoss(entity, request, tasksLeft, nowSeconds);
    }
  }

  /** Transfers idle machines until all of the tasks fit, and returns how many do not. */
  private int transferIdleMachines(
      OwnedEntity entity,
      EntityRow target,
      ResourceRequest request,
      List<Job> jobsAhead,
      int taskCount,
      double nowSeconds) {
    int tasksLeft = taskCount;
    for (Machine machine : List.copyOf(entity.machines().values())) {
      if (tasksLeft <= 0) {
        return tasksLeft;
      }
      int taskSlots = taskSlots(machine, request);
      // What was emptied for such a request passes, though what was preempted for it waits here
      // now.
      boolean isFree =
          (request.starving() && nowSeconds <= machine.reservedForTransferUntilSeconds())
              || !isWantedHere(jobsAhead, machine);
      if (taskSlots > 0 && machine.isEmpty() && isTransferable(machine, request) && isFree) {
        tasksLeft -= taskSlots;
        transferMachine(entity, machine, target);
      }
    }
    return tasksLeft;
  }

  /**
   * Clears machines that have best-effort work alone until all of the tasks fit, and returns how
   * many do not. They pass at the next request, once that work has saved its checkpoints.
   */
  private int clearBestEffortMachines(OwnedEntity entity, ResourceRequest request, int taskCount) {
    int tasksLeft = taskCount;
    for (Machine machine : entity.machines().values()) {
      int taskSlots = taskSlots(machine, request);
      if (tasksLeft > 0
          && taskSlots > 0
          && !machine.isEmpty()
          && machine.hasOnlyBestEffortTasks()
          && isTransferable(machine, request)) {
        tasksLeft -= taskSlots;
        drainer.clearBestEffortWork(entity, machine);
      }
    }
    return tasksLeft;
  }

  private static int taskSlots(Machine machine, ResourceRequest request) {
    return machine.type().capacity().countFitting(request.requestedAmounts());
  }

  /**
   * Empties machines with room for a job that has waited too long, where least work is lost: tasks
   * of two entities cannot share a machine. They pass at a later request. What waits here itself,
   * or came just now, is not touched, so that no machine goes to and fro.
   */
  private void evictLeastLoss(
      OwnedEntity entity, ResourceRequest request, int taskCount, double nowSeconds) {
    List<Machine> candidates = new ArrayList<>();
    int tasksLeft = taskCount;
    for (Machine machine : entity.machines().values()) {
      boolean isUseful = isTransferable(machine, request) && taskSlots(machine, request) > 0;
      if (isUseful && nowSeconds <= machine.reservedForTransferUntilSeconds()) {
        tasksLeft -= taskSlots(machine, request);
      } else if (isUseful
          && !machine.isEmpty()
          && machine.utilization() <= MAX_EVICTED_UTILIZATION
          && machine.freeCapacity().countFitting(request.requestedAmounts()) > 0
          && nowSeconds - machine.joinedAtSeconds() > MIN_RESIDENCE_SECONDS) {
        candidates.add(machine);
      }
    }
    if (tasksLeft <= 0 || candidates.isEmpty() || hasWaitingJobs(entity)) {
      return;
    }
    candidates.sort(Comparator.comparingDouble(m -> Preemption.lostCpuSeconds(m, nowSeconds)));
    for (Machine machine : candidates) {
      if (tasksLeft > 0) {
        tasksLeft -= taskSlots(machine, request);
        LOG.info("machine {} is emptied for {} of another entity", machine.id(), request.job());
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
    // Without this limit, a machine too dear for the request went to and fro, idle and paid for.
    double priceRatio =
        machineTypes
            .prices()
            .priceRatio(
                request.requestedAmounts(),
                request.allowedTypes(),
                machine.type(),
                machine.row().spot(),
                request.tasks());
    return machine.isSchedulable()
        && priceRatio <= request.worth()
        && machine.type().suitsAcceleratorNeed(request.requestedAmounts())
        && request.allowsMachine(machine.row().type(), machine.row().zone(), machine.row().spot());
  }

  /**
   * Whether an own job that is more urgent, or has waited longer, waits for the same kind of room.
   */
  private static boolean isWantedHere(OwnedEntity entity, ResourceRequest request) {
    return entity.jobs().values().stream().anyMatch(job -> waitsAheadOf(job, request));
  }

  private static boolean waitsAheadOf(Job job, ResourceRequest request) {
    return job.phase() == Job.Phase.OPEN
        && job.unplacedCount() > 0
        && !job.bestEffort()
        && !job.failureHistory().isSuspect()
        && RequestOrder.isAheadOf(job, request)
        && (job.spec().taskResources().gpus() > 0) == (request.gpus() > 0);
  }

  /**
   * Own jobs that are more urgent, or have waited longer, wait for the same kind of room, and have
   * the quota for it.
   */
  private List<Job> startableJobsAheadOf(
      OwnedEntity entity,
      ResourceRequest request,
      Map<String, Resources> freeQuotas,
      double nowSeconds) {
    List<Job> jobsAhead = new ArrayList<>();
    for (Job job : entity.jobs().values()) {
      if (waitsAheadOf(job, request)
          && job.mayHoldReservations(nowSeconds)
          && freeQuotas
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

  /** Whether one of the jobs may and could start on the machine. */
  private static boolean isWantedHere(List<Job> jobs, Machine machine) {
    for (Job job : jobs) {
      if (machine.isAllowedFor(job.spec())
          && machine.type().capacity().countFitting(job.spec().taskResources()) > 0) {
        return true;
      }
    }
    return false;
  }

  /** One conditional write gives the machine to the other entity and raises its fencing token. */
  private void transferMachine(OwnedEntity entity, Machine machine, EntityRow target) {
    machine.startTransfer();
    Version highestVersion =
        entity.fencingTokenFor(machine).compareTo(target.version()) > 0
            ? entity.fencingTokenFor(machine)
            : target.version();
    MachineRow newRow =
        machine
            .row()
            .transferredTo(
                target.entity(), highestVersion.nextOwnedBy(target.version().ownerIndex()));
    Futures.logFailure(
        entity
            .machineRecords()
            .transfer(machine.row(), newRow, target)
            .whenComplete(
                (row, failure) -> {
                  if (failure == null) {
                    LOG.info(
                        "machine {} passes from entity {} to {} with fencing token {}",
                        machine.id(),
                        entity.id(),
                        newRow.entity(),
                        newRow.term());
                    entity.removeMachine(machine);
                    membership.rowsChanged();
                    longPolls.answer(machine.id());
                  } else {
                    entityMachines.verifyOwner(entity, machine);
                  }
                }),
        "transfer a machine");
  }
}
