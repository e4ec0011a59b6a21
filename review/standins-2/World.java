import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.stream.Stream;

/**
 * The stand-ins of a small deployment: a state service, a cloud with its workers, and users. The
 * controllers are processes, started with the command of deploy/service.toml. Written from the
 * protocol page; where that page is silent, the stand-ins behave like sound services.
 */
final class World {
  static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
  private static final ObjectMapper JSON = new ObjectMapper();

  // Times, limits, teams and machine types of the first deployment of the brief (quizdeck-ops).
  static final double REPORT_S = 1;
  static final double LEASE_S = 10;
  private static final String TEAM = "learning-lab";
  private static final String[] CONTROLLER_ZONES = {"harbour", "millrow", "westgate"};
  private static final List<String> MACHINE_ZONES = List.of("harbour", "millrow", "fenside");
  private static final List<Flavor> FLAVORS =
      List.of(
          new Flavor("ledger32", 32, 0, 64, 1.66, 0.39, 20, 0.5, 60),
          new Flavor("glint16", 16, 2, 64, 4.59, 1.21, 60, 0.5, 100),
          new Flavor("forge96", 96, 8, 576, 26.89, 6.52, 35, 0.2, 70));
  private static final String CLUSTER_SETTINGS =
      """
      [cluster]
      nodes = 3
      zones = ["fenside", "harbour", "millrow", "westgate"]
      time_bound_ms = 250.0
      [[cluster.teams]]
      name = "content-desk"
      cpus = 304.0
      cpus_max = 616.0
      gpus = 0.0
      gpus_max = 0.0
      [[cluster.teams]]
      name = "learning-lab"
      cpus = 456.0
      cpus_max = 1840.0
      gpus = 0.0
      gpus_max = 0.0
      [[cluster.objectives]]
      kind = "wait"
      class = "deck-render"
      within_s = 8.0
      share = 0.78
      [cluster.workers]
      report_s = 1.0
      lease_s = 10.0
      gang_wait_s = 45.0
      gang_peer_s = 4.0
      cancel_s = 40.0
      [cluster.state]
      rps = 250.0
      write_rps = 50.0
      value_kb = 8.0
      txn_ops = 24
      [cluster.cloud]
      rps = 1.5
      list_lag_s = 10.0
      [cluster.limits]
      cpu_share = 0.22
      memory_mb = 176.0
      sockets = 700
      """;
  private static final int CONTROLLERS = 3;

  final Random random = new Random();
  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  private final Path folder;
  private final List<Process> processes = new ArrayList<>();
  final List<String> apiAddresses = new ArrayList<>();
  private final List<String> labels = new ArrayList<>();
  final StateService state = new StateService();
  final Cloud cloud = new Cloud();
  final Map<String, ObjectNode> submitted = new ConcurrentHashMap<>();
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  World(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  double now() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  private boolean closed;

  /** Writes the last line of the record. */
  synchronized void close(String line) {
    log("%s", line);
    closed = true;
  }

  synchronized void log(String format, Object... values) {
    if (closed) {
      return;
    }
    record.println(
        String.format(Locale.ROOT, "%8.2f ", now()) + String.format(Locale.ROOT, format, values));
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep(Math.max(0, Math.round(seconds * 1000)));
    } catch (InterruptedException exception) {
      throw new IllegalStateException(exception);
    }
  }

  // ---- controllers

  /** Starts the stand-ins and the controllers, and waits until one controller is ready. */
  void start() throws IOException {
    int statePort = state.start();
    int cloudPort = cloud.start();
    List<Integer> api = new ArrayList<>();
    List<Integer> peer = new ArrayList<>();
    List<ServerSocket> reserved = new ArrayList<>();
    while (reserved.size() < 2 * CONTROLLERS) {
      // Below the ports that systems give to outgoing connections, so that none is taken meanwhile.
      int port = 15_000 + random.nextInt(15_000);
      try {
        reserved.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        (reserved.size() <= CONTROLLERS ? api : peer).add(port);
      } catch (IOException exception) {
        // The port is in use: another one is tried.
      }
    }
    for (ServerSocket socket : reserved) {
      socket.close();
    }
    for (int i = 0; i < CONTROLLERS; i++) {
      labels.add("railhost-" + i);
      apiAddresses.add("127.0.0.1:" + api.get(i));
    }
    for (int i = 0; i < CONTROLLERS; i++) {
      Path file = folder.resolve(labels.get(i) + ".toml");
      Files.writeString(file, settings(i, api, peer, statePort, cloudPort));
      List<String> command = new ArrayList<>(deployCommand());
      command.add(file.toString());
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG", "info"));
      builder.redirectError(folder.resolve(labels.get(i) + ".log").toFile());
      builder.redirectOutput(new File("/dev/null"));
      processes.add(builder.start());
    }
    log("started %d controllers", CONTROLLERS);
    double until = now() + 20;
    for (int i = 0; i < CONTROLLERS; i++) {
      while (get(i, "/ready").status != 200) {
        if (now() > until) {
          throw new IOException("controller " + i + " is not ready after 20 s");
        }
        sleep(0.2);
      }
    }
    log("all controllers are ready");
  }

