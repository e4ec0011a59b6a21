package io.violetrail.api;

import io.violetrail.model.ControllerId;
import io.violetrail.ownership.ClusterView;

/**
 * Finds the other controllers that own entities, as far as this controller's cluster view knows.
 */
public final class PeerOwners {
  private final ControllerId self;
  private final ClusterView clusterView;

  /** Creates a lookup in the cluster view; {@code self} is never returned as a peer. */
  public PeerOwners(ControllerId self, ClusterView clusterView) {
    this.self = self;
    this.clusterView = clusterView;
  }

  /**
   * Returns the peer that owns the entity, whether or not its lease is valid, or null if no peer is
   * known to own it.
   */
  ControllerId findPeerOwning(ControllerId entity) {
    ControllerId owner = clusterView.findLatestOwner(entity);
    return self.equals(owner) ? null : owner;
  }

  /**
   * Returns the peer that owns the entity and whose lease is not known to have expired, or null if
   * there is none.
   */
  ControllerId findLivePeerOwning(ControllerId entity) {
    ControllerId owner = findPeerOwning(entity);
    return owner != null && clusterView.isAlive(owner) ? owner : null;
  }
}
