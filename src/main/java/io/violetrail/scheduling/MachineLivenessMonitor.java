package io.violetrail.scheduling;

import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.fleet.Machine;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.LeaseTiming;
import io.violetrail.ownership.OwnedEntity;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices machines that stop sending heartbeats: first nothing more is placed there, and once their
 * worker's lease is certainly over their tasks are gone and may start elsewhere.
 */
public final class MachineLivenessMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(MachineLivenessMonitor.class);

  /** A machine is silent after this many heartbeat intervals, and a second on top. */
  private static final double SILENT_INTERVALS = 3;

  private static final double SILENT_SLACK_SECONDS = 1;

  private final ClusterView clusterView;
  private final LeaseTiming leaseTiming;
  private final double heartbeatSeconds;
  private final double periodSeconds;

  /**
   * Made once for a controller.
   *
   * @param heartbeatSeconds the interval at which workers send heartbeats
   * @param periodSeconds the interval at which {@link #check} is called
   */
  public MachineLivenessMonitor(
      ClusterView clusterView,
      LeaseTiming leaseTiming,
      double heartbeatSeconds,
      double periodSeconds) {
    this.clusterView = clusterView;
    this.leaseTiming = leaseTiming;
    this.heartbeatSeconds = heartbeatSeconds;
    this.periodSeconds = periodSeconds;
  }

  /** Looks at one machine of an active entity at the given second of the steady clock. */
  void check(OwnedEntity entity, Machine machine, double now) {
    if (!machine.row().hasReported()) {
      return;
    }
    machine.countUse(periodSeconds);
    if (!machine.unresponsive() && now - machine.lastHeartbeatAtSeconds() > silentAfterSeconds()) {
      markSilent(entity, machine, now);
    }
    if (!machine.tasksKnown() && clusterView.anyControllerRepliesWithoutToken()) {
      // Its worker may have seen no token yet, and then that controller's answers keep its lease.
      // This ends with the upgrade, or with the machine's return to the cloud.
      double keptUntil = now + periodSeconds + leaseTiming.tasksGoneAfterReplySeconds();
      machine.extendUnreportedTasksUntil(keptUntil);
    }
    if (machine.unresponsive()
        && leaseIsOver(machine, now)
        && machine.firstValidSession() <= machine.lastSession()) {
      expireLease(entity, machine, now);
    }
  }

  private double silentAfterSeconds() {
    return SILENT_INTERVALS * heartbeatSeconds + SILENT_SLACK_SECONDS;
  }

  private boolean leaseIsOver(Machine machine, double now) {
    return machine.tasksKnown()
        ? now - machine.lastAnsweredAtSeconds() > leaseTiming.tasksGoneAfterReplySeconds()
        : now > machine.unreportedTasksGoneAtSeconds();
  }

  private static void markSilent(OwnedEntity entity, Machine machine, double now) {
    machine.markUnresponsive();
    LOG.info(
        "machine {} of entity {} is silent: last report {} s ago in session {}, {} tasks",
        machine.id(),
        entity.id(),
        tenths(now - machine.lastHeartbeatAtSeconds()),
        machine.lastSession(),
        machine.placements().size());
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      if (placement.isRevocable()) {
        entity.removePlacement(placement, now, TerminationEvidence.NEVER_SENT);
      }
    }
  }

  private void expireLease(OwnedEntity entity, Machine machine, double now) {
    LOG.info(
        "machine {}: its worker's lease is over, and so are {} tasks: last answer {} s ago, a lease"
            + " ends after {} s; heard under this version: {}",
        machine.id(),
        machine.placements().size(),
        tenths(now - machine.lastAnsweredAtSeconds()),
        tenths(leaseTiming.tasksGoneAfterReplySeconds()),
        machine.tasksKnown());
    machine.expireLease();
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      entity.removePlacement(placement, now, TerminationEvidence.LEASE_OVER);
    }
  }

  /** Seconds rounded to a tenth, for log lines. */
  static double tenths(double seconds) {
    return Math.round(seconds * 10) / 10.0;
  }
}
