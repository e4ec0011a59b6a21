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
 * Sends requests to the other controllers: Kryo messages over HTTP. All of them may fail without
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

  /** Sends to the peers that the settings name. */
  public PeerClient(Settings settings, ClusterView clusterView, HttpClient http, PeerCodec codec) {
    this.settings = settings;
    this.clusterView = clusterView;
    this.http = http;
    this.codec = codec;
  }

  /** Writes and reads a message of each form, so that the classes for it are loaded. */
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

  /** Asks the owner of jobs for what it knows of them. */
  CompletableFuture<List<JobViewMessage>> jobStatuses(ControllerId owner, List<JobId> jobs) {
    String ids = jobs.stream().map(JobId::value).collect(Collectors.joining(" "));
    return call(owner, request(PeerRequestKind.VIEW, ids, 0), TIMEOUT_SECONDS)
        .thenApply(PeerResponse::views);
  }

  /** Asks the owner of a job to cancel it; fails if the owner does not know the job. */
  public CompletableFuture<JobView> cancel(ControllerId owner, JobId id) {
    return call(owner, request(PeerRequestKind.CANCEL, id.value(), 0), CANCEL_TIMEOUT_SECONDS)
        .thenApply(
            reply -> {
              if (!reply.known() || reply.views().isEmpty()) {
                throw new UnknownJobException(owner, id);
              }
              return reply.views().get(0).toView();
            });
  }

  /** Whether a peer hears workers. */
  public CompletableFuture<Boolean> receivesHeartbeats(ControllerId peer) {
    return call(peer, request(PeerRequestKind.HEARS, "", 0), TIMEOUT_SECONDS)
        .thenApply(PeerResponse::known);
  }

  /**
   * Every other controller's state of the configuration; one that does not answer, or does not
   * follow it, has gone by it since never.
   */
  public List<CompletableFuture<ConfigurationState>> configurationStates() {
    List<CompletableFuture<ConfigurationState>> asked = new ArrayList<>();
    for (ControllerId peer : settings.peers().keySet()) {
      ConfigurationState none = new ConfigurationState(peer.value(), 0, -1, 0, false);
      asked.add(
          call(peer, request(PeerRequestKind.CONFIGURATION, peer.value(), 0), TIMEOUT_SECONDS)
              .thenApply(
                  reply -> reply.configuration().isEmpty() ? none : reply.configuration().get(0))
              .exceptionally(failure -> none));
    }
    return asked;
  }

  /** Asks the current owner of this controller's own entity to hand it back. */
  public void askBack(ControllerId owner) {
    Futures.logFailure(
        call(
            owner, request(PeerRequestKind.HAND_BACK, settings.self().value(), 0), TIMEOUT_SECONDS),
        "ask for the own entity back");
  }

  /**
   * Tells all peers what is owned here, so that a former owner whose lease is uncertain stops at
   * once.
   */
  public void announce(Collection<OwnedEntity> entities) {
    entities.forEach(this::announce);
  }

  /** Tells all peers of one entity that is owned here. */
  public void announce(OwnedEntity entity) {
    PeerRequest moved =
        request(PeerRequestKind.MOVED, entity.id().value(), entity.row().version().value());
    settings
        .peers()
        .keySet()
        .forEach(
            peer -> Futures.logFailure(call(peer, moved, TIMEOUT_SECONDS), "announce an entity"));
  }

  /** Asks all peers for machines or quota shares that an entity owned here lacks. */
  public void askFor(ControllerId entity, List<ResourceRequest> requests) {
    callAllAlive(
        new PeerRequest(
            PeerRequestKind.RESOURCES,
            settings.self().value(),
            entity.value(),
            0,
            new ArrayList<>(requests)));
  }

  /** Saves the peers a call to the cloud. */
  public void soldOut(String type, String zone, boolean spot) {
    callAllAlive(request(PeerRequestKind.SOLD_OUT, type + " " + zone + " " + spot, 0));
  }

  /** Asks a peer to lend a part of its budget; completes with what it lends. */
  CompletableFuture<Long> borrowBudget(ControllerId peer, long units) {
    return call(peer, request(PeerRequestKind.BUDGET, "", units), TIMEOUT_SECONDS)
        .thenApply(PeerResponse::number);
  }

  private PeerRequest request(PeerRequestKind kind, String subject, long number) {
    return new PeerRequest(kind, settings.self().value(), subject, number);
  }

  private void callAllAlive(PeerRequest request) {
    settings.peers().keySet().stream()
        .filter(clusterView::isAlive)
        .forEach(peer -> Futures.logFailure(call(peer, request, TIMEOUT_SECONDS), "tell a peer"));
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

  private PeerResponse decode(HttpClient.ClientReply reply) {
    if (!reply.isOk()) {
      throw RequestRejectedException.answered(Receiver.PEER, reply.status());
    }
    try {
      return codec.decode(reply.body(), PeerResponse.class);
    } catch (KryoException exception) {
      throw RequestUndecidedException.unclearAnswer(Receiver.PEER);
    }
  }
}
