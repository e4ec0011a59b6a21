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
 * their resource usage and their service levels.
 *
 * <p>The fake state service is a separate process. This process simulates the cloud, its hollow
 * workers, the users and the network between all hosts: renting a machine starts a hollow worker,
 * and every message is subject to the simulated network's delays and partitions. Only the loopback
 * interface is used.
 */
@Command(
    name = "scale-run",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = "Measures real controllers under the load of a large deployment, on loopback.",
    footer = {
      "Exits by itself. Exit status: 0 if each measured figure meets its target,",
      "1 if one does not, 2 for an invalid command line, 3 if the run itself failed."
    })
public final class ScaleRun implements Callable<Integer> {
  private static final int EXIT_RUN_FAILED = 3;
  private static final double ADOPTION_TIMEOUT_SECONDS = 60;
  private static final double PROGRESS_INTERVAL_SECONDS = 5;
  private static final double RESTART_DELAY_SECONDS = 5;
  private static final double CALL_TIMEOUT_SECONDS = 10;
  private static final int WORKERS_PER_RACK = 24;

  /** The order of ports: state service, cloud, two per controller, relays, workers. */
  private static final int CLOUD_PORT_OFFSET = 1;

  private static final int PORTS_PER_CONTROLLER = 2;
  private static final double BYTES_PER_KB = 1_000;
  private static final double BYTES_PER_MIB = 1 << 20;

  @Mixin private final ScaleOptions options = new ScaleOptions();

  private final ScaleReport report = new ScaleReport();
  private final List<ManagedProcess> controllerProcesses = new ArrayList<>();
  private ClusterSimulation simulation;
  private RealTimeSimulation realTimeSimulation;
  private SimulatedNetwork network;
  private OpenLoopLoad load;
  private FailoverTimes failoverTimes;

  /** Null if the run does not change the configuration, or not yet. */
  private ConfigurationLoad configurationLoad;

