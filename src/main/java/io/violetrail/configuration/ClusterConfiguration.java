package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubeJson;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The content of one revision.
 *
 * @param closed names of teams that take in no new jobs
 */
public record ClusterConfiguration(
    Map<String, Team> teams, Set<String> closed, List<Objective> objectives) {

  public static ClusterConfiguration of(Settings settings) {
    return new ClusterConfiguration(settings.teams(), Set.of(), settings.objectives());
  }

  /**
   * This content where {@code former} was in force: its teams that are not named any more are
   * closed rather than gone, since they may have open jobs.
   */
  public ClusterConfiguration after(ClusterConfiguration former) {
    Map<String, Team> all = new LinkedHashMap<>(teams);
    Set<String> nowClosed = new HashSet<>(closed);
    former.teams.forEach(
        (name, team) -> {
          if (all.putIfAbsent(name, team) == null) {
            nowClosed.add(name);
          }
        });
    return new ClusterConfiguration(all, nowClosed, objectives);
  }

  /** Teams and objectives as a tree, in the form of the platform's file. */
  public ObjectNode tree() {
    ObjectNode tree = Cbor.map();
    var teamList = tree.putArray("teams");
    teams.values().forEach(t -> teamList.add(team(t)));
    var objectiveList = tree.putArray("objectives");
    objectives.forEach(o -> objectiveList.add(objective(o)));
    return tree;
  }

  private ObjectNode team(Team t) {
    return Cbor.map()
        .put("name", t.name())
        .put("cpus", t.cpus())
        .put("gpus", t.gpus())
        .put("cpus_max", finite(t.cpusMax()))
        .put("gpus_max", finite(t.gpusMax()))
        .put("closed", closed.contains(t.name()));
  }

  private static double finite(double limit) {
    return Double.isInfinite(limit) ? 0 : limit;
  }

  private static double limit(double stored) {
    return stored == 0 ? Double.POSITIVE_INFINITY : stored;
  }

  private static ObjectNode objective(Objective o) {
    return Cbor.map()
        .put("kind", o.kind())
        .put("class", o.jobClass())
        .put("within_s", o.withinS())
        .put("share", o.share())
        .put("times", o.times());
  }

  /** The inverse of {@link #tree}, of what was checked before it was stored. */
  public static ClusterConfiguration ofTree(JsonNode tree) {
    Map<String, Team> teams = new LinkedHashMap<>();
    Set<String> closed = new HashSet<>();
    for (JsonNode t : tree.path("teams")) {
      String name = t.path("name").asText();
      teams.put(
          name,
          new Team(
              name,
              t.path("cpus").asDouble(),
              t.path("gpus").asDouble(),
              limit(t.path("cpus_max").asDouble()),
              limit(t.path("gpus_max").asDouble())));
      if (t.path("closed").asBoolean()) {
        closed.add(name);
      }
    }
    List<Objective> objectives = new ArrayList<>();
    for (JsonNode o : tree.path("objectives")) {
      objectives.add(
          new Objective(
              o.path("kind").asText(),
              o.hasNonNull("class") ? o.get("class").asText() : null,
              o.path("within_s").asDouble(),
              o.path("share").asDouble(),
              o.path("times").asDouble(1)));
    }
    return new ClusterConfiguration(teams, closed, List.copyOf(objectives));
  }

  /** Equal for equal contents, whatever the order of their fields. */
  public String digest() {
    return digest(tree());
  }

  static String digest(JsonNode tree) {
    return Hashing.sha256()
        .hashString(KubeJson.canonical(tree), StandardCharsets.UTF_8)
        .toString()
        .substring(0, DIGEST_CHARS);
  }

  private static final int DIGEST_CHARS = 32;
}
