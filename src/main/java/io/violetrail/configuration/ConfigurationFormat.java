package io.violetrail.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Parses and validates a configuration that an operator has written. All problems are reported,
 * each with the path of the field.
 */
public final class ConfigurationFormat {
  static final int MAX_TEAMS = 1_000;
  static final int MAX_OBJECTIVES = 200;

  /** The largest valid amount. It exceeds every fleet's capacity, so a larger one is a mistake. */
  private static final double MAX_AMOUNT = 10_000_000;

  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
  private static final Set<String> TEAM_FIELDS =
      Set.of("name", "cpus", "gpus", "cpus_max", "gpus_max", "closed");
  private static final Set<String> OBJECTIVE_FIELDS =
      Set.of("kind", "class", "within_s", "share", "times");
  private static final Set<String> OBJECTIVE_KINDS =
      Set.of("wait", "finished", "deadline", "guarantee");

  /** The kinds of objectives that require {@code within_s}. */
  private static final Set<String> TIMED_KINDS = Set.of("wait", "finished", "guarantee");

  private final List<Problem> problems = new ArrayList<>();

  private ConfigurationFormat() {}

  /**
   * A validation error.
   *
   * @param path path of the field, such as {@code teams[3].cpus_max}; empty for the whole file
   */
  public record Problem(String path, String message) {
    @Override
    public String toString() {
      return path.isEmpty() ? message : path + ": " + message;
    }
  }

  /**
   * The result of a validation.
   *
   * @param configuration the content; null if there are problems
   * @param problems empty if the content is valid
   */
  public record ValidationResult(ClusterConfiguration configuration, List<Problem> problems) {
    public boolean isValid() {
      return problems.isEmpty();
    }
  }

  /** Parses TOML with teams and objectives under {@code cluster}, as in the settings file. */
  public static ValidationResult parseToml(String text) {
    try {
      JsonNode file = new TomlMapper().readTree(text);
      List<Problem> problems = new ArrayList<>();
      addUnknownFields(file, Set.of("cluster"), "", problems);
      if (!file.path("cluster").isObject()) {
        problems.add(
            new Problem("cluster", "is required: [[cluster.teams]] must list at least one team"));
        return new ValidationResult(null, problems);
      }
      ValidationResult result = parseTree(file.get("cluster"));
      problems.addAll(result.problems());
      return new ValidationResult(result.configuration(), problems);
    } catch (JsonProcessingException exception) {
      String reason = exception.getOriginalMessage().lines().findFirst().orElse("");
      return new ValidationResult(null, List.of(new Problem("", "not TOML: " + reason)));
    }
  }

  /** Validates a tree with the fields {@code teams} and {@code objectives}. */
  public static ValidationResult parseTree(JsonNode tree) {
    ConfigurationFormat format = new ConfigurationFormat();
    ClusterConfiguration configuration = format.readConfiguration(tree);
    return new ValidationResult(
        format.problems.isEmpty() ? configuration : null, List.copyOf(format.problems));
  }

  /** Returns the configuration as TOML that {@link #parseToml} reads. */
  public static String toToml(ClusterConfiguration configuration) {
    StringBuilder text = new StringBuilder();
    JsonNode tree = configuration.toTree();
    for (String list : List.of("teams", "objectives")) {
      for (JsonNode entry : tree.get(list)) {
        text.append("[[cluster.").append(list).append("]]\n");
        entry
            .properties()
            .forEach(
                field -> {
                  if (!field.getValue().isNull()) {
                    // JSON strings, numbers and booleans are valid TOML values.
                    text.append(field.getKey()).append(" = ").append(field.getValue()).append('\n');
                  }
                });
      }
    }
    return text.toString();
  }

  private static void addUnknownFields(
      JsonNode map, Set<String> known, String path, List<Problem> problems) {
    Set<String> unknown = new TreeSet<>();
    map.fieldNames().forEachRemaining(unknown::add);
    unknown.removeAll(known);
    String prefix = path.isEmpty() ? "" : path + ".";
    unknown.forEach(field -> problems.add(new Problem(prefix + field, "is not known")));
  }

  private void addProblem(String path, String reason) {
    problems.add(new Problem(path, reason));
  }

  private ClusterConfiguration readConfiguration(JsonNode tree) {
    addUnknownFields(tree, Set.of("teams", "objectives"), "", problems);
    Map<String, Team> teams = new LinkedHashMap<>();
    Set<String> closedTeams = new HashSet<>();
    JsonNode teamList = readList(tree, "teams", MAX_TEAMS);
    for (int i = 0; i < teamList.size(); i++) {
      readTeam("teams[" + i + "]", teamList.get(i), teams, closedTeams);
    }
    if (teamList.isEmpty()) {
      addProblem("teams", "must list at least one team");
    }
    checkTotal("cpus", teams.values().stream().mapToDouble(Team::guaranteedCpus).sum());
    checkTotal("gpus", teams.values().stream().mapToDouble(Team::guaranteedGpus).sum());
    List<Objective> objectives = new ArrayList<>();
    JsonNode objectiveList = readList(tree, "objectives", MAX_OBJECTIVES);
    for (int i = 0; i < objectiveList.size(); i++) {
      objectives.add(readObjective("objectives[" + i + "]", objectiveList.get(i)));
    }
    return new ClusterConfiguration(teams, closedTeams, List.copyOf(objectives));
  }

