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
 * The entry point of the command line. Reads the flags and the settings file and starts a
 * controller, or runs one of the other commands. Called on the main thread.
 */
@Command(
    name = "violetrail",
    mixinStandardHelpOptions = true,
    versionProvider = Main.JarVersionProvider.class,
    description = "Runs one controller of a violetrail cluster.",
    footerHeading = "%nCommands, each with its own --help:%n",
    footer = {
      "  config      show and change teams and objectives while the controllers run",
      "  kubernetes  check manifests and explain fields of the supported Kubernetes API",
      "  schedule    show and change schedules of recurring jobs"
    })
public final class Main implements Callable<Integer> {
  /** The largest value of {@code --trace-spans}. A span takes about 2 KiB of memory. */
  private static final int MAX_TRACE_SPANS = 5_000;

  @Option(names = "--config", paramLabel = "FILE", description = "the settings file (TOML)")
  private Path settingsFile;

  @Option(
      names = "--lapse-s",
      defaultValue = "${env:VIOLETRAIL_LAPSE_S}",
      description =
          "duration of the controller's lease in seconds (VIOLETRAIL_LAPSE_S);"
              + " default: derived from the workers' lease")
  private Double leaseSeconds;

  @Option(
      names = "--idle-s",
      defaultValue = "${env:VIOLETRAIL_IDLE_S:-45}",
      description =
          "seconds a machine may be idle before it is returned (VIOLETRAIL_IDLE_S);"
              + " default: ${DEFAULT-VALUE}")
  private double maxIdleSeconds;

  @Option(
      names = "--sample",
      defaultValue = "${env:VIOLETRAIL_SAMPLE:-8}",
      description =
          "machines compared when a task is placed (VIOLETRAIL_SAMPLE); default: ${DEFAULT-VALUE}")
  private int placementSampleSize;

  @Option(
      names = "--kubernetes-port",
      paramLabel = "PORT",
      defaultValue = "${env:VIOLETRAIL_KUBERNETES_PORT}",
      description =
          "port for a subset of the Kubernetes API, on the host of the API's address"
              + " (VIOLETRAIL_KUBERNETES_PORT); default: not served")
  private Integer kubernetesPort;

  @Option(
      names = "--trace-spans",
      paramLabel = "N",
      defaultValue = "${env:VIOLETRAIL_TRACE_SPANS}",
      description =
          "keep the newest N trace spans of jobs for GET /traces (VIOLETRAIL_TRACE_SPANS);"
              + " default: none")
  private Integer traceSpans;

  @Option(
      names = "--calendar",
      defaultValue = "${env:VIOLETRAIL_CALENDAR:-false}",
      description =
          "run schedules and serve them at the API's address (VIOLETRAIL_CALENDAR);"
              + " default: ${DEFAULT-VALUE}")
  private boolean calendarEnabled;

  @Option(
      names = "--configuration",
      defaultValue = "${env:VIOLETRAIL_CONFIGURATION:-false}",
      description =
          "follow the configuration in the state service and serve it at the API's address;"
              + " must be the same at all controllers (VIOLETRAIL_CONFIGURATION);"
              + " default: ${DEFAULT-VALUE}")
  private boolean configurationEnabled;

  @Option(
      names = "--rehearse",
      hidden = true,
      description = "loads the controller's classes for the class-data archive, then exits")
  private boolean warmUp;

  /** Reads the version from the manifest of the jar. */
  static final class JarVersionProvider implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"violetrail " + (version == null ? "development" : version)};
    }
  }

  /** Runs the command that the arguments select and exits with its status unless it is 0. */
  public static void main(String[] args) {
    configureLogging();
    // The classes of a command are loaded only if the command is selected, because the start-up
    // time of a controller adds to an outage.
    Object command =
        args.length > 0 ? commands().getOrDefault(args[0], Main::new).get() : new Main();
    String[] commandArguments =
        command instanceof Main ? args : Arrays.copyOfRange(args, 1, args.length);
    int status = new CommandLine(command).execute(commandArguments);
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
    boolean supported = Set.of("error", "info", "debug").contains(level);
    Map.of(
            "defaultLogLevel", supported ? level : "info",
            "showShortLogName", "true",
            "showThreadName", "false",
            "log.org.xnio", "error",
            "log.io.undertow", "error",
            "log.org.jboss", "error")
        .forEach((key, value) -> System.setProperty("org.slf4j.simpleLogger." + key, value));
    System.setProperty("org.jboss.logging.provider", "slf4j");
    if (!supported) {
      LoggerFactory.getLogger(Main.class)
          .warn("LOG_LEVEL {} is not one of error, info and debug; using info", level);
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
            calendarEnabled,
            configurationEnabled));
    return ExitStatus.DONE;
  }

  /** Validates the flags and reads the settings file. */
  private Settings readSettings() throws Settings.InvalidSettingsException {
    if (settingsFile == null) {
      throw new Settings.InvalidSettingsException("--config FILE is required");
    }
    if (placementSampleSize < 1
        || maxIdleSeconds < 0
        || (leaseSeconds != null && !(leaseSeconds >= 1))) {
      throw new Settings.InvalidSettingsException(
          "--sample must be at least 1, --idle-s at least 0 and --lapse-s at least 1,"
              + " received --sample "
              + placementSampleSize
              + ", --idle-s "
              + maxIdleSeconds
              + " and --lapse-s "
              + (leaseSeconds == null ? "nothing" : leaseSeconds));
    }
    if (kubernetesPort != null && (kubernetesPort < 1 || kubernetesPort > 65_535)) {
      throw new Settings.InvalidSettingsException(
          "--kubernetes-port must be from 1 to 65535, received " + kubernetesPort);
    }
    if (traceSpans != null && (traceSpans < 1 || traceSpans > MAX_TRACE_SPANS)) {
      throw new Settings.InvalidSettingsException(
          "--trace-spans must be from 1 to " + MAX_TRACE_SPANS + ", received " + traceSpans);
    }
    return Settings.load(settingsFile);
  }
}
