package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.model.Amounts;
import io.violetrail.net.Http;
import io.violetrail.net.Service;
import io.violetrail.wire.Cbor;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** A worker by its protocol. It checks on every start that no other worker has the task. */
public final class FakeWorker {
  private static final double ANSWER_S = 4;

  /** Addresses of controllers that a worker knows at least, of which some may not be there. */
  private static final int LEAST_KNOWN = 3;

  /** Reports are no closer together than this. */
  private static final double CLOSEST_S = 0.5;

  /** Before the next controller is tried after one that did not take a report. */
  private static final double NEXT_NODE_S = 1;

  private static final Exception LOST = new IOException("lost");

  private static final class Piece {
    String task;
    long attempt;
    String status;
    String cause;
    double ends;

    /** A task is on its machine from the moment that it has its image until it ends. */
    boolean isHere() {
      return !status.equals("ended") && !status.equals("fetching");
    }
  }

  private void put(Piece p) {
    Piece former = pieces.put(p.task, p);
    if (former != null && former.isHere()) {
      world.checker.departed(this, p.task);
    }
    if (p.isHere()) {
      world.checker.arrived(this, p.task);
    }
  }

  private void become(Piece p, String status) {
    boolean before = p.isHere();
    p.status = status;
    if (before && !p.isHere()) {
      world.checker.departed(this, p.task);
    } else if (!before && p.isHere()) {
      world.checker.arrived(this, p.task);
    }
  }

  private void clear() {
    List<Piece> all = List.copyOf(pieces.values());
    pieces.clear();
    for (Piece p : all) {
      if (p.isHere()) {
        world.checker.departed(this, p.task);
      }
    }
  }

  public final String id;
  private final World world;
  final String type;
  final String zone;
  public final boolean spot;
  private final Amounts size;
  private final Map<String, Piece> pieces = new LinkedHashMap<>();
  public final Map<String, Double> runs = new LinkedHashMap<>();
  public double runS = 20;

  /** How long it fetches an image before a task starts; it reports the task as fetching. */
  public double fetchS;

  public boolean faulty;

  /** Its reports arrive; answers and direct commands are lost. */
  public boolean deaf;

  /** It reaches no controller; direct commands reach it. */
  public boolean outboundCut;

  /** It stands still until then: nothing runs there, and what arrives waits. */
  private double hangsUntil;

  private double reportedS = Double.NEGATIVE_INFINITY;

  /** A report of a change is to be sent in a moment, */
  private boolean reportDue;

  /** or once the one in flight is answered. */
  private boolean changedInFlight;

  /** Whether reports are kept for {@link #repeat}; not where there are very many. */
  public boolean keepsReports = true;

  /** Every report so far, to be sent again by {@link #repeat}. */
  private final List<byte[]> reports = new ArrayList<>();

  public Double noticeS;
  public int launches;

  /** Launches that were sent to it and that it did not hear. */
  public int unheard;

  private HostPort address;
  private String node;
  private int at;
  private long session = 1;
  private long seq;
  private long token;
  private double answered;
  private boolean up;
  private boolean inFlight;

  FakeWorker(World world, String id, String type, String zone, boolean spot, Amounts size) {
    this.world = world;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.size = size;
    this.address = new HostPort(id, 9000);
  }

  /** What its tasks leave free, by what the jobs say that each takes. */
  Amounts free(Function<String, Amounts> takes) {
    Amounts left = size;
    for (Piece p : pieces.values()) {
      left = p.status.equals("ended") ? left : left.minus(takes.apply(p.task));
    }
    return left;
  }

  HostPort address() {
    return address;
  }

  /** Where it serves, if that is not at its own name. */
  public void servesAt(HostPort at) {
    address = at;
  }

  /** What can be asked of the worker itself. */
  public Service service() {
    return (method, path, body, done) -> {
      if (up && world.now() < hangsUntil) {
        world.at(hangsUntil - world.now(), () -> service().handle(method, path, body, done));
      } else if (up && deaf) {
        return;
      } else if (up && path.equals("/status")) {
        done.accept(Service.Answer.of(200, Cbor.map()));
      } else if (up && path.equals("/orders")) {
        done.accept(Service.Answer.empty(ordered(body) ? 200 : 409));
      }
    };
  }

