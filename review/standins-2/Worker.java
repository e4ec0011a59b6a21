import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** One worker, by the protocol page. It runs arrays and services, no gangs. */
final class Worker {
  private static final class Task {
    String name;
    long attempt;
    String status = "fetching";
    String cause;
    double changesAt;
    double cpus;
    double gpus;
    double memory;
  }

  private final World world;
  final String name;
  final World.Flavor flavor;
  final String zone;
  final boolean spot;
  String address;
  private HttpServer server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Double> imageReadyAt = new LinkedHashMap<>();
  private boolean stopped;
  private long session = 1;
  private long tick;
  private long token;
  private double leaseFrom;
  private boolean changed;

  int expiredLeases;
  int refusedReports;
  int largestReportBytes;

  Worker(World world, String name, World.Flavor flavor, String zone, boolean spot)
      throws IOException {
    this.world = world;
    this.name = name;
    this.flavor = flavor;
    this.zone = zone;
    this.spot = spot;
    server = World.serve(this::handle);
    address = "127.0.0.1:" + server.getAddress().getPort();
  }

  void start(double bootSeconds) {
    Thread thread =
        new Thread(
            () -> {
              World.sleep(bootSeconds);
              run();
            });
    thread.setDaemon(true);
    thread.start();
  }

  synchronized void stop() {
    stopped = true;
    tasks.clear();
    server.stop(0);
  }

  synchronized boolean isUp() {
    return !stopped && leaseFrom > 0;
  }

  synchronized boolean runs(String job) {
    return tasks.values().stream()
        .anyMatch(task -> task.name.startsWith(job + "/") && task.status.equals("running"));
  }

  synchronized int count(String job, String status) {
    return (int)
        tasks.values().stream()
            .filter(task -> task.name.startsWith(job + "/") && task.status.equals(status))
            .count();
  }

  synchronized double freeCpus() {
    return flavor.cpus() - tasks.values().stream().filter(t -> !t.status.equals("ended"))
        .mapToDouble(t -> t.cpus).sum();
  }

  private void run() {
    synchronized (this) {
      leaseFrom = world.now();
    }
    world.log("worker %s: up, %s in %s, spot %s", name, flavor.name(), zone, spot);
    int target = world.random.nextInt(world.apiAddresses.size());
    while (true) {
      byte[] report;
      long sentSession;
      double sentAt;
      synchronized (this) {
        if (stopped) {
          return;
        }
        step();
        changed = false;
        sentAt = world.now();
        sentSession = session;
        report = encode(report());
        largestReportBytes = Math.max(largestReportBytes, report.length);
      }
      World.Answer answer =
          world.call(world.apiAddresses.get(target), "POST", "/agent/beat", report, 4);
      double wait = World.REPORT_S * (0.75 + 0.5 * world.random.nextDouble());
      if (answer.status() == 200) {
        synchronized (this) {
          step();
          apply(answer.body(), sentSession, sentAt);
        }
      } else if (answer.status() == 421 && next(answer, target) >= 0) {
        target = next(answer, target);
        wait = 0.1;
      } else {
        if (answer.status() != 421) {
          refusedReports++;
          world.log(
              "worker %s: report of %d bytes to controller %d -> %d",
              name, report.length, target, answer.status());
        }
        target = (target + 1) % world.apiAddresses.size();
        wait = 1;
      }
      pause(sentAt, wait, answer.status() == 200);
    }
  }

  private int next(World.Answer answer, int target) {
    String owner = answer.text("master");
    int index = owner.isEmpty() ? -1 : Integer.parseInt(owner.substring("railhost-".length()));
    return index == target ? -1 : index;
  }

  /** Waits until the next report is due: after the interval, or 0.5 s if something has changed. */
  private void pause(double sentAt, double wait, boolean mayReportChange) {
    double until = mayReportChange ? sentAt + wait : world.now() + wait;
    while (world.now() < until) {
      World.sleep(0.02);
      synchronized (this) {
        step();
        if (stopped || (mayReportChange && changed && world.now() > sentAt + 0.5)) {
          return;
        }
      }
    }
  }

