package io.violetrail.fleet;

import io.violetrail.net.EventLoop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;

/**
 * Scales the fleet of each owned entity in and out, once a second on the event loop's thread, while
 * this controller's lease is valid.
 */
public final class Autoscaler {
  private static final double PERIOD_SECONDS = 1;

  private final EventLoop loop;
  private final Membership membership;
  private final MachineTypeRefresh machineTypeRefresh;
  private final ScaleIn scaleIn;
  private final ScaleOut scaleOut;
  private final ScaleOutRequests scaleOutRequests;
  private final OrphanedMachines orphanedMachines;

  /** Works on what the membership says is owned here. */
  public Autoscaler(
      EventLoop loop,
      Membership membership,
      MachineTypeRefresh machineTypeRefresh,
      ScaleIn scaleIn,
      ScaleOut scaleOut,
      ScaleOutRequests scaleOutRequests,
      OrphanedMachines orphanedMachines) {
    this.loop = loop;
    this.membership = membership;
    this.machineTypeRefresh = machineTypeRefresh;
    this.scaleIn = scaleIn;
    this.scaleOut = scaleOut;
    this.scaleOutRequests = scaleOutRequests;
    this.orphanedMachines = orphanedMachines;
  }

  /** Begins the periodic work, and asks for the machine types at once. */
  public void start() {
    loop.scheduleWithFixedDelay(PERIOD_SECONDS, this::runOnce);
    loop.execute(machineTypeRefresh::refresh);
  }

  private void runOnce() {
    double nowSeconds = loop.monotonicSeconds();
    scaleOut.drawTieBreak();
    scaleOutRequests.dropStale(nowSeconds);
    if (!membership.isLeaseValid()) {
      return;
    }
    for (OwnedEntity entity : membership.ownedEntities()) {
      if (entity.isActive()) {
        scaleIn.returnUseless(entity, nowSeconds);
        scaleOutRequests.resendUncertain(entity);
        scaleOut.rent(entity, nowSeconds);
      }
    }
    machineTypeRefresh.refresh();
    machineTypeRefresh.store();
    orphanedMachines.scanIfDue(nowSeconds);
  }
}
