package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.ConfigurationChange.Result;
import io.violetrail.configuration.ConfigurationFormat.Checked;
import io.violetrail.configuration.ConfigurationHead.Revision;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.net.Service;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubeJson;
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
 * The configuration for operators, in JSON, at any controller:
 *
 * <ul>
 *   <li>{@code GET /config}: what is in force here; {@code GET /config/status}: at each controller;
 *       {@code GET /config/history}: the kept revisions
 *   <li>{@code POST /config}: teams and objectives, with {@code expected}, {@code request}, {@code
 *       who} and {@code why}; {@code POST /config/rollback}: {@code to} in their place
 * </ul>
 *
 * <p>A change is answered with 200 and its revision, 409 and the revision in force, 400 or 422 with
 * what is wrong by path, or 503 where the outcome is not known.
 */
public final class ConfigurationApi implements Service {
  private static final String PATH = "/config";

  /** Below the patience of the command line; the change may still be under way. */
  private static final double DECISION_S = 8;

  private static final int MAX_NAME = 64;
  private static final int MAX_WHY = 200;
  private static final Set<String> COMMON_FIELDS = Set.of("expected", "request", "who", "why");

  private final Loop loop;
  private final Configuration configuration;
  private final ConfigurationWriter writer;
  private final Supplier<CompletableFuture<List<ConfigurationState>>> states;
  private final Service others;

  /**
   * Creates the API of the changeable configuration.
   *
   * @param states asks every controller for its state
   * @param others serves all other paths
   */
  public ConfigurationApi(
      Loop loop,
      Configuration configuration,
      ConfigurationWriter writer,
      Supplier<CompletableFuture<List<ConfigurationState>>> states,
      Service others) {
    this.loop = loop;
    this.configuration = configuration;
    this.writer = writer;
    this.states = states;
    this.others = others;
  }

  @Override
  public void handle(String method, String path, byte[] body, Consumer<Answer> done) {
    if (!path.equals(PATH) && !path.startsWith(PATH + "/")) {
      others.handle(method, path, body, done);
      return;
    }
    Consumer<Answer> inTime = inTime(done);
    try {
      switch (method + " " + path) {
        case "GET /config" -> inTime.accept(json(200, shown()));
        case "GET /config/status" -> status(inTime);
        case "GET /config/history" -> history(inTime);
        case "POST /config" -> apply(body, inTime);
        case "POST /config/rollback" -> rollback(body, inTime);
        default -> inTime.accept(error(404, "no such path or method"));
      }
    } catch (KubeJson.Malformed e) {
      inTime.accept(
          error(400, e.path().isEmpty() ? e.getMessage() : e.path() + ": " + e.getMessage()));
    }
  }

  private static Answer json(int code, JsonNode body) {
    return new Answer(code, KubeJson.bytes(body), code == 503 ? 1 : 0, "application/json");
  }

  private static Answer error(int code, String why) {
    return json(code, Cbor.map().put("error", why));
  }

  private Consumer<Answer> inTime(Consumer<Answer> done) {
    AtomicBoolean answered = new AtomicBoolean();
    Loop.Cancellable timer =
        loop.after(
            DECISION_S,
            () -> {
              if (answered.compareAndSet(false, true)) {
                done.accept(error(503, "no decision in time; the outcome is not known"));
              }
            });
    return answer -> {
      if (answered.compareAndSet(false, true)) {
        timer.cancel();
        done.accept(answer);
      }
    };
  }

  private ObjectNode shown() {
    Map<String, Team> teams = new LinkedHashMap<>();
    Set<String> closed = new HashSet<>();
    for (Team t : configuration.teams()) {
      teams.put(t.name(), t);
      if (!configuration.accepts(t.name())) {
        closed.add(t.name());
      }
    }
    List<Objective> objectives = configuration.objectives();
    ObjectNode tree = new ClusterConfiguration(teams, closed, objectives).tree();
    return tree.put("revision", configuration.revision()).put("fresh", configuration.fresh());
  }

