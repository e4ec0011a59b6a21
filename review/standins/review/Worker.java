package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A worker as PROTOCOL describes it. Its tasks are entries in a map with an end time. */
final class Worker {
  private static final double REPLY_TIMEOUT = 4;
  private static final double FETCH_SECONDS = 0.3;
  private static final double FAILS_AFTER_SECONDS = 1;

  static final class Task {
    String piece;
    long attempt;
    String status;
    String cause;
    double startsAt;
    double endsAt;
    boolean fails;

  }

  /** A report as it was sent. */
  record SentReport(double at, long tick, long token, byte[] body, List<String> running) {}

  final String id;
  final String type;
  final String zone;
  final boolean spot;
  final int port;
  private final World world;
  private final HttpServer server;
  private final HttpClient client = Kit.newClient();
  private final Map<String, Integer> failuresByJob = new HashMap<>();
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final List<SentReport> sentReports = new ArrayList<>();
  private boolean up = true;
  private long session = 1;
  private long tick;
  private long token;
  private double leaseFrom = Kit.now();
  private double lastSentAt = -100;
  private double nextReportAt = Kit.now();
  private double interval;
  private boolean changed;
  private boolean faulty;
  private int controller;
  private double tokenChangeReportedAt = -100;

  Worker(World world, String id, String type, String zone, boolean spot, int firstController)
      throws IOException {
    this.world = world;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.controller = firstController;
    this.interval = world.reportSeconds;
    this.port = Kit.freePort();
    this.server = Kit.serve(port, this::serveCommands);
    Thread thread = new Thread(this::run, id);
    thread.setDaemon(true);
    thread.start();
  }

  /** Sets the report interval; the protocol allows a quarter more or less than report_s. */
  synchronized void setInterval(double seconds) {
    interval =
        Math.max(0.75 * world.reportSeconds, Math.min(1.25 * world.reportSeconds, seconds));
  }

  synchronized List<SentReport> sentReports() {
    return List.copyOf(sentReports);
  }

  synchronized double lastSentAt() {
    return lastSentAt;
  }

  synchronized int controller() {
    return controller;
  }

  synchronized long token() {
    return token;
  }

  /** Whether this machine is faulty: every task that it starts fails soon. */
  synchronized void setFaulty(boolean nowFaulty) {
    faulty = nowFaulty;
    Kit.log("%s: %s", id, faulty ? "fails every task that it starts" : "is sound again");
  }

  /** Returns how many tasks of a job have failed here. */
  synchronized int failures(String job) {
    return failuresByJob.getOrDefault(job, 0);
  }

  synchronized double freeCores() {
    return up ? world.coresOfType(type) - usedCores() : 0;
  }

  private double usedCores() {
    double used = 0;
    for (Task task : tasks.values()) {
      used += task.status.equals("ended") ? 0 : world.coresOf(task.piece);
    }
    return used;
  }

  /** Lets the running tasks of a job end at the given time. */
  synchronized void endAt(String job, double at) {
    for (Task task : tasks.values()) {
      if (task.piece.startsWith(job + "/")) {
        task.endsAt = at;
      }
    }
  }

  synchronized void destroy() {
    if (up) {
      up = false;
      dropTasks();
      server.stop(0);
    }
  }

  private void dropTasks() {
    tasks.values().forEach(task -> world.ended(this, task));
    tasks.clear();
  }

  private void run() {
    while (true) {
      boolean due;
      synchronized (this) {
        if (!up) {
          return;
        }
        expireLease();
        advanceTasks();
        double now = Kit.now();
        due = now >= nextReportAt || (changed && now >= lastSentAt + 0.5 && !retrying);
      }
      if (due) {
        report();
      }
      Kit.sleep(0.01);
    }
  }

  /** Whether the next report is one to the next controller, a second after a failed one. */
  private boolean retrying;

  private void expireLease() {
    if (up && Kit.now() - leaseFrom > world.leaseSeconds) {
      Kit.log("%s: lease of session %d is over, %d tasks end", id, session, tasks.size());
      dropTasks();
      session++;
      leaseFrom = Kit.now();
      changed = true;
    }
  }

  private void advanceTasks() {
    double now = Kit.now();
    for (Task task : tasks.values()) {
      if (task.status.equals("fetching") && now >= task.startsAt) {
        task.status = "running";
        task.fails = faulty;
        task.endsAt = now + (faulty ? FAILS_AFTER_SECONDS : world.durationOf(task.piece));
        changed = true;
        world.started(this, task);
      } else if (task.status.equals("running") && now >= task.endsAt) {
        end(task, task.fails ? "error" : "done");
      }
    }
  }

  private void end(Task task, String cause) {
    task.status = "ended";
    task.cause = cause;
    changed = true;
    if (cause.equals("error")) {
      failuresByJob.merge(task.piece.substring(0, task.piece.indexOf('/')), 1, Integer::sum);
    }
    Kit.log("%s: %s try %d ends: %s", id, task.piece, task.attempt, cause);
    world.ended(this, task);
  }

