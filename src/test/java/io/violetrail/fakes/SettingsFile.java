package io.violetrail.fakes;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import java.util.Locale;
import java.util.Map;

/** Writes the platform's settings file for a controller that is a real process. */
public final class SettingsFile {
  private SettingsFile() {}

  /** Where a controller serves, and where it finds the others. */
  public record Addresses(
      HostPort api, HostPort listen, Map<String, HostPort> peers, HostPort cloud, HostPort state) {}

  /** Returns the text of a controller's settings file, in TOML. */
  public static String text(World world, String label, String zone, Addresses at) {
    StringBuilder text = new StringBuilder();
    line(text, "label = \"%s\"", label);
    line(text, "zone = \"%s\"", zone);
    line(text, "api_addr = \"%s\"", address(at.api()));
    line(text, "cluster_listen = \"%s\"", address(at.listen()));
    at.peers()
        .forEach(
            (peer, address) -> {
              line(text, "[[known]]");
              line(text, "label = \"%s\"", peer);
              line(text, "zone = \"%s\"", zone);
              line(text, "address = \"%s\"", address(address));
            });
    line(text, "[external]");
    line(text, "cloud = \"%s\"", address(at.cloud()));
    line(text, "state = \"%s\"", address(at.state()));
    line(text, "[cluster]");
    line(text, "time_bound_ms = 50.0");
    world.teams.values().forEach(t -> team(text, t));
    world.objectives.forEach(o -> objective(text, o));
    limits(text, world);
    return text.toString();
  }

  private static void team(StringBuilder text, Team t) {
    line(text, "[[cluster.teams]]");
    line(text, "name = \"%s\"", t.name());
    line(text, "cpus = %.3f", t.cpus());
    line(text, "gpus = %.3f", t.gpus());
    line(text, "cpus_max = %.3f", finite(t.cpusMax()));
    line(text, "gpus_max = %.3f", finite(t.gpusMax()));
  }

  private static double finite(double limit) {
    return Double.isInfinite(limit) ? 0 : limit;
  }

  private static void objective(StringBuilder text, Objective o) {
    line(text, "[[cluster.objectives]]");
    line(text, "kind = \"%s\"", o.kind());
    if (o.jobClass() != null) {
      line(text, "class = \"%s\"", o.jobClass());
    }
    line(text, "within_s = %.3f", o.withinS());
    line(text, "share = %.3f", o.share());
  }

  private static void limits(StringBuilder text, World world) {
    var w = world.workers;
    line(text, "[cluster.workers]");
    line(text, "report_s = %.3f", w.reportS());
    line(text, "lease_s = %.3f", w.leaseS());
    line(text, "gang_wait_s = %.3f", w.gangWaitS());
    line(text, "gang_peer_s = %.3f", w.gangPeerS());
    line(text, "cancel_s = %.3f", w.cancelS());
    var s = world.stateLimits;
    line(text, "[cluster.state]");
    line(text, "rps = %.1f", s.rps());
    line(text, "write_rps = %.1f", s.writeRps());
    line(text, "value_kb = %.3f", s.valueBytes() / 1024.0);
    line(text, "txn_ops = %d", s.txnOps());
    line(text, "[cluster.cloud]");
    line(text, "rps = 20.0");
    line(text, "list_lag_s = 5.0");
    line(text, "[cluster.limits]");
    line(text, "cpu_share = 1.0");
    line(text, "memory_mb = 176.0");
    line(text, "sockets = 4000");
  }

  private static String address(HostPort at) {
    return at.host() + ":" + at.port();
  }

  private static void line(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append('\n');
  }
}
