package io.violetrail.api;

import io.violetrail.config.Settings;
import io.violetrail.errors.PeerUnavailableException;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestHandler;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.peer.PeerClient;
import io.violetrail.peer.PeerJobViews;
import io.violetrail.tracing.JobTracer;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.JobMessages;
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
public final class UserApi implements RequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);
  private static final String JOBS_PATH = "/work";
  private static final String CANCEL_PATH_SUFFIX = "/abort";
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** Below the 2 s that users wait for a poll, and the 5 s for the rest. */
  private static final double QUERY_TIMEOUT_SECONDS = 1.8;

  private static final double CHANGE_TIMEOUT_SECONDS = 4.5;

  private final EventLoop loop;
  private final Settings settings;
  private final ClusterView clusterView;
  private final Membership membership;
  private final PeerClient peerClient;
  private final PeerJobViews peerJobViews;
  private final JobLifecycle jobLifecycle;
  private final JobStateLookup jobStates;
  private final JobAdmission jobAdmission;
  private final HeartbeatHandler heartbeatHandler;
  private final Readiness readinessBody;
  private final JobTracer jobTracer;
  private final Metrics metrics;

  /** Serves the paths of what is off unless it is switched on; answers 404 if nothing is. */
  private RequestHandler optionalService = UserApi::notFound;

  /** Serves requests through the given parts. */
  public UserApi(
      EventLoop loop,
      Settings settings,
      ClusterView clusterView,
      Membership membership,
      PeerClient peerClient,
      PeerJobViews peerJobViews,
      JobLifecycle jobLifecycle,
      JobStateLookup jobStates,
      JobAdmission jobAdmission,
      HeartbeatHandler heartbeatHandler,
      Readiness readiness,
      JobTracer jobTracer,
      Metrics metrics) {
    this.loop = loop;
    this.settings = settings;
    this.clusterView = clusterView;
    this.membership = membership;
    this.peerClient = peerClient;
    this.peerJobViews = peerJobViews;
    this.jobLifecycle = jobLifecycle;
    this.jobStates = jobStates;
    this.jobAdmission = jobAdmission;
    this.heartbeatHandler = heartbeatHandler;
    this.readinessBody = readiness;
    this.jobTracer = jobTracer;
    this.metrics = metrics;
  }

  /**
   * Serves further paths beside those known here.
   *
   * @param next makes the service from the one that served what is unknown so far
   */
  public void addOptionalService(UnaryOperator<RequestHandler> next) {
    optionalService = next.apply(optionalService);
  }

  private static void notFound(
      String method, String path, byte[] body, Consumer<HttpAnswer> respond) {
    respond.accept(HttpAnswer.empty(404));
  }

  @Override
  public void handle(String method, String target, byte[] body, Consumer<HttpAnswer> respond) {
    int queryIndex = target.indexOf('?');
    String path = queryIndex < 0 ? target : target.substring(0, queryIndex);
    boolean isPost = "POST".equals(method);
    boolean isGet = "GET".equals(method);
    if (path.equals(HeartbeatMessages.HEARTBEAT_PATH)) {
      requireMethod(
          isPost,
          respond,
          () -> heartbeatHandler.handle(body, metrics.recordLatency("beat", respond)));
    } else if (path.equals("/ready")) {
      requireMethod(
          isGet,
          respond,
          () ->
              respond.accept(
                  readinessBody.isReady()
                      ? HttpAnswer.of(200, readinessBody.describe())
                      : HttpAnswer.unavailable("not ready")));
    } else if (path.equals(JOBS_PATH)) {
      requireMethod(
          isPost,
          respond,
          () ->
              submitJob(
                  body,
                  metrics.recordLatency("submit", answerWithin(CHANGE_TIMEOUT_SECONDS, respond))));
    } else if (path.startsWith(JOBS_PATH + "/") && path.endsWith(CANCEL_PATH_SUFFIX)) {
      String id =
          path.substring(
              JOBS_PATH.length() + 1,
              Math.max(JOBS_PATH.length() + 1, path.length() - CANCEL_PATH_SUFFIX.length()));
      requireMethod(
          isPost,
          respond,
          () ->
              cancelJob(
                  id,
                  metrics.recordLatency("abort", answerWithin(CHANGE_TIMEOUT_SECONDS, respond))));
    } else if (path.startsWith(JOBS_PATH + "/")) {
      requireMethod(
          isGet,
          respond,
          () ->
              getJob(
                  path.substring(JOBS_PATH.length() + 1),
                  metrics.recordLatency("poll", answerWithin(QUERY_TIMEOUT_SECONDS, respond))));
    } else if (path.equals("/metrics")) {
      requireMethod(isGet, respond, () -> respond.accept(HttpAnswer.text(metrics.render())));
    } else if (path.equals("/traces") && jobTracer != JobTracer.NO_OP) {
      requireMethod(
          isGet,
          respond,
          () -> respond.accept(HttpAnswer.text(jobTracer.finishedSpansAsJsonLines())));
    } else {
      optionalService.handle(method, target, body, respond);
    }
  }

  private static void requireMethod(
      boolean allowed, Consumer<HttpAnswer> respond, Runnable action) {
    if (allowed) {
      action.run();
    } else {
      respond.accept(HttpAnswer.empty(405));
    }
  }

  /** Answers at most once, and in time. */
  private Consumer<HttpAnswer> answerWithin(double seconds, Consumer<HttpAnswer> respond) {
    AtomicBoolean answered = new AtomicBoolean();
    var timer =
        loop.schedule(
            seconds,
            () -> {
              if (answered.compareAndSet(false, true)) {
                respond.accept(HttpAnswer.unavailable("no decision in time"));
              }
            });
    return answer -> {
      if (answered.compareAndSet(false, true)) {
        timer.cancel();
        respond.accept(answer);
      }
    };
  }

  private void submitJob(byte[] body, Consumer<HttpAnswer> respond) {
    JobSpec spec;
    JobId id = null;
    try {
      if (body.length > MAX_BODY_BYTES) {
        throw new MalformedMessageException("the body is too long");
      }
      var map = Cbor.parse(body);
      id =
          JobId.isWellFormed(map.path("name_id").asText(null))
              ? new JobId(map.get("name_id").asText())
              : null;
      if (id != null
          && (jobLifecycle.findTerminalView(id) != null || jobLifecycle.findEntityOf(id) != null)) {
        answerKnown(id, respond);
        return;
      }
      spec = JobMessages.parseSubmission(map);
      if (Cbor.encode(JobMessages.submissionMessage(spec)).length
          > settings.stateStoreLimits().maxValueBytes() / 2) {
        throw new MalformedMessageException("the job's description is too long");
      }
    } catch (MalformedMessageException exception) {
      answerMalformed(id, exception.getMessage(), respond);
      return;
    }
    Futures.logFailure(
        jobAdmission
            .admit(spec, null)
            .thenAccept(
                decision -> {
                  switch (decision.verdict()) {
                    case ACCEPTED ->
                        respond.accept(
                            HttpAnswer.of(
                                201,
                                JobMessages.viewMessage(
                                    new JobView(spec.id().value(), JobStatus.QUEUED, 0, 0))));
                    case KNOWN -> answerKnown(spec.id(), respond);
                    case IMPOSSIBLE -> respond.accept(HttpAnswer.error(422, decision.reason()));
                    default -> respond.accept(HttpAnswer.unavailable(decision.reason()));
                  }
                }),
        "admit a job");
  }

  /**
   * A repeat of an accepted job is never refused, whatever its other fields say: users send what
   * they have of it. Where its id cannot be told there is nothing to look for.
   */
  private void answerMalformed(JobId id, String reason, Consumer<HttpAnswer> respond) {
    LOG.debug("submission refused: {}", reason);
    if (id == null) {
      respond.accept(HttpAnswer.error(400, reason));
      return;
    }
    Futures.logFailure(
        jobLifecycle
            .lookUp(id)
            .whenComplete(
                (found, failure) -> {
                  if (failure != null) {
                    respond.accept(HttpAnswer.unavailable("the state service does not answer"));
                  } else if (found.isAbsent()) {
                    respond.accept(HttpAnswer.error(400, reason));
                  } else {
                    answerKnown(id, respond);
                  }
                }),
        "answer a question about a job");
  }

  private void answerKnown(JobId id, Consumer<HttpAnswer> respond) {
    Futures.logFailure(
        resolveView(id)
            .whenComplete(
                (view, failure) ->
                    respond.accept(
                        failure != null || view == null
                            ? HttpAnswer.unavailable("the job's state is not known now")
                            : HttpAnswer.of(200, JobMessages.viewMessage(view)))),
        "answer with a job's state");
  }

  private void getJob(String idText, Consumer<HttpAnswer> respond) {
    if (!JobId.isWellFormed(idText)) {
      respond.accept(HttpAnswer.empty(404));
      return;
    }
    Futures.logFailure(
        resolveView(new JobId(idText))
            .whenComplete(
                (view, failure) -> {
                  if (failure != null) {
                    respond.accept(HttpAnswer.unavailable("the job's state is not known now"));
                  } else {
                    respond.accept(
                        view == null
                            ? HttpAnswer.empty(404)
                            : HttpAnswer.of(200, JobMessages.viewMessage(view)));
                  }
                }),
        "answer with a job's state");
  }

  /** The current state of a job; null only if it is proven that there is no such job. */
  private CompletableFuture<JobView> resolveView(JobId id) {
    JobView localView = jobStates.knownView(id);
    if (localView != null) {
      return CompletableFuture.completedFuture(localView);
    }
    ControllerId entity = jobLifecycle.findEntityOf(id);
    if (entity == null) {
      // After a start nothing is known of all the jobs that users ask about. With a read for each
      // in the state service's budget, some were not answered for minutes.
      return orElse(viewFromAnyPeer(id), () -> viewFromStore(id));
    }
    return orElse(viewFromOwner(id, entity), () -> storedView(id));
  }

  private static CompletableFuture<JobView> orElse(
      CompletableFuture<JobView> first, Supplier<CompletableFuture<JobView>> second) {
    return first.exceptionallyCompose(failure -> second.get());
  }

  private CompletableFuture<JobView> viewFromStore(JobId id) {
    return jobLifecycle
        .lookUp(id)
        .thenCompose(
            found -> {
              if (found.openAtEntity() == null) {
                return CompletableFuture.completedFuture(found.view());
              }
              return viewFromOwner(id, found.openAtEntity()).exceptionally(f -> found.storedView());
            });
  }

  /** What any peer knows for sure, as its owner or because the job is over; fails if none does. */
  private CompletableFuture<JobView> viewFromAnyPeer(JobId id) {
    CompletableFuture<JobView> first = new CompletableFuture<>();
    List<CompletableFuture<JobView>> peerViews =
        settings.peers().keySet().stream()
            .filter(clusterView::isAlive)
            .map(p -> peerJobViews.view(p, id))
            .toList();
    peerViews.forEach(
        f -> Futures.logFailure(f.thenAccept(first::complete), "take the first peer's answer"));
    Futures.logFailure(
        CompletableFuture.allOf(peerViews.toArray(CompletableFuture[]::new))
            .whenComplete(
                (nothing, failure) ->
                    first.completeExceptionally(PeerUnavailableException.noneKnows(id))),
        "wait for all peers' answers");
    return first;
  }

  private CompletableFuture<JobView> storedView(JobId id) {
    return jobLifecycle
        .lookUp(id)
        .thenApply(found -> found.view() != null ? found.view() : found.storedView());
  }

  private CompletableFuture<JobView> viewFromOwner(JobId id, ControllerId entity) {
    ControllerId owner = findPeerOwning(entity);
    if (owner == null) {
      return CompletableFuture.failedFuture(PeerUnavailableException.noLiveOwner(entity));
    }
    return peerJobViews.view(owner, id);
  }

  /** The peer that owns the entity and is alive; null if there is none. */
  private ControllerId findPeerOwning(ControllerId entity) {
    ControllerId owner = clusterView.findLatestOwner(entity);
    boolean peer = owner != null && !owner.equals(settings.self()) && clusterView.isAlive(owner);
    return peer ? owner : null;
  }

  private void cancelJob(String idText, Consumer<HttpAnswer> respond) {
    if (!JobId.isWellFormed(idText)) {
      respond.accept(HttpAnswer.empty(404));
      return;
    }
    JobId id = new JobId(idText);
    JobView finalView = jobLifecycle.findTerminalView(id);
    if (finalView != null) {
      respond.accept(HttpAnswer.of(200, JobMessages.viewMessage(finalView)));
      return;
    }
    OwnedEntity entity = jobStates.entityOfOpenJob(id);
    if (entity != null && membership.isLeaseValid()) {
      answerCancellation(jobLifecycle.cancel(entity, entity.jobs().get(id)), respond);
      return;
    }
    ControllerId entityId = jobLifecycle.findEntityOf(id);
    ControllerId owner = entityId == null ? null : findPeerOwning(entityId);
    if (owner == null) {
      cancelByStoredRows(id, respond);
      return;
    }
    Futures.logFailure(
        peerClient
            .cancel(owner, id)
            .whenComplete(
                (view, failure) -> {
                  if (failure == null && view.status().isTerminal()) {
                    respond.accept(HttpAnswer.of(200, JobMessages.viewMessage(view)));
                  } else {
                    // The owner may not remember a job that ended long ago.
                    cancelByStoredRows(id, respond);
                  }
                }),
        "cancel a job at its owner");
  }

  private void cancelByStoredRows(JobId id, Consumer<HttpAnswer> respond) {
    Futures.logFailure(
        jobLifecycle
            .lookUp(id)
            .whenComplete(
                (found, failure) -> {
                  if (failure != null) {
                    respond.accept(HttpAnswer.unavailable("the state service does not answer"));
                  } else if (found.isAbsent()) {
                    respond.accept(HttpAnswer.empty(404));
                  } else if (found.view() != null) {
                    respond.accept(HttpAnswer.of(200, JobMessages.viewMessage(found.view())));
                  } else {
                    ControllerId owner = clusterView.findLatestOwner(found.openAtEntity());
                    if (owner == null || owner.equals(settings.self())) {
                      respond.accept(HttpAnswer.unavailable("the job's owner is not ready"));
                    } else {
                      answerCancellation(peerClient.cancel(owner, id), respond);
                    }
                  }
                }),
        "look a job up for its cancellation");
  }

  private static void answerCancellation(
      CompletableFuture<JobView> cancellation, Consumer<HttpAnswer> respond) {
    Futures.logFailure(
        cancellation.whenComplete(
            (view, failure) -> {
              if (failure != null || !view.status().isTerminal()) {
                respond.accept(HttpAnswer.unavailable("the cancellation is not stored yet"));
              } else {
                respond.accept(HttpAnswer.of(200, JobMessages.viewMessage(view)));
              }
            }),
        "answer a cancellation");
  }
}
