package io.violetrail.configuration;

import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import java.util.ArrayList;
import java.util.List;

/** Formats the differences between two configurations for operators. */
public final class ConfigurationDiff {
  private final List<String> lines = new ArrayList<>();

  private ConfigurationDiff() {}

  /**
   * Lists the differences between two configurations, one line each, for display to an operator.
   */
  public static List<String> between(ClusterConfiguration from, ClusterConfiguration to) {
    ConfigurationDiff diff = new ConfigurationDiff();
    to.teams().forEach((name, team) -> diff.compareTeam(from, to, team));
    for (String name : from.teams().keySet()) {
      if (!to.teams().containsKey(name) && !from.closedTeams().contains(name)) {
        diff.lines.add("- team " + name + " (closed: it only finishes its open jobs)");
      }
    }
    diff.compareObjectives(from.objectives(), to.objectives());
    return List.copyOf(diff.lines);
  }

  private void compareTeam(ClusterConfiguration from, ClusterConfiguration to, Team team) {
    Team previous = from.teams().get(team.name());
    if (previous == null) {
      lines.add("+ team " + team.name());
      return;
    }
    compareField(team.name(), "cpus", previous.guaranteedCpus(), team.guaranteedCpus());
    compareField(team.name(), "gpus", previous.guaranteedGpus(), team.guaranteedGpus());
    compareField(team.name(), "cpus_max", previous.maxCpus(), team.maxCpus());
    compareField(team.name(), "gpus_max", previous.maxGpus(), team.maxGpus());
    boolean wasClosed = from.closedTeams().contains(team.name());
    boolean isClosed = to.closedTeams().contains(team.name());
    if (wasClosed != isClosed) {
      lines.add("~ team " + team.name() + ": " + (isClosed ? "closed" : "open again"));
    }
  }

  private void compareField(String team, String field, double from, double to) {
    if (from != to) {
      lines.add("~ team " + team + ": " + field + " " + format(from) + " -> " + format(to));
    }
  }

  private static String format(double amount) {
    return Double.isInfinite(amount) ? "no limit" : String.valueOf(amount);
  }

  private void compareObjectives(List<Objective> from, List<Objective> to) {
    from.stream().filter(o -> !to.contains(o)).forEach(o -> lines.add("- objective " + format(o)));
    to.stream().filter(o -> !from.contains(o)).forEach(o -> lines.add("+ objective " + format(o)));
  }

  private static String format(Objective objective) {
    return String.format(
        java.util.Locale.ROOT,
        "%s%s: %s within %s s, %s times the deadline",
        objective.kind(),
        objective.jobClass() == null ? "" : " of " + objective.jobClass(),
        objective.share(),
        objective.withinSeconds(),
        objective.deadlineFactor());
  }
}
