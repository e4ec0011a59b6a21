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
 * Redirects workers to the owners of their machines' entities, or keeps them reporting here until
 * the entity has an owner.
 *
 * <p>Called on the event loop's thread. The record of redirects is lost with the process: after a
 * restart a worker may be redirected once more to an owner that has failed.
 */
public final class WorkerRouter {
  /** Time from the expiry of a controller's lease until all other controllers know of it. */
  private static final double EXPIRY_PROPAGATION_SECONDS = 0.5;

  private static final int MAX_REMEMBERED_REDIRECTS = 2_000;

  private final Settings settings;
  private final EventLoop loop;
  private final LeaseTiming leaseTiming;
  private final ClusterView clusterView;
  private final Membership membership;

  /** When each worker was last redirected to its owner. */
  private final Map<MachineId, Double> redirectedAtSeconds = new HashMap<>();

  /** Creates a router that takes owners and their liveness from {@code clusterView}. */
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
   * Returns the reply to a worker whose entity this controller does not own or is handing over.
   *
   * @param entity the entity while it is being handed over; null if it is not owned here
   */
  HeartbeatReply route(MachineRow row, OwnedEntity entity, WorkerReport report) {
    ControllerId owner = clusterView.findLatestOwner(row.entity());
    boolean ownedByLivePeer =
        owner != null && !owner.equals(settings.self()) && clusterView.isAlive(owner);
    // While the entity has no owner, its workers keep reporting to this controller, which soon
    // learns the next owner. A worker that is redirected without an owner's name would come back
    // only after it had tried all failed controllers, and a second failure soon after the first
    // would let the leases of a whole fleet expire.
    boolean keepHere =
        entity == null
            && membership.isLeaseValid()
            && (!ownedByLivePeer || hasReturnedFromOwner(row.id()));
    return keepHere
        ? HeartbeatReply.withoutRenewal(report)
        : HeartbeatReply.redirected(ownedByLivePeer ? owner.value() : null);
  }

  /**
   * Returns whether the worker reports here again although it was redirected to its owner a short
   * time ago. The owner may then have failed, which is known only when its lease expires. If not,
   * this records that the worker is being redirected now.
   */
  private boolean hasReturnedFromOwner(MachineId machine) {
    double nowSeconds = loop.monotonicSeconds();
    Double lastRedirectAtSeconds = redirectedAtSeconds.get(machine);
    if (lastRedirectAtSeconds != null
        && nowSeconds - lastRedirectAtSeconds
            < leaseTiming.ttlSeconds() + EXPIRY_PROPAGATION_SECONDS) {
      return true;
    }
    if (redirectedAtSeconds.size() >= MAX_REMEMBERED_REDIRECTS) {
      redirectedAtSeconds.clear();
    }
    redirectedAtSeconds.put(machine, nowSeconds);
    return false;
  }
}