  private ObjectNode reportMessage() {
    ObjectNode message =
        Kit.map().put("host", id).put("endpoint", Kit.HOST + ":" + port).put("hosttype", type);
    message.put("yard", zone).put("loaners", spot);
    message.put("tenure", session).put("tick", ++tick).put("baton", token);
    message.putNull("warning_s");
    ArrayNode pieces = message.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode node = pieces.addObject().put("piece", task.piece).put("try", task.attempt);
      node.put("status", task.status);
      if (task.cause != null) {
        node.put("cause", task.cause);
      }
    }
    return message;
  }

  private void report() {
    byte[] body;
    int target;
    long sentSession;
    double sentAt;
    synchronized (this) {
      changed = false;
      retrying = false;
      ObjectNode message = reportMessage();
      body = Kit.encode(message);
      target = controller;
      sentSession = session;
      sentAt = Kit.now();
      lastSentAt = sentAt;
      nextReportAt = sentAt + interval;
      List<String> running = new ArrayList<>();
      tasks.values().stream()
          .filter(task -> task.status.equals("running"))
          .forEach(task -> running.add(task.piece));
      sentReports.add(new SentReport(sentAt, tick, token, body, running));
      Kit.log(
          "%s -> %s report %d.%d baton %d %s",
          id, world.label(target), session, tick, token, message.get("pieces"));
    }
    Kit.Reply reply = null;
    if (world.isCutFromWorkers(target)) {
      Kit.sleep(REPLY_TIMEOUT);
    } else {
      try {
        reply =
            Kit.call(
                client, "POST", world.apiAddress(target), "/agent/beat", body, REPLY_TIMEOUT);
        if (world.isCutFromWorkers(target)) {
          reply = null;
        }
      } catch (IOException e) {
        reply = null;
      } catch (InterruptedException e) {
        return;
      }
    }
    synchronized (this) {
      if (up) {
        handleReply(reply, target, sentSession, sentAt);
      }
    }
  }

  private void handleReply(Kit.Reply reply, int target, long sentSession, double sentAt) {
    ObjectNode message = reply == null ? Kit.map() : reply.json();
    Kit.log(
        "%s <- %s %s %s",
        id, world.label(target), reply == null ? "no response" : reply.status(), message);
    if (reply != null && reply.status() == 200) {
      applyCommands(message, sentSession, sentAt);
      return;
    }
    int named = reply == null ? -1 : world.indexOf(message.path("master").asText(""));
    if (reply != null && reply.status() == 421 && named >= 0 && named != target) {
      controller = named;
      nextReportAt = Kit.now();
      retrying = true;
      return;
    }
    controller = (target + 1) % world.controllerCount();
    nextReportAt = Kit.now() + 1;
    retrying = true;
  }

  private void applyCommands(ObjectNode message, long sentSession, double sentAt) {
    expireLease();
    boolean valid =
        message.hasNonNull("baton")
            && message.get("baton").asLong() >= token
            && sentSession == session
            && Kit.now() - sentAt < REPLY_TIMEOUT;
    if (!valid) {
      return;
    }
    raiseToken(message.get("baton").asLong());
    leaseFrom = sentAt;
    message.path("orders").forEach(this::execute);
  }

  private void raiseToken(long newToken) {
    if (newToken > token) {
      token = newToken;
      if (Kit.now() - tokenChangeReportedAt > world.leaseSeconds / 2) {
        tokenChangeReportedAt = Kit.now();
        changed = true;
      }
    }
  }

  private void execute(JsonNode order) {
    String piece = order.path("piece").asText();
    long attempt = order.path("try").asLong();
    Task task = tasks.get(piece);
    switch (order.path("verb").asText()) {
      case "launch" -> launch(piece, attempt, task);
      case "halt" -> {
        if (task != null && task.attempt == attempt && !task.status.equals("ended")) {
          end(task, "halted");
        }
      }
      default -> {
        if (task != null && task.attempt == attempt && task.status.equals("ended")) {
          tasks.remove(piece);
          changed = true;
        }
      }
    }
  }

  private void launch(String piece, long attempt, Task task) {
    if (task != null && task.attempt == attempt) {
      return;
    }
    if (task != null && !task.status.equals("ended")) {
      Kit.log("%s: launch of %s try %d refused: in_use", id, piece, attempt);
      return;
    }
    Task launched = new Task();
    launched.piece = piece;
    launched.attempt = attempt;
    launched.status = "fetching";
    launched.startsAt = Kit.now() + FETCH_SECONDS;
    if (usedCores() + world.coresOf(piece) > world.coresOfType(type) + 1e-6) {
      launched.status = "ended";
      launched.cause = "no_room";
      Kit.log("%s: launch of %s try %d refused: no_room", id, piece, attempt);
    } else {
      Kit.log("%s: launch of %s try %d", id, piece, attempt);
    }
    tasks.put(piece, launched);
    changed = true;
  }

  private Kit.Reply serveCommands(String method, String path, String query, byte[] body)
      throws Exception {
    if (path.equals("/status")) {
      if (world.statusRequestsAreLost()) {
        Kit.sleep(5);
        return null;
      }
      synchronized (this) {
        return Kit.ok(reportMessage());
      }
    }
    ObjectNode message = Kit.decode(body);
    long baton = message.path("baton").asLong();
    if (world.isCutFromWorkers((int) (baton % 10))) {
      Kit.sleep(5);
      return null;
    }
    synchronized (this) {
      expireLease();
      boolean matches = baton >= token && message.path("tenure").asLong() == session;
      Kit.log("%s: direct orders %s: %s", id, message, matches ? "executed" : "refused");
      if (matches) {
        raiseToken(baton);
        message.path("orders").forEach(this::execute);
      }
      return new Kit.Reply(matches ? 200 : 409, Kit.encode(reportMessage()));
    }
  }
}
