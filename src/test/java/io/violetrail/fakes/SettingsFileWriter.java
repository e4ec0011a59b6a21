package io.violetrail.fakes;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import java.util.Locale;
import java.util.Map;

/** Formats the platform's settings file for a controller that is a real process. */
public final class SettingsFileWriter {
  private SettingsFileWriter() {}

  /** The addresses at which a controller listens and at which it reaches the other services. */
  public record Addresses(
      HostPort api,
      HostPort peerListen,
      Map<String, HostPort> peers,
      HostPort cloud,
      HostPort state) {}

  /** Returns the text of a controller's settings file, in TOML. */
  public static String formatSettings(
      ClusterSimulation simulation, String label, String zone, Addresses addresses) {
    StringBuilder text = new StringBuilder();
    appendLine(text, "label = \"%s\"", label);
    appendLine(text, "zone = \"%s\"", zone);
    appendLine(text, "api_addr = \"%s\"", formatAddress(addresses.api()));
    appendLine(text, "cluster_listen = \"%s\"", formatAddress(addresses.peerListen()));
    addresses
        .peers()
        .forEach(
            (peer, address) -> {
              appendLine(text, "[[known]]");
              appendLine(text, "label = \"%s\"", peer);
              appendLine(text, "zone = \"%s\"", zone);
              appendLine(text, "address = \"%s\"", formatAddress(address));
            });
    appendLine(text, "[external]");
    appendLine(text, "cloud = \"%s\"", formatAddress(addresses.cloud()));
    appendLine(text, "state = \"%s\"", formatAddress(addresses.state()));
    appendLine(text, "[cluster]");
    appendLine(text, "time_bound_ms = 50.0");
    simulation.teams().values().forEach(team -> appendTeam(text, team));
    simulation.objectives().forEach(objective -> appendObjective(text, objective));
    appendLimits(text, simulation);
    return text.toString();
  }

  private static void appendTeam(StringBuilder text, Team team) {
    appendLine(text, "[[cluster.teams]]");
    appendLine(text, "name = \"%s\"", team.name());
    appendLine(text, "cpus = %.3f", team.guaranteedCpus());
    appendLine(text, "gpus = %.3f", team.guaranteedGpus());
    appendLine(text, "cpus_max = %.3f", zeroIfInfinite(team.maxCpus()));
    appendLine(text, "gpus_max = %.3f", zeroIfInfinite(team.maxGpus()));
  }

  private static double zeroIfInfinite(double limit) {
    return Double.isInfinite(limit) ? 0 : limit;
  }

  private static void appendObjective(StringBuilder text, Objective objective) {
    appendLine(text, "[[cluster.objectives]]");
    appendLine(text, "kind = \"%s\"", objective.kind());
    if (objective.jobClass() != null) {
      appendLine(text, "class = \"%s\"", objective.jobClass());
    }
    appendLine(text, "within_s = %.3f", objective.withinSeconds());
    appendLine(text, "share = %.3f", objective.share());
  }

  private static void appendLimits(StringBuilder text, ClusterSimulation simulation) {
    var workers = simulation.workerSettings();
    appendLine(text, "[cluster.workers]");
    appendLine(text, "report_s = %.3f", workers.heartbeatIntervalSeconds());
    appendLine(text, "lease_s = %.3f", workers.leaseSeconds());
    appendLine(text, "gang_wait_s = %.3f", workers.gangStartTimeoutSeconds());
    appendLine(text, "gang_peer_s = %.3f", workers.gangPeerTimeoutSeconds());
    appendLine(text, "cancel_s = %.3f", workers.cancelTimeoutSeconds());
    var state = simulation.stateLimits();
    appendLine(text, "[cluster.state]");
    appendLine(text, "rps = %.1f", state.requestsPerSecond());
    appendLine(text, "write_rps = %.1f", state.writesPerSecond());
    appendLine(text, "value_kb = %.3f", state.maxValueBytes() / 1024.0);
    appendLine(text, "txn_ops = %d", state.maxTransactionOperations());
    appendLine(text, "[cluster.cloud]");
    appendLine(text, "rps = 20.0");
    appendLine(text, "list_lag_s = 5.0");
    appendLine(text, "[cluster.limits]");
    appendLine(text, "cpu_share = 1.0");
    appendLine(text, "memory_mb = 176.0");
    appendLine(text, "sockets = 4000");
  }

  private static String formatAddress(HostPort address) {
    return address.host() + ":" + address.port();
  }

  private static void appendLine(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append('\n');
  }
}