  private boolean ordered(byte[] body) {
    try {
      ObjectNode m = Cbor.parse(body);
      if (m.get("baton").asLong() < token || m.get("tenure").asLong() != session) {
        return false;
      }
      m.get("orders").forEach(this::execute);
      return true;
    } catch (Cbor.Malformed e) {
      throw new IllegalStateException(e);
    }
  }

  /** Stands still for so long; its lease runs on. */
  public void hang(double seconds) {
    hangsUntil = world.now() + seconds;
    pieces.values().forEach(p -> p.ends += seconds);
  }

  /** Whether new work could run here now, as far as the machine itself is concerned. */
  boolean able() {
    return up && !outboundCut && !deaf && !faulty && noticeS == null && world.now() >= hangsUntil;
  }

  void boot() {
    up = true;
    answered = world.now();
    at = world.random.nextInt(Math.max(LEAST_KNOWN, world.controllers()));
    beat();
    every();
  }

  /** It is gone at once, with all that is on it. */
  public void destroy() {
    up = false;
    clear();
  }

  public boolean has(String task) {
    Piece p = pieces.get(task);
    return p != null && p.isHere();
  }

  /** The tasks that are on it. */
  Set<String> tasks() {
    expire();
    return pieces.values().stream()
        .filter(Piece::isHere)
        .map(p -> p.task)
        .collect(Collectors.toSet());
  }

  /** A copy of an earlier report arrives at a controller; its answer is nobody's. */
  public void repeat(int report, String at) {
    world.ask(id, at, "POST", "/agent/beat", reports.get(report));
  }

  public int reportsSent() {
    return reports.size();
  }

  /** How often its lease has ended. */
  public long sessionsLost() {
    return session - 1;
  }

  public String zone() {
    return zone;
  }

  public String node() {
    return node;
  }

  /** Whether it has had a report answered with a term. */
  public boolean hasOwner() {
    return token > 0 && node != null;
  }

  public int active() {
    return (int) pieces.values().stream().filter(p -> !p.status.equals("ended")).count();
  }

  private void every() {
    world.at(
        world.workers.reportS(),
        () -> {
          if (up) {
            if (world.now() >= hangsUntil) {
              tick();
            }
            every();
          }
        });
  }

  private void tick() {
    finish();
    if (!inFlight) {
      beat();
    }
  }

  /** Tasks whose time is over end. */
  private void finish() {
    expire();
    for (Piece p : pieces.values()) {
      boolean fails = faulty || world.mistaken.contains(p.task.substring(0, p.task.indexOf('/')));
      if (p.status.equals("running") && (fails || world.now() >= p.ends)) {
        become(p, "ended");
        p.cause = fails ? "error" : "done";
        if (!fails) {
          world.checker.done(p.task);
        }
      }
    }
  }

  /** Something has changed that it is to report, at once or as soon as it may. */
  private void changed() {
    if (!world.reportsOnChange || reportDue) {
      return;
    }
    reportDue = true;
    world.at(
        Math.max(0, reportedS + CLOSEST_S - world.now()),
        () -> {
          reportDue = false;
          if (up && inFlight) {
            changedInFlight = true;
          } else if (up && world.now() >= hangsUntil) {
            beat();
          }
        });
  }

  /** It has seen no higher token than this one. */
  void highestToken(long highest) {
    token = highest;
  }

  /** For tests of the checker: somebody has renewed its lease. */
  void answered(double at) {
    answered = at;
  }

  /** It has a task, whatever it was told. */
  public void given(String task) {
    Piece p = new Piece();
    p.task = task;
    p.status = "running";
    p.ends = Double.POSITIVE_INFINITY;
    put(p);
  }

  /** Its lease has run out: it drops all of its tasks and begins its next session. */
  void expire() {
    if (up && world.now() - answered > world.workers.leaseS()) {
      session++;
      clear();
      answered = world.now();
    }
  }

