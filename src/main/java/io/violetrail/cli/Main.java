package io.violetrail.cli;

import io.violetrail.config.Options;
import io.violetrail.config.Settings;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The daemon's command line: reads the flags and the settings' file and starts a controller, or
 * runs one of the other commands. Called on the main thread.
 */
@Command(
    name = "violetrail",
    mixinStandardHelpOptions = true,
    versionProvider = Main.JarVersionProvider.class,
    description = "Runs one controller of a violetrail cluster.",
    footerHeading = "%nCommands, each with its own --help:%n",
    footer = {
      "  config      teams and objectives that change while the service runs",
      "  kubernetes  what the Kubernetes subset makes of manifests and fields",
      "  schedule    recurring jobs tied to calendars"
    })
public final class Main implements Callable<Integer> {
  /** Some 2 KiB each. */
  private static final int MAX_TRACE_SPANS = 5_000;

  @Option(names = "--config", paramLabel = "FILE", description = "the platform's settings (TOML)")
  private Path config;

  @Option(
      names = "--lapse-s",
      defaultValue = "${env:VIOLETRAIL_LAPSE_S}",
      description =
          "a controller's lease in seconds (VIOLETRAIL_LAPSE_S); default: from the workers' lease")
  private Double leaseSeconds;

  @Option(
      names = "--idle-s",
      defaultValue = "${env:VIOLETRAIL_IDLE_S:-45}",
      description =
          "how long a machine may be idle before it is returned (VIOLETRAIL_IDLE_S);"
              + " default: ${DEFAULT-VALUE}")
  private double maxIdleSeconds;

  @Option(
      names = "--sample",
      defaultValue = "${env:VIOLETRAIL_SAMPLE:-8}",
      description =
          "machines compared for each task (VIOLETRAIL_SAMPLE); default: ${DEFAULT-VALUE}")
  private int placementSampleSize;

  @Option(
      names = "--kubernetes-port",
      paramLabel = "PORT",
      defaultValue = "${env:VIOLETRAIL_KUBERNETES_PORT}",
      description =
          "serves a subset of the Kubernetes API there, at the API's address"
              + " (VIOLETRAIL_KUBERNETES_PORT); default: not at all")
  private Integer kubernetesPort;

  @Option(
      names = "--trace-spans",
      paramLabel = "N",
      defaultValue = "${env:VIOLETRAIL_TRACE_SPANS}",
      description =
          "keeps the newest N spans of jobs' ways for GET /traces (VIOLETRAIL_TRACE_SPANS);"
              + " default: none")
  private Integer traceSpans;

  @Option(
      names = "--calendar",
      defaultValue = "${env:VIOLETRAIL_CALENDAR:-false}",
      description =
          "serves and fires schedules at the API's address (VIOLETRAIL_CALENDAR); default: not")
  private boolean calendar;

  @Option(
      names = "--configuration",
      defaultValue = "${env:VIOLETRAIL_CONFIGURATION:-false}",
      description =
          "follows the configuration in the state service and serves it at the API's address"
              + " (VIOLETRAIL_CONFIGURATION); on at all controllers or at none; default: not")
  private boolean configuration;

  @Option(
      names = "--rehearse",
      hidden = true,
      description = "loads the daemon's classes for the class-data archive, and ends")
  private boolean warmUp;

  /** Reads the version from the jar's manifest. */
  static final class JarVersionProvider implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"violetrail " + (version == null ? "development" : version)};
    }
  }

  /** Runs the command that the arguments name and exits with its status if that is not 0. */
  public static void main(String[] args) {
    configureLogging();
    // Only a command line that names it loads that command's classes: a start is outage time.
    Object command =
        args.length > 0 ? commands().getOrDefault(args[0], Main::new).get() : new Main();
    String[] rest = command instanceof Main ? args : Arrays.copyOfRange(args, 1, args.length);
    int status = new CommandLine(command).execute(rest);
    if (status != 0) {
      System.exit(status);
    }
  }

  private static Map<String, Supplier<Object>> commands() {
    return Map.of(
        "config", ConfigCommand::new,
        "kubernetes", KubernetesCommand::new,
        "schedule", ScheduleCommand::new);
  }

  private static void configureLogging() {
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
    boolean known = Set.of("error", "info", "debug").contains(level);
    Map.of(
            "defaultLogLevel", known ? level : "info",
            "showShortLogName", "true",
            "showThreadName", "false",
            "log.org.xnio", "error",
            "log.io.undertow", "error",
            "log.org.jboss", "error")
        .forEach((k, v) -> System.setProperty("org.slf4j.simpleLogger." + k, v));
    System.setProperty("org.jboss.logging.provider", "slf4j");
    if (!known) {
      LoggerFactory.getLogger(Main.class).warn("LOG_LEVEL {} is unknown; info is used", level);
    }
  }

  @Override
  public Integer call() throws Exception {
    if (warmUp) {
      return ClassArchiveWarmUp.run();
    }
    Settings settings;
    try {
      settings = readSettings();
    } catch (Settings.InvalidSettingsException exception) {
      System.err.println("violetrail: " + exception.getMessage());
      return ExitStatus.BAD_USAGE;
    }
    ControllerStarter.start(
        settings,
        new Options(
            leaseSeconds,
            maxIdleSeconds,
            placementSampleSize,
            kubernetesPort,
            traceSpans,
            calendar,
            configuration));
    return ExitStatus.DONE;
  }

  /** Reads the settings' file after a check of the flags. */
  private Settings readSettings() throws Settings.InvalidSettingsException {
    if (config == null) {
      throw new Settings.InvalidSettingsException("--config FILE is required");
    }
    if (placementSampleSize < 1
        || maxIdleSeconds < 0
        || (leaseSeconds != null && !(leaseSeconds >= 1))) {
      throw new Settings.InvalidSettingsException(
          "--sample must be at least 1, --idle-s at least 0 and --lapse-s at least 1");
    }
    if (kubernetesPort != null && (kubernetesPort < 1 || kubernetesPort > 65_535)) {
      throw new Settings.InvalidSettingsException("--kubernetes-port must be 1 to 65535");
    }
    if (traceSpans != null && (traceSpans < 1 || traceSpans > MAX_TRACE_SPANS)) {
      throw new Settings.InvalidSettingsException("--trace-spans must be 1 to " + MAX_TRACE_SPANS);
    }
    return Settings.load(config);
  }
}
