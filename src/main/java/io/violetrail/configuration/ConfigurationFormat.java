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
 * Reads a configuration from the form that operators write, and names everything that is wrong with
 * it by its path.
 */
public final class ConfigurationFormat {
  static final int MAX_TEAMS = 1_000;
  static final int MAX_OBJECTIVES = 200;

  /** More than any fleet has: what is above it is a mistake. */
  private static final double MAX_AMOUNT = 10_000_000;

  private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
  private static final Set<String> TEAM_FIELDS =
      Set.of("name", "cpus", "gpus", "cpus_max", "gpus_max", "closed");
  private static final Set<String> OBJECTIVE_FIELDS =
      Set.of("kind", "class", "within_s", "share", "times");
  private static final Set<String> KINDS = Set.of("wait", "finished", "deadline", "guarantee");

  /** Kinds that say within how many seconds. */
  private static final Set<String> TIMED_KINDS = Set.of("wait", "finished", "guarantee");

  private final List<Problem> problems = new ArrayList<>();

  private ConfigurationFormat() {}

  /** Something wrong, at a path such as {@code teams[3].cpus_max}. */
  public record Problem(String path, String why) {
    @Override
    public String toString() {
      return path.isEmpty() ? why : path + ": " + why;
    }
  }

  /** The content, or what is wrong with it. */
  public record Checked(ClusterConfiguration configuration, List<Problem> problems) {
    public boolean valid() {
      return problems.isEmpty();
    }
  }

  /** Reads TOML: teams and objectives under {@code cluster}, as in the platform's file. */
  public static Checked ofToml(String text) {
    try {
      JsonNode file = new TomlMapper().readTree(text);
      List<Problem> problems = new ArrayList<>();
      unknownFields(file, Set.of("cluster"), "", problems);
      if (!file.path("cluster").isObject()) {
        problems.add(new Problem("cluster", "is missing"));
        return new Checked(null, problems);
      }
      Checked checked = ofTree(file.get("cluster"));
      problems.addAll(checked.problems());
      return new Checked(checked.configuration(), problems);
    } catch (JsonProcessingException e) {
      String why = e.getOriginalMessage().lines().findFirst().orElse("");
      return new Checked(null, List.of(new Problem("", "not TOML: " + why)));
    }
  }

  /** Checks a tree with {@code teams} and {@code objectives} as a whole. */
  public static Checked ofTree(JsonNode tree) {
    ConfigurationFormat format = new ConfigurationFormat();
    ClusterConfiguration read = format.read(tree);
    return new Checked(format.problems.isEmpty() ? read : null, List.copyOf(format.problems));
  }

  /** The form that {@link #ofToml} reads. */
  public static String toToml(ClusterConfiguration configuration) {
    StringBuilder text = new StringBuilder();
    JsonNode tree = configuration.tree();
    for (String list : List.of("teams", "objectives")) {
      for (JsonNode entry : tree.get(list)) {
        text.append("[[cluster.").append(list).append("]]\n");
        entry
            .properties()
            .forEach(
                f -> {
                  if (!f.getValue().isNull()) {
                    // JSON's texts, numbers and booleans are TOML's as well.
                    text.append(f.getKey()).append(" = ").append(f.getValue()).append('\n');
                  }
                });
      }
    }
    return text.toString();
  }

  private static void unknownFields(
      JsonNode map, Set<String> known, String path, List<Problem> problems) {
    Set<String> others = new TreeSet<>();
    map.fieldNames().forEachRemaining(others::add);
    others.removeAll(known);
    String prefix = path.isEmpty() ? "" : path + ".";
    others.forEach(f -> problems.add(new Problem(prefix + f, "is not known")));
  }

  private void wrong(String path, String why) {
    problems.add(new Problem(path, why));
  }

