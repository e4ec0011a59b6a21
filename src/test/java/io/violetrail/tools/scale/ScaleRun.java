package io.violetrail.tools.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.RealTimeSimulation;
import io.violetrail.fakes.SettingsFileWriter;
import io.violetrail.wire.Cbor;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Runs real controllers as processes on loopback under the load of a large deployment, and measures
 * what they use and how they serve.
 *
 * <p>The state service's stand-in is one process. The cloud, its hollow workers, the users and the
 * network between all hosts are this process: a rented machine is a worker that starts, and every
 * message passes the network's delays and cuts. Nothing but loopback is used.
 */
@Command(
    name = "scale-run",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = "Measures real controllers under the load of a large deployment, on loopback.",
    footer = {
      "Ends by itself. Exit status: 0 if each figure that was measured holds, 1 if one does not,",
      "2 for a wrong command line, 3 if the run itself failed."
    })
public final class ScaleRun implements Callable<Integer> {
  private static final int EXIT_RUN_FAILED = 3;
  private static final double ADOPTION_TIMEOUT_SECONDS = 60;
  private static final double PROGRESS_INTERVAL_SECONDS = 5;
  private static final double RESTART_DELAY_SECONDS = 5;
  private static final double CALL_TIMEOUT_SECONDS = 10;
  private static final int WORKERS_PER_RACK = 24;

  /** Ports: state, cloud, then for each controller its two, then relays, then workers. */
  private static final int CLOUD_PORT_OFFSET = 1;

  private static final int PORTS_PER_CONTROLLER = 2;
  private static final double BYTES_PER_KB = 1_000;
  private static final double BYTES_PER_MIB = 1 << 20;

  @Mixin private final ScaleOptions options = new ScaleOptions();

  private final ScaleReport report = new ScaleReport();
  private final List<ManagedProcess> controllers = new ArrayList<>();
  private ClusterSimulation simulation;
  private RealTimeSimulation realTimeSimulation;
  private SimulatedNetwork network;
  private OpenLoopLoad load;
  private FailoverTimes failoverTimes;

  /** Null if the configuration does not change. */
  private ConfigurationLoad configurationLoad;

  private ManagedProcess stateProcess;
  private int firstPort;
  private int relayPortsUsed;
  private int workerPortsUsed;

  public static void main(String[] args) {
    QuietLogging.showErrorsOnly();
    System.exit(execute(args));
  }

  static int execute(String... args) {
    return new CommandLine(new ScaleRun())
        .registerConverter(InjectedFault.class, new InjectedFault.Converter())
        .setExecutionExceptionHandler(
            (exception, line, parsed) -> {
              System.err.println("scale-run: " + exception);
              return EXIT_RUN_FAILED;
            })
        .execute(args);
  }

  @Override
  public Integer call() throws Exception {
    try {
      startDeployment();
      printProgress("waiting until %d workers report", options.workers);
      awaitCondition(
          this::allWorkersAdopted, ADOPTION_TIMEOUT_SECONDS, "the workers to be taken in");
      measure();
      TargetEvaluation.evaluate(report);
      writeReport();
      return report.passed() ? 0 : 1;
    } finally {
      stop();
    }
  }

  private void startDeployment() throws Exception {
    LoadShape shape = options.shape();
    report.shape = shape;
    report.seconds = options.measuredSeconds;
    report.seed = options.seed;
    Files.createDirectories(options.directory);
    int ports = 2 + PORTS_PER_CONTROLLER * options.controllers + relayCount() + options.workers;
    firstPort =
        options.firstPort != null ? options.firstPort : FreePorts.findBlock(ports, new Random());
    simulation = new ClusterSimulation(options.controllers, options.seed);
    DeploymentSetup.configure(
        simulation,
        shape,
        new StateStoreLimits(options.requestsPerSecond, options.changesPerSecond, 8192, 24),
        options.reportIntervalSeconds);
    simulation.stateService().setEnforcesLimits(false);
    realTimeSimulation = new RealTimeSimulation(simulation);
    network = new SimulatedNetwork(simulation, realTimeSimulation, new HostZones(simulation));
    failoverTimes = new FailoverTimes(realTimeSimulation.loop()::monotonicSeconds);
    load = new OpenLoopLoad(simulation, shape, options.seed);
    realTimeSimulation.serve(
        firstPort + CLOUD_PORT_OFFSET,
        RealTimeSimulation.withCaller("process", simulation.cloud()));
    simulation.setOnWorkerCreated(this::serveWorker);
    simulation.setExternalControllers(
        (from, controller, method, path, body) ->
            network.callController(
                from, controller, apiAddress(indexOf(controller)), method, path, body));
    startState();
    startControllers();
    onLoop(
        () -> {
          realTimeSimulation.start();
          DeploymentSetup.addMachines(simulation, shape);
          return null;
        });
  }

