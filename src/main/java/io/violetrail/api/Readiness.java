package io.violetrail.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.configuration.Configuration;
import io.violetrail.configuration.ConfigurationState;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.wire.Cbor;

/** Whether this controller can take users' requests, for the load balancer's health checks. */
public final class Readiness {
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final Configuration configuration;

  /** Answers from the lease, the entities owned here and what is known of the cloud. */
  public Readiness(Membership membership, MachineTypes machineTypes, Configuration configuration) {
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.configuration = configuration;
  }

  /**
   * Whether requests of users can be taken: the own entity is here, and its lease at most lapsing.
   */
  public boolean isReady() {
    OwnedEntity ownEntity = membership.findHomeEntity();
    return ownEntity != null
        && ownEntity.isActive()
        && membership.mayKeepWorkersAlive()
        && !machineTypes.isEmpty();
  }

  /** The body of the answer to a health check that succeeds. */
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
