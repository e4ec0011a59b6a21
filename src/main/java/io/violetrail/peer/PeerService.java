package io.violetrail.peer;

import com.esotericsoftware.kryo.KryoException;
import com.google.common.base.Splitter;
import io.violetrail.api.JobStateLookup;
import io.violetrail.api.Jobs;
import io.violetrail.configuration.Configuration;
import io.violetrail.configuration.ConfigurationState;
import io.violetrail.fleet.Hires;
import io.violetrail.fleet.Hires.Offer;
import io.violetrail.fleet.TransferRequests;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.model.Version;
import io.violetrail.net.Futures;
import io.violetrail.net.Service;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.peer.PeerMessages.JobStatus;
import io.violetrail.peer.PeerMessages.Reply;
import io.violetrail.peer.PeerMessages.Request;
import io.violetrail.worker.WorkerReachability;
import java.util.ArrayList;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers the other controllers' requests. */
public final class PeerService implements Service {
  private static final Logger LOG = LoggerFactory.getLogger(PeerService.class);

  private final Membership membership;
  private final Configuration configuration;
  private final Jobs jobs;
  private final JobStateLookup jobStates;
  private final WorkerReachability reachability;
  private final TransferRequests transfers;
  private final Hires hires;
  private final BudgetLending lending;
  private final PeerCodec codec;

  /** Answers from the given parts. */
  public PeerService(
      Membership membership,
      Configuration configuration,
      Jobs jobs,
      JobStateLookup jobStates,
      WorkerReachability reachability,
      TransferRequests transfers,
      Hires hires,
      BudgetLending lending,
      PeerCodec codec) {
    this.membership = membership;
    this.configuration = configuration;
    this.jobs = jobs;
    this.jobStates = jobStates;
    this.reachability = reachability;
    this.transfers = transfers;
    this.hires = hires;
    this.lending = lending;
    this.codec = codec;
  }

  @Override
  public void handle(String method, String path, byte[] body, Consumer<Answer> done) {
    if (!PeerClient.PATH.equals(path) || !"POST".equals(method)) {
      done.accept(Answer.empty(404));
      return;
    }
    Request request;
    try {
      request = codec.decode(body, Request.class);
    } catch (KryoException e) {
      LOG.info("a peer's message is unclear: {}", e.getMessage());
      done.accept(Answer.empty(400));
      return;
    }
    handle(
        request,
        reply -> done.accept(new Answer(200, codec.encode(reply), 0, "application/octet-stream")));
  }

  private void handle(Request request, Consumer<Reply> done) {
    switch (request.kind()) {
      case VIEW -> done.accept(jobStatuses(request.subject()));
      case CANCEL -> cancel(new JobId(request.subject()), done);
      case HEARS -> done.accept(reachability.hears() ? Reply.YES : Reply.UNKNOWN);
      case BUDGET -> done.accept(Reply.of(lending.lend(request.number())));
      case CONFIGURATION -> done.accept(configurationState());
      default -> {
        take(request);
        done.accept(Reply.UNKNOWN);
      }
    }
  }

  /** Takes what needs no answer of its own. */
  private void take(Request request) {
    switch (request.kind()) {
      case HAND_BACK -> handBack(request);
      case SOLD_OUT -> soldOut(request.subject());
      case RESOURCES -> transfers.asked(new ControllerId(request.subject()), request.requests());
      case MOVED ->
          membership.told(new ControllerId(request.subject()), new Version(request.number()));
      default -> throw new IllegalArgumentException("not a notice: " + request.kind());
    }
  }

  private void handBack(Request request) {
    OwnedEntity entity = membership.holding(new ControllerId(request.subject()));
    if (entity != null && request.subject().equals(request.from())) {
      membership.release(entity, new ControllerId(request.from()));
    }
  }

  private void soldOut(String subject) {
    String[] offer = subject.split(" ", 3);
    if (offer.length == 3) {
      hires.soldOut(new Offer(offer[0], offer[1], Boolean.parseBoolean(offer[2])));
    }
  }

  private Reply configurationState() {
    ConfigurationState state = configuration.state();
    return state == null ? Reply.UNKNOWN : Reply.of(state);
  }

  private Reply jobStatuses(String ids) {
    ArrayList<JobStatus> known = new ArrayList<>();
    for (String text : Splitter.on(' ').limit(Views.MOST).split(ids)) {
      JobId id = new JobId(text);
      JobView view = jobStates.knownView(id);
      if (view != null) {
        known.add(JobStatus.of(view, jobs.boundTo(id)));
      }
    }
    return new Reply(true, known);
  }

  private void cancel(JobId id, Consumer<Reply> done) {
    JobView ended = jobs.terminalView(id);
    OwnedEntity entity = jobStates.entityOfOpenJob(id);
    if (ended != null) {
      done.accept(Reply.of(ended));
    } else if (entity == null || !membership.valid()) {
      done.accept(Reply.UNKNOWN);
    } else {
      Futures.logFailure(
          jobs.cancel(entity, entity.jobs().get(id))
              .whenComplete(
                  (view, failure) -> done.accept(failure == null ? Reply.of(view) : Reply.UNKNOWN)),
          "cancel a job for a peer");
    }
  }
}
