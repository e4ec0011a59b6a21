package io.violetrail.api;

import io.violetrail.net.EventLoop;
import io.violetrail.net.RequestHandler;
import io.violetrail.tracing.JobTracer;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.JobMessages;
import io.violetrail.worker.HeartbeatHandler;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Routes the requests of users, workers and health checks to their handlers, with a deadline for
 * each answer about a job. Called on the event loop's thread. The routes are fixed after startup,
 * and no state has to survive a crash.
 */
public final class UserApi implements RequestHandler {
  private static final String JOB_PATH_PREFIX = JobMessages.JOBS_PATH + "/";

  /** The deadline for the answer to a poll, below the 2 s that users wait for it. */
  private static final double QUERY_TIMEOUT_SECONDS = 1.8;

  /** The deadline for all other answers about jobs, below the 5 s that users wait for them. */
  private static final double CHANGE_TIMEOUT_SECONDS = 4.5;

  private final EventLoop loop;
  private final JobQuery jobQuery;
  private final JobCancellation jobCancellation;
  private final Metrics metrics;
  private final Map<String, Route> routesByPath;

  /**
   * Serves the paths without a route: those of the enabled optional services, and 404 for all
   * others.
   */
  private RequestHandler optionalService = UserApi::answerNotFound;

  /** The only HTTP method that a path accepts, and the handler of its requests. */
  private record Route(String method, RouteHandler handler) {
    static Route get(RouteHandler handler) {
      return new Route("GET", handler);
    }

    static Route post(RouteHandler handler) {
      return new Route("POST", handler);
    }
  }

  private interface RouteHandler {
    void handle(byte[] body, Consumer<HttpResponse> respond);
  }

  /**
   * Creates the routes to the given handlers. {@code /traces} is served only if the tracer is
   * enabled.
   */
  public UserApi(
      EventLoop loop,
      JobSubmission jobSubmission,
      JobQuery jobQuery,
      JobCancellation jobCancellation,
      HeartbeatHandler heartbeatHandler,
      Readiness readiness,
      JobTracer jobTracer,
      Metrics metrics) {
    this.loop = loop;
    this.jobQuery = jobQuery;
    this.jobCancellation = jobCancellation;
    this.metrics = metrics;
    Map<String, Route> routes = new HashMap<>();
    routes.put(
        HeartbeatMessages.HEARTBEAT_PATH,
        Route.post(
            (body, respond) ->
                heartbeatHandler.handle(body, metrics.recordLatency("beat", respond))));
    routes.put("/ready", Route.get((body, respond) -> respond.accept(healthAnswer(readiness))));
    routes.put(
        JobMessages.JOBS_PATH,
        Route.post(
            (body, respond) ->
                jobSubmission.handle(
                    body, withDeadline("submit", CHANGE_TIMEOUT_SECONDS, respond))));
    routes.put(
        "/metrics",
        Route.get((body, respond) -> respond.accept(HttpResponse.text(metrics.render()))));
    if (jobTracer.isEnabled()) {
      routes.put(
          "/traces",
          Route.get(
              (body, respond) ->
                  respond.accept(HttpResponse.text(jobTracer.finishedSpansAsJsonLines()))));
    }
    this.routesByPath = Map.copyOf(routes);
  }

  /**
   * Adds a service for paths that have no route here.
   *
   * @param wrapper returns the new service for such paths, given the current one
   */
  public void addOptionalService(UnaryOperator<RequestHandler> wrapper) {
    optionalService = wrapper.apply(optionalService);
  }

  @Override
  public void handle(String method, String target, byte[] body, Consumer<HttpResponse> respond) {
    int queryIndex = target.indexOf('?');
    String path = queryIndex < 0 ? target : target.substring(0, queryIndex);
    Route route = path.startsWith(JOB_PATH_PREFIX) ? jobRoute(path) : routesByPath.get(path);
    if (route == null) {
      optionalService.handle(method, target, body, respond);
    } else if (!route.method().equals(method)) {
      respond.accept(HttpResponse.empty(405));
    } else {
      route.handler().handle(body, respond);
    }
  }

  /** Returns the route of a path that contains a job id. */
  private Route jobRoute(String path) {
    String subpath = path.substring(JOB_PATH_PREFIX.length());
    if (!path.endsWith(JobMessages.CANCEL_PATH_SUFFIX)) {
      return Route.get(
          (body, respond) ->
              jobQuery.handle(subpath, withDeadline("poll", QUERY_TIMEOUT_SECONDS, respond)));
    }
    // Without an id between them, the prefix and the suffix overlap in one slash.
    String id =
        subpath.substring(
            0, Math.max(0, subpath.length() - JobMessages.CANCEL_PATH_SUFFIX.length()));
    return Route.post(
        (body, respond) ->
            jobCancellation.handle(id, withDeadline("abort", CHANGE_TIMEOUT_SECONDS, respond)));
  }

  /**
   * Wraps {@code respond} with a deadline of {@code seconds} and a latency metric with the label.
   */
  private Consumer<HttpResponse> withDeadline(
      String label, double seconds, Consumer<HttpResponse> respond) {
    return metrics.recordLatency(label, new AnswerDeadline(loop, seconds, respond));
  }

  private static HttpResponse healthAnswer(Readiness readiness) {
    return readiness.isReady()
        ? HttpResponse.of(200, readiness.describe())
        : HttpResponse.unavailable(
            "not ready: the home entity is not active here, the lease is not valid, or the machine"
                + " types are not known");
  }

  private static void answerNotFound(
      String method, String path, byte[] body, Consumer<HttpResponse> respond) {
    respond.accept(HttpResponse.empty(404));
  }
}
