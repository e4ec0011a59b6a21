package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A small deployment: controllers as processes, and the stand-ins round them. */
final class World {
  /** The settings of a deployment, in the units of its page. */
  static final class Site {
    String[] labels;
    String[] zones;
    double timeBoundMs = 50;
    double reportSeconds;
    double leaseSeconds;
    double gangWaitSeconds;
    double gangPeerSeconds;
    double cancelSeconds;
    double stateRps;
    double stateWriteRps;
    double valueKb = 8;
    int txnOps;
    double cloudRps;
    double listLagSeconds;
    double cpuShare;
    double memoryMb;
    int sockets;
    String teams;
    double bootSeconds = 30;

    /** A port that the deploy file's command fixes at each controller; 0 if there is none. */
    int fixedPort;

    static Site mitaHub() {
      Site site = mitaHubFleet();
      site.reportSeconds = 2.5;
      site.leaseSeconds = 16;
      site.cancelSeconds = 36;
      site.stateRps = 100;
      site.stateWriteRps = 25;
      site.cloudRps = 8;
      site.cpuShare = 0.88;
      site.memoryMb = 263;
      site.sockets = 1800;
      return site;
    }

    static Site mitaHubFleet() {
      Site site = new Site();
      site.labels = new String[] {"c0", "c1", "c2"};
      site.zones = new String[] {"dar-room", "arusha-room", "dar-room"};
      site.reportSeconds = 3;
      site.leaseSeconds = 17.5;
      site.gangWaitSeconds = 50;
      site.gangPeerSeconds = 6;
      site.cancelSeconds = 37.5;
      site.stateRps = 120;
      site.stateWriteRps = 30;
      site.txnOps = 12;
      site.cloudRps = 9;
      site.listLagSeconds = 4;
      site.cpuShare = 0.714;
      site.memoryMb = 306;
      site.sockets = 1903;
      site.teams = "field-data";
      return site;
    }
  }

  final Site site;
  final double reportSeconds;
  final double leaseSeconds;
  final Path directory;
  final StateService state;
  private final int count;
  private final int[] apiPorts;

  /** The controllers' loopback addresses; their own where an option fixes a port for all. */
  private final String[] hosts;

  private final int[] peerPorts;
  private final int statePort;
  private final int cloudPort;
  private final String[] command;
  private final Process[] processes;
  private final boolean[] cutFromWorkers;
  private final Map<String, ObjectNode> jobs = new ConcurrentHashMap<>();
  private final Map<String, Double> durations = new ConcurrentHashMap<>();
  private final TreeMap<String, Worker> machines = new TreeMap<>();
  private final Map<String, Double> listedFrom = new HashMap<>();
  private final Map<String, List<String>> hires = new LinkedHashMap<>();
  /** The machines that each task is on, from the moment it has its image. */
  private final Map<String, Set<String>> occupants = new HashMap<>();

  private final List<String> violations = new ArrayList<>();
  private final List<String> starts = new ArrayList<>();
  private int machineCount;
  /** Rented machines come up at this time, but 0.6 to 1.5 times ready_s after their rental. */
  private volatile double bootNotBefore;

  private volatile int firstControllerOfNew;

  World(Site site, Path root, String deployFile) throws IOException {
    this.site = site;
    this.reportSeconds = site.reportSeconds;
    this.leaseSeconds = site.leaseSeconds;
    this.count = site.labels.length;
    this.directory = Files.createTempDirectory("review");
    int[] ports = Kit.freePorts(2 * count + 2);
    this.hosts = site.fixedPort == 0 ? sameHosts(count) : ownHosts(count, site.fixedPort);
    this.apiPorts = Arrays.copyOfRange(ports, 0, count);
    this.peerPorts = Arrays.copyOfRange(ports, count, 2 * count);
    this.statePort = ports[2 * count];
    this.cloudPort = ports[2 * count + 1];
    this.processes = new Process[count];
    this.cutFromWorkers = new boolean[count];
    this.command = readRunLine(root.resolve("deploy").resolve(deployFile));
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    this.state = new StateService(statePort, site.valueKb, site.txnOps);
    Kit.serve(cloudPort, this::serveCloud);
    for (int i = 0; i < count; i++) {
      Files.writeString(settingsFile(i), settings(i));
    }
  }

  private static String[] sameHosts(int count) {
    String[] hosts = new String[count];
    Arrays.fill(hosts, Kit.HOST);
    return hosts;
  }