  private void beat() {
    if (!world.served()) {
      return;
    }
    expire();
    String target =
        node != null ? node : World.name(at++ % Math.max(LEAST_KNOWN, world.controllers()));
    ObjectNode m =
        Cbor.map().put("host", id).put("hosttype", type).put("yard", zone).put("loaners", spot);
    m.put("endpoint", address().host() + ":" + address().port());
    m.put("tenure", session).put("tick", ++seq).put("baton", token).put("warning_s", noticeS);
    var list = m.putArray("pieces");
    for (Piece p : pieces.values()) {
      list.addObject()
          .put("piece", p.task)
          .put("try", p.attempt)
          .put("status", p.status)
          .put("cause", p.cause);
    }
    double sent = world.now();
    long inSession = session;
    inFlight = true;
    byte[] report = Cbor.bytes(m);
    reportedS = sent;
    if (keepsReports) {
      reports.add(report);
    }
    if (outboundCut) {
      world.at(ANSWER_S, () -> answered(null, LOST, target, sent, inSession));
      return;
    }
    world
        .ask(id, target, "POST", "/agent/beat", report)
        .whenComplete(
            (r, failure) -> {
              if (deaf && failure == null) {
                unheard += launches(r);
                world.at(ANSWER_S, () -> answered(null, LOST, target, sent, inSession));
              } else {
                answered(r, failure, target, sent, inSession);
              }
            });
  }

  /** Its image is there, so the task starts unless it was stopped meanwhile. */
  private void fetched(Piece p) {
    if (pieces.get(p.task) != p || !p.status.equals("fetching")) {
      return;
    }
    world.checker.starts(this, p.task);
    become(p, "running");
    p.ends = world.now() + runs.getOrDefault(p.task, world.runS.applyAsDouble(runS));
    launches++;
    world.started(p.task, id);
    changed();
    if (world.reportsOnChange) {
      world.at(
          p.ends - world.now(),
          () -> {
            if (up && world.now() >= hangsUntil) {
              finish();
              changed();
            }
          });
    }
  }

  private static int launches(Http.Reply r) {
    return r.body() == null
        ? 0
        : new String(r.body(), StandardCharsets.ISO_8859_1).split("launch", -1).length - 1;
  }

  private void answered(
      Http.Reply r, Throwable failure, String target, double sent, long inSession) {
    if (up && world.now() < hangsUntil) {
      world.at(hangsUntil - world.now(), () -> answered(r, failure, target, sent, inSession));
      return;
    }
    inFlight = false;
    if (up) {
      answer(r, failure, target, sent, inSession);
    }
    if (changedInFlight) {
      changedInFlight = false;
      changed();
    }
  }

  private void answer(Http.Reply r, Throwable failure, String target, double sent, long inSession) {
    try {
      if (failure == null && r.status() == 421) {
        String master = Cbor.parse(r.body()).path("master").asText("");
        node = master.isEmpty() || master.equals(target) ? null : master;
        if (node != null) {
          beat();
        } else {
          triesNext(target);
        }
      } else if (failure != null || r.status() != 200) {
        node = null;
        triesNext(target);
      } else {
        node = target;
        ObjectNode m = Cbor.parse(r.body());
        if (world.absentToken.tokenOf(m) >= token
            && inSession == session
            && world.now() - sent < ANSWER_S) {
          token = world.absentToken.tokenOf(m);
          answered = sent;
          m.path("orders").forEach(this::execute);
        }
      }
    } catch (Cbor.Malformed e) {
      throw new IllegalStateException(e);
    }
  }

  /** A worker whose report was not taken goes on soon, to the node after the one it has tried. */
  private void triesNext(String tried) {
    at = World.index(tried) + 1;
    world.at(
        NEXT_NODE_S,
        () -> {
          if (up && !inFlight && world.now() >= hangsUntil) {
            beat();
          }
        });
  }

  void execute(JsonNode order) {
    String task = order.get("piece").asText();
    Piece p = pieces.get(task);
    switch (order.get("verb").asText()) {
      case "launch" -> {
        if (p != null && p.attempt == order.get("try").asLong()) {
          return;
        }
        Piece n = new Piece();
        n.task = task;
        n.attempt = order.get("try").asLong();
        n.status = "fetching";
        put(n);
        if (fetchS > 0) {
          world.at(fetchS, () -> fetched(n));
        } else {
          fetched(n);
        }
      }
      case "halt" -> {
        boolean same = p != null && p.attempt == order.get("try").asLong();
        if (same && !p.status.equals("ended")) {
          become(p, "ended");
          p.cause = "halted";
        }
      }
      default -> {
        if (p != null && p.status.equals("ended") && p.attempt == order.get("try").asLong()) {
          pieces.remove(task);
        }
      }
    }
  }
}