  private JsonNode readList(JsonNode tree, String field, int maxEntries) {
    JsonNode list = tree.path(field);
    if (list.isArray() && list.size() <= maxEntries) {
      return list;
    }
    if (list.isArray()) {
      addProblem(field, "has " + list.size() + " entries; at most " + maxEntries + " are allowed");
    } else if (!list.isMissingNode()) {
      addProblem(field, "must be a list, received " + list.getNodeType());
    }
    return new ArrayNode(com.fasterxml.jackson.databind.node.JsonNodeFactory.instance);
  }

  private void checkTotal(String resource, double sum) {
    if (sum > MAX_AMOUNT) {
      addProblem(
          "teams",
          "the guaranteed " + resource + " add up to " + sum + ", more than " + (long) MAX_AMOUNT);
    }
  }

  private void readTeam(
      String path, JsonNode node, Map<String, Team> teams, Set<String> closedTeams) {
    if (!node.isObject()) {
      addProblem(path, "must be a table, received " + node.getNodeType());
      return;
    }
    addUnknownFields(node, TEAM_FIELDS, path, problems);
    String name = node.path("name").isTextual() ? node.get("name").asText() : "";
    if (!name.matches(NAME_PATTERN)) {
      addProblem(
          path + ".name",
          "must be 1 to 63 letters, digits, '.', '_' or '-', and begin with a letter or digit,"
              + " received "
              + (node.has("name") ? node.get("name") : "nothing"));
    }
    Team team =
        new Team(
            name,
            readAmount(path, node, "cpus"),
            readAmount(path, node, "gpus"),
            readLimit(path, node, "cpus"),
            readLimit(path, node, "gpus"));
    if (teams.put(name, team) != null) {
      addProblem(path + ".name", "another team is also named " + name);
    }
    JsonNode closedNode = node.path("closed");
    if (!closedNode.isMissingNode() && !closedNode.isBoolean()) {
      addProblem(path + ".closed", "must be true or false, received " + closedNode);
    }
    if (closedNode.asBoolean()) {
      closedTeams.add(name);
    }
  }

  private double readAmount(String path, JsonNode map, String field) {
    JsonNode node = map.path(field);
    if (node.isMissingNode()) {
      return 0;
    }
    double value = node.asDouble();
    if (!node.isNumber() || !Double.isFinite(value) || value < 0 || value > MAX_AMOUNT) {
      addProblem(
          path + "." + field,
          "must be a number from 0 to " + (long) MAX_AMOUNT + ", received " + node);
      return 0;
    }
    return value;
  }

  /** Reads a limit; 0 or an absent field stands for no limit and gives infinity. */
  private double readLimit(String path, JsonNode node, String resource) {
    double limit = readAmount(path, node, resource + "_max");
    if (limit > 0 && node.path(resource).asDouble() > limit) {
      addProblem(
          path + "." + resource,
          "the guarantee of "
              + node.path(resource)
              + " exceeds "
              + resource
              + "_max, which is "
              + limit);
    }
    return limit == 0 ? Double.POSITIVE_INFINITY : limit;
  }

  private Objective readObjective(String path, JsonNode node) {
    if (!node.isObject()) {
      addProblem(path, "must be a table, received " + node.getNodeType());
      return null;
    }
    addUnknownFields(node, OBJECTIVE_FIELDS, path, problems);
    String kind = node.path("kind").asText("");
    if (!OBJECTIVE_KINDS.contains(kind)) {
      addProblem(
          path + ".kind",
          "must be one of "
              + new TreeSet<>(OBJECTIVE_KINDS)
              + ", received "
              + (node.has("kind") ? node.get("kind") : "nothing"));
    }
    if (node.hasNonNull("class") && !node.get("class").isTextual()) {
      addProblem(path + ".class", "must be a string, received " + node.get("class"));
    }
    double withinSeconds = readAmount(path, node, "within_s");
    if (TIMED_KINDS.contains(kind) && withinSeconds <= 0) {
      addProblem(
          path + ".within_s",
          "must be above 0 for kind "
              + kind
              + ", received "
              + (node.has("within_s") ? node.get("within_s") : "nothing"));
    }
    double share = readAmount(path, node, "share");
    if (share <= 0 || share > 1) {
      addProblem(
          path + ".share",
          "must be above 0 and at most 1, received "
              + (node.has("share") ? node.get("share") : "nothing"));
    }
    double deadlineFactor = node.has("times") ? readAmount(path, node, "times") : 1;
    String jobClass = node.hasNonNull("class") ? node.get("class").asText() : null;
    return new Objective(kind, jobClass, withinSeconds, share, deadlineFactor);
  }
}
