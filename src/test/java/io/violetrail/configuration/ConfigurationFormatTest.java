package io.violetrail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.configuration.ConfigurationFormat.Problem;
import io.violetrail.configuration.ConfigurationFormat.ValidationResult;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Parsing and validation of the operators' configuration file, and the diff of two contents. */
class ConfigurationFormatTest {
  private static final String VALID =
      """
      [[cluster.teams]]
      name = "red"
      cpus = 10.0
      cpus_max = 20
      [[cluster.teams]]
      name = "blue"
      closed = true
      [[cluster.objectives]]
      kind = "wait"
      class = "urgent"
      within_s = 2.1
      share = 0.9
      """;

  private static List<String> problemPaths(String toml) {
    return ConfigurationFormat.parseToml(toml).problems().stream().map(Problem::path).toList();
  }

  private static String tomlOfOneTeam(String line) {
    return "[[cluster.teams]]\nname = \"red\"\n" + line + "\n";
  }

  @Test
  void configurationRoundTripsThroughToml() {
    ValidationResult checked = ConfigurationFormat.parseToml(VALID);
    assertEquals(List.of(), checked.problems());
    ClusterConfiguration read = checked.configuration();
    assertEquals(20, read.teams().get("red").maxCpus());
    assertEquals(Double.POSITIVE_INFINITY, read.teams().get("blue").maxCpus());
    assertTrue(read.closedTeams().contains("blue"));
    ValidationResult again = ConfigurationFormat.parseToml(ConfigurationFormat.toToml(read));
    assertEquals(read, again.configuration());
    assertEquals(read.digest(), ClusterConfiguration.fromTree(read.toTree()).digest());
  }

  @Test
  void everyProblemIsReportedByItsPath() {
    assertEquals(List.of("teams[0].cpus_min"), problemPaths(tomlOfOneTeam("cpus_min = 1")));
    assertEquals(List.of("teams[0].cpus"), problemPaths(tomlOfOneTeam("cpus = \"many\"")));
    assertEquals(List.of("teams[0].cpus"), problemPaths(tomlOfOneTeam("cpus = -1")));
    assertEquals(List.of("teams[0].gpus_max"), problemPaths(tomlOfOneTeam("gpus_max = inf")));
    assertEquals(List.of("teams[0].cpus"), problemPaths(tomlOfOneTeam("cpus = 5\ncpus_max = 4")));
    assertEquals(List.of("teams[0].closed"), problemPaths(tomlOfOneTeam("closed = 1")));
    assertEquals(List.of("teams[1].name"), problemPaths(tomlOfOneTeam("") + tomlOfOneTeam("")));
    assertEquals(
        List.of("teams[0].name"), problemPaths("[[cluster.teams]]\nname = \"no spaces\"\n"));
    assertEquals(List.of("cluster"), problemPaths("a = 1\n").stream().skip(1).toList());
    assertEquals(List.of("teams"), problemPaths("[cluster]\n"));
    assertEquals(
        List.of("teams"),
        problemPaths(
            tomlOfOneTeam("cpus = 9000000") + "[[cluster.teams]]\nname = \"b\"\ncpus = 9000000\n"));
    assertEquals(
        List.of("objectives[0].kind", "objectives[0].share"),
        problemPaths(tomlOfOneTeam("") + "[[cluster.objectives]]\nkind = \"luck\"\nshare = 2.0\n"));
    assertEquals(
        List.of("objectives[0].within_s"),
        problemPaths(tomlOfOneTeam("") + "[[cluster.objectives]]\nkind = \"wait\"\nshare = 0.5\n"));
    assertEquals(List.of(""), problemPaths("this is not TOML"));
  }

  @Test
  void diffListsChanges() {
    ClusterConfiguration from = ConfigurationFormat.parseToml(VALID).configuration();
    ClusterConfiguration to =
        ConfigurationFormat.parseToml(
                "[[cluster.teams]]\nname = \"red\"\ncpus = 10\n[[cluster.teams]]\nname=\"green\"\n")
            .configuration();
    assertEquals(
        List.of(
            "~ team red: cpus_max 20.0 -> no limit",
            "+ team green",
            "- objective wait of urgent: 0.9 within 2.1 s, 1.0 times the deadline"),
        ConfigurationDiff.between(from, to));
    assertEquals(List.of(), ConfigurationDiff.between(from, from));
  }
}
