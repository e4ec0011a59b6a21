package io.violetrail.scheduling;

import io.violetrail.evidence.GoneProof;
import io.violetrail.fleet.Machine;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Timing;
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

  private final Directory directory;
  private final Timing timing;
  private final double heartbeatSeconds;
  private final double periodSeconds;

  /**
   * Made once for a controller.
   *
   * @param heartbeatSeconds the interval at which workers send heartbeats
   * @param periodSeconds the interval at which {@link #check} is called
   */
  public MachineLivenessMonitor(
      Directory directory, Timing timing, double heartbeatSeconds, double periodSeconds) {
    this.directory = directory;
    this.timing = timing;
    this.heartbeatSeconds = heartbeatSeconds;
    this.periodSeconds = periodSeconds;
  }

  /** Looks at one machine of an active entity at the given second of the steady clock. */
  void check(OwnedEntity entity, Machine machine, double now) {
    if (!machine.row().up()) {
      return;
    }
    machine.countUse(periodSeconds);
    if (!machine.silent() && now - machine.heardS() > silentAfterSeconds()) {
      markSilent(entity, machine, now);
    }
    if (!machine.heard() && directory.anyAnswersWithoutToken()) {
      // Its worker may have seen no token yet, and then that controller's answers keep its lease.
      // This ends with the upgrade, or with the machine's return to the cloud.
      double keptUntil = now + periodSeconds + timing.goneAfterAnswerS();
      machine.mayHoldTasksUntil(keptUntil);
    }
    if (machine.silent()
        && leaseIsOver(machine, now)
        && machine.firstSession() <= machine.session()) {
      expireLease(entity, machine, now);
    }
  }

  private double silentAfterSeconds() {
    return SILENT_INTERVALS * heartbeatSeconds + SILENT_SLACK_SECONDS;
  }

  private boolean leaseIsOver(Machine machine, double now) {
    return machine.heard()
        ? now - machine.answeredS() > timing.goneAfterAnswerS()
        : now > machine.unheardGoneS();
  }

  private static void markSilent(OwnedEntity entity, Machine machine, double now) {
    machine.markSilent();
    LOG.info(
        "machine {} of entity {} is silent: last report {} s ago in session {}, {} tasks",
        machine.id(),
        entity.entity(),
        tenths(now - machine.heardS()),
        machine.session(),
        machine.tasks().size());
    for (Placement placement : List.copyOf(machine.tasks().values())) {
      if (placement.revocable()) {
        entity.unplace(placement, now, GoneProof.NEVER_SENT);
      }
    }
  }

  private void expireLease(OwnedEntity entity, Machine machine, double now) {
    LOG.info(
        "machine {}: its worker's lease is over, and so are {} tasks: last answer {} s ago, a lease"
            + " ends after {} s; heard under this version: {}",
        machine.id(),
        machine.tasks().size(),
        tenths(now - machine.answeredS()),
        tenths(timing.goneAfterAnswerS()),
        machine.heard());
    machine.leaseExpired();
    for (Placement placement : List.copyOf(machine.tasks().values())) {
      entity.unplace(placement, now, GoneProof.LEASE_OVER);
    }
  }

  /** Seconds rounded to a tenth, for log lines. */
  static double tenths(double seconds) {
    return Math.round(seconds * 10) / 10.0;
  }
}
