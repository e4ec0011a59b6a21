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

/** The validated contents of the platform's settings file. Unknown fields are ignored. */
public record Settings(
    ControllerId self,
    String zone,
    HostPort apiAddress,
    HostPort clusterListenAddress,
    Map<ControllerId, HostPort> peers,
    HostPort cloudAddress,
    HostPort stateStoreAddress,
    double clockErrorBoundSeconds,
    Map<String, Team> teams,
    List<Objective> objectives,
    WorkerTiming workerTiming,
    StateStoreLimits stateStoreLimits,
    CloudLimits cloudLimits,
    ProcessLimits processLimits) {

  /** An address that consists of a host and a port number. */
  public record HostPort(String host, int port) {
    /** Parses an address such as 10.0.0.1:8080; returns null if the text is not an address. */
    public static HostPort parse(String text) {
      int colon = text == null ? -1 : text.lastIndexOf(':');
      Integer port = colon > 0 ? Ints.tryParse(text.substring(colon + 1)) : null;
      return port != null && port > 0 && port < 65536
          ? new HostPort(text.substring(0, colon), port)
          : null;
    }
  }

  /**
   * The guaranteed and maximum resources of a team. A maximum that is 0 or absent in the file is
   * read as infinite.
   */
  public record Team(
      String name, double guaranteedCpus, double guaranteedGpus, double maxCpus, double maxGpus) {}

  /**
   * A service-level objective that users state for the jobs of a class.
   *
   * @param kind as in the settings file; an objective whose text matches no {@link Kind} is kept
   *     but has no effect
   * @param jobClass class to which the objective applies; if null, it applies to none
   * @param withinSeconds time limit of {@link Kind#WAIT} and {@link Kind#FINISHED}
   * @param share fraction of the jobs that are to meet the objective, from 0 to 1
   * @param deadlineFactor factor of {@link Kind#DEADLINE} by which a job's deadline is multiplied
   */
  public record Objective(
      String kind, String jobClass, double withinSeconds, double share, double deadlineFactor) {
    /** The kinds of objectives. */
    public enum Kind {
      /** A job starts within a time limit after its arrival. */
      WAIT("wait"),
      /** A job completes within a time limit after its arrival. */
      FINISHED("finished"),
      /** A job completes within its own deadline multiplied by a factor. */
      DEADLINE("deadline");

      private final String settingsText;

      Kind(String settingsText) {
        this.settingsText = settingsText;
      }
    }

    /** Returns whether this objective is of the given kind and applies to the given job class. */
    public boolean applies(Kind expectedKind, String expectedJobClass) {
      return expectedKind.settingsText.equals(kind) && expectedJobClass.equals(jobClass);
    }
  }

  /** The intervals and timeouts of the workers, in seconds. */
  public record WorkerTiming(
      double heartbeatIntervalSeconds,
      double leaseSeconds,
      double gangStartTimeoutSeconds,
      double gangPeerTimeoutSeconds,
      double cancelTimeoutSeconds) {}

  /** The limits of the state service, which all controllers share. */
  public record StateStoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int maxValueBytes,
      int maxTransactionOperations) {}

  /** The limits of the cloud provider, which all controllers share. */
  public record CloudLimits(double requestsPerSecond, double listLagSeconds) {}

  /** The resource limits of this process. */
  public record ProcessLimits(double cpuShare, double memoryMb, int maxSockets) {}

  /** Thrown if the settings cannot be used. The message is a single line. */
  public static final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a reason, which must be a single line. */
    public InvalidSettingsException(String reason) {
      super(reason);
    }
  }

  /** Returns all controllers, including this one, in the order that defines their indexes. */
  public List<ControllerId> controllers() {
    var controllers = new TreeSet<>(peers.keySet());
    controllers.add(self);
    return List.copyOf(controllers);
  }

  /**
   * Returns the index of a controller, which an entity's version contains, or -1 for an unknown
   * controller.
   */
  public int indexOf(ControllerId id) {
    return controllers().indexOf(id);
  }

  /**
   * Loads the settings from a TOML file.
   *
   * @throws InvalidSettingsException if the file is missing, cannot be parsed or holds an invalid
   *     value
   */
  public static Settings load(Path file) throws InvalidSettingsException {
    if (!Files.isRegularFile(file)) {
      throw new InvalidSettingsException("settings file " + file + " does not exist");
    }
    try {
      return parse(new TomlMapper().readTree(Files.readString(file)));
    } catch (IOException exception) {
      throw new InvalidSettingsException(
          "settings file "
              + file
              + " cannot be read as TOML: "
              + exception.getMessage().lines().findFirst().orElse(""));
    }
  }

  /**
   * Reads the settings from a parsed document and applies the defaults of absent fields.
   *
   * @throws InvalidSettingsException if a required field is missing or a value is out of range
   */
  public static Settings parse(JsonNode root) throws InvalidSettingsException {
    Map<ControllerId, HostPort> peers = new LinkedHashMap<>();
    for (JsonNode peer : root.path("known")) {
      peers.put(new ControllerId(requireText(peer, "label")), requireAddress(peer, "address"));
    }
    JsonNode cluster = requireSection(root, "cluster");
    JsonNode external = requireSection(root, "external");
    Settings settings =
        new Settings(
            new ControllerId(requireText(root, "label")),
            requireText(root, "zone"),
            requireAddress(root, "api_addr"),
            requireAddress(root, "cluster_listen"),
            peers,
            requireAddress(external, "cloud"),
            requireAddress(external, "state"),
            readNumber(cluster, "time_bound_ms", 0) / 1000,
            parseTeams(cluster),
            parseObjectives(cluster),
            parseWorkerTiming(requireSection(cluster, "workers")),
            parseStateStoreLimits(requireSection(cluster, "state")),
            parseCloudLimits(requireSection(cluster, "cloud")),
            parseProcessLimits(requireSection(cluster, "limits")));
    if (peers.containsKey(settings.self)) {
      throw new InvalidSettingsException(
          "known must list other controllers only, but it lists this controller, " + settings.self);
    }
    if (peers.size() >= Version.INCREMENT) {
      throw new InvalidSettingsException(
          "known lists "
              + peers.size()
              + " other controllers: a cluster has at most "
              + Version.INCREMENT
              + " controllers, including this one");
    }
    return settings;
  }

  private static Map<String, Team> parseTeams(JsonNode cluster) throws InvalidSettingsException {
    Map<String, Team> teams = new LinkedHashMap<>();
    for (JsonNode team : cluster.path("teams")) {
      teams.put(
          requireText(team, "name"),
          new Team(
              requireText(team, "name"),
              readNumber(team, "cpus", 0),
              readNumber(team, "gpus", 0),
              readLimit(team, "cpus_max"),
              readLimit(team, "gpus_max")));
    }
    return teams;
  }

  private static List<Objective> parseObjectives(JsonNode cluster) throws InvalidSettingsException {
    List<Objective> objectives = new ArrayList<>();
    for (JsonNode objective : cluster.path("objectives")) {
      objectives.add(
          new Objective(
              requireText(objective, "kind"),
              objective.hasNonNull("class") ? requireText(objective, "class") : null,
              readNumber(objective, "within_s", 0),
              readNumber(objective, "share", 0),
              readNumber(objective, "times", 1)));
    }
    return List.copyOf(objectives);
  }

  private static WorkerTiming parseWorkerTiming(JsonNode section) throws InvalidSettingsException {
    WorkerTiming timing =
        new WorkerTiming(
            requirePositive(section, "report_s"),
            requirePositive(section, "lease_s"),
            requirePositive(section, "gang_wait_s"),
            requirePositive(section, "gang_peer_s"),
            requirePositive(section, "cancel_s"));
    if (timing.cancelTimeoutSeconds <= timing.leaseSeconds) {
      throw new InvalidSettingsException(
          "workers.cancel_s must be more than workers.lease_s, received cancel_s "
              + timing.cancelTimeoutSeconds
              + " and lease_s "
              + timing.leaseSeconds);
    }
    return timing;
  }

  private static StateStoreLimits parseStateStoreLimits(JsonNode section)
      throws InvalidSettingsException {
    return new StateStoreLimits(
        requirePositive(section, "rps"),
        requirePositive(section, "write_rps"),
        (int) (requirePositive(section, "value_kb") * 1024),
        (int) Math.max(1, requirePositive(section, "txn_ops")));
  }

  private static CloudLimits parseCloudLimits(JsonNode section) throws InvalidSettingsException {
    return new CloudLimits(requirePositive(section, "rps"), readNumber(section, "list_lag_s", 0));
  }

  private static ProcessLimits parseProcessLimits(JsonNode section)
      throws InvalidSettingsException {
    return new ProcessLimits(
        requirePositive(section, "cpu_share"),
        requirePositive(section, "memory_mb"),
        (int) Math.max(1, requirePositive(section, "sockets")));
  }

  private static JsonNode requireSection(JsonNode parent, String name)
      throws InvalidSettingsException {
    if (!parent.path(name).isObject()) {
      throw new InvalidSettingsException("section " + name + " is missing or not a table");
    }
    return parent.get(name);
  }

  private static String requireText(JsonNode section, String name) throws InvalidSettingsException {
    if (!section.path(name).isTextual() || section.get(name).asText().isBlank()) {
      throw new InvalidSettingsException(
          name
              + " must be text that is not blank, received "
              + (section.hasNonNull(name) ? section.get(name) : "nothing"));
    }
    return section.get(name).asText();
  }

  private static double readNumber(JsonNode section, String name, double defaultValue)
      throws InvalidSettingsException {
    JsonNode value = section.path(name);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    if (!value.isNumber() || !Double.isFinite(value.asDouble()) || value.asDouble() < 0) {
      throw new InvalidSettingsException(
          name + " must be a number of at least 0, received " + value);
    }
    return value.asDouble();
  }

  private static double requirePositive(JsonNode section, String name)
      throws InvalidSettingsException {
    double value = readNumber(section, name, 0);
    if (value <= 0) {
      throw new InvalidSettingsException(
          name + " must be a number above 0, received " + (section.has(name) ? value : "nothing"));
    }
    return value;
  }

  private static double readLimit(JsonNode section, String name) throws InvalidSettingsException {
    double value = readNumber(section, name, 0);
    return value == 0 ? Double.POSITIVE_INFINITY : value;
  }

  private static HostPort requireAddress(JsonNode section, String name)
      throws InvalidSettingsException {
    String text = requireText(section, name);
    HostPort address = HostPort.parse(text);
    if (address != null) {
      return address;
    }
    throw new InvalidSettingsException(
        name + " must be an address such as 10.0.0.1:8080, received " + text);
  }
}