  private static int indexOf(String controller) {
    return Integer.parseInt(controller.substring(1));
  }

  /** To the state service and the cloud, and to each other controller. */
  private int relayCount() {
    return options.controllers * (options.controllers + 1);
  }

  private HostPort apiAddress(int controller) {
    return new HostPort(RealTimeSimulation.HOST, firstPort + 2 + PORTS_PER_CONTROLLER * controller);
  }

  private HostPort peerAddress(int controller) {
    return new HostPort(RealTimeSimulation.HOST, apiAddress(controller).port() + 1);
  }

  private HostPort createRelay(String from, String to, HostPort target) {
    int port = firstPort + 2 + PORTS_PER_CONTROLLER * options.controllers + relayPortsUsed++;
    network.serveRelay(port, from, to, target);
    return new HostPort(RealTimeSimulation.HOST, port);
  }

  /** Direct commands reach each worker at a port of its own. */
  private void serveWorker(FakeWorker worker) {
    if (workerPortsUsed < options.workers) {
      int first = firstPort + 2 + PORTS_PER_CONTROLLER * options.controllers + relayCount();
      int port = first + workerPortsUsed++;
      worker.setAddress(new HostPort(RealTimeSimulation.HOST, port));
      realTimeSimulation.serve(port, worker.service());
    }
  }

