package io.violetrail.fleet;

import io.violetrail.cloud.CloudClient;
import io.violetrail.cloud.CloudClient.RentalOutcome;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.peer.PeerClient;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.CloudMessages;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rental requests, from the decision until every machine that came of them is recorded. */
public final class ScaleOutRequests {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);
  private static final double SOLD_OUT_SECONDS = 20;

  /** Cheap machines come back rarely, and asking uses up calls. */
  private static final double SOLD_OUT_SPOT_SECONDS = 75;

  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final Membership membership;
  private final PeerClient peerClient;
  private final CloudClient cloud;

  /** Rental requests whose outcome is not known yet, by name. */
  private final Map<String, ScaleOutRequest> requestsByName = new HashMap<>();

  /** Until when a type, zone and kind counts as sold out. */
  private final Map<MachineOffering, Double> soldOutUntilSeconds = new HashMap<>();

  /** What can be rented. */
  public record MachineOffering(String type, String zone, boolean spot) {}

  private static final class ScaleOutRequest {
    final OwnedEntity entity;
    final String name;
    final MachineOffering offering;
    final int count;
    boolean callInFlight;

    /** Its machines are known one by one. */
    boolean machinesRecorded;

    ScaleOutRequest(OwnedEntity entity, String name, MachineOffering offering, int count) {
      this.entity = entity;
      this.name = name;
      this.offering = offering;
      this.count = count;
    }
  }

  /** Stores requests before the cloud hears of them, and records what came of them. */
  public ScaleOutRequests(
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      Membership membership,
      PeerClient peerClient,
      CloudClient cloud) {
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.membership = membership;
    this.peerClient = peerClient;
    this.cloud = cloud;
  }

  /** Rents machines, as many as one request may ask for. */
  void requestMachines(OwnedEntity entity, MachineOffering offering, int wantedCount) {
    int count = Math.min(wantedCount, CloudMessages.MAX_MACHINES_PER_RENTAL);
    if (!cloud.tryAcquireCall()) {
      return;
    }
    ScaleOutRequest request =
        new ScaleOutRequest(entity, entity.nextScaleOutRequestId(), offering, count);
    request.callInFlight = true;
    requestsByName.put(request.name, request);
    var storedRequest =
        Cbor.newMap()
            .put("type", offering.type())
            .put("zone", offering.zone())
            .put("spot", offering.spot())
            .put("count", count);
    // The name is stored before the cloud hears it: whoever owns the entity next repeats the
    // request.
    Futures.logFailure(
        store
            .commit(
                entity
                    .fencedTransaction()
                    .ifRevision(StateSchema.scaleOutRequestPrefix(entity.id()) + request.name, 0)
                    .put(
                        StateSchema.scaleOutRequestPrefix(entity.id()) + request.name,
                        storedRequest))
            .whenComplete(
                (outcome, failure) -> {
                  request.callInFlight = false;
                  // "Exists" can only mean that an earlier try of this write got through: names are
                  // unique.
                  boolean stored =
                      failure == null
                          && (outcome.applied()
                              || !outcome
                                  .failedKeys()
                                  .contains(StateSchema.entityKey(entity.id())));
                  if (!stored) {
                    requestsByName.remove(request.name);
                    membership.relist();
                  } else {
                    sendRequest(request);
                  }
                }),
        "store a request for machines");
  }

  /** Repeats the entity's requests that have no certain answer yet. */
  void resendUncertain(OwnedEntity entity) {
    for (ScaleOutRequest request : List.copyOf(requestsByName.values())) {
      if (request.entity == entity && !request.callInFlight && cloud.tryAcquireCall()) {
        sendRequest(request);
      }
    }
  }

  /** Lets go of what concerns nobody here any more. */
  void dropStale(double nowSeconds) {
    requestsByName.values().removeIf(request -> request.entity.phase() == OwnedEntity.Phase.LOST);
    soldOutUntilSeconds.values().removeIf(until -> until < nowSeconds);
  }

  boolean isSoldOut(MachineOffering offering) {
    return soldOutUntilSeconds.containsKey(offering);
  }

  /** Machines asked for in an entity's name whose names are not known yet. */
  Map<MachineOffering, Integer> pendingMachineCounts(OwnedEntity entity) {
    Map<MachineOffering, Integer> countByOffering = new HashMap<>();
    for (ScaleOutRequest request : requestsByName.values()) {
      if (request.entity == entity && !request.machinesRecorded) {
        countByOffering.merge(request.offering, request.count, Integer::sum);
      }
    }
    return countByOffering;
  }

  private void sendRequest(ScaleOutRequest request) {
    request.callInFlight = true;
    MachineOffering offering = request.offering;
    Futures.logFailure(
        cloud
            .rentMachines(
                request.name, offering.type(), offering.zone(), offering.spot(), request.count)
            .whenComplete(
                (result, failure) -> {
                  request.callInFlight = false;
                  if (failure != null || result.outcome() == RentalOutcome.UNCERTAIN) {
                    return;
                  }
                  LOG.info(
                      "entity {}: hire {} of {} {}: {}",
                      request.entity.id(),
                      request.name,
                      request.count,
                      offering,
                      result.machines());
                  if (result.machines().size() < request.count) {
                    markSoldOut(offering);
                    peerClient.soldOut(offering.type(), offering.zone(), offering.spot());
                  }
                  request.callInFlight = true;
                  recordMachines(request, result.machines());
                }),
        "rent machines");
  }

  /** The cloud has none of these for now. */
  public void markSoldOut(MachineOffering offering) {
    soldOutUntilSeconds.put(
        offering,
        loop.monotonicSeconds() + (offering.spot() ? SOLD_OUT_SPOT_SECONDS : SOLD_OUT_SECONDS));
  }

  /** Records the machines rented, each unless somebody has adopted it, and drops the request. */
  private void recordMachines(ScaleOutRequest request, List<MachineId> machines) {
    OwnedEntity entity = request.entity;
    List<MachineRow> rows = new ArrayList<>();
    for (MachineId machineId : machines) {
      // A request's row may come back by a late write after it was dropped; the cloud's answer to
      // its repeat then names machines that are long gone.
      if (clusterView.findMachineRow(machineId) == null && !clusterView.wasTerminated(machineId)) {
        MachineOffering offering = request.offering;
        rows.add(
            new MachineRow(
                machineId,
                entity.id(),
                offering.type(),
                offering.zone(),
                offering.spot(),
                false,
                Version.NONE,
                loop.wallMillis()));
      }
    }
    Futures.logFailure(
        entity
            .machineRecords()
            .addAll(rows)
            .whenComplete(
                (nothing, failure) -> {
                  request.machinesRecorded = true;
                  membership.rowsChanged();
                  if (entity.phase() == OwnedEntity.Phase.LOST) {
                    requestsByName.remove(request.name);
                    return;
                  }
                  Futures.logFailure(
                      store
                          .commit(
                              entity
                                  .fencedTransaction()
                                  .delete(
                                      StateSchema.scaleOutRequestPrefix(entity.id())
                                          + request.name))
                          .whenComplete(
                              (outcome, dropFailure) -> requestsByName.remove(request.name)),
                      "remove a request for machines");
                }),
        "record rented machines");
  }

  /** Repeats the rental requests that a former owner left open. */
  public void resumeRequests(OwnedEntity entity, List<Entry> entries) {
    for (Entry entry : entries) {
      String name = entry.key().substring(StateSchema.scaleOutRequestPrefix(entity.id()).length());
      MachineOffering offering =
          new MachineOffering(
              entry.value().path("type").asText(),
              entry.value().path("zone").asText(),
              entry.value().path("spot").asBoolean());
      requestsByName.put(
          name, new ScaleOutRequest(entity, name, offering, entry.value().path("count").asInt()));
    }
  }
}
