package io.violetrail.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
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
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The scale-out requests of the entities that this controller owns, from the decision to rent until
 * all rented machines are recorded. A request's stored row survives a crash, and the entity's next
 * owner resumes the request. Called on the event loop's thread by {@link ScaleOut}, by recovery and
 * by the handler of peers' messages.
 */
public final class ScaleOutRequests {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);

  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final Membership membership;
  private final PeerClient peerClient;
  private final CloudClient cloud;
  private final SoldOutOfferings soldOutOfferings;

  /** Requests whose rows are not removed yet, by request name. */
  private final Map<String, ScaleOutRequest> requestsByName = new HashMap<>();

  /** Creates an object for one controller, without any requests. */
  public ScaleOutRequests(
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      Membership membership,
      PeerClient peerClient,
      CloudClient cloud,
      SoldOutOfferings soldOutOfferings) {
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.membership = membership;
    this.peerClient = peerClient;
    this.cloud = cloud;
    this.soldOutOfferings = soldOutOfferings;
  }

  /**
   * Requests up to {@code wantedCount} machines, limited by {@code MAX_MACHINES_PER_RENTAL}. Does
   * nothing if the rate limit for calls to the provider is exhausted.
   */
  void requestMachines(OwnedEntity entity, MachineOffering offering, int wantedCount) {
    int count = Math.min(wantedCount, CloudMessages.MAX_MACHINES_PER_RENTAL);
    if (!cloud.tryAcquireCall()) {
      return;
    }
    ScaleOutRequest request =
        ScaleOutRequest.storing(entity, entity.nextScaleOutRequestId(), offering, count);
    requestsByName.put(request.name(), request);
    // The request is stored before it is sent, so that the entity's next owner repeats it after a
    // crash. Otherwise its machines would be paid for without an owner.
    Futures.logFailure(
        store
            .commit(
                entity
                    .fencedTransaction()
                    .ifRevision(rowKey(request), 0)
                    .put(rowKey(request), encode(request)))
            .whenComplete(
                (outcome, failure) -> {
                  if (failure == null && isStored(request, outcome)) {
                    request.markStored();
                    sendRequest(request);
                  } else {
                    forget(request);
                    membership.relist();
                  }
                }),
        "store a scale-out request");
  }

  /**
   * Removes exactly this request. A later ownership of the entity may have resumed the request of
   * the same name from its row by the time that a write of this one ends.
   */
  private void forget(ScaleOutRequest request) {
    requestsByName.remove(request.name(), request);
  }

  private static String rowKey(ScaleOutRequest request) {
    return StateSchema.scaleOutRequestPrefix(request.entity().id()) + request.name();
  }

  private static ObjectNode encode(ScaleOutRequest request) {
    return Cbor.newMap()
        .put("type", request.offering().type())
        .put("zone", request.offering().zone())
        .put("spot", request.offering().spot())
        .put("count", request.count());
  }

  /**
   * Returns whether the request's row is stored. If the write was refused although the entity is
   * still owned, the row already exists: request names are unique, so an earlier attempt of the
   * same write was applied.
   */
  private static boolean isStored(ScaleOutRequest request, TransactionOutcome outcome) {
    return outcome.applied()
        || !outcome.failedKeys().contains(StateSchema.entityKey(request.entity().id()));
  }

  /**
   * Sends the entity's requests that have no conclusive answer, as far as the rate limit allows.
   */
  void resendUnanswered(OwnedEntity entity) {
    for (ScaleOutRequest request : List.copyOf(requestsByName.values())) {
      if (request.entity() == entity && request.maySend() && cloud.tryAcquireCall()) {
        sendRequest(request);
      }
    }
  }

  /** Removes the requests of entities that are no longer owned. */
  void removeStale() {
    requestsByName.values().removeIf(request -> request.entity().phase() == OwnedEntity.Phase.LOST);
  }

  /** Returns how many requested machines of an entity are not recorded yet, by offering. */
  Map<MachineOffering, Integer> pendingMachineCounts(OwnedEntity entity) {
    Map<MachineOffering, Integer> countByOffering = new HashMap<>();
    for (ScaleOutRequest request : requestsByName.values()) {
      if (request.entity() == entity && !request.isRecorded()) {
        countByOffering.merge(request.offering(), request.count(), Integer::sum);
      }
    }
    return countByOffering;
  }

  private void sendRequest(ScaleOutRequest request) {
    request.startCall();
    MachineOffering offering = request.offering();
    Futures.logFailure(
        cloud
            .rentMachines(
                request.name(), offering.type(), offering.zone(), offering.spot(), request.count())
            .whenComplete(
                (result, failure) -> {
                  if (failure != null || result.outcome() == RentalOutcome.UNCERTAIN) {
                    request.markUncertain();
                  } else {
                    handleAnswer(request, result.machines());
                  }
                }),
        "rent machines");
  }

  private void handleAnswer(ScaleOutRequest request, List<MachineId> machines) {
    MachineOffering offering = request.offering();
    LOG.info(
        "entity {}: scale-out request {} for {} machines of {} answered, rented: {}",
        request.entity().id(),
        request.name(),
        request.count(),
        offering,
        machines);
    if (machines.size() < request.count()) {
      soldOutOfferings.mark(offering);
      peerClient.announceSoldOut(offering.type(), offering.zone(), offering.spot());
    }
    request.startRecording();
    recordMachines(request, machines);
  }

  /** Records the rented machines that are not adopted already, then removes the request. */
  private void recordMachines(ScaleOutRequest request, List<MachineId> machines) {
    OwnedEntity entity = request.entity();
    List<MachineRow> rows = new ArrayList<>();
    for (MachineId machineId : machines) {
      // A late write may restore a request's row after it was removed. The answer to the repeated
      // request then names machines that were terminated long ago.
      if (clusterView.findMachineRow(machineId) == null && !clusterView.wasTerminated(machineId)) {
        rows.add(newRow(request, machineId));
      }
    }
    Futures.logFailure(
        entity
            .machineRecords()
            .addAll(rows)
            .whenComplete(
                (ignored, failure) -> {
                  request.markRecorded();
                  membership.notifyRowsChanged();
                  if (entity.phase() == OwnedEntity.Phase.LOST) {
                    forget(request);
                  } else {
                    removeRow(request);
                  }
                }),
        "record rented machines");
  }

  private MachineRow newRow(ScaleOutRequest request, MachineId machineId) {
    MachineOffering offering = request.offering();
    return new MachineRow(
        machineId,
        request.entity().id(),
        offering.type(),
        offering.zone(),
        offering.spot(),
        false,
        Version.NONE,
        loop.wallMillis());
  }

  private void removeRow(ScaleOutRequest request) {
    Futures.logFailure(
        store
            .commit(request.entity().fencedTransaction().delete(rowKey(request)))
            .whenComplete((outcome, failure) -> forget(request)),
        "remove a scale-out request");
  }

  /** Resumes the requests that a former owner of the entity has stored. */
  public void resumeRequests(OwnedEntity entity, List<Entry> entries) {
    for (Entry entry : entries) {
      String name = entry.key().substring(StateSchema.scaleOutRequestPrefix(entity.id()).length());
      MachineOffering offering =
          new MachineOffering(
              entry.value().path("type").asText(),
              entry.value().path("zone").asText(),
              entry.value().path("spot").asBoolean());
      requestsByName.put(
          name,
          ScaleOutRequest.stored(entity, name, offering, entry.value().path("count").asInt()));
    }
  }
}