  private ManagedProcess stateServiceProcess;
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
      printProgress("waiting for %d workers to be adopted", options.workers);
      awaitCondition(
          this::allWorkersAdopted, ADOPTION_TIMEOUT_SECONDS, "all workers to be adopted");
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
    startStateService();
    startControllers();
    runOnLoop(
        () -> {
          realTimeSimulation.start();
          DeploymentSetup.addMachines(simulation, shape);
          return null;
        });
  }

  private static int indexOf(String controller) {
    return Integer.parseInt(controller.substring(1));
  }

  /**
   * Each controller has a relay to the state service, to the cloud and to every other controller.
   */
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

  /** Serves a worker's direct commands at its own port, as long as ports are left. */
  private void serveWorker(FakeWorker worker) {
    if (workerPortsUsed < options.workers) {
      int firstWorkerPort =
          firstPort + 2 + PORTS_PER_CONTROLLER * options.controllers + relayCount();
      int port = firstWorkerPort + workerPortsUsed++;
      worker.setAddress(new HostPort(RealTimeSimulation.HOST, port));
      realTimeSimulation.serve(port, worker.service());
    }
  }

  private void startStateService() throws IOException {
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
    stateServiceProcess =
        new ManagedProcess(
            "state", command, options.directory.resolve("state.log"), (name, line) -> {});
    stateServiceProcess.start();
  }

  private void startControllers() throws IOException {
    List<String> commandPrefix = controllerCommand();
    HostZones zones = new HostZones(simulation);
    for (int i = 0; i < options.controllers; i++) {
      String name = ClusterSimulation.controllerName(i);
      Map<String, HostPort> peers = new LinkedHashMap<>();
      for (int peer = 0; peer < options.controllers; peer++) {
        if (peer != i) {
          peers.put(
              ClusterSimulation.controllerName(peer),
              createRelay(name, ClusterSimulation.controllerName(peer), peerAddress(peer)));
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
      List<String> fullCommand = new ArrayList<>(commandPrefix);
      fullCommand.add(settings.toString());
      ManagedProcess process =
          new ManagedProcess(
              name,
              fullCommand,
              options.directory.resolve(name + ".log"),
              failoverTimes::readLogLine);
      controllerProcesses.add(process);
      process.start();
    }
  }

  private List<String> controllerCommand() throws IOException {
    List<String> command = new ArrayList<>();
    Path serviceFile = Path.of("deploy", "service.toml");
    if (options.controllerCommand != null) {
      command.addAll(List.of(options.controllerCommand.split(" ")));
    } else if (Files.exists(Path.of("target", "violetrail.jar")) && Files.exists(serviceFile)) {
      JsonNode runCommand = new TomlMapper().readTree(serviceFile.toFile()).path("run");
      command.addAll(List.of(runCommand.asText().split(" ")));
    } else {
      command.addAll(List.of("java", "-Xmx64m", "-cp", System.getProperty("java.class.path")));
      command.addAll(List.of("io.violetrail.cli.Main", "--config"));
    }
    // The command ends with "--config", whose value, the settings file, is appended later. Other
    // flags are inserted before it.
    if (options.configurationIntervalSeconds != null) {
      command.add(command.size() - 1, "--configuration");
    }
    command.addAll(
        command.size() - 1,
        List.of("--idle-s", String.valueOf(DeploymentSetup.NEVER_IDLE_SECONDS)));
    return command;
  }

  /** Returns whether a controller has answered a report of every worker with a fencing token. */
  private boolean allWorkersAdopted() {
    return simulation.cloud().workers().values().stream().allMatch(FakeWorker::hasController);
  }

  private void measure() throws Exception {
    double warmUpSeconds = options.warmUpSeconds();
    runOnLoop(
        () -> {
          load.start(warmUpSeconds + options.measuredSeconds);
          return null;
        });
    waitAndPrintProgress(warmUpSeconds, "warming up");
    Snapshot before = takeSnapshot();
    runOnLoop(
        () -> {
          load.startCounting();
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
    fillReport(before, takeSnapshot());
  }

  /** The cumulative counters at one point in time, and the processes' current usage. */
  private record Snapshot(
      double takenAtSeconds,
      Map<String, ManagedProcess.Usage> usage,
      Map<String, Map<String, long[]>> traffic,
      Map<String, long[]> totalTraffic,
      JsonNode stateStats,
      double ownCpuSeconds) {}

  private Snapshot takeSnapshot() throws Exception {
    Map<String, ManagedProcess.Usage> usage = new TreeMap<>();
    for (int i = 0; i < controllerProcesses.size(); i++) {
      usage.put(ClusterSimulation.controllerName(i), controllerProcesses.get(i).readUsage());
    }
    JsonNode stats = fetchStateStats();
    return runOnLoop(
        () -> {
          Map<String, Map<String, long[]>> traffic = new TreeMap<>();
          usage
              .keySet()
              .forEach(
                  name ->
                      traffic.put(name, RateCalculations.countsByKind(network.trafficOf(name))));
          return new Snapshot(
              realTimeSimulation.loop().monotonicSeconds(),
              usage,
              traffic,
              RateCalculations.countsByKind(simulation.traffic()),
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

  private JsonNode fetchStateStats() throws Exception {
    CompletableFuture<io.violetrail.net.HttpClient.ClientResponse> reply =
        runOnLoop(
            () ->
                realTimeSimulation
                    .newHttpClient()
                    .call(
                        new HostPort(RealTimeSimulation.HOST, firstPort),
                        "GET",
                        StateServiceProcess.STATS_PATH,
                        null,
                        CALL_TIMEOUT_SECONDS));
    return Cbor.parse(reply.get((long) CALL_TIMEOUT_SECONDS + 1, TimeUnit.SECONDS).body());
  }

  private void fillReport(Snapshot before, Snapshot after) throws Exception {
    double seconds = after.takenAtSeconds() - before.takenAtSeconds();
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
    figures.put("stand_ins_memory_mib", (double) usedHeapBytes() / BYTES_PER_MIB);
    var reports =
        RateCalculations.messageRates(before.totalTraffic(), after.totalTraffic(), seconds)
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
    runOnLoop(
        () -> {
          fillLoadFigures(figures);
          report.brokenRules.addAll(simulation.violations());
          return null;
        });
    report.events.addAll(failoverTimes.events());
    failoverTimes.longestSeconds().ifPresent(longest -> figures.put("takeover_s_max", longest));
  }

  /** Estimated size of the request's and reply's headers together; only bodies are counted. */
  private static final double HEADER_BYTES_PER_MESSAGE = 250;

  private static long usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private void fillLoadFigures(Map<String, Double> figures) {
    figures.put("starts_a_s", load.startsPerSecond());
    figures.put("running_tasks", (double) runningTaskCount());
    figures.put("workers_served", (double) servedWorkerCount());
    figures.put("submitted", (double) load.submittedCount);
    figures.put("accepted_within_1s_share", load.acceptedShareWithin(1));
    putLatencies("accepted_ms", load.acceptedMillis, figures);
    figures.put("answers_503", (double) load.refusedCount);
    figures.put("no_answer", (double) load.unansweredCount);
    figures.put("urgent_jobs_started", (double) load.urgentStartMillis.getTotalCount());
    putLatencies("urgent_start_ms", load.urgentStartMillis, figures);
    figures.put("urgent_late_share", load.lateUrgentJobShare(DeploymentSetup.URGENT_START_SECONDS));
    figures.put("leases_lost", (double) expiredLeaseCount());
    if (configurationLoad != null) {
      figures.put("configuration_changes", (double) configurationLoad.changeCount);
      figures.put("configuration_changes_failed", (double) configurationLoad.failedCount);
      putLatencies("configuration_stored_ms", configurationLoad.storedMillis, figures);
      putLatencies("configuration_in_force_ms", configurationLoad.inForceMillis, figures);
    }
    figures.put("widest_gang_started", (double) load.widestGangStarted());
  }

  private static void putLatencies(String name, Histogram latencies, Map<String, Double> figures) {
    figures.put(name + "_p50", (double) latencies.getValueAtPercentile(50));
    figures.put(name + "_p99", (double) latencies.getValueAtPercentile(99));
    figures.put(name + "_max", (double) latencies.getMaxValue());
  }

  private long runningTaskCount() {
    return simulation.cloud().workers().values().stream()
        .mapToLong(FakeWorker::activeTaskCount)
        .sum();
  }

  private long servedWorkerCount() {
    return simulation.cloud().workers().values().stream().filter(FakeWorker::hasController).count();
  }

  private long expiredLeaseCount() {
    return simulation.cloud().allCreatedWorkers().stream()
        .mapToLong(FakeWorker::expiredLeaseCount)
        .sum();
  }

  private static double sum(Map<String, Double> rates) {
    return rates.values().stream().mapToDouble(d -> d).sum();
  }

  private void injectFault(InjectedFault fault) {
    Random random = new Random(options.seed + Math.round(fault.atSeconds()));
    switch (fault.kind()) {
      case CONTROLLER -> crashController(random.nextInt(options.controllers));
      case RACK -> destroyRack(random);
      case ZONE -> {
        String zone = LoadShape.zoneName(random.nextInt(LoadShape.ZONES));
        recordEvent("zone " + zone + " is partitioned for " + fault.durationSeconds() + " s");
        network.partitionZone(zone);
        simulation.runAfter(fault.durationSeconds(), this::healPartitions);
      }
      case REGIONS -> {
        recordEvent(
            "regions r1 and r0 are partitioned from each other for "
                + fault.durationSeconds()
                + " s");
        network.partitionRegions("r0", "r1");
        simulation.runAfter(fault.durationSeconds(), this::healPartitions);
      }
      default -> throw new IllegalStateException("unhandled fault kind " + fault.kind());
    }
  }

  private void healPartitions() {
    recordEvent("network partitions are healed");
    network.healPartitions();
  }

  private void recordEvent(String event) {
    failoverTimes.recordEvent(event);
    printProgress("%s", event);
  }

  private void crashController(int number) {
    recordEvent("controller " + ClusterSimulation.controllerName(number) + " is killed");
    failoverTimes.recordControllerEnd(ClusterSimulation.controllerName(number));
    // A separate thread, because waiting for the process to exit would block the event loop.
    new Thread(
            () -> killAndRestart(number), "restart of " + ClusterSimulation.controllerName(number))
        .start();
  }

  private void killAndRestart(int number) {
    try {
      controllerProcesses.get(number).kill();
      Thread.sleep((long) (1000 * RESTART_DELAY_SECONDS));
      controllerProcesses.get(number).start();
    } catch (IOException | InterruptedException exception) {
      printProgress("restart of controller %d failed: %s", number, exception.getMessage());
    }
  }

  private void destroyRack(Random random) {
    String zone = LoadShape.zoneName(random.nextInt(LoadShape.ZONES));
    List<FakeWorker> rack =
        simulation.cloud().workers().values().stream()
            .filter(worker -> worker.zone().equals(zone))
            .limit(WORKERS_PER_RACK)
            .toList();
    recordEvent(rack.size() + " workers of a rack in zone " + zone + " are lost");
    rack.forEach(FakeWorker::destroy);
  }

  private void waitAndPrintProgress(double seconds, String phase) throws Exception {
    double startedAtSeconds = realTimeSimulation.loop().monotonicSeconds();
    double secondsLeft;
    while ((secondsLeft =
            seconds - (realTimeSimulation.loop().monotonicSeconds() - startedAtSeconds))
        > 0) {
      Thread.sleep((long) (1000 * Math.min(PROGRESS_INTERVAL_SECONDS, secondsLeft)));
      String status =
          runOnLoop(
              () ->
                  String.format(
                      Locale.ROOT,
                      "%d tasks running, %.0f starts/s, %d of %d submissions accepted,"
                          + " %d rule violations",
                      runningTaskCount(),
                      load.startsPerSecond(),
                      load.acceptedCount,
                      load.submittedCount,
                      simulation.violations().size()));
      printProgress(
          "%s, %.0f s left: %s",
          phase, Math.max(0, secondsLeft - PROGRESS_INTERVAL_SECONDS), status);
      requireLiveProcesses();
    }
  }

  private void requireLiveProcesses() throws IOException {
    boolean anyAlive = controllerProcesses.stream().anyMatch(ManagedProcess::isAlive);
    if (!anyAlive || !stateServiceProcess.isAlive()) {
      throw new IOException(
          "the state service or all controllers have exited; see the logs in " + options.directory);
    }
  }

  private void awaitCondition(
      Supplier<Boolean> condition, double timeoutSeconds, String description) throws Exception {
    double startedAtSeconds = realTimeSimulation.loop().monotonicSeconds();
    while (!runOnLoop(condition)) {
      if (realTimeSimulation.loop().monotonicSeconds() - startedAtSeconds > timeoutSeconds) {
        printProgress(
            "gave up waiting for %s after %.0f s; continuing", description, timeoutSeconds);
        return;
      }
      Thread.sleep(100);
      requireLiveProcesses();
    }
  }

  /** Runs a step on the simulation's event loop and waits up to 60 s for its result. */
  private <T> T runOnLoop(Supplier<T> step)
      throws InterruptedException, ExecutionException, TimeoutException {
    CompletableFuture<T> result = new CompletableFuture<>();
    realTimeSimulation
        .loop()
        .execute(
            () -> {
              try {
                result.complete(step.get());
              } catch (RuntimeException exception) {
                result.completeExceptionally(exception);
              }
            });
    return result.get((long) ADOPTION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
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
    report.brokenRules.stream()
        .limit(20)
        .forEach(rule -> System.out.println("rule violation: " + rule));
    if (options.reportFile != null) {
      new ObjectMapper()
          .writerWithDefaultPrettyPrinter()
          .writeValue(new File(options.reportFile.toString()), report);
    }
  }

  private void stop() throws InterruptedException {
    for (ManagedProcess process : controllerProcesses) {
      process.kill();
    }
    if (stateServiceProcess != null) {
      stateServiceProcess.kill();
    }
    if (realTimeSimulation != null) {
      realTimeSimulation.stop();
    }
  }

  private static void printProgress(String format, Object... values) {
    System.err.printf(Locale.ROOT, format + "%n", values);
  }
}