  private void startState() throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                "java",
                "-Xmx512m",
                "-cp",
                System.getProperty("java.class.path"),
                StateServiceProcess.class.getName()));
    command.addAll(List.of("--port", String.valueOf(firstPort)));
    command.addAll(List.of("--requests", String.valueOf(options.requestsPerSecond)));
    command.addAll(List.of("--changes", String.valueOf(options.changesPerSecond)));
    stateProcess =
        new ManagedProcess(
            "state", command, options.directory.resolve("state.log"), (name, line) -> {});
    stateProcess.start();
  }

  private void startControllers() throws IOException {
    List<String> command = controllerCommand();
    HostZones zones = new HostZones(simulation);
    for (int i = 0; i < options.controllers; i++) {
      String name = ClusterSimulation.controllerName(i);
      Map<String, HostPort> peers = new LinkedHashMap<>();
      for (int k = 0; k < options.controllers; k++) {
        if (k != i) {
          peers.put(
              ClusterSimulation.controllerName(k),
              createRelay(name, ClusterSimulation.controllerName(k), peerAddress(k)));
        }
      }
      var addresses =
          new SettingsFileWriter.Addresses(
              apiAddress(i),
              peerAddress(i),
              peers,
              createRelay(
                  name,
                  "cloud",
                  new HostPort(RealTimeSimulation.HOST, firstPort + CLOUD_PORT_OFFSET)),
              createRelay(name, "state", new HostPort(RealTimeSimulation.HOST, firstPort)));
      Path settings = options.directory.resolve(name + ".toml");
      Files.writeString(
          settings,
          SettingsFileWriter.formatSettings(simulation, name, zones.zoneOf(name), addresses));
      List<String> all = new ArrayList<>(command);
      all.add(settings.toString());
      ManagedProcess process =
          new ManagedProcess(
              name, all, options.directory.resolve(name + ".log"), failoverTimes::readLogLine);
      controllers.add(process);
      process.start();
    }
  }

  private List<String> controllerCommand() throws IOException {
    List<String> command = new ArrayList<>();
    Path deploy = Path.of("deploy", "service.toml");
    if (options.controllerCommand != null) {
      command.addAll(List.of(options.controllerCommand.split(" ")));
    } else if (Files.exists(Path.of("target", "violetrail.jar")) && Files.exists(deploy)) {
      JsonNode run = new TomlMapper().readTree(deploy.toFile()).path("run");
      command.addAll(List.of(run.asText().split(" ")));
    } else {
      command.addAll(List.of("java", "-Xmx64m", "-cp", System.getProperty("java.class.path")));
      command.addAll(List.of("io.violetrail.cli.Main", "--config"));
    }
    // The file comes last; flags go before the one that takes it.
    if (options.configurationIntervalSeconds != null) {
      command.add(command.size() - 1, "--configuration");
    }
    command.addAll(
        command.size() - 1,
        List.of("--idle-s", String.valueOf(DeploymentSetup.NEVER_IDLE_SECONDS)));
    return command;
  }

  /** Whether every worker has had its report answered with a term. */
  private boolean allWorkersAdopted() {
    return simulation.cloud().workers().values().stream().allMatch(FakeWorker::hasController);
  }

  private void measure() throws Exception {
    double warmUpSeconds = options.warmUpSeconds();
    onLoop(
        () -> {
          load.start(warmUpSeconds + options.measuredSeconds);
          return null;
        });
    waitAndPrintProgress(warmUpSeconds, "warming up");
    Snapshot before = snapshot();
    onLoop(
        () -> {
          load.beginCounting();
          if (options.configurationIntervalSeconds != null) {
            configurationLoad =
                new ConfigurationLoad(
                    simulation, options.seed, options.configurationIntervalSeconds);
            configurationLoad.start(options.measuredSeconds);
          }
          for (InjectedFault fault : options.faults) {
            simulation.runAfter(fault.atSeconds(), () -> injectFault(fault));
          }
          return null;
        });
    waitAndPrintProgress(options.measuredSeconds, "measuring");
    fillFigures(before, snapshot());
  }

  /** All that grows, at one moment. */
  private record Snapshot(
      double atSeconds,
      Map<String, ManagedProcess.Usage> usage,
      Map<String, Map<String, long[]>> traffic,
      Map<String, long[]> allTraffic,
      JsonNode stateStats,
      double ownCpuSeconds) {}

  private Snapshot snapshot() throws Exception {
    Map<String, ManagedProcess.Usage> usage = new TreeMap<>();
    for (int i = 0; i < controllers.size(); i++) {
      usage.put(ClusterSimulation.controllerName(i), controllers.get(i).readUsage());
    }
    JsonNode stats = stateStats();
    return onLoop(
        () -> {
          Map<String, Map<String, long[]>> traffic = new TreeMap<>();
          usage
              .keySet()
              .forEach(c -> traffic.put(c, RateCalculations.counts(network.trafficOf(c))));
          return new Snapshot(
              realTimeSimulation.loop().monotonicSeconds(),
              usage,
              traffic,
              RateCalculations.counts(simulation.traffic()),
              stats,
              ownCpuSeconds());
        });
  }

  private static double ownCpuSeconds() {
    try {
      return ManagedProcess.readCpuSeconds(Path.of("/proc/self"));
    } catch (IOException exception) {
      return 0;
    }
  }

  private JsonNode stateStats() throws Exception {
    CompletableFuture<io.violetrail.net.HttpClient.ClientReply> reply =
        onLoop(
            () ->
                realTimeSimulation
                    .newHttp()
                    .call(
                        new HostPort(RealTimeSimulation.HOST, firstPort),
                        "GET",
                        StateServiceProcess.STATS_PATH,
                        null,
                        CALL_TIMEOUT_SECONDS));
    return Cbor.parse(reply.get((long) CALL_TIMEOUT_SECONDS + 1, TimeUnit.SECONDS).body());
  }

  private void fillFigures(Snapshot before, Snapshot after) throws Exception {
    double seconds = after.atSeconds() - before.atSeconds();
    for (String name : after.usage().keySet()) {
      ManagedProcess.Usage usage = after.usage().get(name);
      report.controllers.put(
          name,
          new ScaleReport.ControllerFigures(
              (usage.cpuSeconds() - before.usage().get(name).cpuSeconds()) / seconds,
              usage.residentMib(),
              usage.sockets(),
              RateCalculations.messageRates(
                  before.traffic().get(name), after.traffic().get(name), seconds)));
    }
    RateCalculations.fieldRates(before.stateStats(), after.stateStats(), "requests", seconds)
        .forEach(report.stateRequestsPerS::put);
    RateCalculations.fieldRates(before.stateStats(), after.stateStats(), "changes", seconds)
        .forEach(report.stateChangesPerS::put);
    Map<String, Double> figures = report.figures;
    figures.put("state_requests_a_s", sum(report.stateRequestsPerS));
    figures.put("state_changes_a_s", sum(report.stateChangesPerS));
    figures.put(
        "state_over_limit",
        after.stateStats().path("over_limit").asDouble()
            - before.stateStats().path("over_limit").asDouble());
    figures.put("stand_ins_cpu_cores", (after.ownCpuSeconds() - before.ownCpuSeconds()) / seconds);
    figures.put("stand_ins_memory_mib", (double) usedHeap() / BYTES_PER_MIB);
    var reports =
        RateCalculations.messageRates(before.allTraffic(), after.allTraffic(), seconds)
            .get("worker report");
    if (reports != null) {
      figures.put("reports_a_s_a_worker", reports.messages() / options.workers);
      figures.put(
          "kb_a_s_a_worker",
          (reports.requestBytes()
                  + reports.answerBytes()
                  + HEADER_BYTES_PER_MESSAGE * reports.messages())
              / options.workers
              / BYTES_PER_KB);
    }
    onLoop(
        () -> {
          fillLoadFigures(figures);
          report.brokenRules.addAll(simulation.violations());
          return null;
        });
    report.events.addAll(failoverTimes.events());
    failoverTimes.longestSeconds().ifPresent(s -> figures.put("takeover_s_max", s));
  }

  /** Both directions, as sent here and by the server: an estimate added to the counted bodies. */
  private static final double HEADER_BYTES_PER_MESSAGE = 250;

  private static long usedHeap() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private void fillLoadFigures(Map<String, Double> figures) {
    figures.put("starts_a_s", load.startsPerSecond());
    figures.put("running_tasks", (double) runningTasks());
    figures.put("workers_served", (double) servedWorkers());
    figures.put("submitted", (double) load.submittedCount);
    figures.put("accepted_within_1s_share", load.acceptedShareWithin(1));
    putWaits("accepted_ms", load.acceptedMillis, figures);
    figures.put("answers_503", (double) load.refusedCount);
    figures.put("no_answer", (double) load.unansweredCount);
    figures.put("urgent_jobs_started", (double) load.urgentStartMillis.getTotalCount());
    putWaits("urgent_start_ms", load.urgentStartMillis, figures);
    figures.put("urgent_late_share", load.lateUrgentShare(DeploymentSetup.URGENT_START_SECONDS));
    figures.put("leases_lost", (double) leasesLost());
    if (configurationLoad != null) {
      figures.put("configuration_changes", (double) configurationLoad.changeCount);
      figures.put("configuration_changes_failed", (double) configurationLoad.failedCount);
      putWaits("configuration_stored_ms", configurationLoad.storedMillis, figures);
      putWaits("configuration_in_force_ms", configurationLoad.inForceMillis, figures);
    }
    figures.put("widest_gang_started", (double) load.widestGangStarted());
  }

  private static void putWaits(String name, Histogram waits, Map<String, Double> figures) {
    figures.put(name + "_p50", (double) waits.getValueAtPercentile(50));
    figures.put(name + "_p99", (double) waits.getValueAtPercentile(99));
    figures.put(name + "_max", (double) waits.getMaxValue());
  }

  private long runningTasks() {
    return simulation.cloud().workers().values().stream()
        .mapToLong(FakeWorker::activeTaskCount)
        .sum();
  }

  private long servedWorkers() {
    return simulation.cloud().workers().values().stream().filter(FakeWorker::hasController).count();
  }

  private long leasesLost() {
    return simulation.cloud().allWorkersEver().stream()
        .mapToLong(FakeWorker::expiredLeaseCount)
        .sum();
  }

  private static double sum(Map<String, Double> all) {
    return all.values().stream().mapToDouble(d -> d).sum();
  }

  private void injectFault(InjectedFault fault) {
    Random random = new Random(options.seed + Math.round(fault.atSeconds()));
    switch (fault.kind()) {
      case CONTROLLER -> crashController(random.nextInt(options.controllers));
      case RACK -> loseRack(random);
      case ZONE -> {
        String zone = LoadShape.zoneName(random.nextInt(LoadShape.ZONES));
        recordEvent("zone " + zone + " is cut off for " + fault.durationSeconds() + " s");
        network.partitionZone(zone);
        simulation.runAfter(fault.durationSeconds(), this::healPartitions);
      }
      case REGIONS -> {
        recordEvent("regions r1 and r0 lose each other for " + fault.durationSeconds() + " s");
        network.partitionRegions("r0", "r1");
        simulation.runAfter(fault.durationSeconds(), this::healPartitions);
      }
      default -> throw new IllegalStateException("unhandled fault kind " + fault.kind());
    }
  }

  private void healPartitions() {
    recordEvent("cuts are mended");
    network.healPartitions();
  }

  private void recordEvent(String what) {
    failoverTimes.recordEvent(what);
    printProgress("%s", what);
  }

  private void crashController(int number) {
    recordEvent("controller " + ClusterSimulation.controllerName(number) + " ends");
    failoverTimes.recordEnd(ClusterSimulation.controllerName(number));
    // Not on the loop: it waits until the process is gone.
    new Thread(
            () -> killAndRestart(number), "restart of " + ClusterSimulation.controllerName(number))
        .start();
  }

  private void killAndRestart(int number) {
    try {
      controllers.get(number).kill();
      Thread.sleep((long) (1000 * RESTART_DELAY_SECONDS));
      controllers.get(number).start();
    } catch (IOException | InterruptedException exception) {
      printProgress("controller %d could not be started again: %s", number, exception.getMessage());
    }
  }

  private void loseRack(Random random) {
    String zone = LoadShape.zoneName(random.nextInt(LoadShape.ZONES));
    List<FakeWorker> rack =
        simulation.cloud().workers().values().stream()
            .filter(w -> w.zone().equals(zone))
            .limit(WORKERS_PER_RACK)
            .toList();
    recordEvent(rack.size() + " workers of a rack in " + zone + " are gone");
    rack.forEach(FakeWorker::destroy);
  }

  private void waitAndPrintProgress(double seconds, String what) throws Exception {
    double startedAtSeconds = realTimeSimulation.loop().monotonicSeconds();
    double secondsLeft;
    while ((secondsLeft =
            seconds - (realTimeSimulation.loop().monotonicSeconds() - startedAtSeconds))
        > 0) {
      Thread.sleep((long) (1000 * Math.min(PROGRESS_INTERVAL_SECONDS, secondsLeft)));
      String line =
          onLoop(
              () ->
                  String.format(
                      Locale.ROOT,
                      "%d tasks run, %.0f starts a s, %d of %d submissions accepted,"
                          + " %d rules broken",
                      runningTasks(),
                      load.startsPerSecond(),
                      load.acceptedCount,
                      load.submittedCount,
                      simulation.violations().size()));
      printProgress(
          "%s, %.0f s left: %s", what, Math.max(0, secondsLeft - PROGRESS_INTERVAL_SECONDS), line);
      requireLiveProcesses();
    }
  }

  private void requireLiveProcesses() throws IOException {
    boolean anyAlive = controllers.stream().anyMatch(ManagedProcess::isAlive);
    if (!anyAlive || !stateProcess.isAlive()) {
      throw new IOException("processes have ended; see the logs in " + options.directory);
    }
  }

  private void awaitCondition(Supplier<Boolean> condition, double timeoutSeconds, String what)
      throws Exception {
    double startedAtSeconds = realTimeSimulation.loop().monotonicSeconds();
    while (!onLoop(condition)) {
      if (realTimeSimulation.loop().monotonicSeconds() - startedAtSeconds > timeoutSeconds) {
        printProgress("still waiting for %s after %.0f s, going on", what, timeoutSeconds);
        return;
      }
      Thread.sleep(100);
      requireLiveProcesses();
    }
  }

  /** Runs a step on the simulation's thread and waits for it. */
  private <T> T onLoop(Supplier<T> step)
      throws InterruptedException, ExecutionException, TimeoutException {
    CompletableFuture<T> done = new CompletableFuture<>();
    realTimeSimulation
        .loop()
        .execute(
            () -> {
              try {
                done.complete(step.get());
              } catch (RuntimeException exception) {
                done.completeExceptionally(exception);
              }
            });
    return done.get((long) ADOPTION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void writeReport() throws IOException {
    for (ScaleReport.Verdict verdict : report.verdicts) {
      System.out.printf(
          Locale.ROOT,
          "%-8s %s: %s (%s)%n",
          verdict.outcome(),
          verdict.figure(),
          verdict.measured() == null ? "-" : String.format(Locale.ROOT, "%.4g", verdict.measured()),
          verdict.required());
    }
    report.brokenRules.stream().limit(20).forEach(b -> System.out.println("broken: " + b));
    if (options.reportFile != null) {
      new ObjectMapper()
          .writerWithDefaultPrettyPrinter()
          .writeValue(new File(options.reportFile.toString()), report);
    }
  }

  private void stop() throws InterruptedException {
    for (ManagedProcess process : controllers) {
      process.kill();
    }
    if (stateProcess != null) {
      stateProcess.kill();
    }
    if (realTimeSimulation != null) {
      realTimeSimulation.stop();
    }
  }

  private static void printProgress(String format, Object... values) {
    System.err.printf(Locale.ROOT, format + "%n", values);
  }
}
