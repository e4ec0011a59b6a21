package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.ownership.StateSchema.OwnershipHistory;

/**
 * Computes the row for the next owner of an entity. This class has no state and writes nothing;
 * registration, failover and handover each write the row under their own conditions.
 *
 * <p>The new version is higher than the former version and than the terms of all of the entity's
 * machines, so workers accept the next owner's fencing token and reject the former owner's.
 */
final class EntitySuccession {
  private final Settings settings;
  private final EventLoop loop;
  private final ClusterView clusterView;
  private final LeaseTiming leaseTiming;

  EntitySuccession(
      Settings settings, EventLoop loop, ClusterView clusterView, LeaseTiming leaseTiming) {
    this.settings = settings;
    this.loop = loop;
    this.clusterView = clusterView;
    this.leaseTiming = leaseTiming;
  }

  /** Returns the row of an entity that no controller has owned before. */
  EntityRow firstRow(ControllerId firstOwner) {
    return new EntityRow(
        firstOwner,
        Version.firstOwnedBy(settings.indexOf(firstOwner)),
        true,
        historyAfter(OwnershipHistory.NONE, false),
        0);
  }

  /**
   * Returns the row that moves an entity to a new owner.
   *
   * @param acquiredGracefully whether the former owner handed the entity over
   * @param isFailover whether this move is a failover after lease expiry; false when a controller
   *     registers again and reacquires its home entity, even if that is not graceful
   */
  EntityRow nextRow(
      EntityRow row, ControllerId newOwner, boolean acquiredGracefully, boolean isFailover) {
    return new EntityRow(
        row.entity(),
        highestVersionOrTerm(row).nextOwnedBy(settings.indexOf(newOwner)),
        acquiredGracefully,
        historyAfter(row.history(), isFailover),
        0);
  }

  private OwnershipHistory historyAfter(OwnershipHistory history, boolean isFailover) {
    return leaseTiming.historyAfterMove(history, loop.wallMillis(), isFailover);
  }

  private Version highestVersionOrTerm(EntityRow row) {
    Version highest = row.version();
    for (MachineRow machineRow : clusterView.machineRowsOf(row.entity())) {
      if (machineRow.term().compareTo(highest) > 0) {
        highest = machineRow.term();
      }
    }
    return highest;
  }
}
