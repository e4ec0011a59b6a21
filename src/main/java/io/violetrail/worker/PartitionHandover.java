package io.violetrail.worker;

import io.violetrail.model.ControllerId;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.peer.PeerClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Hands over the entities of a controller that is partitioned from its workers to a peer that
 * receives heartbeats. It uses the same conditional write as any other handover.
 *
 * <p>Used only by {@link WorkerReachability}, on the event loop's thread.
 */
public final class PartitionHandover {
  private final Set<ControllerId> peers;
  private final ClusterView clusterView;
  private final Membership membership;
  private final PeerClient peerClient;
  private boolean inFlight;

  /** Creates a handover whose candidates are the given peers. */
  public PartitionHandover(
      Set<ControllerId> peers,
      ClusterView clusterView,
      Membership membership,
      PeerClient peerClient) {
    this.peers = peers;
    this.clusterView = clusterView;
    this.membership = membership;
    this.peerClient = peerClient;
  }

  /**
   * Asks the live peers one after another whether they receive heartbeats, and hands all owned
   * entities to the first that does. Does nothing if an earlier attempt is in flight or this
   * controller owns no entity.
   *
   * @param stillPartitioned evaluated before each step; the attempt ends once it returns false
   */
  void handOverEntities(BooleanSupplier stillPartitioned) {
    if (inFlight || membership.ownedEntities().isEmpty()) {
      return;
    }
    inFlight = true;
    askNextPeer(new ArrayList<>(peers), stillPartitioned);
  }

  private void askNextPeer(List<ControllerId> candidates, BooleanSupplier stillPartitioned) {
    candidates.removeIf(peer -> !clusterView.isAlive(peer));
    if (candidates.isEmpty() || !stillPartitioned.getAsBoolean()) {
      inFlight = false;
      return;
    }
    ControllerId peer = candidates.remove(0);
    Futures.logFailure(
        peerClient
            .receivesHeartbeats(peer)
            .whenComplete(
                (receivesHeartbeats, failure) -> {
                  if (failure == null && receivesHeartbeats && stillPartitioned.getAsBoolean()) {
                    inFlight = false;
                    membership.ownedEntities().forEach(entity -> membership.handOver(entity, peer));
                  } else {
                    askNextPeer(candidates, stillPartitioned);
                  }
                }),
        "ask whether a peer receives heartbeats");
  }
}
