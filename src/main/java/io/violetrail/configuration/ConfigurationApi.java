package io.violetrail.configuration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.ConfigurationChange.Result;
import io.violetrail.configuration.ConfigurationFormat.ValidationResult;
import io.violetrail.configuration.ConfigurationHead.Revision;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.JsonResponses;
import io.violetrail.net.RequestHandler;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The operators' JSON API of the configuration, which every controller serves:
 *
 * <ul>
 *   <li>{@code GET /config} returns the configuration in force at this controller.
 *   <li>{@code GET /config/status} returns the revision in force at each controller.
 *   <li>{@code GET /config/history} returns the kept revisions.
 *   <li>{@code POST /config} replaces teams and objectives. The body also holds {@code expected},
 *       {@code request}, {@code who} and {@code why}.
 *   <li>{@code POST /config/rollback} restores the content of revision {@code to}. The body holds
 *       the same fields except teams and objectives.
 * </ul>
 *
 * <p>A change is answered with 200 and its revision, with 409 and the revision in force, with 400
 * or 422 and the problems by path, or with 503 if the outcome is unknown.
 *
 * <p>Stateless between requests. Called on the event loop's thread.
 */
public final class ConfigurationApi implements RequestHandler {
  private static final String PATH = "/config";

  /**
   * Shorter than the timeout of the command line's client. The change may still be in progress when
   * this time has passed.
   */
  private static final double DECISION_TIMEOUT_SECONDS = 8;

  private static final int MAX_NAME_LENGTH = 64;
  private static final int MAX_REASON_LENGTH = 200;
  private static final Set<String> CHANGE_FIELDS = Set.of("expected", "request", "who", "why");

  private final EventLoop loop;
  private final Configuration configuration;
  private final ConfigurationWriter writer;
  private final Supplier<CompletableFuture<List<ConfigurationState>>> stateCollector;
  private final RequestHandler fallback;

  /**
   * Creates the API of a configuration that can change.
   *
   * @param stateCollector requests the state of every controller
   * @param fallback serves all other paths
   */
  public ConfigurationApi(
      EventLoop loop,
      Configuration configuration,
      ConfigurationWriter writer,
      Supplier<CompletableFuture<List<ConfigurationState>>> stateCollector,
      RequestHandler fallback) {
    this.loop = loop;
    this.configuration = configuration;
    this.writer = writer;
    this.stateCollector = stateCollector;
    this.fallback = fallback;
  }

