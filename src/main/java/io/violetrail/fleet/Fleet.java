package io.violetrail.fleet;

import io.violetrail.net.Loop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;

/** Scales the fleet of each owned entity in and out, once a second. */
public final class Fleet {
  private static final double PERIOD_SECONDS = 1;

  private final Loop loop;
  private final Membership membership;
  private final MachineTypeRefresh machineTypeRefresh;
  private final ScaleIn scaleIn;
  private final ScaleOut scaleOut;
  private final Hires hires;
  private final Inventory inventory;

  /** Works on what the membership says is owned here. */
  public Fleet(
      Loop loop,
      Membership membership,
      MachineTypeRefresh machineTypeRefresh,
      ScaleIn scaleIn,
      ScaleOut scaleOut,
      Hires hires,
      Inventory inventory) {
    this.loop = loop;
    this.membership = membership;
    this.machineTypeRefresh = machineTypeRefresh;
    this.scaleIn = scaleIn;
    this.scaleOut = scaleOut;
    this.hires = hires;
    this.inventory = inventory;
  }

  /** Begins the periodic work, and asks for the machine types at once. */
  public void start() {
    loop.every(PERIOD_SECONDS, this::runOnce);
    loop.execute(machineTypeRefresh::refresh);
  }

  private void runOnce() {
    double now = loop.seconds();
    scaleOut.drawTaste();
    hires.tick(now);
    if (!membership.valid()) {
      return;
    }
    for (OwnedEntity entity : membership.holdings()) {
      if (entity.active()) {
        scaleIn.returnUseless(entity, now);
        hires.repeat(entity);
        scaleOut.rent(entity, now);
      }
    }
    machineTypeRefresh.refresh();
    machineTypeRefresh.store();
    inventory.tick(now);
  }
}
