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
 * Detects machines whose heartbeats have stopped. No more tasks are placed on such an unresponsive
 * machine. Once its worker's lease has certainly expired, its tasks have terminated ({@link
 * TerminationEvidence#LEASE_OVER}) and may be started elsewhere.
 *
 * <p>Called by {@link EntityMaintenance} on the event loop's thread; has no state. The lease times
 * are kept in {@link Machine}. After a failover the new owner waits for the longest lease that the
 * worker may have.
 */
public final class MachineLivenessMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(MachineLivenessMonitor.class);

  /**
   * A machine is unresponsive after this many heartbeat intervals plus {@link
   * #UNRESPONSIVE_SLACK_SECONDS}.
   */
  private static final double UNRESPONSIVE_INTERVALS = 3;

  private static final double UNRESPONSIVE_SLACK_SECONDS = 1;

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

  /**
   * Checks one machine of an active entity.
   *
   * @param nowSeconds the current time in seconds of the monotonic clock
   */
  void check(OwnedEntity entity, Machine machine, double nowSeconds) {
    if (!machine.row().hasReported()) {
      return;
    }
    machine.recordUse(periodSeconds);
    if (!machine.isUnresponsive()
        && nowSeconds - machine.lastHeartbeatAtSeconds() > unresponsiveAfterSeconds()) {
      markUnresponsive(entity, machine, nowSeconds);
    }
    if (!machine.tasksKnown() && clusterView.anyControllerRepliesWithoutToken()) {
      // During an upgrade, a controller of an earlier release may reply without a fencing token.
      // Such a reply renews the lease of a worker that has seen no token yet. The time is extended
      // until the upgrade is complete or the machine is returned to the provider.
      double tasksGoneAtSeconds =
          nowSeconds + periodSeconds + leaseTiming.tasksGoneAfterReplySeconds();
      machine.extendUnreportedTasksUntil(tasksGoneAtSeconds);
    }
    if (machine.isUnresponsive()
        && isLeaseExpired(machine, nowSeconds)
        && machine.firstValidSession() <= machine.lastSession()) {
      expireLease(entity, machine, nowSeconds);
    }
  }

  private double unresponsiveAfterSeconds() {
    return UNRESPONSIVE_INTERVALS * heartbeatSeconds + UNRESPONSIVE_SLACK_SECONDS;
  }

  private boolean isLeaseExpired(Machine machine, double nowSeconds) {
    return machine.tasksKnown()
        ? nowSeconds - machine.latestLeaseStartSeconds() > leaseTiming.tasksGoneAfterReplySeconds()
        : nowSeconds > machine.unreportedTasksGoneAtSeconds();
  }

  private static void markUnresponsive(OwnedEntity entity, Machine machine, double nowSeconds) {
    machine.markUnresponsive();
    LOG.info(
        "machine {} of entity {} is unresponsive: last heartbeat {} s ago in session {}, {} tasks",
        machine.id(),
        entity.id(),
        roundToTenth(nowSeconds - machine.lastHeartbeatAtSeconds()),
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
        "machine {}: its worker's lease has expired and {} tasks have terminated: last reply {} s"
            + " ago, a lease expires after {} s; has reported under this version: {}",
        machine.id(),
        machine.placements().size(),
        roundToTenth(nowSeconds - machine.latestRenewalAtSeconds()),
        roundToTenth(leaseTiming.tasksGoneAfterReplySeconds()),
        machine.tasksKnown());
    machine.expireLease();
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      entity.removePlacement(placement, nowSeconds, TerminationEvidence.LEASE_OVER);
    }
  }

  /** Rounds to a tenth of a second, for log lines. */
  static double roundToTenth(double seconds) {
    return Math.round(seconds * 10) / 10.0;
  }
}
