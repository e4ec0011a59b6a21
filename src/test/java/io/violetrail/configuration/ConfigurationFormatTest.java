package io.violetrail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.configuration.ConfigurationFormat.Checked;
import io.violetrail.configuration.ConfigurationFormat.Problem;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The file that operators write: what is read, what is refused and how that is said. */
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

  private static List<String> paths(String toml) {
    return ConfigurationFormat.ofToml(toml).problems().stream().map(Problem::path).toList();
  }

  private static String oneTeam(String line) {
    return "[[cluster.teams]]\nname = \"red\"\n" + line + "\n";
  }

  @Test
  void whatIsWrittenIsReadAgain() {
    Checked checked = ConfigurationFormat.ofToml(VALID);
    assertEquals(List.of(), checked.problems());
    ClusterConfiguration read = checked.configuration();
    assertEquals(20, read.teams().get("red").cpusMax());
    assertEquals(Double.POSITIVE_INFINITY, read.teams().get("blue").cpusMax());
    assertTrue(read.closed().contains("blue"));
    Checked again = ConfigurationFormat.ofToml(ConfigurationFormat.toToml(read));
    assertEquals(read, again.configuration());
    assertEquals(read.digest(), ClusterConfiguration.ofTree(read.tree()).digest());
  }

  @Test
  void everyMistakeIsNamedByItsPath() {
    assertEquals(List.of("teams[0].cpus_min"), paths(oneTeam("cpus_min = 1")));
    assertEquals(List.of("teams[0].cpus"), paths(oneTeam("cpus = \"many\"")));
    assertEquals(List.of("teams[0].cpus"), paths(oneTeam("cpus = -1")));
    assertEquals(List.of("teams[0].gpus_max"), paths(oneTeam("gpus_max = inf")));
    assertEquals(List.of("teams[0].cpus"), paths(oneTeam("cpus = 5\ncpus_max = 4")));
    assertEquals(List.of("teams[0].closed"), paths(oneTeam("closed = 1")));
    assertEquals(List.of("teams[1].name"), paths(oneTeam("") + oneTeam("")));
    assertEquals(List.of("teams[0].name"), paths("[[cluster.teams]]\nname = \"no spaces\"\n"));
    assertEquals(List.of("cluster"), paths("a = 1\n").stream().skip(1).toList());
    assertEquals(List.of("teams"), paths("[cluster]\n"));
    assertEquals(
        List.of("teams"),
        paths(oneTeam("cpus = 9000000") + "[[cluster.teams]]\nname = \"b\"\ncpus = 9000000\n"));
    assertEquals(
        List.of("objectives[0].kind", "objectives[0].share"),
        paths(oneTeam("") + "[[cluster.objectives]]\nkind = \"luck\"\nshare = 2.0\n"));
    assertEquals(
        List.of("objectives[0].within_s"),
        paths(oneTeam("") + "[[cluster.objectives]]\nkind = \"wait\"\nshare = 0.5\n"));
    assertEquals(List.of(""), paths("this is not TOML"));
  }

  @Test
  void aDiffSaysWhatChanges() {
    ClusterConfiguration from = ConfigurationFormat.ofToml(VALID).configuration();
    ClusterConfiguration to =
        ConfigurationFormat.ofToml(
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
