package io.violetrail.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.common.primitives.Ints;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Version;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** The platform's settings file, checked. Unknown fields are ignored. */
public record Settings(
    ControllerId self,
    String zone,
    HostPort api,
    HostPort listen,
    Map<ControllerId, HostPort> peers,
    HostPort cloud,
    HostPort state,
    double timeBoundS,
    Map<String, Team> teams,
    List<Objective> objectives,
    Workers workers,
    StateLimits stateLimits,
    CloudLimits cloudLimits,
    Limits limits) {

  /** An address by number. */
  public record HostPort(String host, int port) {
    /** The address in a text like 10.0.0.1:8080; null if it is none. */
    public static HostPort parse(String text) {
      int colon = text == null ? -1 : text.lastIndexOf(':');
      Integer port = colon > 0 ? Ints.tryParse(text.substring(colon + 1)) : null;
      return port != null && port > 0 && port < 65536
          ? new HostPort(text.substring(0, colon), port)
          : null;
    }
  }

  /** Guarantee and limit of a team; infinite where the file says 0. */
  public record Team(String name, double cpus, double gpus, double cpusMax, double gpusMax) {}

  /** An aim that the users state; {@code jobClass} may be null. */
  public record Objective(
      String kind, String jobClass, double withinS, double share, double times) {}

  /** What the workers go by. */
  public record Workers(
      double reportS, double leaseS, double gangWaitS, double gangPeerS, double cancelS) {}

  /** What the state service allows all controllers together. */
  public record StateLimits(double rps, double writeRps, int valueBytes, int txnOps) {}

  /** What the cloud allows all controllers together. */
  public record CloudLimits(double rps, double listLagS) {}

  /** What this process may use. */
  public record Limits(double cpuShare, double memoryMb, int sockets) {}

  /** A settings file that cannot be used; the message is one clear line. */
  public static final class Invalid extends Exception {
    private static final long serialVersionUID = 1L;

    public Invalid(String why) {
      super(why);
    }
  }

  /** All controllers in the order that gives each its index. */
  public List<ControllerId> controllers() {
    var all = new TreeSet<>(peers.keySet());
    all.add(self);
    return List.copyOf(all);
  }

  public int indexOf(ControllerId id) {
    return controllers().indexOf(id);
  }

  /**
   * Loads the settings from a TOML file.
   *
   * @throws Invalid if the file is missing, cannot be parsed or holds an invalid value
   */
  public static Settings load(Path file) throws Invalid {
    if (!Files.isRegularFile(file)) {
      throw new Invalid("settings file " + file + " does not exist");
    }
    try {
      return read(new TomlMapper().readTree(Files.readString(file)));
    } catch (IOException e) {
      throw new Invalid(
          "settings file "
              + file
              + " is not TOML: "
              + e.getMessage().lines().findFirst().orElse(""));
    }
  }

  /**
   * Reads the settings from a parsed document and applies the defaults of absent fields.
   *
   * @throws Invalid if a required field is missing or a value is out of range
   */
  public static Settings read(JsonNode m) throws Invalid {
    Map<ControllerId, HostPort> peers = new LinkedHashMap<>();
    for (JsonNode p : m.path("known")) {
      peers.put(new ControllerId(text(p, "label")), address(p, "address"));
    }
    JsonNode c = section(m, "cluster");
    JsonNode external = section(m, "external");
    Settings s =
        new Settings(
            new ControllerId(text(m, "label")),
            text(m, "zone"),
            address(m, "api_addr"),
            address(m, "cluster_listen"),
            peers,
            address(external, "cloud"),
            address(external, "state"),
            number(c, "time_bound_ms", 0) / 1000,
            teams(c),
            objectives(c),
            workers(section(c, "workers")),
            stateLimits(section(c, "state")),
            cloudLimits(section(c, "cloud")),
            limits(section(c, "limits")));
    if (peers.containsKey(s.self)) {
      throw new Invalid("known names this controller itself, " + s.self);
    }
    if (peers.size() >= Version.INCREMENT) {
      throw new Invalid(
          "known names "
              + peers.size()
              + " controllers, and versions have room for "
              + Version.INCREMENT
              + " in all");
    }
    return s;
  }

  private static Map<String, Team> teams(JsonNode c) throws Invalid {
    Map<String, Team> teams = new LinkedHashMap<>();
    for (JsonNode t : c.path("teams")) {
      teams.put(
          text(t, "name"),
          new Team(
              text(t, "name"),
              number(t, "cpus", 0),
              number(t, "gpus", 0),
              limit(t, "cpus_max"),
              limit(t, "gpus_max")));
    }
    return teams;
  }

  private static List<Objective> objectives(JsonNode c) throws Invalid {
    List<Objective> all = new ArrayList<>();
    for (JsonNode o : c.path("objectives")) {
      all.add(
          new Objective(
              text(o, "kind"),
              o.hasNonNull("class") ? text(o, "class") : null,
              number(o, "within_s", 0),
              number(o, "share", 0),
              number(o, "times", 1)));
    }
    return List.copyOf(all);
  }

  private static Workers workers(JsonNode w) throws Invalid {
    Workers workers =
        new Workers(
            positive(w, "report_s"),
            positive(w, "lease_s"),
            positive(w, "gang_wait_s"),
            positive(w, "gang_peer_s"),
            positive(w, "cancel_s"));
    if (workers.cancelS <= workers.leaseS) {
      throw new Invalid("workers.cancel_s must be more than workers.lease_s");
    }
    return workers;
  }

  private static StateLimits stateLimits(JsonNode s) throws Invalid {
    return new StateLimits(
        positive(s, "rps"),
        positive(s, "write_rps"),
        (int) (positive(s, "value_kb") * 1024),
        (int) Math.max(1, positive(s, "txn_ops")));
  }

  private static CloudLimits cloudLimits(JsonNode s) throws Invalid {
    return new CloudLimits(positive(s, "rps"), number(s, "list_lag_s", 0));
  }

  private static Limits limits(JsonNode s) throws Invalid {
    return new Limits(
        positive(s, "cpu_share"),
        positive(s, "memory_mb"),
        (int) Math.max(1, positive(s, "sockets")));
  }

  private static JsonNode section(JsonNode m, String name) throws Invalid {
    if (!m.path(name).isObject()) {
      throw new Invalid("section " + name + " is missing");
    }
    return m.get(name);
  }

  private static String text(JsonNode m, String name) throws Invalid {
    if (!m.path(name).isTextual() || m.get(name).asText().isBlank()) {
      throw new Invalid(name + " must be text");
    }
    return m.get(name).asText();
  }

  private static double number(JsonNode m, String name, double other) throws Invalid {
    JsonNode n = m.path(name);
    if (n.isMissingNode()) {
      return other;
    }
    if (!n.isNumber() || !Double.isFinite(n.asDouble()) || n.asDouble() < 0) {
      throw new Invalid(name + " must be a number of at least 0");
    }
    return n.asDouble();
  }

  private static double positive(JsonNode m, String name) throws Invalid {
    double value = number(m, name, 0);
    if (value <= 0) {
      throw new Invalid(name + " must be a number above 0");
    }
    return value;
  }

  private static double limit(JsonNode t, String name) throws Invalid {
    double value = number(t, name, 0);
    return value == 0 ? Double.POSITIVE_INFINITY : value;
  }

  private static HostPort address(JsonNode m, String name) throws Invalid {
    String text = text(m, name);
    HostPort address = HostPort.parse(text);
    if (address != null) {
      return address;
    }
    throw new Invalid(name + " must be an address like 10.0.0.1:8080, not " + text);
  }
}
