package io.violetrail.peer;

import com.esotericsoftware.kryo.KryoException;
import com.google.common.base.Splitter;
import io.violetrail.api.JobStateLookup;
import io.violetrail.api.KnownJobs;
import io.violetrail.api.LocalCancellation;
import io.violetrail.configuration.Configuration;
import io.violetrail.configuration.ConfigurationState;
import io.violetrail.fleet.MachineOffering;
import io.violetrail.fleet.SoldOutOfferings;
import io.violetrail.fleet.TransferRequests;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.model.Version;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestHandler;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.peer.PeerMessages.JobViewMessage;
import io.violetrail.peer.PeerMessages.PeerRequest;
import io.violetrail.peer.PeerMessages.PeerResponse;
import io.violetrail.worker.WorkerReachability;
import java.util.ArrayList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers the other controllers' requests. Stateless. Called on the event loop's thread. */
public final class PeerService implements RequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(PeerService.class);

  private final Membership membership;
  private final Configuration configuration;
  private final KnownJobs knownJobs;
  private final JobStateLookup jobStates;
  private final LocalCancellation localCancellation;
  private final WorkerReachability workerReachability;
  private final TransferRequests transferRequests;
  private final SoldOutOfferings soldOutOfferings;
  private final WriteBudgetLending lending;
  private final PeerCodec codec;

  /** Creates a service that answers from the given components. */
  public PeerService(
      Membership membership,
      Configuration configuration,
      KnownJobs knownJobs,
      JobStateLookup jobStates,
      LocalCancellation localCancellation,
      WorkerReachability workerReachability,
      TransferRequests transferRequests,
      SoldOutOfferings soldOutOfferings,
      WriteBudgetLending lending,
      PeerCodec codec) {
    this.membership = membership;
    this.configuration = configuration;
    this.knownJobs = knownJobs;
    this.jobStates = jobStates;
    this.localCancellation = localCancellation;
    this.workerReachability = workerReachability;
    this.transferRequests = transferRequests;
    this.soldOutOfferings = soldOutOfferings;
    this.lending = lending;
    this.codec = codec;
  }

  @Override
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> respond) {
    if (!PeerClient.PATH.equals(path) || !"POST".equals(method)) {
      respond.accept(HttpResponse.empty(404));
      return;
    }
    PeerRequest request;
    try {
      request = codec.decode(body, PeerRequest.class);
    } catch (KryoException exception) {
      LOG.info("rejected a malformed message from a peer: {}", exception.getMessage());
      respond.accept(HttpResponse.empty(400));
      return;
    }
    handle(
        request,
        reply ->
            respond.accept(
                new HttpResponse(200, codec.encode(reply), 0, "application/octet-stream")));
  }

  private void handle(PeerRequest request, Consumer<PeerResponse> respond) {
    switch (request.kind()) {
      case VIEW -> respond.accept(jobViews(request.subject()));
      case CANCEL -> cancel(new JobId(request.subject()), respond);
      case HEARS ->
          respond.accept(
              workerReachability.receivesHeartbeats()
                  ? PeerResponse.POSITIVE
                  : PeerResponse.NEGATIVE);
      case BUDGET -> respond.accept(PeerResponse.of(lending.lend(request.number())));
      case CONFIGURATION -> respond.accept(configurationState());
      default -> {
        handleNotice(request);
        respond.accept(PeerResponse.NEGATIVE);
      }
    }
  }

  /** Handles a notice. The reply to it has no content. */
  private void handleNotice(PeerRequest request) {
    switch (request.kind()) {
      case HAND_BACK -> handOver(request);
      case SOLD_OUT -> markSoldOut(request.subject());
      case RESOURCES ->
          transferRequests.handleRequests(new ControllerId(request.subject()), request.requests());
      case MOVED ->
          membership.onOwnershipAnnounced(
              new ControllerId(request.subject()), new Version(request.number()));
      default ->
          throw new IllegalArgumentException(
              "request of kind "
                  + request.kind()
                  + " is not a notice; expected HAND_BACK, SOLD_OUT, RESOURCES or MOVED");
    }
  }

  private void handOver(PeerRequest request) {
    OwnedEntity entity = membership.findOwnedEntity(new ControllerId(request.subject()));
    if (entity != null && request.subject().equals(request.from())) {
      membership.handOver(entity, new ControllerId(request.from()));
    }
  }

  private void markSoldOut(String subject) {
    String[] offeringFields = subject.split(" ", 3);
    if (offeringFields.length == 3) {
      soldOutOfferings.mark(
          new MachineOffering(
              offeringFields[0], offeringFields[1], Boolean.parseBoolean(offeringFields[2])));
    }
  }

  private PeerResponse configurationState() {
    ConfigurationState state = configuration.findState();
    return state == null ? PeerResponse.NEGATIVE : PeerResponse.of(state);
  }

  private PeerResponse jobViews(String ids) {
    ArrayList<JobViewMessage> knownViews = new ArrayList<>();
    for (String idText : Splitter.on(' ').limit(JobQueryBatcher.MAX_JOBS_PER_MESSAGE).split(ids)) {
      JobId id = new JobId(idText);
      JobView view = jobStates.findKnownView(id);
      if (view != null) {
        knownViews.add(JobViewMessage.of(view, knownJobs.findEntityOf(id)));
      }
    }
    return new PeerResponse(true, knownViews);
  }

  private void cancel(JobId id, Consumer<PeerResponse> respond) {
    Optional<CompletableFuture<JobView>> cancellation = localCancellation.tryCancel(id);
    if (cancellation.isEmpty()) {
      respond.accept(PeerResponse.NEGATIVE);
      return;
    }
    Futures.logFailure(
        cancellation
            .get()
            .whenComplete(
                (view, failure) ->
                    respond.accept(
                        failure == null ? PeerResponse.of(view) : PeerResponse.NEGATIVE)),
        "cancel a job for a peer");
  }
}
