package io.violetrail.scheduling;

import io.violetrail.api.JobLifecycle;
import io.violetrail.fleet.Machine;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The periodic work on each active entity that this controller owns. It detects unresponsive
 * machines, stops incomplete gangs, stores the progress of jobs, and requests scheduling passes
 * while jobs are pending.
 *
 * <p>Runs on the event loop's thread; has no state.
 */
public final class EntityMaintenance {
  /** The delay between two runs. */
  public static final double PERIOD_SECONDS = 0.5;

  private static final Logger LOG = LoggerFactory.getLogger(EntityMaintenance.class);

  private final EventLoop loop;
  private final Membership membership;
  private final PendingQueues pendingQueues;
  private final SchedulingLoop schedulingLoop;
  private final MachineLivenessMonitor liveness;
  private final GangRepair gangRepair;
  private final JobLifecycle jobLifecycle;

  /** Creates the maintenance of the entities that {@code membership} shows as owned. */
  public EntityMaintenance(
      EventLoop loop,
      Membership membership,
      PendingQueues pendingQueues,
      SchedulingLoop schedulingLoop,
      MachineLivenessMonitor liveness,
      GangRepair gangRepair,
      JobLifecycle jobLifecycle) {
    this.loop = loop;
    this.membership = membership;
    this.pendingQueues = pendingQueues;
    this.schedulingLoop = schedulingLoop;
    this.liveness = liveness;
    this.gangRepair = gangRepair;
    this.jobLifecycle = jobLifecycle;
  }

  /** Starts the periodic work. */
  public void start() {
    loop.scheduleWithFixedDelay(PERIOD_SECONDS, this::runOnce);
  }

  private void runOnce() {
    double nowSeconds = loop.monotonicSeconds();
    pendingQueues.retainOnly(membership.ownedEntities());
    for (OwnedEntity entity : membership.ownedEntities()) {
      if (entity.isActive()) {
        maintain(entity, nowSeconds);
      }
    }
  }

  private void maintain(OwnedEntity entity, double nowSeconds) {
    for (Machine machine : List.copyOf(entity.machines().values())) {
      liveness.check(entity, machine, nowSeconds);
    }
    for (Job job : List.copyOf(entity.jobs().values())) {
      gangRepair.stopIncomplete(entity, job, nowSeconds);
      jobLifecycle.handleProgress(entity, job);
    }
    jobLifecycle.flushProgress(entity);
    if (!pendingQueues.orderedJobs(entity).isEmpty()) {
      schedulingLoop.requestPass();
    }
    checkMachinesReconciled(entity, nowSeconds);
  }

  /**
   * Marks the entity's machines as reconciled once each of them has reported or certainly has no
   * tasks. From then on, tasks that were open before the failover or handover and that no heartbeat
   * has shown since may be started.
   */
  private static void checkMachinesReconciled(OwnedEntity entity, double nowSeconds) {
    if (entity.machinesReconciled() || entity.hasUncertainMachine(nowSeconds)) {
      return;
    }
    entity.markMachinesReconciled();
    LOG.info(
        "entity {} version {}: reconciled {} s after its acquisition, all {} machines have reported"
            + " or have no tasks; tasks that no heartbeat has shown may be started",
        entity.id(),
        entity.row().version(),
        MachineLivenessMonitor.roundToTenth(nowSeconds - entity.acquiredAtSeconds()),
        entity.machines().size());
  }
}