  private ClusterConfiguration read(JsonNode tree) {
    unknownFields(tree, Set.of("teams", "objectives"), "", problems);
    Map<String, Team> teams = new LinkedHashMap<>();
    Set<String> closed = new HashSet<>();
    JsonNode teamList = list(tree, "teams", MAX_TEAMS);
    for (int i = 0; i < teamList.size(); i++) {
      team("teams[" + i + "]", teamList.get(i), teams, closed);
    }
    if (teamList.isEmpty()) {
      wrong("teams", "there must be at least one");
    }
    total("cpus", teams.values().stream().mapToDouble(Team::cpus).sum());
    total("gpus", teams.values().stream().mapToDouble(Team::gpus).sum());
    List<Objective> objectives = new ArrayList<>();
    JsonNode objectiveList = list(tree, "objectives", MAX_OBJECTIVES);
    for (int i = 0; i < objectiveList.size(); i++) {
      objectives.add(objective("objectives[" + i + "]", objectiveList.get(i)));
    }
    return new ClusterConfiguration(teams, closed, List.copyOf(objectives));
  }

  private JsonNode list(JsonNode tree, String field, int most) {
    JsonNode list = tree.path(field);
    if (list.isArray() && list.size() <= most) {
      return list;
    }
    if (list.isArray()) {
      wrong(field, "has " + list.size() + " entries, and " + most + " are allowed");
    } else if (!list.isMissingNode()) {
      wrong(field, "must be a list");
    }
    return new ArrayNode(com.fasterxml.jackson.databind.node.JsonNodeFactory.instance);
  }

  private void total(String what, double sum) {
    if (sum > MAX_AMOUNT) {
      wrong("teams", "guarantees of " + what + " add up to more than " + (long) MAX_AMOUNT);
    }
  }

  private void team(String path, JsonNode t, Map<String, Team> teams, Set<String> closed) {
    if (!t.isObject()) {
      wrong(path, "must be a table");
      return;
    }
    unknownFields(t, TEAM_FIELDS, path, problems);
    String name = t.path("name").isTextual() ? t.get("name").asText() : "";
    if (!name.matches(NAME)) {
      wrong(path + ".name", "must be text of letters, digits, '.', '_' and '-', at most 63");
    }
    Team team =
        new Team(
            name,
            amount(path, t, "cpus"),
            amount(path, t, "gpus"),
            limit(path, t, "cpus"),
            limit(path, t, "gpus"));
    if (teams.put(name, team) != null) {
      wrong(path + ".name", "there is another team " + name);
    }
    JsonNode isClosed = t.path("closed");
    if (!isClosed.isMissingNode() && !isClosed.isBoolean()) {
      wrong(path + ".closed", "must be true or false");
    }
    if (isClosed.asBoolean()) {
      closed.add(name);
    }
  }

  private double amount(String path, JsonNode map, String field) {
    JsonNode n = map.path(field);
    if (n.isMissingNode()) {
      return 0;
    }
    double value = n.asDouble();
    if (!n.isNumber() || !Double.isFinite(value) || value < 0 || value > MAX_AMOUNT) {
      wrong(path + "." + field, "must be a number from 0 to " + (long) MAX_AMOUNT);
      return 0;
    }
    return value;
  }

  /** 0 means no limit. */
  private double limit(String path, JsonNode t, String resource) {
    double limit = amount(path, t, resource + "_max");
    if (limit > 0 && t.path(resource).asDouble() > limit) {
      wrong(path + "." + resource, "the guarantee is above " + resource + "_max");
    }
    return limit == 0 ? Double.POSITIVE_INFINITY : limit;
  }

  private Objective objective(String path, JsonNode o) {
    if (!o.isObject()) {
      wrong(path, "must be a table");
      return null;
    }
    unknownFields(o, OBJECTIVE_FIELDS, path, problems);
    String kind = o.path("kind").asText("");
    if (!KINDS.contains(kind)) {
      wrong(path + ".kind", "must be one of " + new TreeSet<>(KINDS));
    }
    if (o.hasNonNull("class") && !o.get("class").isTextual()) {
      wrong(path + ".class", "must be text");
    }
    double within = amount(path, o, "within_s");
    if (TIMED_KINDS.contains(kind) && within <= 0) {
      wrong(path + ".within_s", "must be above 0");
    }
    double share = amount(path, o, "share");
    if (share <= 0 || share > 1) {
      wrong(path + ".share", "must be above 0 and at most 1");
    }
    double times = o.has("times") ? amount(path, o, "times") : 1;
    String jobClass = o.hasNonNull("class") ? o.get("class").asText() : null;
    return new Objective(kind, jobClass, within, share, times);
  }
}
