package io.violetrail.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.config.Settings.StateLimits;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.LiveWorld;
import io.violetrail.fakes.SettingsFile;
import io.violetrail.fakes.World;
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
  private static final int FAILED = 3;
  private static final double ADOPTION_S = 60;
  private static final double PROGRESS_S = 5;
  private static final double RESTART_S = 5;
  private static final double CALL_S = 10;
  private static final int RACK_WORKERS = 24;

  /** Ports: state, cloud, then for each controller its two, then relays, then workers. */
  private static final int CLOUD_PORT = 1;

  private static final int CONTROLLER_PORTS = 2;
  private static final double BYTES_PER_KB = 1_000;
  private static final double MEBI = 1 << 20;

  @Mixin private final ScaleOptions options = new ScaleOptions();

  private final ScaleReport report = new ScaleReport();
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private World world;
  private LiveWorld live;
  private Network network;
  private OpenLoad load;
  private Takeovers takeovers;

  /** Null if the configuration does not change. */
  private ConfigurationLoad configurationLoad;

  private ControllerProcess state;
  private int firstPort;
  private int relays;
  private int workerPorts;

  public static void main(String[] args) {
    Logging.errorsOnly();
    System.exit(execute(args));
  }

  static int execute(String... args) {
    return new CommandLine(new ScaleRun())
        .registerConverter(Fault.class, new Fault.Converter())
        .setExecutionExceptionHandler(
            (e, line, parsed) -> {
              System.err.println("scale-run: " + e);
              return FAILED;
            })
        .execute(args);
  }

  @Override
  public Integer call() throws Exception {
    try {
      prepare();
      say("waiting until %d workers report", options.workers);
      await(this::adopted, ADOPTION_S, "the workers to be taken in");
      measure();
      TargetVerdicts.judge(report);
      write();
      return report.passed() ? 0 : 1;
    } finally {
      stop();
    }
  }

  private void prepare() throws Exception {
    LoadShape shape = options.shape();
    report.shape = shape;
    report.seconds = options.seconds;
    report.seed = options.seed;
    Files.createDirectories(options.directory);
    int ports = 2 + CONTROLLER_PORTS * options.controllers + relayCount() + options.workers;
    firstPort = options.port != null ? options.port : FreePorts.block(ports, new Random());
    world = new World(options.controllers, options.seed);
    Deployment.configure(
        world,
        shape,
        new StateLimits(options.requestsPerS, options.changesPerS, 8192, 24),
        options.reportS);
    world.state.limited = false;
    live = new LiveWorld(world);
    network = new Network(world, live, new Zones(world));
    takeovers = new Takeovers(live.loop()::seconds);
    load = new OpenLoad(world, shape, options.seed);
    live.serve(firstPort + CLOUD_PORT, LiveWorld.askedBy("process", world.cloud));
    world.onWorker = this::serveWorker;
    world.outside =
        (from, node, method, path, body) ->
            network.ask(from, node, api(indexOf(node)), method, path, body);
    startState();
    startControllers();
    onLoop(
        () -> {
          live.start();
          Deployment.machines(world, shape);
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

  private HostPort api(int controller) {
    return new HostPort(LiveWorld.HOST, firstPort + 2 + CONTROLLER_PORTS * controller);
  }

  private HostPort listen(int controller) {
    return new HostPort(LiveWorld.HOST, api(controller).port() + 1);
  }

  private HostPort relay(String from, String to, HostPort target) {
    int port = firstPort + 2 + CONTROLLER_PORTS * options.controllers + relays++;
    network.relay(port, from, to, target);
    return new HostPort(LiveWorld.HOST, port);
  }

  /** Direct commands reach each worker at a port of its own. */
  private void serveWorker(FakeWorker worker) {
    if (workerPorts < options.workers) {
      int first = firstPort + 2 + CONTROLLER_PORTS * options.controllers + relayCount();
      int port = first + workerPorts++;
      worker.servesAt(new HostPort(LiveWorld.HOST, port));
      live.serve(port, worker.service());
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
                StateProcess.class.getName()));
    command.addAll(List.of("--port", String.valueOf(firstPort)));
    command.addAll(List.of("--requests", String.valueOf(options.requestsPerS)));
    command.addAll(List.of("--changes", String.valueOf(options.changesPerS)));
    state =
        new ControllerProcess(
            "state", command, options.directory.resolve("state.log"), (name, line) -> {});
    state.start();
  }

  private void startControllers() throws IOException {
    List<String> command = controllerCommand();
    Zones zones = new Zones(world);
    for (int i = 0; i < options.controllers; i++) {
      String name = World.name(i);
      Map<String, HostPort> peers = new LinkedHashMap<>();
      for (int k = 0; k < options.controllers; k++) {
        if (k != i) {
          peers.put(World.name(k), relay(name, World.name(k), listen(k)));
        }
      }
      var addresses =
          new SettingsFile.Addresses(
              api(i),
              listen(i),
              peers,
              relay(name, "cloud", new HostPort(LiveWorld.HOST, firstPort + CLOUD_PORT)),
              relay(name, "state", new HostPort(LiveWorld.HOST, firstPort)));
      Path settings = options.directory.resolve(name + ".toml");
      Files.writeString(settings, SettingsFile.text(world, name, zones.of(name), addresses));
      List<String> all = new ArrayList<>(command);
      all.add(settings.toString());
      ControllerProcess process =
          new ControllerProcess(
              name, all, options.directory.resolve(name + ".log"), takeovers::logged);
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
    if (options.configurationEveryS != null) {
      command.add(command.size() - 1, "--configuration");
    }
    command.addAll(
        command.size() - 1, List.of("--idle-s", String.valueOf(Deployment.NEVER_IDLE_S)));
    return command;
  }

  /** Whether every worker has had its report answered with a term. */
  private boolean adopted() {
    return world.cloud.workers.values().stream().allMatch(FakeWorker::hasOwner);
  }

  private void measure() throws Exception {
    double warmUp = options.warmUpSeconds();
    onLoop(
        () -> {
          load.start(warmUp + options.seconds);
          return null;
        });
    progress(warmUp, "warming up");
    Snapshot before = snapshot();
    onLoop(
        () -> {
          load.beginCounting();
          if (options.configurationEveryS != null) {
            configurationLoad =
                new ConfigurationLoad(world, options.seed, options.configurationEveryS);
            configurationLoad.start(options.seconds);
          }
          for (Fault fault : options.faults) {
            world.at(fault.atS(), () -> happens(fault));
          }
          return null;
        });
    progress(options.seconds, "measuring");
    figures(before, snapshot());
  }

  /** All that grows, at one moment. */
  private record Snapshot(
      double atS,
      Map<String, ControllerProcess.Usage> usage,
      Map<String, Map<String, long[]>> traffic,
      Map<String, long[]> allTraffic,
      JsonNode stateStats,
      double ownCpuS) {}

  private Snapshot snapshot() throws Exception {
    Map<String, ControllerProcess.Usage> usage = new TreeMap<>();
    for (int i = 0; i < controllers.size(); i++) {
      usage.put(World.name(i), controllers.get(i).usage());
    }
    JsonNode stats = stateStats();
    return onLoop(
        () -> {
          Map<String, Map<String, long[]>> traffic = new TreeMap<>();
          usage.keySet().forEach(c -> traffic.put(c, Rates.counts(network.traffic(c))));
          return new Snapshot(
              live.loop().seconds(), usage, traffic, Rates.counts(world.traffic), stats, ownCpuS());
        });
  }

  private static double ownCpuS() {
    try {
      return ControllerProcess.cpuS(Path.of("/proc/self"));
    } catch (IOException e) {
      return 0;
    }
  }

  private JsonNode stateStats() throws Exception {
    CompletableFuture<io.violetrail.net.Http.Reply> reply =
        onLoop(
            () ->
                live.newHttp()
                    .call(
                        new HostPort(LiveWorld.HOST, firstPort),
                        "GET",
                        StateProcess.STATS,
                        null,
                        CALL_S));
    return Cbor.parse(reply.get((long) CALL_S + 1, TimeUnit.SECONDS).body());
  }

  private void figures(Snapshot before, Snapshot after) throws Exception {
    double seconds = after.atS() - before.atS();
    for (String name : after.usage().keySet()) {
      ControllerProcess.Usage used = after.usage().get(name);
      report.controllers.put(
          name,
          new ScaleReport.ControllerFigures(
              (used.cpuS() - before.usage().get(name).cpuS()) / seconds,
              used.residentMib(),
              used.sockets(),
              Rates.ofMessages(before.traffic().get(name), after.traffic().get(name), seconds)));
    }
    Rates.perSecond(before.stateStats(), after.stateStats(), "requests", seconds)
        .forEach(report.stateRequestsPerS::put);
    Rates.perSecond(before.stateStats(), after.stateStats(), "changes", seconds)
        .forEach(report.stateChangesPerS::put);
    Map<String, Double> f = report.figures;
    f.put("state_requests_a_s", sum(report.stateRequestsPerS));
    f.put("state_changes_a_s", sum(report.stateChangesPerS));
    f.put(
        "state_over_limit",
        after.stateStats().path("over_limit").asDouble()
            - before.stateStats().path("over_limit").asDouble());
    f.put("stand_ins_cpu_cores", (after.ownCpuS() - before.ownCpuS()) / seconds);
    f.put("stand_ins_memory_mib", (double) usedHeap() / MEBI);
    var reports =
        Rates.ofMessages(before.allTraffic(), after.allTraffic(), seconds).get("worker report");
    if (reports != null) {
      f.put("reports_a_s_a_worker", reports.messages() / options.workers);
      f.put(
          "kb_a_s_a_worker",
          (reports.requestBytes() + reports.answerBytes() + HEADER_BYTES * reports.messages())
              / options.workers
              / BYTES_PER_KB);
    }
    onLoop(
        () -> {
          loadFigures(f);
          report.brokenRules.addAll(world.broken);
          return null;
        });
    report.events.addAll(takeovers.events());
    takeovers.longestS().ifPresent(s -> f.put("takeover_s_max", s));
  }

  /** Both directions, as sent here and by the server: an estimate added to the counted bodies. */
  private static final double HEADER_BYTES = 250;

  private static long usedHeap() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private void loadFigures(Map<String, Double> f) {
    f.put("starts_a_s", load.startsPerS());
    f.put("running_tasks", (double) runningTasks());
    f.put("workers_served", (double) served());
    f.put("submitted", (double) load.submitted);
    f.put("accepted_within_1s_share", load.acceptedWithin(1));
    waits("accepted_ms", load.acceptedMs, f);
    f.put("answers_503", (double) load.refused);
    f.put("no_answer", (double) load.unanswered);
    f.put("urgent_jobs_started", (double) load.urgentStartMs.getTotalCount());
    waits("urgent_start_ms", load.urgentStartMs, f);
    f.put("urgent_late_share", load.urgentLateShare(Deployment.URGENT_START_S));
    f.put("leases_lost", (double) leasesLost());
    if (configurationLoad != null) {
      f.put("configuration_changes", (double) configurationLoad.changes);
      f.put("configuration_changes_failed", (double) configurationLoad.failed);
      waits("configuration_stored_ms", configurationLoad.storedMs, f);
      waits("configuration_in_force_ms", configurationLoad.inForceMs, f);
    }
    f.put("widest_gang_started", (double) load.widestGangStarted());
  }

  private static void waits(String name, Histogram waits, Map<String, Double> f) {
    f.put(name + "_p50", (double) waits.getValueAtPercentile(50));
    f.put(name + "_p99", (double) waits.getValueAtPercentile(99));
    f.put(name + "_max", (double) waits.getMaxValue());
  }

  private long runningTasks() {
    return world.cloud.workers.values().stream().mapToLong(FakeWorker::active).sum();
  }

  private long served() {
    return world.cloud.workers.values().stream().filter(FakeWorker::hasOwner).count();
  }

  private long leasesLost() {
    return world.cloud.everUp.stream().mapToLong(FakeWorker::sessionsLost).sum();
  }

  private static double sum(Map<String, Double> all) {
    return all.values().stream().mapToDouble(d -> d).sum();
  }

  private void happens(Fault fault) {
    Random random = new Random(options.seed + Math.round(fault.atS()));
    switch (fault.kind()) {
      case CONTROLLER -> endController(random.nextInt(options.controllers));
      case RACK -> loseRack(random);
      case ZONE -> {
        String zone = LoadShape.zone(random.nextInt(LoadShape.ZONES));
        event("zone " + zone + " is cut off for " + fault.forS() + " s");
        network.cutZone(zone);
        world.at(fault.forS(), this::mend);
      }
      case REGIONS -> {
        event("regions r1 and r0 lose each other for " + fault.forS() + " s");
        network.cutRegions("r0", "r1");
        world.at(fault.forS(), this::mend);
      }
      default -> throw new IllegalStateException("unhandled fault kind " + fault.kind());
    }
  }

  private void mend() {
    event("cuts are mended");
    network.mend();
  }

  private void event(String what) {
    takeovers.event(what);
    say("%s", what);
  }

  private void endController(int number) {
    event("controller " + World.name(number) + " ends");
    takeovers.ended(World.name(number));
    // Not on the loop: it waits until the process is gone.
    new Thread(() -> killAndRestart(number), "restart of " + World.name(number)).start();
  }

  private void killAndRestart(int number) {
    try {
      controllers.get(number).kill();
      Thread.sleep((long) (1000 * RESTART_S));
      controllers.get(number).start();
    } catch (IOException | InterruptedException e) {
      say("controller %d could not be started again: %s", number, e.getMessage());
    }
  }

  private void loseRack(Random random) {
    String zone = LoadShape.zone(random.nextInt(LoadShape.ZONES));
    List<FakeWorker> rack =
        world.cloud.workers.values().stream()
            .filter(w -> w.zone().equals(zone))
            .limit(RACK_WORKERS)
            .toList();
    event(rack.size() + " workers of a rack in " + zone + " are gone");
    rack.forEach(FakeWorker::destroy);
  }

  private void progress(double seconds, String what) throws Exception {
    double began = live.loop().seconds();
    double left;
    while ((left = seconds - (live.loop().seconds() - began)) > 0) {
      Thread.sleep((long) (1000 * Math.min(PROGRESS_S, left)));
      String line =
          onLoop(
              () ->
                  String.format(
                      Locale.ROOT,
                      "%d tasks run, %.0f starts a s, %d of %d submissions accepted,"
                          + " %d rules broken",
                      runningTasks(),
                      load.startsPerS(),
                      load.accepted,
                      load.submitted,
                      world.broken.size()));
      say("%s, %.0f s left: %s", what, Math.max(0, left - PROGRESS_S), line);
      requireControllers();
    }
  }

  private void requireControllers() throws IOException {
    boolean anyAlive = controllers.stream().anyMatch(ControllerProcess::alive);
    if (!anyAlive || !state.alive()) {
      throw new IOException("processes have ended; see the logs in " + options.directory);
    }
  }

  private void await(Supplier<Boolean> condition, double atMostS, String what) throws Exception {
    double began = live.loop().seconds();
    while (!onLoop(condition)) {
      if (live.loop().seconds() - began > atMostS) {
        say("still waiting for %s after %.0f s, going on", what, atMostS);
        return;
      }
      Thread.sleep(100);
      requireControllers();
    }
  }

  /** Runs a step on the world's thread and waits for it. */
  private <T> T onLoop(Supplier<T> step)
      throws InterruptedException, ExecutionException, TimeoutException {
    CompletableFuture<T> done = new CompletableFuture<>();
    live.loop()
        .execute(
            () -> {
              try {
                done.complete(step.get());
              } catch (RuntimeException e) {
                done.completeExceptionally(e);
              }
            });
    return done.get((long) ADOPTION_S, TimeUnit.SECONDS);
  }

  private void write() throws IOException {
    for (ScaleReport.Verdict v : report.verdicts) {
      System.out.printf(
          Locale.ROOT,
          "%-8s %s: %s (%s)%n",
          v.outcome(),
          v.figure(),
          v.measured() == null ? "-" : String.format(Locale.ROOT, "%.4g", v.measured()),
          v.required());
    }
    report.brokenRules.stream().limit(20).forEach(b -> System.out.println("broken: " + b));
    if (options.report != null) {
      new ObjectMapper()
          .writerWithDefaultPrettyPrinter()
          .writeValue(new File(options.report.toString()), report);
    }
  }

  private void stop() throws InterruptedException {
    for (ControllerProcess c : controllers) {
      c.kill();
    }
    if (state != null) {
      state.kill();
    }
    if (live != null) {
      live.stop();
    }
  }

  private static void say(String format, Object... values) {
    System.err.printf(Locale.ROOT, format + "%n", values);
  }
}
