package io.violetrail.configuration;

import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import java.util.ArrayList;
import java.util.List;

/** What changes from one configuration to another, a line each. */
public final class ConfigurationDiff {
  private final List<String> lines = new ArrayList<>();

  private ConfigurationDiff() {}

  /**
   * Lists the differences between two configurations, one line each, for display to an operator.
   */
  public static List<String> between(ClusterConfiguration from, ClusterConfiguration to) {
    ConfigurationDiff diff = new ConfigurationDiff();
    to.teams().forEach((name, team) -> diff.team(from, to, team));
    for (String name : from.teams().keySet()) {
      if (!to.teams().containsKey(name) && !from.closed().contains(name)) {
        diff.lines.add("- team " + name + " (closed: it finishes what it has)");
      }
    }
    diff.objectives(from.objectives(), to.objectives());
    return List.copyOf(diff.lines);
  }

  private void team(ClusterConfiguration from, ClusterConfiguration to, Team team) {
    Team former = from.teams().get(team.name());
    if (former == null) {
      lines.add("+ team " + team.name());
      return;
    }
    field(team.name(), "cpus", former.cpus(), team.cpus());
    field(team.name(), "gpus", former.gpus(), team.gpus());
    field(team.name(), "cpus_max", former.cpusMax(), team.cpusMax());
    field(team.name(), "gpus_max", former.gpusMax(), team.gpusMax());
    boolean wasClosed = from.closed().contains(team.name());
    boolean isClosed = to.closed().contains(team.name());
    if (wasClosed != isClosed) {
      lines.add("~ team " + team.name() + ": " + (isClosed ? "closed" : "open again"));
    }
  }

  private void field(String team, String field, double from, double to) {
    if (from != to) {
      lines.add("~ team " + team + ": " + field + " " + text(from) + " -> " + text(to));
    }
  }

  private static String text(double amount) {
    return Double.isInfinite(amount) ? "no limit" : String.valueOf(amount);
  }

  private void objectives(List<Objective> from, List<Objective> to) {
    from.stream().filter(o -> !to.contains(o)).forEach(o -> lines.add("- objective " + text(o)));
    to.stream().filter(o -> !from.contains(o)).forEach(o -> lines.add("+ objective " + text(o)));
  }

  private static String text(Objective o) {
    return String.format(
        java.util.Locale.ROOT,
        "%s%s: %s within %s s, %s times the deadline",
        o.kind(),
        o.jobClass() == null ? "" : " of " + o.jobClass(),
        o.share(),
        o.withinS(),
        o.times());
  }
}
