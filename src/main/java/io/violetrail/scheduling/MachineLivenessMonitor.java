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
 * Detects machines whose heartbeats stop. First nothing more is placed there; once their worker's
 * lease has expired for certain, their tasks are gone ({@link TerminationEvidence#LEASE_OVER}) and
 * may start elsewhere.
 *
 * <p>Called by {@link EntityMaintenance} on the event loop's thread; has no state. What is known of
 * a machine's lease is in {@link Machine}; after a failover the new owner waits for the longest
 * lease that its worker may have.
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
   * Creates a monitor for all entities of this controller.
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

  /** Checks one machine of an active entity; {@code nowSeconds} is of the monotonic clock. */
  void check(OwnedEntity entity, Machine machine, double nowSeconds) {
    if (!machine.row().hasReported()) {
      return;
    }
    machine.countUse(periodSeconds);
    if (!machine.unresponsive()
        && nowSeconds - machine.lastHeartbeatAtSeconds() > silentAfterSeconds()) {
      markSilent(entity, machine, nowSeconds);
    }
    if (!machine.tasksKnown() && clusterView.anyControllerRepliesWithoutToken()) {
      // Its worker may have seen no token yet, and then that controller's replies renew its lease.
      // This ends with the upgrade, or with the machine's return to the cloud.
      double leaseKeptUntilSeconds =
          nowSeconds + periodSeconds + leaseTiming.tasksGoneAfterReplySeconds();
      machine.extendUnreportedTasksUntil(leaseKeptUntilSeconds);
    }
    if (machine.unresponsive()
        && isLeaseExpired(machine, nowSeconds)
        && machine.firstValidSession() <= machine.lastSession()) {
      expireLease(entity, machine, nowSeconds);
    }
  }

  private double silentAfterSeconds() {
    return SILENT_INTERVALS * heartbeatSeconds + SILENT_SLACK_SECONDS;
  }

  private boolean isLeaseExpired(Machine machine, double nowSeconds) {
    return machine.tasksKnown()
        ? nowSeconds - machine.latestRenewalAtSeconds() > leaseTiming.tasksGoneAfterReplySeconds()
        : nowSeconds > machine.unreportedTasksGoneAtSeconds();
  }

  private static void markSilent(OwnedEntity entity, Machine machine, double nowSeconds) {
    machine.markUnresponsive();
    LOG.info(
        "machine {} of entity {} is silent: last heartbeat {} s ago in session {}, {} tasks",
        machine.id(),
        entity.id(),
        tenths(nowSeconds - machine.lastHeartbeatAtSeconds()),
        machine.lastSession(),
        machine.placements().size());
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      if (placement.isRevocable()) {
        entity.removePlacement(placement, nowSeconds, TerminationEvidence.NEVER_SENT);
      }
    }
  }

  private void expireLease(OwnedEntity entity, Machine machine, double nowSeconds) {
    LOG.info(
        "machine {}: its worker's lease has expired and {} tasks are gone: last reply {} s ago, a"
            + " lease expires after {} s; has reported under this version: {}",
        machine.id(),
        machine.placements().size(),
        tenths(nowSeconds - machine.latestRenewalAtSeconds()),
        tenths(leaseTiming.tasksGoneAfterReplySeconds()),
        machine.tasksKnown());
    machine.expireLease();
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      entity.removePlacement(placement, nowSeconds, TerminationEvidence.LEASE_OVER);
    }
  }

  /** Seconds rounded to a tenth, for log lines. */
  static double tenths(double seconds) {
    return Math.round(seconds * 10) / 10.0;
  }
}
