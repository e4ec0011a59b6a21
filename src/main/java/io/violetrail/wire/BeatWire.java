package io.violetrail.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.MachineId;
import io.violetrail.model.TaskId;
import io.violetrail.model.Version;
import io.violetrail.wire.Cbor.Malformed;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The workers' messages. */
public final class BeatWire {
  private BeatWire() {}

  /** A worker's report. {@code noticeS} is null without a spot notice. */
  public record Beat(
      MachineId machine,
      String endpoint,
      String type,
      String zone,
      boolean spot,
      long session,
      long seq,
      Version token,
      Double noticeS,
      List<Piece> pieces) {
    /** Whether any task of the report may still be on the machine. */
    public boolean holdsTasks() {
      return pieces.stream().anyMatch(p -> p.state() != State.EXITED);
    }

    public boolean newerThan(long otherSession, long otherSeq) {
      return session > otherSession || session == otherSession && seq > otherSeq;
    }
  }

  /** One task as a worker sees it. {@code why} is null unless it has ended. */
  public record Piece(TaskId task, long attempt, State state, Why why, boolean saved) {}

  /** A task's state on its machine. */
  public enum State {
    FETCHING,
    WAITING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task ended. */
  public enum Why {
    DONE,
    STOPPED,
    PEERS_GONE,
    INCOMPLETE,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN
  }

  /** A command. */
  public record Order(Verb verb, TaskId task, long attempt, double graceS) {
    /** What a worker can be told. */
    public enum Verb {
      LAUNCH,
      HALT,
      FORGET
    }
  }

  private static final Map<String, State> STATES =
      Map.of(
          "fetching",
          State.FETCHING,
          "gathering",
          State.WAITING,
          "running",
          State.RUNNING,
          "flushing",
          State.SAVING,
          "ended",
          State.EXITED);
  private static final Map<String, Why> WHYS =
      Map.of(
          "done",
          Why.DONE,
          "halted",
          Why.STOPPED,
          "mates_gone",
          Why.PEERS_GONE,
          "incomplete",
          Why.INCOMPLETE,
          "error",
          Why.ERROR,
          "no_room",
          Why.NO_ROOM,
          "in_use",
          Why.BUSY,
          "unknown",
          Why.UNKNOWN);

  /**
   * Sessions, reports, terms and attempts are far below this on any machine. A report with a
   * greater one is broken; believed, it would make all later reports of its machine look old, or
   * take terms to the end of their numbers.
   */
  private static final long MOST = 1L << 53;

  public static Beat beat(JsonNode m) throws Malformed {
    List<Piece> pieces = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    JsonNode list = Cbor.present(m, "pieces");
    if (list != null && !list.isArray()) {
      throw new Malformed("pieces must be a list");
    }
    if (list != null) {
      for (JsonNode p : list) {
        Piece piece = piece(p);
        if (!seen.add(piece.task() + " " + piece.attempt())) {
          throw new Malformed("an attempt stands twice in the report");
        }
        pieces.add(piece);
      }
    }
    Double notice =
        Cbor.present(m, "warning_s") == null ? null : (Double) m.get("warning_s").asDouble();
    return new Beat(
        new MachineId(Cbor.text(m, "host")),
        Cbor.textOr(m, "endpoint", ""),
        Cbor.text(m, "hosttype"),
        Cbor.text(m, "yard"),
        Cbor.flag(m, "loaners"),
        session(m),
        count(m, "tick"),
        Cbor.present(m, "baton") == null ? Version.NONE : new Version(count(m, "baton")),
        notice,
        pieces);
  }

  /** Sessions start at 1: 0 stands for "not heard of yet" wherever a session is kept. */
  private static long session(JsonNode m) throws Malformed {
    long session = count(m, "tenure");
    if (session == 0) {
      throw new Malformed("tenure starts at 1");
    }
    return session;
  }

  private static long count(JsonNode m, String field) throws Malformed {
    long value = Cbor.count(m, field);
    if (value > MOST) {
      throw new Malformed(field + " is out of range");
    }
    return value;
  }

  private static Piece piece(JsonNode p) throws Malformed {
    TaskId task = TaskId.parse(Cbor.text(p, "piece"));
    State state = STATES.get(Cbor.text(p, "status"));
    if (task == null || state == null) {
      throw new Malformed("a task of the report is unclear");
    }
    Why why =
        state == State.EXITED
            ? WHYS.getOrDefault(Cbor.textOr(p, "cause", "error"), Why.ERROR)
            : null;
    JsonNode kept = Cbor.present(p, "kept");
    return new Piece(task, count(p, "try"), state, why, kept != null && kept.asBoolean());
  }

  /** Commands under a token; in an answer to a report this renews the worker's lease. */
  public static ObjectNode reply(Version token, List<Order> orders) {
    ObjectNode m = Cbor.map().put("baton", token.requireToken().value());
    var list = m.putArray("orders");
    for (Order o : orders) {
      var node = list.addObject();
      node.put(
          "verb",
          switch (o.verb()) {
            case LAUNCH -> "launch";
            case HALT -> "halt";
            case FORGET -> "forget";
          });
      node.put("piece", o.task().toString()).put("try", o.attempt());
      if (o.verb() == Order.Verb.HALT) {
        node.put("wind_down_s", o.graceS());
      }
    }
    return m;
  }

  /**
   * An answer that renews nothing: its token is lower than any that a worker has been given. Left
   * out, the token was read as 0 by some workers, and 0 had been given out.
   *
   * <p>A worker that has seen no token at all takes it, so it is not for one that has tasks.
   */
  public static ObjectNode stay() {
    ObjectNode m = Cbor.map().put("baton", Version.NONE.value());
    m.putArray("orders");
    return m;
  }

  /** Tells a worker to report elsewhere; {@code owner} may be null. */
  public static ObjectNode elsewhere(String owner) {
    ObjectNode m = Cbor.map();
    return owner == null ? m : m.put("master", owner);
  }
}