  @Override
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> responder) {
    if (!path.equals(PATH) && !path.startsWith(PATH + "/")) {
      fallback.handle(method, path, body, responder);
      return;
    }
    Consumer<HttpResponse> timedResponder = withTimeout(responder);
    try {
      switch (method + " " + path) {
        case "GET /config" -> timedResponder.accept(JsonResponses.of(200, currentConfiguration()));
        case "GET /config/status" -> showStatus(timedResponder);
        case "GET /config/history" -> showHistory(timedResponder);
        case "POST /config" -> applyConfiguration(body, timedResponder);
        case "POST /config/rollback" -> rollback(body, timedResponder);
        default ->
            timedResponder.accept(
                JsonResponses.error(404, "no such path or method: " + method + " " + path));
      }
    } catch (KubernetesJson.MalformedRequestException exception) {
      timedResponder.accept(JsonResponses.malformed(exception));
    }
  }

  /**
   * Returns a responder that forwards only the first answer that it receives, and answers 503 if
   * there is none within {@link #DECISION_TIMEOUT_SECONDS}.
   */
  private Consumer<HttpResponse> withTimeout(Consumer<HttpResponse> responder) {
    AtomicBoolean answered = new AtomicBoolean();
    EventLoop.Cancellable timer =
        loop.schedule(
            DECISION_TIMEOUT_SECONDS,
            () -> {
              if (answered.compareAndSet(false, true)) {
                responder.accept(
                    JsonResponses.error(
                        503,
                        "no decision within "
                            + DECISION_TIMEOUT_SECONDS
                            + " s; the outcome of a change is unknown"));
              }
            });
    return answer -> {
      if (answered.compareAndSet(false, true)) {
        timer.cancel();
        responder.accept(answer);
      }
    };
  }

  private ObjectNode currentConfiguration() {
    Map<String, Team> teams = new LinkedHashMap<>();
    Set<String> closedTeams = new HashSet<>();
    for (Team team : configuration.teams()) {
      teams.put(team.name(), team);
      if (!configuration.acceptsJobs(team.name())) {
        closedTeams.add(team.name());
      }
    }
    List<Objective> objectives = configuration.objectives();
    ObjectNode tree = new ClusterConfiguration(teams, closedTeams, objectives).toTree();
    return tree.put("revision", configuration.revision()).put("fresh", configuration.isFresh());
  }

  private void showStatus(Consumer<HttpResponse> responder) {
    Futures.logFailure(
        stateCollector
            .get()
            .whenComplete(
                (states, failure) -> {
                  List<ConfigurationState> collected = failure == null ? states : List.of();
                  responder.accept(JsonResponses.of(200, statusToJson(collected)));
                }),
        "collect the controllers' configuration");
  }

  private ObjectNode statusToJson(List<ConfigurationState> states) {
    ObjectNode json = Cbor.newMap().put("in_force_here", configuration.revision());
    var controllers = json.putArray("controllers");
    for (ConfigurationState state : states) {
      controllers
          .addObject()
          .put("controller", state.controller())
          .put("answers", state.inForceSinceMs() > 0)
          .put("revision", state.revision())
          .put("confirmed_ms_ago", state.confirmedMsAgo())
          .put("in_force_since_ms", state.inForceSinceMs())
          .put("fresh", state.fresh());
    }
    return json;
  }

  private void showHistory(Consumer<HttpResponse> responder) {
    Futures.logFailure(
        writer
            .history()
            .whenComplete(
                (revisions, failure) -> {
                  if (failure != null) {
                    responder.accept(
                        JsonResponses.error(
                            503, RequestFailedException.from(failure).getMessage()));
                    return;
                  }
                  responder.accept(JsonResponses.of(200, historyToJson(revisions)));
                }),
        "read the configuration's history");
  }

  private static ObjectNode historyToJson(List<Revision> revisions) {
    ObjectNode json = Cbor.newMap();
    var revisionList = json.putArray("revisions");
    for (Revision revision : revisions) {
      revisionList
          .addObject()
          .put("revision", revision.number())
          .put("digest", revision.digest())
          .put("request", revision.requestId())
          .put("who", revision.author())
          .put("why", revision.reason())
          .put("at_ms", revision.createdMillis());
    }
    return json;
  }

  private void applyConfiguration(byte[] body, Consumer<HttpResponse> responder)
      throws KubernetesJson.MalformedRequestException {
    ObjectNode json = KubernetesJson.parse(body);
    ObjectNode tree = json.deepCopy();
    tree.remove(CHANGE_FIELDS);
    ValidationResult validation = ConfigurationFormat.parseTree(tree);
    if (!validation.isValid()) {
      ObjectNode refusal = Cbor.newMap().put("error", "the configuration is invalid");
      var problems = refusal.putArray("problems");
      validation
          .problems()
          .forEach(
              problem ->
                  problems.addObject().put("path", problem.path()).put("why", problem.message()));
      responder.accept(JsonResponses.of(422, refusal));
      return;
    }
    submitChange(json, validation.configuration(), 0, responder);
  }

  private void rollback(byte[] body, Consumer<HttpResponse> responder)
      throws KubernetesJson.MalformedRequestException {
    ObjectNode json = KubernetesJson.parse(body);
    submitChange(json, null, readNumber(json, "to"), responder);
  }

  private void submitChange(
      ObjectNode json,
      ClusterConfiguration content,
      long rollbackRevision,
      Consumer<HttpResponse> responder)
      throws KubernetesJson.MalformedRequestException {
    ConfigurationChange change =
        new ConfigurationChange(
            readNumber(json, "expected"),
            readText(json, "request", MAX_NAME_LENGTH),
            readText(json, "who", MAX_NAME_LENGTH),
            readText(json, "why", MAX_REASON_LENGTH),
            content,
            rollbackRevision);
    Futures.logFailure(
        writer.apply(change).thenAccept(result -> responder.accept(toAnswer(result))),
        "apply a configuration change");
  }

  private static HttpResponse toAnswer(Result result) {
    ObjectNode json = Cbor.newMap().put("revision", result.revision());
    if (!result.message().isEmpty()) {
      json.put("error", result.message());
    }
    return switch (result.outcome()) {
      case APPLIED -> JsonResponses.of(200, json);
      case CONFLICT -> JsonResponses.of(409, json);
      case REFUSED -> JsonResponses.of(422, json);
      case UNKNOWN ->
          JsonResponses.of(503, json.put("error", "the outcome is unknown: " + result.message()));
    };
  }

  private static long readNumber(ObjectNode json, String field)
      throws KubernetesJson.MalformedRequestException {
    if (!json.path(field).isIntegralNumber() || json.get(field).asLong() < 0) {
      throw new KubernetesJson.MalformedRequestException(
          field,
          "must be an integer of at least 0, received "
              + (json.has(field) ? json.get(field) : "nothing"));
    }
    return json.get(field).asLong();
  }

  private static String readText(ObjectNode json, String field, int maxLength)
      throws KubernetesJson.MalformedRequestException {
    String value = json.path(field).isTextual() ? json.get(field).asText() : "";
    if (value.isBlank() || value.length() > maxLength) {
      throw new KubernetesJson.MalformedRequestException(
          field,
          "must be a string of 1 to "
              + maxLength
              + " characters and not blank, received "
              + (json.has(field) ? json.get(field) : "nothing"));
    }
    return value;
  }
}