  /** Chooses loopback addresses at which the port is free. */
  private static String[] ownHosts(int count, int port) throws IOException {
    String[] hosts = new String[count];
    for (int i = 0; i < count; ) {
      String host = "127." + part() + "." + part() + "." + (i + 1);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
        hosts[i++] = host;
      } catch (BindException taken) {
        Kit.log("port %d is taken at %s", port, host);
      }
    }
    return hosts;
  }

  private static int part() {
    return ThreadLocalRandom.current().nextInt(1, 255);
  }

  private static String[] readRunLine(Path file) throws IOException {
    for (String line : Files.readAllLines(file)) {
      if (line.startsWith("run = \"")) {
        return line.substring(7, line.lastIndexOf('"')).trim().split(" +");
      }
    }
    throw new IOException("no run line in " + file);
  }

  private Path settingsFile(int i) {
    return directory.resolve(site.labels[i] + ".toml");
  }

  private String settings(int i) {
    StringBuilder text = new StringBuilder();
    text.append("label = \"" + site.labels[i] + "\"\n");
    text.append("zone = \"" + site.zones[i] + "\"\n");
    text.append("api_addr = \"" + apiAddress(i) + "\"\n");
    text.append("cluster_listen = \"" + Kit.HOST + ":" + peerPorts[i] + "\"\n");
    for (int j = 0; j < count; j++) {
      if (j != i) {
        text.append("[[known]]\nlabel = \"" + site.labels[j] + "\"\nzone = \"" + site.zones[j]);
        text.append("\"\naddress = \"" + Kit.HOST + ":" + peerPorts[j] + "\"\n");
      }
    }
    text.append("[external]\ncloud = \"" + Kit.HOST + ":" + cloudPort + "\"\n");
    text.append("state = \"" + Kit.HOST + ":" + statePort + "\"\n");
    text.append("[cluster]\nnodes = " + count + "\nzones = [\"dar-room\", \"arusha-room\"]\n");
    text.append("time_bound_ms = " + site.timeBoundMs + "\n");
    text.append("[[cluster.teams]]\nname = \"" + site.teams + "\"\ncpus = 0.0\ncpus_max = 0.0\n");
    text.append("gpus = 0.0\ngpus_max = 0.0\n");
    text.append("[cluster.workers]\nreport_s = " + site.reportSeconds + "\n");
    text.append("lease_s = " + site.leaseSeconds + "\ngang_wait_s = " + site.gangWaitSeconds);
    text.append("\ngang_peer_s = " + site.gangPeerSeconds + "\ncancel_s = " + site.cancelSeconds);
    text.append("\n[cluster.state]\nrps = " + site.stateRps + "\nwrite_rps = ");
    text.append(site.stateWriteRps + "\nvalue_kb = " + site.valueKb + "\ntxn_ops = ");
    text.append(site.txnOps + "\n[cluster.cloud]\nrps = " + site.cloudRps + "\nlist_lag_s = ");
    text.append(site.listLagSeconds + "\n[cluster.limits]\ncpu_share = " + site.cpuShare);
    text.append("\nmemory_mb = " + site.memoryMb + "\nsockets = " + site.sockets + "\n");
    return text.toString();
  }

  String label(int i) {
    return site.labels[i];
  }

  int indexOf(String label) {
    return Arrays.asList(site.labels).indexOf(label);
  }

  int controllerCount() {
    return count;
  }

  String apiAddress(int i) {
    return hosts[i] + ":" + apiPorts[i];
  }

  /** Returns the address of a controller's port that an option fixes. */
  String fixedPortAddress(int i) {
    return hosts[i] + ":" + site.fixedPort;
  }

  // ---- controllers

  void start(int i) throws IOException {
    List<String> words = new ArrayList<>(Arrays.asList(command));
    words.add(settingsFile(i).toString());
    ProcessBuilder builder = new ProcessBuilder(words);
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("REVIEW_LOG", "info"));
    File log = directory.resolve(site.labels[i] + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    processes[i] = builder.start();
    Kit.log("%s: started, process %d", label(i), processes[i].pid());
  }

  void kill(int i) {
    Kit.log("%s: killed", label(i));
    processes[i].destroyForcibly();
    try {
      processes[i].waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  boolean isRunning(int i) {
    return processes[i].isAlive();
  }

  void killAll() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
    for (Process process : processes) {
      try {
        if (process != null) {
          process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("REVIEW_KEEP") == null) {
      File[] files = directory.toFile().listFiles();
      for (File file : files == null ? new File[0] : files) {
        file.delete();
      }
      directory.toFile().delete();
    }
  }

  boolean isReady(int i) {
    Kit.Reply reply = Kit.user("GET", apiAddress(i), "/ready", null, 1);
    return reply != null && reply.status() == 200;
  }

  boolean awaitReady(int i, double seconds) {
    double until = Kit.now() + seconds;
    while (Kit.now() < until) {
      if (isReady(i)) {
        Kit.log("%s: ready", label(i));
        return true;
      }
      Kit.sleep(0.05);
    }
    return false;
  }

  void setCutFromWorkers(int i, boolean cut) {
    Kit.log("%s: %s", label(i), cut ? "cut off from the workers" : "reaches the workers again");
    cutFromWorkers[i] = cut;
  }

  boolean isCutFromWorkers(int i) {
    return i < cutFromWorkers.length && cutFromWorkers[i];
  }

  /** Only a controller that hears no worker asks for their status, so only the one cut off. */
  boolean statusRequestsAreLost() {
    for (boolean cut : cutFromWorkers) {
      if (cut) {
        return true;
      }
    }
    return false;
  }

  // ---- cloud

  double coresOfType(String type) {
    return 32;
  }

  Worker addMachine(String zone, boolean spot, int firstController, double listed)
      throws IOException {
    synchronized (machines) {
      String id = String.format("vm-%06d", ++machineCount);
      Worker worker = new Worker(this, id, "shamba32", zone, spot, firstController);
      machines.put(id, worker);
      listedFrom.put(id, listed);
      return worker;
    }
  }

  List<Worker> machines() {
    synchronized (machines) {
      return new ArrayList<>(machines.values());
    }
  }

  void setBoot(double notBefore, int firstController) {
    bootNotBefore = notBefore;
    firstControllerOfNew = firstController;
  }

  private Kit.Reply serveCloud(String method, String path, String query, byte[] body)
      throws Exception {
    if (path.equals("/flavors")) {
      ObjectNode answer = Kit.map();
      ObjectNode type = answer.putArray("hosttypes").addObject();
      type.put("sku", "shamba32").put("cores", 32.0).put("gpus", 0.0).put("mem_gb", 64.0);
      type.put("cache_gb", 30.0).put("pull_gb_per_s", 0.4).put("rate", 2.0);
      type.put("spot_price", 0.47).put("ready_s", site.bootSeconds);
      type.putArray("yards").add("dar-room").add("arusha-room");
      return Kit.ok(answer);
    }
    if (path.equals("/hosts/return")) {
      ObjectNode message = Kit.decode(body);
      Kit.log("cloud: return %s", message);
      for (JsonNode host : message.path("hosts")) {
        synchronized (machines) {
          Worker worker = machines.remove(host.asText());
          if (worker != null) {
            worker.destroy();
          }
        }
      }
      return Kit.ok(Kit.map());
    }
    if (method.equals("POST")) {
      return hire(Kit.decode(body));
    }
    String after = Kit.queryValue(query, "after", "");
    ObjectNode answer = Kit.map();
    ArrayNode hosts = answer.putArray("hosts");
    synchronized (machines) {
      machines.forEach(
          (id, worker) -> {
            if (id.compareTo(after) > 0 && Kit.now() >= listedFrom.get(id)) {
              ObjectNode node = hosts.addObject().put("name_id", id);
              node.put("endpoint", Kit.HOST + ":" + worker.port).put("hosttype", worker.type);
              node.put("yard", worker.zone).put("loaners", worker.spot);
              node.put("status", "running").put("age_s", 60.0);
            }
          });
    }
    answer.put("truncated", false);
    return Kit.ok(answer);
  }

  private synchronized Kit.Reply hire(ObjectNode message) throws IOException {
    String name = message.path("hire").asText();
    List<String> hosts = hires.get(name);
    if (hosts == null) {
      hosts = new ArrayList<>();
      for (int i = 0; i < message.path("count").asInt(); i++) {
        hosts.add(String.format("vm-%06d", ++machineCount));
      }
      hires.put(name, hosts);
      for (String host : hosts) {
        boot(host, message);
      }
    }
    Kit.log("cloud: hire %s: %s", message, hosts);
    ObjectNode answer = Kit.map();
    ArrayNode list = answer.putArray("hosts");
    hosts.forEach(list::add);
    return Kit.ok(answer);
  }

  synchronized int hireCount() {
    return hires.size();
  }

  private void boot(String id, ObjectNode message) {
    Thread thread =
        new Thread(
            () -> {
              double rentedAt = Kit.now();
              while (Kit.now() < rentedAt + 0.6 * site.bootSeconds
                  || (Kit.now() < rentedAt + 1.5 * site.bootSeconds && Kit.now() < bootNotBefore)) {
                Kit.sleep(0.02);
              }
              Kit.log("cloud: %s is up after %.1f s", id, Kit.now() - rentedAt);
              try {
                synchronized (machines) {
                  machines.put(
                      id,
                      new Worker(
                          this,
                          id,
                          message.path("hosttype").asText(),
                          message.path("yard").asText(),
                          message.path("loaners").asBoolean(),
                          firstControllerOfNew));
                  listedFrom.put(id, Kit.now() + site.listLagSeconds);
                }
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  // ---- jobs and tasks

  /** The description of a job of one class of the site; pieces tasks of the given cores. */
  ObjectNode job(String id, int pieces, double cores, double duration) {
    ObjectNode job = Kit.map().put("name_id", id).put("jobclass", "tariff-sync");
    job.put("crew", site.teams).put("shape", "batch").put("urgency", "high");
    job.put("pieces", pieces).put("cores", cores).put("gpus", 0.0).put("mem_gb", cores);
    job.put("bundle", "img-01").put("pull_gb", 0.1).putNull("hosttypes").putNull("yard");
    job.put("one_zone", false).put("apart", false).put("loaners", false);
    job.put("guess_s", duration).put("snapshot_s", 0.0).put("flush_s", 0.0).putNull("due_s");
    jobs.put(id, job);
    durations.put(id, duration);
    return job;
  }

  int submit(ObjectNode job, int controller) {
    Kit.Reply reply =
        Kit.user("POST", apiAddress(controller), "/work", Kit.encode(job), 5);
    int status = reply == null ? 0 : reply.status();
    Kit.log("user -> %s submit %s: %d", label(controller), job.get("name_id").asText(), status);
    return status;
  }

  Kit.Reply poll(String id, int controller) {
    Kit.Reply reply = Kit.user("GET", apiAddress(controller), "/work/" + id, null, 2);
    Kit.log(
        "user -> %s poll %s: %s",
        label(controller),
        id,
        reply == null ? "no response" : reply.status() + " " + reply.json());
    return reply;
  }

  private static String jobOf(String piece) {
    return piece.substring(0, piece.indexOf('/'));
  }

  /** When tasks of jobs end that the controllers submit themselves. */
  private volatile double ownJobsEndAt = 60;

  private volatile double ownJobsCores = 1;

  void setOwnJobs(double endAt, double cores) {
    ownJobsEndAt = endAt;
    ownJobsCores = cores;
  }

  double durationOf(String piece) {
    Double duration = durations.get(jobOf(piece));
    return duration != null ? duration : Math.max(1, ownJobsEndAt - Kit.now());
  }

  double coresOf(String piece) {
    ObjectNode job = jobs.get(jobOf(piece));
    return job == null ? ownJobsCores : job.path("cores").asDouble();
  }

  /** Records that a task has its image; it must not be on another machine. */
  void started(Worker worker, Worker.Task task) {
    Kit.log("%s: %s try %d STARTS", worker.id, task.piece, task.attempt);
    synchronized (occupants) {
      starts.add(task.piece);
      Set<String> machinesOfTask =
          occupants.computeIfAbsent(task.piece, piece -> new LinkedHashSet<>());
      if (!machinesOfTask.isEmpty()) {
        String text =
            String.format(
                "%s starts on %s (try %d) while it is on %s",
                task.piece, worker.id, task.attempt, machinesOfTask);
        Kit.log("BROKEN ran_twice: %s", text);
        violations.add(text);
      }
      machinesOfTask.add(worker.id);
    }
  }

  /** Records that a task is gone from a machine. */
  void ended(Worker worker, Worker.Task task) {
    synchronized (occupants) {
      Set<String> machinesOfTask = occupants.get(task.piece);
      if (machinesOfTask != null) {
        machinesOfTask.remove(worker.id);
      }
    }
  }

  /** Returns how often a task has started. */
  int startCount(String piece) {
    synchronized (occupants) {
      return Collections.frequency(starts, piece);
    }
  }

  /** Returns the tasks that are on a machine. */
  List<String> tasksOnMachines() {
    synchronized (occupants) {
      List<String> tasks = new ArrayList<>();
      occupants.forEach(
          (piece, on) -> {
            if (!on.isEmpty()) {
              tasks.add(piece);
            }
          });
      return tasks;
    }
  }

  /** Returns the machines that a task is on. */
  List<String> machinesOf(String piece) {
    synchronized (occupants) {
      return new ArrayList<>(occupants.getOrDefault(piece, Set.of()));
    }
  }

  List<String> violations() {
    synchronized (occupants) {
      return new ArrayList<>(violations);
    }
  }

  List<String> starts() {
    synchronized (occupants) {
      return new ArrayList<>(starts);
    }
  }
}
