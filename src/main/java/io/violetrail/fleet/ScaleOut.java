package io.violetrail.fleet;

import io.violetrail.config.Settings;
import io.violetrail.fleet.ScaleOutRequests.MachineOffering;
import io.violetrail.model.JobShape;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.BinPacker;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.PendingQueues;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.ServiceLevelObjectives;
import io.violetrail.scheduling.TaskPlacement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Rents machines for the pending tasks of an entity that no machine there or coming can take. */
public final class ScaleOut {
  /**
   * Tasks of a job that one place is to run one after the other; estimates are too rough for more.
   */
  private static final double MAX_TURNS = 4;

  private final Settings settings;
  private final Random random;
  private final ClusterView clusterView;
  private final MachineTypes machineTypes;
  private final PendingQueues pendingQueues;
  private final BinPacker binPacker;
  private final ServiceLevelObjectives serviceLevelObjectives;
  private final RuntimeEstimates runtimeEstimates;
  private final QuotaTransfer quotaTransfer;
  private final BootTimes bootTimes;
  private final WarmCapacity warmCapacity;
  private final ScaleOutRequests scaleOutRequests;
  private int tasteSeed;

  /** Rents through the given requests what {@link PendingQueues} calls for. */
  public ScaleOut(
      Settings settings,
      Random random,
      ClusterView clusterView,
      MachineTypes machineTypes,
      PendingQueues pendingQueues,
      BinPacker binPacker,
      ServiceLevelObjectives objectives,
      RuntimeEstimates runtimeEstimates,
      QuotaTransfer quotaTransfer,
      BootTimes bootTimes,
      WarmCapacity warmCapacity,
      ScaleOutRequests scaleOutRequests) {
    this.settings = settings;
    this.random = random;
    this.clusterView = clusterView;
    this.machineTypes = machineTypes;
    this.pendingQueues = pendingQueues;
    this.binPacker = binPacker;
    this.serviceLevelObjectives = objectives;
    this.runtimeEstimates = runtimeEstimates;
    this.quotaTransfer = quotaTransfer;
    this.bootTimes = bootTimes;
    this.warmCapacity = warmCapacity;
    this.scaleOutRequests = scaleOutRequests;
  }

  /** Draws anew which of equally good offers are preferred until the next draw. */
  void drawTaste() {
    tasteSeed = random.nextInt();
  }

  /** Puts what waits into machines that boot, and rents for the rest. */
  void rent(OwnedEntity entity, double now) {
    ScaleOutPlan plan =
        new ScaleOutPlan(
            machineTypes.all(),
            binPacker.hasRecentAcceleratorDemand(now),
            machineTypes.prices(),
            scaleOutRequests::isSoldOut,
            job ->
                serviceLevelObjectives.maxPriceRatio(
                    job, now, runtimeEstimates.expectedRuntimeSeconds(job.spec())),
            mayBoot(),
            tasteSeed);
    int replaced = maxReplaced(entity);
    for (Machine machine : entity.machines().values()) {
      if (!machine.row().hasReported() && !machine.returning()) {
        if (replaced > 0 && bootTimes.isLate(machine.type(), machine.rentedAtSeconds(), now)) {
          replaced--;
        } else {
          plan.addBooting(offer(machine), machine.type().capacity());
        }
      } else if (machine.isSchedulable()) {
        plan.addRunning(offer(machine), roomSoon(machine, now), later(machine, now));
      }
    }
    Map<MachineOffering, Integer> pending = scaleOutRequests.pendingMachineCounts(entity);
    pending.forEach(
        (offer, count) -> {
          MachineType type = machineTypes.find(offer.type());
          for (int i = 0; type != null && i < count; i++) {
            plan.addBooting(offer, type.capacity());
          }
        });
    boolean uncertain = entity.hasUncertainMachine(now);
    Map<String, Resources> left = new HashMap<>();
    List<Job> spareWork = new ArrayList<>();
    for (Job job : pendingQueues.inOrder(entity)) {
      if (job.bestEffort()) {
        spareWork.add(job);
        continue;
      }
      boolean urgent = warmCapacity.isUrgent(job.spec(), machineTypes.all());
      boolean peersFirst =
          !urgent
              && now - job.arrivedAtSeconds() < TransferRequests.SCALE_OUT_DELAY_SECONDS
              && clusterView.aliveControllerCount() > 1;
      boolean probe = job.failureHistory().isSuspect() && placeable(entity, job);
      if (job.startableCount(now) == 0
          || job.loadedFromStore() && uncertain
          || peersFirst
          || probe) {
        continue;
      }
      Resources quota =
          left.computeIfAbsent(
              job.spec().team(), t -> quotaTransfer.availableQuota(entity, t, now));
      int tasks = Math.min(wanted(job, now), quota.countFitting(job.spec().taskResources()));
      left.put(job.spec().team(), quota.minus(job.spec().taskResources().times(tasks)));
      plan.addDemand(job, tasks, urgent);
    }
    if (plan.machineCounts().isEmpty() && pending.isEmpty()) {
      keepSpares(entity, plan, now);
    }
    for (Job job : spareWork) {
      if (!job.failureHistory().isSuspect() && !(job.loadedFromStore() && uncertain)) {
        plan.addDemand(job, job.unplacedCount(), false);
      }
    }
    plan.machineCountsByUrgency()
        .forEach(e -> scaleOutRequests.requestMachines(entity, e.getKey(), e.getValue()));
  }

