package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.ownership.StateSchema.OwnershipHistory;

/**
 * Works out the row under which an entity's next owner owns it. It has no state of its own and
 * writes nothing: registration, failover and handover each write the row on conditions of theirs.
 *
 * <p>The new version is above the former one and above the term of each of the entity's machines,
 * so that workers accept the next owner's fencing token and drop the former owner's.
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

  /** The row of an entity that no controller has owned before. */
  EntityRow firstRow(ControllerId firstOwner) {
    return new EntityRow(
        firstOwner,
        Version.firstOwnedBy(settings.indexOf(firstOwner)),
        true,
        historyAfter(OwnershipHistory.NONE, false),
        0);
  }

  /**
   * The row that moves an entity on.
   *
   * @param acquiredGracefully whether the former owner has let go of the entity itself
   * @param isFailover whether this very move takes the entity over after lease expiry; a controller
   *     that starts again takes its home entity back without, though that need not be graceful
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