  private static byte[] encode(ObjectNode report) {
    try {
      return World.CBOR.writeValueAsBytes(report);
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private ObjectNode report() {
    ObjectNode report = World.CBOR.createObjectNode();
    report.put("host", name).put("endpoint", address).put("hosttype", flavor.name());
    report.put("yard", zone).put("loaners", spot).put("tenure", session).put("tick", ++tick);
    report.put("baton", token).putNull("warning_s");
    ArrayNode list = report.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode item = list.addObject().put("piece", task.name).put("try", task.attempt);
      item.put("status", task.status);
      if (task.cause != null) {
        item.put("cause", task.cause);
      }
    }
    return report;
  }

  /** Moves the tasks and the lease to the present. */
  private void step() {
    double now = world.now();
    if (now - leaseFrom > World.LEASE_S) {
      world.log("worker %s: lease is over in session %d, %d tasks are killed", name, session,
          tasks.values().stream().filter(task -> !task.status.equals("ended")).count());
      tasks.clear();
      session++;
      expiredLeases++;
      leaseFrom = now;
      changed = true;
    }
    for (Task task : tasks.values()) {
      if (task.status.equals("fetching") && now >= task.changesAt) {
        String job = task.name.substring(0, task.name.indexOf('/'));
        task.status = "running";
        task.changesAt = now + world.cloud.runSeconds.getOrDefault(job, 1e9);
        changed = true;
        if (job.length() > 0 && logsTasks(job)) {
          world.log("worker %s: %s attempt %d runs", name, task.name, task.attempt);
        }
      } else if (task.status.equals("running") && now >= task.changesAt) {
        end(task, "done");
      }
    }
  }

  private boolean logsTasks(String job) {
    JsonNode spec = world.submitted.get(job);
    return spec == null || spec.get("pieces").asInt() <= 40;
  }

  private void end(Task task, String cause) {
    task.status = "ended";
    task.cause = cause;
    changed = true;
    if (logsTasks(task.name.substring(0, task.name.indexOf('/')))) {
      world.log("worker %s: %s attempt %d ended, %s", name, task.name, task.attempt, cause);
    }
  }

  private void apply(JsonNode reply, long sentSession, double sentAt) {
    if (stopped || sentSession != session || reply == null || !reply.has("baton")
        || reply.get("baton").asLong() < token || world.now() - sentAt > 4) {
      return;
    }
    changed |= reply.get("baton").asLong() > token;
    token = reply.get("baton").asLong();
    leaseFrom = sentAt;
    reply.path("orders").forEach(this::execute);
  }

  private void execute(JsonNode order) {
    String taskName = order.get("piece").asText();
    Task task = tasks.get(taskName);
    boolean same = task != null && task.attempt == order.get("try").asLong();
    switch (order.get("verb").asText()) {
      case "launch" -> {
        if (!same) {
          launch(taskName, order.get("try").asLong(), task);
        }
      }
      case "halt" -> {
        if (same && !task.status.equals("ended")) {
          end(task, "halted");
        }
      }
      default -> {
        if (same && task.status.equals("ended")) {
          tasks.remove(taskName);
        }
      }
    }
  }

  private void launch(String taskName, long attempt, Task former) {
    Task task = new Task();
    task.name = taskName;
    task.attempt = attempt;
    String job = taskName.substring(0, taskName.indexOf('/'));
    JsonNode spec = world.submitted.get(job);
    tasks.remove(taskName);
    tasks.put(taskName, task);
    if (spec == null) {
      end(task, "unknown");
      return;
    }
    task.cpus = spec.get("cores").asDouble();
    task.gpus = spec.get("gpus").asDouble();
    task.memory = spec.get("mem_gb").asDouble();
    if (former != null && !former.status.equals("ended")) {
      tasks.put(taskName, former);
      return;
    }
    double cpus = 0;
    double gpus = 0;
    double memory = 0;
    for (Task other : tasks.values()) {
      if (!other.status.equals("ended")) {
        cpus += other.cpus;
        gpus += other.gpus;
        memory += other.memory;
      }
    }
    if (cpus > flavor.cpus() + 1e-6 || gpus > flavor.gpus() + 1e-6
        || memory > flavor.memory() + 1e-6) {
      end(task, "no_room");
      return;
    }
    double ready = world.now() + spec.get("pull_gb").asDouble() / flavor.fetch();
    task.changesAt = imageReadyAt.computeIfAbsent(spec.get("bundle").asText(), image -> ready);
    changed = true;
  }

  private synchronized World.Answer handle(
      String method, String path, Map<String, String> query, JsonNode body) {
    if (stopped) {
      return null;
    }
    step();
    if (path.equals("/orders")) {
      if (!body.has("baton") || !body.has("tenure")) {
        return new World.Answer(400, null);
      }
      boolean valid = body.get("baton").asLong() >= token && body.get("tenure").asLong() == session;
      if (valid) {
        token = body.get("baton").asLong();
        body.path("orders").forEach(this::execute);
      }
      return new World.Answer(valid ? 200 : 409, report());
    }
    return new World.Answer(200, report());
  }
}
