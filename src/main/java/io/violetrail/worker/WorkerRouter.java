package io.violetrail.worker;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.LeaseTiming;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.HashMap;
import java.util.Map;

/** Sends workers to the owners of their machines, or lets them stay here until there is one. */
public final class WorkerRouter {
  /** From a lapse of a controller's lease until it is known everywhere. */
  private static final double LAPSE_SHOWS_SECONDS = 0.5;

  private static final int MAX_REDIRECTED = 2_000;

  private final Settings settings;
  private final EventLoop loop;
  private final LeaseTiming leaseTiming;
  private final ClusterView clusterView;
  private final Membership membership;

  /** When each worker was last told to report to its owner. */
  private final Map<MachineId, Double> redirectedAtSeconds = new HashMap<>();

  /** Routes by what the directory knows of owners. */
  public WorkerRouter(
      Settings settings,
      EventLoop loop,
      LeaseTiming leaseTiming,
      ClusterView clusterView,
      Membership membership) {
    this.settings = settings;
    this.loop = loop;
    this.leaseTiming = leaseTiming;
    this.clusterView = clusterView;
    this.membership = membership;
  }

  /**
   * The answer to a worker whose machine's entity this controller does not lead.
   *
   * @param entity the entity if it is just being handed over; null if it is not owned here
   */
  HeartbeatReply route(MachineRow row, OwnedEntity entity, WorkerReport report) {
    ControllerId owner = clusterView.findLatestOwner(row.entity());
    boolean elsewhere =
        owner != null && !owner.equals(settings.self()) && clusterView.isAlive(owner);
    // While the entity has no owner, its workers stay here, where the next one is soon known.
    // Sent away, each came back only after all dead controllers, and a second failure soon after
    // the first then ended the leases of a whole fleet.
    boolean withoutOwner =
        entity == null && membership.isLeaseValid() && (!elsewhere || cameBackSoon(row.id()));
    return withoutOwner
        ? HeartbeatReply.withoutRenewal(report)
        : HeartbeatReply.redirected(elsewhere ? owner.value() : null);
  }

  /**
   * Whether the worker was sent to its owner just now and is here again: the owner may be dead,
   * which shows only when its lease lapses.
   */
  private boolean cameBackSoon(MachineId machine) {
    double now = loop.monotonicSeconds();
    Double before = redirectedAtSeconds.get(machine);
    if (before != null && now - before < leaseTiming.ttlSeconds() + LAPSE_SHOWS_SECONDS) {
      return true;
    }
    if (redirectedAtSeconds.size() >= MAX_REDIRECTED) {
      redirectedAtSeconds.clear();
    }
    redirectedAtSeconds.put(machine, now);
    return false;
  }
}
