package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The content of one configuration revision.
 *
 * @param teams the teams by name, open and closed ones
 * @param closedTeams the names of teams that accept no new jobs
 */
public record ClusterConfiguration(
    Map<String, Team> teams, Set<String> closedTeams, List<Objective> objectives) {

  public static ClusterConfiguration fromSettings(Settings settings) {
    return new ClusterConfiguration(settings.teams(), Set.of(), settings.objectives());
  }

  /**
   * Returns this content as the successor of {@code previous}. Teams of {@code previous} that this
   * content omits are kept as closed teams, because they may have open jobs.
   */
  public ClusterConfiguration replacing(ClusterConfiguration previous) {
    Map<String, Team> allTeams = new LinkedHashMap<>(teams);
    Set<String> nowClosed = new HashSet<>(closedTeams);
    previous.teams.forEach(
        (name, team) -> {
          if (allTeams.putIfAbsent(name, team) == null) {
            nowClosed.add(name);
          }
        });
    return new ClusterConfiguration(allTeams, nowClosed, objectives);
  }

  /** Returns the teams and objectives as a tree in the form of the settings file. */
  public ObjectNode toTree() {
    ObjectNode tree = Cbor.newMap();
    var teamList = tree.putArray("teams");
    teams.values().forEach(t -> teamList.add(teamTree(t)));
    var objectiveList = tree.putArray("objectives");
    objectives.forEach(o -> objectiveList.add(objectiveTree(o)));
    return tree;
  }

  private ObjectNode teamTree(Team team) {
    return Cbor.newMap()
        .put("name", team.name())
        .put("cpus", team.guaranteedCpus())
        .put("gpus", team.guaranteedGpus())
        .put("cpus_max", storedLimit(team.maxCpus()))
        .put("gpus_max", storedLimit(team.maxGpus()))
        .put("closed", closedTeams.contains(team.name()));
  }

  private static double storedLimit(double limit) {
    return Double.isInfinite(limit) ? 0 : limit;
  }

  private static double parseLimit(double stored) {
    return stored == 0 ? Double.POSITIVE_INFINITY : stored;
  }

  private static ObjectNode objectiveTree(Objective objective) {
    return Cbor.newMap()
        .put("kind", objective.kind())
        .put("class", objective.jobClass())
        .put("within_s", objective.withinSeconds())
        .put("share", objective.share())
        .put("times", objective.deadlineFactor());
  }

  /** Reads the result of {@link #toTree}. The tree must be valid; it is not checked again. */
  public static ClusterConfiguration fromTree(JsonNode tree) {
    Map<String, Team> teams = new LinkedHashMap<>();
    Set<String> closedTeams = new HashSet<>();
    for (JsonNode teamNode : tree.path("teams")) {
      String name = teamNode.path("name").asText();
      teams.put(
          name,
          new Team(
              name,
              teamNode.path("cpus").asDouble(),
              teamNode.path("gpus").asDouble(),
              parseLimit(teamNode.path("cpus_max").asDouble()),
              parseLimit(teamNode.path("gpus_max").asDouble())));
      if (teamNode.path("closed").asBoolean()) {
        closedTeams.add(name);
      }
    }
    List<Objective> objectives = new ArrayList<>();
    for (JsonNode objectiveNode : tree.path("objectives")) {
      objectives.add(
          new Objective(
              objectiveNode.path("kind").asText(),
              objectiveNode.hasNonNull("class") ? objectiveNode.get("class").asText() : null,
              objectiveNode.path("within_s").asDouble(),
              objectiveNode.path("share").asDouble(),
              objectiveNode.path("times").asDouble(1)));
    }
    return new ClusterConfiguration(teams, closedTeams, List.copyOf(objectives));
  }

  /** Returns a digest that is equal for equal contents, independent of the order of fields. */
  public String digest() {
    return digest(toTree());
  }

  static String digest(JsonNode tree) {
    return Hashing.sha256()
        .hashString(KubernetesJson.toCanonicalText(tree), StandardCharsets.UTF_8)
        .toString()
        .substring(0, DIGEST_CHARS);
  }

  private static final int DIGEST_CHARS = 32;
}
