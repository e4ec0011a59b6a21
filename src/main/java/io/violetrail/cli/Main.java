package io.violetrail.cli;

import io.undertow.server.DefaultByteBufferPool;
import io.violetrail.config.Options;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.controller.Controller;
import io.violetrail.kubernetes.KubernetesHttpServer;
import io.violetrail.net.EventLoop;
import io.violetrail.net.HttpClient;
import io.violetrail.net.RequestHandler;
import io.violetrail.net.UndertowEventLoop;
import io.violetrail.net.UndertowHttpClient;
import io.violetrail.net.UndertowServer;
import io.violetrail.tracing.JobTracer;
import io.violetrail.tracing.OpenTelemetryJobTracer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The daemon's command line. */
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
  /**
   * Callbacks nest deeply on the I/O thread, and native code and signal handlers run on what is
   * left of its stack. Only what is touched counts as memory.
   */
  private static final long STACK_BYTES = 1024L * 1024;

  private static final int BAD_USAGE = 2;

  /** Some 2 KiB each. */
  private static final int MAX_TRACE_SPANS = 5_000;

  @Option(names = "--config", paramLabel = "FILE", description = "the platform's settings (TOML)")
  private Path config;

  @Option(
      names = "--lapse-s",
      defaultValue = "${env:VIOLETRAIL_LAPSE_S}",
      description =
          "a controller's lease in seconds (VIOLETRAIL_LAPSE_S); default: from the workers' lease")
  private Double lapseS;

  @Option(
      names = "--idle-s",
      defaultValue = "${env:VIOLETRAIL_IDLE_S:-45}",
      description =
          "how long a machine may be idle before it is returned (VIOLETRAIL_IDLE_S);"
              + " default: ${DEFAULT-VALUE}")
  private double idleS;

  @Option(
      names = "--sample",
      defaultValue = "${env:VIOLETRAIL_SAMPLE:-8}",
      description =
          "machines compared for each task (VIOLETRAIL_SAMPLE); default: ${DEFAULT-VALUE}")
  private int sample;

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
      if (config == null) {
        throw new Settings.InvalidSettingsException("--config FILE is required");
      }
      if (sample < 1 || idleS < 0 || lapseS != null && !(lapseS >= 1)) {
        throw new Settings.InvalidSettingsException(
            "--sample must be at least 1, --idle-s at least 0 and --lapse-s at least 1");
      }
      if (kubernetesPort != null && (kubernetesPort < 1 || kubernetesPort > 65_535)) {
        throw new Settings.InvalidSettingsException("--kubernetes-port must be 1 to 65535");
      }
      if (traceSpans != null && (traceSpans < 1 || traceSpans > MAX_TRACE_SPANS)) {
        throw new Settings.InvalidSettingsException(
            "--trace-spans must be 1 to " + MAX_TRACE_SPANS);
      }
      settings = Settings.load(config);
    } catch (Settings.InvalidSettingsException exception) {
      System.err.println("violetrail: " + exception.getMessage());
      return BAD_USAGE;
    }
    start(
        settings,
        new Options(lapseS, idleS, sample, kubernetesPort, traceSpans, calendar, configuration),
        null);
    return 0;
  }

  /** The edges of a started controller. */
  record StartedController(EventLoop loop, HttpClient http) {}

  /**
   * Starts a controller, or a script in its place. All of it happens on the I/O thread: the main
   * thread has nothing left to do once that thread runs, and two threads never share a start.
   */
  static StartedController start(Settings settings, Options options, RequestHandler script)
      throws IOException {
    XnioWorker worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(org.xnio.Options.WORKER_IO_THREADS, 1)
                    .set(org.xnio.Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(org.xnio.Options.WORKER_TASK_MAX_THREADS, 2)
                    .set(org.xnio.Options.STACK_SIZE, STACK_BYTES)
                    .set(org.xnio.Options.TCP_NODELAY, true)
                    .getMap());
    var buffers = new DefaultByteBufferPool(true, 8 * 1024, 256, 0);
    var loop = new UndertowEventLoop(worker.getIoThread());
    var http = new UndertowHttpClient(worker.getIoThread(), loop, buffers);
    loop.execute(
        () -> {
          if (script != null) {
            UndertowServer.start(settings.apiAddress(), script, loop, worker, buffers);
            UndertowServer.start(settings.clusterListenAddress(), script, loop, worker, buffers);
            return;
          }
          startController(settings, options, loop, http, worker, buffers);
          LoggerFactory.getLogger(Main.class)
              .info("{} serves at {}", settings.self(), settings.apiAddress());
        });
    return new StartedController(loop, http);
  }

  private static void startController(
      Settings settings,
      Options options,
      UndertowEventLoop loop,
      UndertowHttpClient http,
      XnioWorker worker,
      DefaultByteBufferPool buffers) {
    JobTracer jobTracer =
        options.maxTraceSpans() == null
            ? JobTracer.NO_OP
            : new OpenTelemetryJobTracer(loop, options.maxTraceSpans());
    Controller controller = new Controller(settings, options, loop, http, new Random(), jobTracer);
    // The first calls are on their way while the servers come up.
    controller.start();
    UndertowServer.start(settings.apiAddress(), controller.api(), loop, worker, buffers);
    UndertowServer.start(
        settings.clusterListenAddress(), controller.peerService(), loop, worker, buffers);
    if (options.calendarEnabled()) {
      controller.serveSchedules();
    }
    if (options.configurationEnabled()) {
      controller.serveConfiguration();
    }
    if (options.kubernetesPort() != null) {
      KubernetesHttpServer.start(
          new HostPort(settings.apiAddress().host(), options.kubernetesPort()),
          controller.startKubernetes(options.kubernetesPort()),
          loop,
          worker,
          buffers);
    }
  }
}