  /**
   * How many machines that are late may be replaced at the same time: where all boots are slow, the
   * fleet must not double.
   */
  private static int maxReplaced(OwnedEntity entity) {
    int up = 0;
    for (Machine machine : entity.machines().values()) {
      up += machine.row().hasReported() ? 1 : 0;
    }
    return Math.max(2, up / 4);
  }

  /** Whether a probe of a job that fails everywhere finds a machine that is there anyway. */
  private static boolean placeable(OwnedEntity entity, Job job) {
    int room = 0;
    for (Machine machine : entity.machines().values()) {
      if (machine.isSchedulable()
          && job.spec()
              .allowsMachine(machine.row().type(), machine.row().zone(), machine.row().spot())) {
        room += machine.type().capacity().countFitting(job.spec().taskResources());
      }
    }
    return room >= (job.spec().shape() == JobShape.GANG ? job.spec().taskCount() : 1);
  }

  /**
   * How many machines may be on their way: each takes about three writes until it works, and those
   * must not take longer than a boot.
   */
  private int mayBoot() {
    double writes = settings.stateStoreLimits().writesPerSecond() / (settings.peers().size() + 1);
    return (int) Math.max(4, writes * boot() / 3);
  }

  private void keepSpares(OwnedEntity entity, ScaleOutPlan plan, double now) {
    warmCapacity
        .wantedTaskCounts(machineTypes.all(), now)
        .forEach(
            (spec, tasks) -> {
              int have =
                  WarmCapacity.freeTaskSlots(
                      spec, entity.machines().values(), machineTypes.prices());
              if (have < tasks && entity.id().equals(settings.self())) {
                plan.addWarmMachine(new Job(spec, 0, now, false));
              }
            });
  }

  private double boot() {
    return machineTypes.all().stream().mapToDouble(MachineType::bootSeconds).min().orElse(0);
  }

  private static MachineOffering offer(Machine machine) {
    return new MachineOffering(machine.row().type(), machine.row().zone(), machine.row().spot());
  }

  /** What a machine will have free by the time that another of its type would be up. */
  private Resources roomSoon(Machine machine, double now) {
    Resources room = machine.freeCapacity();
    for (TaskPlacement placement : machine.placements().values()) {
      if (endsInS(placement, now) < machine.type().bootSeconds()) {
        room = room.plus(placement.job().spec().taskResources());
      }
    }
    return room;
  }

  /**
   * What may start there after those, one task after the other like what runs there now, before
   * another machine would be up. Dear machines were rented for short tasks, and had nothing to do
   * when they came up.
   */
  private Resources later(Machine machine, double now) {
    Resources room = Resources.NONE;
    for (TaskPlacement placement : machine.placements().values()) {
      double left = machine.type().bootSeconds() - endsInS(placement, now);
      int turns = (int) (left / runtimeEstimates.expectedRuntimeSeconds(placement.job().spec()));
      if (left > 0 && turns > 0 && placement.job().spec().shape() == JobShape.ARRAY) {
        room =
            room.plus(
                placement.job().spec().taskResources().times((int) Math.min(MAX_TURNS, turns)));
      }
    }
    return room;
  }

  private double endsInS(TaskPlacement placement, double now) {
    double began =
        placement.runningSinceSeconds() > 0
            ? placement.runningSinceSeconds()
            : now
                + placement.job().spec().imageGb() / placement.machine().type().fetchGbPerSecond();
    return Math.max(
        0, began + runtimeEstimates.expectedRuntimeSeconds(placement.job().spec()) - now);
  }

  /** How many of a job's waiting tasks are worth machines of their own, the rest taking turns. */
  private int wanted(Job job, double now) {
    int waiting = job.startableCount(now);
    if (job.spec().shape() != JobShape.ARRAY) {
      return waiting;
    }
    double run = runtimeEstimates.expectedRuntimeSeconds(job.spec());
    double due = serviceLevelObjectives.nextReachableDeadlineSeconds(job, now, run);
    if (Double.isInfinite(due)) {
      return waiting;
    }
    double left = due - now - warmCapacity.secondsUntilStart(job.spec(), machineTypes.all());
    double turns = Math.max(1, Math.min(MAX_TURNS, Math.floor(left / run)));
    return (int) Math.ceil(waiting / turns);
  }
}
