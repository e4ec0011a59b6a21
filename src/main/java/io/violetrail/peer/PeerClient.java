package io.violetrail.peer;

import com.esotericsoftware.kryo.KryoException;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.configuration.ConfigurationState;
import io.violetrail.errors.PeerUnavailableException;
import io.violetrail.errors.Receiver;
import io.violetrail.errors.RequestRejectedException;
import io.violetrail.errors.RequestUndecidedException;
import io.violetrail.errors.UnknownJobException;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.peer.PeerMessages.JobViewMessage;
import io.violetrail.peer.PeerMessages.PeerRequest;
import io.violetrail.peer.PeerMessages.PeerRequestKind;
import io.violetrail.peer.PeerMessages.PeerResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/**
 * Sends requests to the other controllers, as Kryo messages over HTTP. A failed request does no
 * harm.
 */
public final class PeerClient {
  static final String PATH = "/peer";
  private static final double TIMEOUT_SECONDS = 1.2;
  private static final double CANCEL_TIMEOUT_SECONDS = 3;

  private final Settings settings;
  private final ClusterView clusterView;
  private final HttpClient http;
  private final PeerCodec codec;

  /** Creates a client for the peers that the settings name. */
  public PeerClient(Settings settings, ClusterView clusterView, HttpClient http, PeerCodec codec) {
    this.settings = settings;
    this.clusterView = clusterView;
    this.http = http;
    this.codec = codec;
  }

  /** Encodes and decodes a message of each form, so that the classes needed for it are loaded. */
  public static void exerciseCodec(JobSpec spec) {
    PeerCodec codec = new PeerCodec();
    ArrayList<ResourceRequest> requests =
        new ArrayList<>(List.of(ResourceRequest.forMachines(spec, 1, 0, 1, false, true)));
    codec.decode(
        codec.encode(new PeerRequest(PeerRequestKind.RESOURCES, "a", "b", 0, requests)),
        PeerRequest.class);
    codec.decode(
        codec.encode(PeerResponse.of(new JobView("a", JobView.JobStatus.DONE, 1, 0))),
        PeerResponse.class);
  }

  /**
   * Queries an owner for the states of jobs. The reply leaves out jobs that the owner does not
   * know.
   */
  CompletableFuture<List<JobViewMessage>> queryJobViews(ControllerId owner, List<JobId> jobs) {
    String ids = jobs.stream().map(JobId::value).collect(Collectors.joining(" "));
    return call(owner, newRequest(PeerRequestKind.VIEW, ids, 0), TIMEOUT_SECONDS)
        .thenApply(PeerResponse::views);
  }

  /**
   * Asks the owner of a job to cancel it. Fails with {@link UnknownJobException} if the owner does
   * not know the job or if the cancellation failed there.
   */
  public CompletableFuture<JobView> cancel(ControllerId owner, JobId id) {
    return call(owner, newRequest(PeerRequestKind.CANCEL, id.value(), 0), CANCEL_TIMEOUT_SECONDS)
        .thenApply(
            reply -> {
              if (!reply.known() || reply.views().isEmpty()) {
                throw new UnknownJobException(owner, id);
              }
              return reply.views().get(0).toView();
            });
  }

  /** Asks whether a peer receives heartbeats from workers. */
  public CompletableFuture<Boolean> receivesHeartbeats(ControllerId peer) {
    return call(peer, newRequest(PeerRequestKind.HEARS, "", 0), TIMEOUT_SECONDS)
        .thenApply(PeerResponse::known);
  }

  /**
   * Requests the configuration state of every other controller. For one that does not reply, or
   * that does not follow the configuration, the state has revision 0 and was never confirmed.
   */
  public List<CompletableFuture<ConfigurationState>> configurationStates() {
    List<CompletableFuture<ConfigurationState>> states = new ArrayList<>();
    for (ControllerId peer : settings.peers().keySet()) {
      ConfigurationState unconfirmed = new ConfigurationState(peer.value(), 0, -1, 0, false);
      states.add(
          call(peer, newRequest(PeerRequestKind.CONFIGURATION, peer.value(), 0), TIMEOUT_SECONDS)
              .thenApply(
                  reply ->
                      reply.configuration().isEmpty() ? unconfirmed : reply.configuration().get(0))
              .exceptionally(failure -> unconfirmed));
    }
    return states;
  }

  /** Asks the current owner of this controller's home entity to hand it back. */
  public void requestHandback(ControllerId owner) {
    Futures.logFailure(
        call(
            owner,
            newRequest(PeerRequestKind.HAND_BACK, settings.self().value(), 0),
            TIMEOUT_SECONDS),
        "request the handback of the home entity");
  }

  /**
   * Announces the entities that are owned here to all peers, so that a former owner whose lease is
   * uncertain stops at once.
   */
  public void announceOwnership(Collection<OwnedEntity> entities) {
    entities.forEach(this::announceOwnership);
  }

  /** Announces one entity that is owned here to all peers. */
  public void announceOwnership(OwnedEntity entity) {
    PeerRequest announcement =
        newRequest(PeerRequestKind.MOVED, entity.id().value(), entity.row().version().value());
    settings
        .peers()
        .keySet()
        .forEach(
            peer ->
                Futures.logFailure(
                    call(peer, announcement, TIMEOUT_SECONDS),
                    "announce the ownership of an entity"));
  }

  /** Asks all live peers for machines or quota shares that an entity owned here lacks. */
  public void requestResources(ControllerId entity, List<ResourceRequest> requests) {
    callLivePeers(
        new PeerRequest(
            PeerRequestKind.RESOURCES,
            settings.self().value(),
            entity.value(),
            0,
            new ArrayList<>(requests)));
  }

  /**
   * Announces to all live peers that the cloud has no machines of this offering for now, which
   * saves the peers a call to the cloud.
   */
  public void announceSoldOut(String type, String zone, boolean spot) {
    callLivePeers(newRequest(PeerRequestKind.SOLD_OUT, type + " " + zone + " " + spot, 0));
  }

  /**
   * Asks a peer to lend a part of its write budget; completes with the units that the peer lends.
   */
  CompletableFuture<Long> borrowBudget(ControllerId peer, long units) {
    return call(peer, newRequest(PeerRequestKind.BUDGET, "", units), TIMEOUT_SECONDS)
        .thenApply(PeerResponse::number);
  }

  private PeerRequest newRequest(PeerRequestKind kind, String subject, long number) {
    return new PeerRequest(kind, settings.self().value(), subject, number);
  }

  private void callLivePeers(PeerRequest request) {
    settings.peers().keySet().stream()
        .filter(clusterView::isAlive)
        .forEach(peer -> Futures.logFailure(call(peer, request, TIMEOUT_SECONDS), "notify a peer"));
  }

  private CompletableFuture<PeerResponse> call(
      ControllerId peer, PeerRequest request, double timeoutSeconds) {
    HostPort address = settings.peers().get(peer);
    if (address == null) {
      return CompletableFuture.failedFuture(PeerUnavailableException.notConfigured(peer));
    }
    return http.call(address, "POST", PATH, codec.encode(request), timeoutSeconds)
        .thenApply(this::decode);
  }

  private PeerResponse decode(HttpClient.ClientResponse reply) {
    if (!reply.isOk()) {
      throw RequestRejectedException.repliedWithStatus(Receiver.PEER, reply.status());
    }
    try {
      return codec.decode(reply.body(), PeerResponse.class);
    } catch (KryoException exception) {
      throw RequestUndecidedException.malformedReply(Receiver.PEER);
    }
  }
}
