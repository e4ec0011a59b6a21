package io.violetrail.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.configuration.Configuration;
import io.violetrail.configuration.ConfigurationState;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.wire.Cbor;

/** Decides for the load balancer's health checks whether this controller can serve users. */
public final class Readiness {
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final Configuration configuration;

  /** Creates a check of this controller's lease, its home entity and the known machine types. */
  public Readiness(Membership membership, MachineTypes machineTypes, Configuration configuration) {
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.configuration = configuration;
  }

  /**
   * Returns whether users' requests can be served: this controller's home entity is active here,
   * its lease is valid or has been uncertain for less than the keep-alive grace period, and the
   * machine types are known.
   */
  public boolean isReady() {
    OwnedEntity homeEntity = membership.findHomeEntity();
    return homeEntity != null
        && homeEntity.isActive()
        && membership.mayRenewWorkerLeases()
        && !machineTypes.isEmpty();
  }

  /** Returns the body of the answer to a successful health check. */
  ObjectNode describe() {
    ObjectNode body = Cbor.newMap().put("status", "ready");
    ConfigurationState state = configuration.findState();
    if (state != null) {
      body.putObject("configuration")
          .put("revision", state.revision())
          .put("confirmed_ms_ago", state.confirmedMsAgo())
          .put("fresh", state.fresh());
    }
    return body;
  }
}
