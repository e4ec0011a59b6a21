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

/**
 * Redirects workers to the owners of their machines, or keeps them reporting here until there is an
 * owner.
 *
 * <p>Called on the event loop's thread. Lost with the process: a worker may then be redirected once
 * more to an owner that is dead.
 */
public final class WorkerRouter {
  /** From the expiry of a controller's lease until all others know of it. */
  private static final double EXPIRY_VISIBLE_SECONDS = 0.5;

  private static final int MAX_REDIRECTED = 2_000;

  private final Settings settings;
  private final EventLoop loop;
  private final LeaseTiming leaseTiming;
  private final ClusterView clusterView;
  private final Membership membership;

  /** When each worker was last redirected to its owner. */
  private final Map<MachineId, Double> redirectedAtSeconds = new HashMap<>();

  /** Routes by the owners and the liveness of controllers in the cluster view. */
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
   * The reply to a worker whose machine's entity this controller does not own, or no longer.
   *
   * @param entity the entity if it is just being handed over; null if it is not owned here
   */
  HeartbeatReply route(MachineRow row, OwnedEntity entity, WorkerReport report) {
    ControllerId owner = clusterView.findLatestOwner(row.entity());
    boolean elsewhere =
        owner != null && !owner.equals(settings.self()) && clusterView.isAlive(owner);
    // While the entity has no owner, its workers stay here, where the next owner is soon known.
    // Redirected without a name, each would come back only after it had tried all dead controllers,
    // and a second failure soon after the first would let the leases of a whole fleet expire.
    boolean ownerMissing =
        entity == null && membership.isLeaseValid() && (!elsewhere || cameBackFromOwner(row.id()));
    return ownerMissing
        ? HeartbeatReply.withoutRenewal(report)
        : HeartbeatReply.redirected(elsewhere ? owner.value() : null);
  }

  /**
   * Whether the worker was redirected to its owner just now and is here again: the owner may be
   * dead, which is known only when its lease expires.
   */
  private boolean cameBackFromOwner(MachineId machine) {
    double nowSeconds = loop.monotonicSeconds();
    Double redirectedBefore = redirectedAtSeconds.get(machine);
    if (redirectedBefore != null
        && nowSeconds - redirectedBefore < leaseTiming.ttlSeconds() + EXPIRY_VISIBLE_SECONDS) {
      return true;
    }
    if (redirectedAtSeconds.size() >= MAX_REDIRECTED) {
      redirectedAtSeconds.clear();
    }
    redirectedAtSeconds.put(machine, nowSeconds);
    return false;
  }
}
