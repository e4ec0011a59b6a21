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
 * each answer about a job. Called on the event loop's thread. It owns the routes, which are fixed
 * after the start; nothing of it needs to survive a crash.
 */
public final class UserApi implements RequestHandler {
  private static final String JOB_PATH_PREFIX = JobMessages.JOBS_PATH + "/";

  /** Below the 2 s that users wait for the answer to a poll. */
  private static final double QUERY_TIMEOUT_SECONDS = 1.8;

  /** Below the 5 s that users wait for all other answers. */
  private static final double CHANGE_TIMEOUT_SECONDS = 4.5;

  private final EventLoop loop;
  private final JobQuery jobQuery;
  private final JobCancellation jobCancellation;
  private final Metrics metrics;
  private final Map<String, Route> routesByPath;

  /** Serves the optional paths that are switched on; answers 404 if there are none. */
  private RequestHandler optionalService = UserApi::notFound;

  /** What one path serves: its only method, and what answers a request with that. */
  private record Route(String method, RouteHandler handler) {
    static Route get(RouteHandler handler) {
      return new Route("GET", handler);
    }

    static Route post(RouteHandler handler) {
      return new Route("POST", handler);
    }
  }

  private interface RouteHandler {
    void handle(byte[] body, Consumer<HttpAnswer> respond);
  }

  /** Serves requests through the given handlers; {@code /traces} only if the tracer is enabled. */
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
                jobSubmission.handle(body, timed("submit", CHANGE_TIMEOUT_SECONDS, respond))));
    routes.put(
        "/metrics",
        Route.get((body, respond) -> respond.accept(HttpAnswer.text(metrics.render()))));
    if (jobTracer.isEnabled()) {
      routes.put(
          "/traces",
          Route.get(
              (body, respond) ->
                  respond.accept(HttpAnswer.text(jobTracer.finishedSpansAsJsonLines()))));
    }
    this.routesByPath = Map.copyOf(routes);
  }

  /**
   * Serves further paths beside those known here.
   *
   * @param next makes the service from the one that served what is unknown so far
   */
  public void addOptionalService(UnaryOperator<RequestHandler> next) {
    optionalService = next.apply(optionalService);
  }

  @Override
  public void handle(String method, String target, byte[] body, Consumer<HttpAnswer> respond) {
    int queryIndex = target.indexOf('?');
    String path = queryIndex < 0 ? target : target.substring(0, queryIndex);
    Route route = path.startsWith(JOB_PATH_PREFIX) ? jobRoute(path) : routesByPath.get(path);
    if (route == null) {
      optionalService.handle(method, target, body, respond);
    } else if (!route.method().equals(method)) {
      respond.accept(HttpAnswer.empty(405));
    } else {
      route.handler().handle(body, respond);
    }
  }

  /** The route of a path that names one job. */
  private Route jobRoute(String path) {
    String subpath = path.substring(JOB_PATH_PREFIX.length());
    if (!path.endsWith(JobMessages.CANCEL_PATH_SUFFIX)) {
      return Route.get(
          (body, respond) ->
              jobQuery.handle(subpath, timed("poll", QUERY_TIMEOUT_SECONDS, respond)));
    }
    // The prefix and the suffix share their slash if there is no id between them.
    String id =
        subpath.substring(
            0, Math.max(0, subpath.length() - JobMessages.CANCEL_PATH_SUFFIX.length()));
    return Route.post(
        (body, respond) ->
            jobCancellation.handle(id, timed("abort", CHANGE_TIMEOUT_SECONDS, respond)));
  }

  /** Answers within the time, and records how long that took under the metric's label. */
  private Consumer<HttpAnswer> timed(String label, double seconds, Consumer<HttpAnswer> respond) {
    return metrics.recordLatency(label, new AnswerDeadline(loop, seconds, respond));
  }

  private static HttpAnswer healthAnswer(Readiness readiness) {
    return readiness.isReady()
        ? HttpAnswer.of(200, readiness.describe())
        : HttpAnswer.unavailable("not ready");
  }

  private static void notFound(
      String method, String path, byte[] body, Consumer<HttpAnswer> respond) {
    respond.accept(HttpAnswer.empty(404));
  }
}