  private static List<String> deployCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
      if (line.startsWith("run = \"")) {
        return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("deploy/service.toml has no run line");
  }

  private String settings(
      int self, List<Integer> api, List<Integer> peer, int statePort, int cloudPort) {
    StringBuilder text = new StringBuilder();
    text.append("label = \"").append(labels.get(self)).append("\"\n");
    text.append("zone = \"").append(CONTROLLER_ZONES[self]).append("\"\n");
    text.append("api_addr = \"127.0.0.1:").append(api.get(self)).append("\"\n");
    text.append("cluster_listen = \"127.0.0.1:").append(peer.get(self)).append("\"\n");
    for (int i = 0; i < CONTROLLERS; i++) {
      if (i != self) {
        text.append("[[known]]\nlabel = \"").append(labels.get(i));
        text.append("\"\nzone = \"").append(CONTROLLER_ZONES[i]);
        text.append("\"\naddress = \"127.0.0.1:").append(peer.get(i)).append("\"\n");
      }
    }
    text.append("[external]\ncloud = \"127.0.0.1:").append(cloudPort);
    text.append("\"\nstate = \"127.0.0.1:").append(statePort).append("\"\n");
    text.append(CLUSTER_SETTINGS);
    return text.toString();
  }

  boolean allControllersRun() {
    return processes.stream().allMatch(Process::isAlive);
  }

  Path folder() {
    return folder;
  }

