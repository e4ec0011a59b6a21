package io.violetrail.api;

import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.Status;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.net.Service;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.peer.PeerClient;
import io.violetrail.peer.PeerJobViews;
import io.violetrail.tracing.Traces;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.Malformed;
import io.violetrail.wire.JobWire;
import io.violetrail.worker.HeartbeatHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What users, workers and health checks ask of a controller. */
public final class UserApi implements Service {
  private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);
  private static final String WORK = "/work";
  private static final String ABORT = "/abort";
  private static final int MAX_BODY = 64 * 1024;

  /** Below the 2 s that users wait for a poll, and the 5 s for the rest. */
  private static final double POLL_S = 1.8;

  private static final double CHANGE_S = 4.5;

  private final Loop loop;
  private final Settings settings;
  private final Directory directory;
  private final Membership membership;
  private final PeerClient peers;
  private final PeerJobViews peerJobViews;
  private final Jobs jobs;
  private final JobStateLookup jobStates;
  private final Intake intake;
  private final HeartbeatHandler heartbeats;
  private final Readiness readiness;
  private final Traces traces;
  private final Metrics metrics;

  /** Serves the paths of what is off unless it is switched on; answers 404 if nothing is. */
  private Service optionalService = UserApi::notFound;

  /** Serves requests through the given parts. */
  public UserApi(
      Loop loop,
      Settings settings,
      Directory directory,
      Membership membership,
      PeerClient peers,
      PeerJobViews peerJobViews,
      Jobs jobs,
      JobStateLookup jobStates,
      Intake intake,
      HeartbeatHandler heartbeats,
      Readiness readiness,
      Traces traces,
      Metrics metrics) {
    this.loop = loop;
    this.settings = settings;
    this.directory = directory;
    this.membership = membership;
    this.peers = peers;
    this.peerJobViews = peerJobViews;
    this.jobs = jobs;
    this.jobStates = jobStates;
    this.intake = intake;
    this.heartbeats = heartbeats;
    this.readiness = readiness;
    this.traces = traces;
    this.metrics = metrics;
  }

  /**
   * Serves further paths beside those known here.
   *
   * @param next makes the service from the one that served what is unknown so far
   */
  public void addOptionalService(UnaryOperator<Service> next) {
    optionalService = next.apply(optionalService);
  }

  private static void notFound(String method, String path, byte[] body, Consumer<Answer> done) {
    done.accept(Answer.empty(404));
  }

  @Override
  public void handle(String method, String target, byte[] body, Consumer<Answer> done) {
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    boolean post = "POST".equals(method);
    boolean get = "GET".equals(method);
    if (path.equals("/agent/beat")) {
      allow(post, done, () -> heartbeats.handle(body, metrics.timed("beat", done)));
    } else if (path.equals("/ready")) {
      allow(
          get,
          done,
          () ->
              done.accept(
                  readiness.isReady()
                      ? Answer.of(200, readiness.describe())
                      : Answer.later("not ready")));
    } else if (path.equals(WORK)) {
      allow(post, done, () -> submit(body, metrics.timed("submit", within(CHANGE_S, done))));
    } else if (path.startsWith(WORK + "/") && path.endsWith(ABORT)) {
      String id =
          path.substring(
              WORK.length() + 1, Math.max(WORK.length() + 1, path.length() - ABORT.length()));
      allow(post, done, () -> abort(id, metrics.timed("abort", within(CHANGE_S, done))));
    } else if (path.startsWith(WORK + "/")) {
      allow(
          get,
          done,
          () ->
              poll(path.substring(WORK.length() + 1), metrics.timed("poll", within(POLL_S, done))));
    } else if (path.equals("/metrics")) {
      allow(get, done, () -> done.accept(Answer.text(metrics.text())));
    } else if (path.equals("/traces") && traces != Traces.NONE) {
      allow(get, done, () -> done.accept(Answer.text(traces.text())));
    } else {
      optionalService.handle(method, target, body, done);
    }
  }

  private static void allow(boolean method, Consumer<Answer> done, Runnable action) {
    if (method) {
      action.run();
    } else {
      done.accept(Answer.empty(405));
    }
  }

  /** Answers at most once, and in time. */
  private Consumer<Answer> within(double seconds, Consumer<Answer> done) {
    AtomicBoolean answered = new AtomicBoolean();
    var timer =
        loop.after(
            seconds,
            () -> {
              if (answered.compareAndSet(false, true)) {
                done.accept(Answer.later("no decision in time"));
              }
            });
    return answer -> {
      if (answered.compareAndSet(false, true)) {
        timer.cancel();
        done.accept(answer);
      }
    };
  }

  private void submit(byte[] body, Consumer<Answer> done) {
    JobSpec spec;
    JobId id = null;
    try {
      if (body.length > MAX_BODY) {
        throw new Malformed("the body is too long");
      }
      var map = Cbor.parse(body);
      id =
          JobId.wellFormed(map.path("name_id").asText(null))
              ? new JobId(map.get("name_id").asText())
              : null;
      if (id != null && (jobs.terminalView(id) != null || jobs.boundTo(id) != null)) {
        answerKnown(id, done);
        return;
      }
      spec = JobWire.submitted(map);
      if (Cbor.bytes(JobWire.spec(spec)).length > settings.stateLimits().valueBytes() / 2) {
        throw new Malformed("the job's description is too long");
      }
    } catch (Malformed e) {
      malformed(id, e.getMessage(), done);
      return;
    }
    Futures.logFailure(
        intake
            .admit(spec, null)
            .thenAccept(
                decision -> {
                  switch (decision.verdict()) {
                    case ACCEPTED ->
                        done.accept(
                            Answer.of(
                                201,
                                JobWire.view(new JobView(spec.id().value(), Status.QUEUED, 0, 0))));
                    case KNOWN -> answerKnown(spec.id(), done);
                    case IMPOSSIBLE -> done.accept(Answer.error(422, decision.why()));
                    default -> done.accept(Answer.later(decision.why()));
                  }
                }),
        "admit a job");
  }

  /**
   * A repeat of an accepted job is never refused, whatever its other fields say: users send what
   * they have of it. Where its id cannot be told there is nothing to look for.
   */
  private void malformed(JobId id, String why, Consumer<Answer> done) {
    LOG.debug("submission refused: {}", why);
    if (id == null) {
      done.accept(Answer.error(400, why));
      return;
    }
    Futures.logFailure(
        jobs.lookUp(id)
            .whenComplete(
                (found, failure) -> {
                  if (failure != null) {
                    done.accept(Answer.later("the state service does not answer"));
                  } else if (found.absent()) {
                    done.accept(Answer.error(400, why));
                  } else {
                    answerKnown(id, done);
                  }
                }),
        "answer a question about a job");
  }

  private void answerKnown(JobId id, Consumer<Answer> done) {
    Futures.logFailure(
        resolve(id)
            .whenComplete(
                (view, failure) ->
                    done.accept(
                        failure != null || view == null
                            ? Answer.later("the job's state is not known now")
                            : Answer.of(200, JobWire.view(view)))),
        "answer with a job's state");
  }

  private void poll(String text, Consumer<Answer> done) {
    if (!JobId.wellFormed(text)) {
      done.accept(Answer.empty(404));
      return;
    }
    Futures.logFailure(
        resolve(new JobId(text))
            .whenComplete(
                (view, failure) -> {
                  if (failure != null) {
                    done.accept(Answer.later("the job's state is not known now"));
                  } else {
                    done.accept(
                        view == null ? Answer.empty(404) : Answer.of(200, JobWire.view(view)));
                  }
                }),
        "answer with a job's state");
  }

  /** The current state of a job; null only if it is proven that there is no such job. */
  private CompletableFuture<JobView> resolve(JobId id) {
    JobView here = jobStates.knownView(id);
    if (here != null) {
      return CompletableFuture.completedFuture(here);
    }
    ControllerId entity = jobs.boundTo(id);
    if (entity == null) {
      // After a start nothing is known of all the jobs that users ask about. With a read for each
      // in the state service's budget, some were not answered for minutes.
      return orElse(fromAnyone(id), () -> fromRows(id));
    }
    return orElse(fromOwner(id, entity), () -> stored(id));
  }

  private static CompletableFuture<JobView> orElse(
      CompletableFuture<JobView> first, Supplier<CompletableFuture<JobView>> second) {
    return first.exceptionallyCompose(failure -> second.get());
  }

  private CompletableFuture<JobView> fromRows(JobId id) {
    return jobs.lookUp(id)
        .thenCompose(
            found -> {
              if (found.openAt() == null) {
                return CompletableFuture.completedFuture(found.view());
              }
              return fromOwner(id, found.openAt()).exceptionally(f -> found.asStored());
            });
  }

  /** What any peer knows for sure, as its owner or because the job is over; fails if none does. */
  private CompletableFuture<JobView> fromAnyone(JobId id) {
    CompletableFuture<JobView> first = new CompletableFuture<>();
    List<CompletableFuture<JobView>> all =
        settings.peers().keySet().stream()
            .filter(directory::isAlive)
            .map(p -> peerJobViews.view(p, id))
            .toList();
    all.forEach(
        f -> Futures.logFailure(f.thenAccept(first::complete), "take the first peer's answer"));
    Futures.logFailure(
        CompletableFuture.allOf(all.toArray(CompletableFuture[]::new))
            .whenComplete(
                (nothing, failure) ->
                    first.completeExceptionally(new IllegalStateException("no peer knows"))),
        "wait for all peers' answers");
    return first;
  }

  private CompletableFuture<JobView> stored(JobId id) {
    return jobs.lookUp(id)
        .thenApply(found -> found.view() != null ? found.view() : found.asStored());
  }

  private CompletableFuture<JobView> fromOwner(JobId id, ControllerId entity) {
    ControllerId owner = peerThatOwns(entity);
    if (owner == null) {
      return CompletableFuture.failedFuture(new IllegalStateException("no owner to ask"));
    }
    return peerJobViews.view(owner, id);
  }

  /** The peer that owns the entity and is alive; null if there is none. */
  private ControllerId peerThatOwns(ControllerId entity) {
    ControllerId owner = directory.ownerOf(entity);
    boolean peer = owner != null && !owner.equals(settings.self()) && directory.isAlive(owner);
    return peer ? owner : null;
  }

  private void abort(String text, Consumer<Answer> done) {
    if (!JobId.wellFormed(text)) {
      done.accept(Answer.empty(404));
      return;
    }
    JobId id = new JobId(text);
    JobView over = jobs.terminalView(id);
    if (over != null) {
      done.accept(Answer.of(200, JobWire.view(over)));
      return;
    }
    OwnedEntity h = jobStates.entityOfOpenJob(id);
    if (h != null && membership.valid()) {
      answer(jobs.cancel(h, h.jobs().get(id)), done);
      return;
    }
    ControllerId bound = jobs.boundTo(id);
    ControllerId owner = bound == null ? null : peerThatOwns(bound);
    if (owner == null) {
      abortByRows(id, done);
      return;
    }
    Futures.logFailure(
        peers
            .cancel(owner, id)
            .whenComplete(
                (view, failure) -> {
                  if (failure == null && view.status().terminal()) {
                    done.accept(Answer.of(200, JobWire.view(view)));
                  } else {
                    // The owner may not remember a job that ended long ago.
                    abortByRows(id, done);
                  }
                }),
        "cancel a job at its owner");
  }

  private void abortByRows(JobId id, Consumer<Answer> done) {
    Futures.logFailure(
        jobs.lookUp(id)
            .whenComplete(
                (found, failure) -> {
                  if (failure != null) {
                    done.accept(Answer.later("the state service does not answer"));
                  } else if (found.absent()) {
                    done.accept(Answer.empty(404));
                  } else if (found.view() != null) {
                    done.accept(Answer.of(200, JobWire.view(found.view())));
                  } else {
                    ControllerId owner = directory.ownerOf(found.openAt());
                    if (owner == null || owner.equals(settings.self())) {
                      done.accept(Answer.later("the job's owner is not ready"));
                    } else {
                      answer(peers.cancel(owner, id), done);
                    }
                  }
                }),
        "look a job up for its cancellation");
  }

  private static void answer(CompletableFuture<JobView> view, Consumer<Answer> done) {
    Futures.logFailure(
        view.whenComplete(
            (v, failure) -> {
              if (failure != null || !v.status().terminal()) {
                done.accept(Answer.later("the cancellation is not stored yet"));
              } else {
                done.accept(Answer.of(200, JobWire.view(v)));
              }
            }),
        "answer a cancellation");
  }
}