  private void status(Consumer<Answer> done) {
    Futures.logFailure(
        states
            .get()
            .whenComplete(
                (all, failure) -> {
                  ObjectNode m = Cbor.map().put("in_force_here", configuration.revision());
                  var list = m.putArray("controllers");
                  for (ConfigurationState s :
                      failure == null ? all : List.<ConfigurationState>of()) {
                    list.addObject()
                        .put("controller", s.controller())
                        .put("answers", s.inForceSinceMs() > 0)
                        .put("revision", s.revision())
                        .put("confirmed_ms_ago", s.confirmedMsAgo())
                        .put("in_force_since_ms", s.inForceSinceMs())
                        .put("fresh", s.fresh());
                  }
                  done.accept(json(200, m));
                }),
        "collect the controllers' configuration");
  }

  private void history(Consumer<Answer> done) {
    Futures.logFailure(
        writer
            .history()
            .whenComplete(
                (revisions, failure) -> {
                  if (failure != null) {
                    done.accept(error(503, Unavailable.of(failure).getMessage()));
                    return;
                  }
                  ObjectNode m = Cbor.map();
                  var list = m.putArray("revisions");
                  for (Revision r : revisions) {
                    list.addObject()
                        .put("revision", r.number())
                        .put("digest", r.digest())
                        .put("request", r.request())
                        .put("who", r.who())
                        .put("why", r.why())
                        .put("at_ms", r.atMs());
                  }
                  done.accept(json(200, m));
                }),
        "read the configuration's history");
  }

  private void apply(byte[] body, Consumer<Answer> done) throws KubeJson.Malformed {
    ObjectNode m = KubeJson.parse(body);
    ObjectNode tree = m.deepCopy();
    tree.remove(COMMON_FIELDS);
    Checked checked = ConfigurationFormat.ofTree(tree);
    if (!checked.valid()) {
      ObjectNode refusal = Cbor.map().put("error", "the configuration is not valid");
      var problems = refusal.putArray("problems");
      checked
          .problems()
          .forEach(p -> problems.addObject().put("path", p.path()).put("why", p.why()));
      done.accept(json(422, refusal));
      return;
    }
    change(m, checked.configuration(), 0, done);
  }

  private void rollback(byte[] body, Consumer<Answer> done) throws KubeJson.Malformed {
    ObjectNode m = KubeJson.parse(body);
    change(m, null, number(m, "to"), done);
  }

  private void change(
      ObjectNode m, ClusterConfiguration content, long rollbackTo, Consumer<Answer> done)
      throws KubeJson.Malformed {
    ConfigurationChange change =
        new ConfigurationChange(
            number(m, "expected"),
            text(m, "request", MAX_NAME),
            text(m, "who", MAX_NAME),
            text(m, "why", MAX_WHY),
            content,
            rollbackTo);
    Futures.logFailure(
        writer.apply(change).thenAccept(result -> done.accept(answer(result))),
        "apply a configuration change");
  }

  private static Answer answer(Result result) {
    ObjectNode m = Cbor.map().put("revision", result.revision());
    if (!result.message().isEmpty()) {
      m.put("error", result.message());
    }
    return switch (result.outcome()) {
      case APPLIED -> json(200, m);
      case CONFLICT -> json(409, m);
      case REFUSED -> json(422, m);
      case UNKNOWN -> json(503, m.put("error", "the outcome is not known: " + result.message()));
    };
  }

  private static long number(ObjectNode m, String field) throws KubeJson.Malformed {
    if (!m.path(field).isIntegralNumber() || m.get(field).asLong() < 0) {
      throw new KubeJson.Malformed(field, "must be an integer of at least 0");
    }
    return m.get(field).asLong();
  }

  private static String text(ObjectNode m, String field, int most) throws KubeJson.Malformed {
    String value = m.path(field).isTextual() ? m.get(field).asText() : "";
    if (value.isBlank() || value.length() > most) {
      throw new KubeJson.Malformed(field, "must be text of 1 to " + most + " characters");
    }
    return value;
  }
}