  void endProcesses() {
    processes.forEach(Process::destroyForcibly);
    for (Process process : processes) {
      try {
        process.waitFor();
      } catch (InterruptedException exception) {
        return;
      }
    }
    if (System.getenv("CASE_KEEP") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
      } catch (IOException exception) {
        // The folder is a temporary one.
      }
    }
  }

  // ---- users

  record Answer(int status, JsonNode body) {
    String text(String field) {
      return body == null ? "" : body.path(field).asText();
    }
  }

  Answer get(int controller, String path) {
    return call(apiAddresses.get(controller), "GET", path, null, 2);
  }

  Answer call(String address, String method, String path, byte[] body, double timeoutSeconds) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofMillis(Math.round(timeoutSeconds * 1000)))
              .method(
                  method,
                  body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofByteArray(body))
              .build();
      HttpResponse<byte[]> answer = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode parsed = answer.body().length == 0 ? null : CBOR.readTree(answer.body());
      return new Answer(answer.statusCode(), parsed);
    } catch (IOException exception) {
      return new Answer(0, null);
    } catch (InterruptedException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /** A job with the values of an ordinary small array; callers change what they need. */
  static ObjectNode job(String id, String jobClass, String shape, int tasks, double cpus) {
    ObjectNode job = JSON.createObjectNode();
    job.put("name_id", id).put("jobclass", jobClass).put("crew", TEAM);
    job.put("shape", shape).put("urgency", "normal").put("pieces", tasks);
    job.put("cores", cpus).put("gpus", 0.0).put("mem_gb", 1.0);
    job.put("bundle", "img-07").put("pull_gb", 0.1).putNull("hosttypes").putNull("yard");
    job.put("one_zone", false).put("apart", false).put("loaners", false);
    job.put("guess_s", shape.equals("daemon") ? 0.0 : 20.0);
    job.put("snapshot_s", 0.0).put("flush_s", 0.0).putNull("due_s");
    return job;
  }

  /** Submits as a user does, for up to 60 s; returns whether the job was accepted. */
  boolean submit(int controller, ObjectNode job, double runSeconds) throws IOException {
    String id = job.get("name_id").asText();
    cloud.runSeconds.put(id, runSeconds);
    submitted.put(id, job);
    double until = now() + 60;
    while (now() < until) {
      Answer answer =
          call(apiAddresses.get(controller), "POST", "/work", CBOR.writeValueAsBytes(job), 5);
      log("user: POST /work %s to controller %d -> %d %s", job, controller, answer.status,
          answer.body);
      if (answer.status == 201 || answer.status == 200) {
        return true;
      }
      if (answer.status == 400 || answer.status == 422) {
        return false;
      }
      sleep(1);
    }
    return false;
  }

  /** Submits once; returns whether the job was accepted. */
  boolean submitOnce(int controller, ObjectNode job, double runSeconds) {
    String id = job.get("name_id").asText();
    cloud.runSeconds.put(id, runSeconds);
    submitted.put(id, job);
    byte[] body;
    try {
      body = CBOR.writeValueAsBytes(job);
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
    Answer answer = call(apiAddresses.get(controller), "POST", "/work", body, 5);
    log("user: POST /work %s to controller %d -> %d %s", job, controller, answer.status,
        answer.body);
    return answer.status == 201 || answer.status == 200;
  }

  /** Polls a job once and records the answer. */
  Answer poll(int controller, String id) {
    Answer answer = get(controller, "/work/" + id);
    log("user: GET /work/%s at controller %d -> %d %s", id, controller, answer.status, answer.body);
    return answer;
  }

  /** Cancels as a user does, for up to 60 s; returns whether that was confirmed. */
  boolean cancel(int controller, String id) {
    double until = now() + 60;
    while (now() < until) {
      Answer answer = call(apiAddresses.get(controller), "POST", "/work/" + id + "/abort",
          new byte[0], 5);
      log("user: abort %s at controller %d -> %d %s", id, controller, answer.status, answer.body);
      if (answer.status == 200) {
        return true;
      }
      sleep(1);
    }
    return false;
  }

  // ---- HTTP servers of the stand-ins

  interface Service {
    Answer handle(String method, String path, Map<String, String> query, JsonNode body)
        throws IOException;
  }

  static HttpServer serve(Service service) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", exchange -> answer(exchange, service));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Service service) throws IOException {
    try {
      byte[] bytes = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = new HashMap<>();
      String text = exchange.getRequestURI().getQuery();
      if (text != null) {
        for (String part : text.split("&")) {
          int equals = part.indexOf('=');
          query.put(part.substring(0, equals), part.substring(equals + 1));
        }
      }
      Answer answer =
          service.handle(
              exchange.getRequestMethod(),
              exchange.getRequestURI().getPath(),
              query,
              bytes.length == 0 ? null : CBOR.readTree(bytes));
      if (answer == null) {
        return; // No answer: the connection hangs.
      }
      byte[] reply = answer.body == null ? new byte[0] : CBOR.writeValueAsBytes(answer.body);
      exchange.sendResponseHeaders(answer.status, reply.length == 0 ? -1 : reply.length);
      exchange.getResponseBody().write(reply);
      exchange.close();
    } catch (RuntimeException exception) {
      exception.printStackTrace();
      exchange.close();
    }
  }

  // ---- the state service

  static final class StateService {
    private record Row(JsonNode value, long stamp, Long hold) {}

    private record Change(String key, JsonNode value, long stamp) {}

    private static final int MAX_PAGE_BYTES = 512 * 1024;
    private static final int VALUE_BYTES = 8 * 1024;
    private static final int TXN_OPS = 24;
    private static final int KEPT_CHANGES = 10_000;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long dropped;
    private final Map<Long, long[]> leases = new HashMap<>();
    private long epoch;
    private long nextLease = 1;

    int start() throws IOException {
      Thread expiry =
          new Thread(
              () -> {
                while (true) {
                  sleep(0.02);
                  expireLeases();
                }
              });
      expiry.setDaemon(true);
      expiry.start();
      return serve(this::handle).getAddress().getPort();
    }

    private synchronized void expireLeases() {
      long now = System.nanoTime();
      List<Long> ended =
          leases.entrySet().stream().filter(l -> l.getValue()[1] < now).map(Map.Entry::getKey)
              .toList();
      ended.forEach(this::endLease);
    }

    private void endLease(long id) {
      leases.remove(id);
      List<String> keys =
          rows.entrySet().stream()
              .filter(row -> row.getValue().hold != null && row.getValue().hold == id)
              .map(Map.Entry::getKey)
              .toList();
      if (!keys.isEmpty()) {
        epoch++;
        for (String key : keys) {
          rows.remove(key);
          addChange(new Change(key, null, epoch));
        }
        notifyAll();
      }
    }

    private void addChange(Change change) {
      changes.add(change);
      if (changes.size() > KEPT_CHANGES) {
        dropped = changes.remove(0).stamp;
      }
    }

    private ObjectNode map() {
      return CBOR.createObjectNode();
    }

    private synchronized Answer handle(
        String method, String path, Map<String, String> query, JsonNode body) throws IOException {
      if (path.equals("/keys")) {
        return list(query);
      }
      if (path.startsWith("/keys/")) {
        String key = path.substring(6);
        Row row = rows.get(key);
        if (row == null) {
          return new Answer(404, map().put("epoch", epoch));
        }
        ObjectNode reply = map().put("key", key).put("stamp", row.stamp);
        reply.set("v", row.value);
        return new Answer(200, reply);
      }
      if (path.equals("/txn")) {
        return transaction(body);
      }
      if (path.equals("/leases")) {
        long life = body.get("life_ms").asLong();
        leases.put(nextLease, new long[] {life, System.nanoTime() + life * 1_000_000 + 20_000_000});
        return new Answer(200, map().put("hold", nextLease++));
      }
      if (path.startsWith("/leases/")) {
        long id = Long.parseLong(path.split("/")[2]);
        long[] lease = leases.get(id);
        if (lease == null) {
          return new Answer(404, map());
        }
        if (method.equals("DELETE")) {
          endLease(id);
        } else {
          lease[1] = System.nanoTime() + lease[0] * 1_000_000 + 20_000_000;
        }
        return new Answer(200, map().put("hold", id));
      }
      if (path.equals("/changes")) {
        return watch(query);
      }
      return new Answer(400, map().put("error", "malformed"));
    }

    private Answer list(Map<String, String> query) throws IOException {
      String under = query.get("under");
      String after = query.getOrDefault("after", "");
      int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
      ObjectNode reply = map();
      ArrayNode entries = reply.putArray("entries");
      boolean truncated = false;
      int bytes = 0;
      for (Map.Entry<String, Row> entry : rows.tailMap(under, true).entrySet()) {
        if (!entry.getKey().startsWith(under)) {
          break;
        }
        if (entry.getKey().compareTo(after) <= 0) {
          continue;
        }
        int size = JSON.writeValueAsBytes(entry.getValue().value).length + 100;
        if (entries.size() >= most || bytes + size > MAX_PAGE_BYTES) {
          truncated = true;
          break;
        }
        bytes += size;
        ObjectNode item = entries.addObject();
        item.put("key", entry.getKey()).put("stamp", entry.getValue().stamp);
        item.set("v", entry.getValue().value);
      }
      return new Answer(200, reply.put("truncated", truncated).put("epoch", epoch));
    }

    private Answer transaction(JsonNode body) throws IOException {
      if (JSON.writeValueAsBytes(body).length > 64 * 1024
          || body.path("writes").size() > TXN_OPS
          || body.path("if").size() > 4 * TXN_OPS) {
        return new Answer(400, map().put("error", "too large"));
      }
      for (JsonNode write : body.path("writes")) {
        if (write.has("set") && JSON.writeValueAsBytes(write.get("v")).length > VALUE_BYTES) {
          return new Answer(400, map().put("error", "value too large"));
        }
        if (write.has("hold") && !leases.containsKey(write.get("hold").asLong())) {
          return new Answer(400, map().put("error", "no such lease"));
        }
      }
      ObjectNode reply = map();
      ArrayNode failed = CBOR.createArrayNode();
      for (JsonNode condition : body.path("if")) {
        Row row = rows.get(condition.get("key").asText());
        if ((row == null ? 0 : row.stamp) != condition.get("stamp").asLong()) {
          failed.add(condition.get("key").asText());
        }
      }
      if (!failed.isEmpty()) {
        reply.set("failed", failed);
        return new Answer(409, reply.put("epoch", epoch));
      }
      if (body.path("writes").size() > 0) {
        epoch++;
        for (JsonNode write : body.path("writes")) {
          if (write.has("set")) {
            Long hold = write.has("hold") ? (Long) write.get("hold").asLong() : null;
            rows.put(write.get("set").asText(), new Row(write.get("v"), epoch, hold));
            addChange(new Change(write.get("set").asText(), write.get("v"), epoch));
          } else if (rows.remove(write.get("drop").asText()) != null) {
            addChange(new Change(write.get("drop").asText(), null, epoch));
          }
        }
        notifyAll();
      }
      return new Answer(200, reply.put("epoch", epoch));
    }

    private Answer watch(Map<String, String> query) {
      long after = Long.parseLong(query.get("after"));
      long until = System.nanoTime() + Long.parseLong(query.getOrDefault("block_ms", "0")) * 1_000_000;
      while (true) {
        if (after < dropped) {
          return new Answer(410, map());
        }
        ObjectNode reply = map();
        ArrayNode log = reply.putArray("log");
        for (Change change : changes) {
          if (change.stamp > after && change.key.startsWith(query.get("under"))) {
            ObjectNode item = log.addObject();
            item.put(change.value == null ? "drop" : "set", change.key).put("stamp", change.stamp);
            if (change.value != null) {
              item.set("v", change.value);
            }
          }
        }
        long left = until - System.nanoTime();
        if (!log.isEmpty() || left <= 0) {
          return new Answer(200, reply.put("epoch", epoch));
        }
        try {
          wait(left / 1_000_000 + 1);
        } catch (InterruptedException exception) {
          throw new IllegalStateException(exception);
        }
      }
    }
  }

  // ---- the cloud

  record Flavor(
      String name, double cpus, double gpus, double memory, double price, double spot, double boot,
      double fetch, double cache) {}

  final class Cloud {
    final Map<String, Worker> workers = new TreeMap<>();
    final Map<String, Double> runSeconds = new ConcurrentHashMap<>();
    private final Map<String, List<String>> hires = new HashMap<>();
    private final Map<String, Double> rentedAt = new HashMap<>();
    private int nextName = 1;
    private int rentals;

    /** How long machines boot; the page: at times machines are up within a second or two. */
    double bootSeconds = 2;

    /** How many machines there may be; the page does not publish it. */
    int capacity = 40;

    int start() throws IOException {
      return serve(this::handle).getAddress().getPort();
    }

    synchronized int rentalCount() {
      return rentals;
    }

    synchronized List<Worker> all() {
      return new ArrayList<>(workers.values());
    }

    private synchronized Answer handle(
        String method, String path, Map<String, String> query, JsonNode body) throws IOException {
      ObjectNode reply = CBOR.createObjectNode();
      if (path.equals("/flavors")) {
        ArrayNode list = reply.putArray("hosttypes");
        for (Flavor flavor : FLAVORS) {
          ObjectNode item = list.addObject();
          item.put("sku", flavor.name).put("cores", flavor.cpus).put("gpus", flavor.gpus);
          item.put("mem_gb", flavor.memory).put("cache_gb", flavor.cache);
          item.put("pull_gb_per_s", flavor.fetch).put("rate", flavor.price);
          item.put("spot_price", flavor.spot).put("ready_s", flavor.boot);
          MACHINE_ZONES.forEach(item.putArray("yards")::add);
        }
        return new Answer(200, reply);
      }
      if (path.equals("/hosts") && method.equals("POST")) {
        return rent(body);
      }
      if (path.equals("/hosts/return")) {
        for (JsonNode name : body.get("hosts")) {
          Worker worker = workers.remove(name.asText());
          if (worker != null) {
            worker.stop();
            log("cloud: %s was returned", name.asText());
          }
        }
        return new Answer(200, reply);
      }
      ArrayNode list = reply.putArray("hosts");
      String after = query.getOrDefault("after", "");
      for (Worker worker : workers.values()) {
        double age = now() - rentedAt.get(worker.name);
        if (worker.name.compareTo(after) > 0 && age > 10) {
          ObjectNode item = list.addObject().put("name_id", worker.name);
          item.put("endpoint", worker.address).put("hosttype", worker.flavor.name);
          item.put("yard", worker.zone).put("loaners", worker.spot);
          item.put("status", "running").put("age_s", age);
        }
      }
      return new Answer(200, reply.put("truncated", false));
    }

    private Answer rent(JsonNode body) throws IOException {
      String hire = body.get("hire").asText();
      rentals++;
      List<String> names = hires.get(hire);
      if (names == null) {
        names = new ArrayList<>();
        Flavor flavor =
            FLAVORS.stream().filter(f -> f.name.equals(body.get("hosttype").asText())).findFirst()
                .orElseThrow();
        for (int i = 0; i < body.get("count").asInt() && workers.size() < capacity; i++) {
          Worker worker =
              new Worker(
                  World.this,
                  "vm-%06d".formatted(nextName++),
                  flavor,
                  body.get("yard").asText(),
                  body.get("loaners").asBoolean());
          workers.put(worker.name, worker);
          rentedAt.put(worker.name, now());
          names.add(worker.name);
          worker.start(bootSeconds);
        }
        log("cloud: request %s -> %s", body, names);
        if (names.isEmpty()) {
          return new Answer(503, CBOR.createObjectNode().put("error", "no capacity"));
        }
        hires.put(hire, names);
      }
      ObjectNode reply = CBOR.createObjectNode();
      names.forEach(reply.putArray("hosts")::add);
      return new Answer(200, reply);
    }

    /** A spot machine is taken back, or a machine stops, with all that is on it. */
    synchronized void take(Worker worker) {
      workers.remove(worker.name);
      worker.stop();
      log("cloud: %s (%s, spot %s) is gone", worker.name, worker.zone, worker.spot);
    }
  }
}
