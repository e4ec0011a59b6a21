package io.violetrail.fleet;

import io.violetrail.net.EventLoop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;

/**
 * Scales the fleet of each active owned entity in and out, once a second on the event loop's
 * thread, while this controller's lease is valid.
 */
public final class Autoscaler {
  private static final double PERIOD_SECONDS = 1;

  private final EventLoop loop;
  private final Membership membership;
  private final MachineTypeRefresh machineTypeRefresh;
  private final ScaleIn scaleIn;
  private final ScaleOut scaleOut;
  private final ScaleOutRequests scaleOutRequests;
  private final SoldOutOfferings soldOutOfferings;
  private final OrphanedMachines orphanedMachines;

  /** Creates an autoscaler for the entities that the membership lists as owned. */
  public Autoscaler(
      EventLoop loop,
      Membership membership,
      MachineTypeRefresh machineTypeRefresh,
      ScaleIn scaleIn,
      ScaleOut scaleOut,
      ScaleOutRequests scaleOutRequests,
      SoldOutOfferings soldOutOfferings,
      OrphanedMachines orphanedMachines) {
    this.loop = loop;
    this.membership = membership;
    this.machineTypeRefresh = machineTypeRefresh;
    this.scaleIn = scaleIn;
    this.scaleOut = scaleOut;
    this.scaleOutRequests = scaleOutRequests;
    this.soldOutOfferings = soldOutOfferings;
    this.orphanedMachines = orphanedMachines;
  }

  /** Starts the periodic passes, and fetches the machine types at once. */
  public void start() {
    loop.scheduleWithFixedDelay(PERIOD_SECONDS, this::runOnce);
    loop.execute(machineTypeRefresh::refreshIfStale);
  }

  private void runOnce() {
    double nowSeconds = loop.monotonicSeconds();
    scaleOut.drawTieBreak();
    scaleOutRequests.removeStale();
    soldOutOfferings.removeExpired(nowSeconds);
    if (!membership.isLeaseValid()) {
      return;
    }
    for (OwnedEntity entity : membership.ownedEntities()) {
      if (entity.isActive()) {
        scaleIn.returnUnneededMachines(entity, nowSeconds);
        scaleOutRequests.resendUnanswered(entity);
        scaleOut.rentForPendingTasks(entity, nowSeconds);
      }
    }
    machineTypeRefresh.refreshIfStale();
    machineTypeRefresh.storeIfMissing();
    orphanedMachines.scanIfDue(nowSeconds);
  }
}
