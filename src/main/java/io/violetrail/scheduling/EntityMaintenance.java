package io.violetrail.scheduling;

import io.violetrail.api.JobLifecycle;
import io.violetrail.fleet.Machine;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The periodic work on each owned entity: silent machines, incomplete gangs, unstored progress. */
public final class EntityMaintenance {
  /** How often it runs. */
  public static final double PERIOD_SECONDS = 0.5;

  private static final Logger LOG = LoggerFactory.getLogger(EntityMaintenance.class);

  private final EventLoop loop;
  private final Membership membership;
  private final PendingQueues pendingQueues;
  private final SchedulingLoop schedulingLoop;
  private final MachineLivenessMonitor liveness;
  private final GangRepair gangRepair;
  private final JobLifecycle jobLifecycle;

  /** Works on what the membership says is owned here. */
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

  /** Begins the periodic work. */
  public void start() {
    loop.scheduleWithFixedDelay(PERIOD_SECONDS, this::runOnce);
  }

  private void runOnce() {
    double now = loop.monotonicSeconds();
    pendingQueues.retainOnly(membership.ownedEntities());
    for (OwnedEntity entity : membership.ownedEntities()) {
      if (entity.isActive()) {
        maintain(entity, now);
      }
    }
  }

  private void maintain(OwnedEntity entity, double now) {
    for (Machine machine : List.copyOf(entity.machines().values())) {
      liveness.check(entity, machine, now);
    }
    for (Job job : List.copyOf(entity.jobs().values())) {
      gangRepair.stopIncomplete(entity, job, now);
      jobLifecycle.handleProgress(entity, job);
    }
    jobLifecycle.flushProgress(entity);
    if (!pendingQueues.inOrder(entity).isEmpty()) {
      schedulingLoop.requestPass();
    }
    noteRecovery(entity, now);
  }

  /** From here on tasks start that were open before the move and that no report has shown since. */
  private static void noteRecovery(OwnedEntity entity, double now) {
    if (entity.machinesReconciled() || entity.hasUncertainMachine(now)) {
      return;
    }
    entity.markMachinesReconciled();
    LOG.info(
        "entity {} version {}: {} s after the move all of {} machines have reported or hold"
            + " nothing; what no report shows may start",
        entity.id(),
        entity.row().version(),
        MachineLivenessMonitor.tenths(now - entity.acquiredAtSeconds()),
        entity.machines().size());
  }
}
