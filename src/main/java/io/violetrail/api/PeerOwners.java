package io.violetrail.api;

import io.violetrail.model.ControllerId;
import io.violetrail.ownership.ClusterView;

/** Which other controller owns an entity, as of the rows that this controller has seen last. */
public final class PeerOwners {
  private final ControllerId self;
  private final ClusterView clusterView;

  /** Looks owners up in the cluster view; {@code self} never counts as a peer. */
  public PeerOwners(ControllerId self, ClusterView clusterView) {
    this.self = self;
    this.clusterView = clusterView;
  }

  /** The peer that owns the entity, alive or not; null if there is none. */
  ControllerId findPeerOwning(ControllerId entity) {
    ControllerId owner = clusterView.findLatestOwner(entity);
    return self.equals(owner) ? null : owner;
  }

  /** The peer that owns the entity and whose lease has not expired; null if there is none. */
  ControllerId findLivePeerOwning(ControllerId entity) {
    ControllerId owner = findPeerOwning(entity);
    return owner != null && clusterView.isAlive(owner) ? owner : null;
  }
}
