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
public final class HeartbeatMessages {
  private HeartbeatMessages() {}

  /** A worker's report. {@code noticeS} is null without a spot notice. */
  public record WorkerReport(
      MachineId machine,
      String endpoint,
      String type,
      String zone,
      boolean spot,
      long session,
      long sequence,
      Version token,
      Double noticeS,
      List<TaskReport> pieces) {
    /** Whether any task of the report may still be on the machine. */
    public boolean holdsTasks() {
      return pieces.stream().anyMatch(p -> p.state() != State.EXITED);
    }

    public boolean newerThan(long otherSession, long otherSequence) {
      return session > otherSession || (session == otherSession && sequence > otherSequence);
    }
  }

  /** One task as a worker sees it. {@code why} is null unless it has ended. */
  public record TaskReport(TaskId task, long attempt, State state, ExitCause why, boolean saved) {}

  /** A task's state on its machine. */
  public enum State {
    FETCHING,
    WAITING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task ended. */
  public enum ExitCause {
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
  public record Command(Verb verb, TaskId task, long attempt, double graceS) {
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
  private static final Map<String, ExitCause> WHYS =
      Map.of(
          "done",
          ExitCause.DONE,
          "halted",
          ExitCause.STOPPED,
          "mates_gone",
          ExitCause.PEERS_GONE,
          "incomplete",
          ExitCause.INCOMPLETE,
          "error",
          ExitCause.ERROR,
          "no_room",
          ExitCause.NO_ROOM,
          "in_use",
          ExitCause.BUSY,
          "unknown",
          ExitCause.UNKNOWN);

  /**
   * Sessions, reports, terms and attempts are far below this on any machine. A report with a
   * greater one is broken; believed, it would make all later reports of its machine look old, or
   * take terms to the end of their numbers.
   */
  private static final long MOST = 1L << 53;

  /**
   * Decodes a worker's heartbeat.
   *
   * @throws Malformed if a required field is missing or has the wrong type
   */
  public static WorkerReport report(JsonNode m) throws Malformed {
    List<TaskReport> pieces = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    JsonNode list = Cbor.present(m, "pieces");
    if (list != null && !list.isArray()) {
      throw new Malformed("pieces must be a list");
    }
    if (list != null) {
      for (JsonNode p : list) {
        TaskReport piece = piece(p);
        if (!seen.add(piece.task() + " " + piece.attempt())) {
          throw new Malformed("an attempt stands twice in the report");
        }
        pieces.add(piece);
      }
    }
    Double notice =
        Cbor.present(m, "warning_s") == null ? null : (Double) m.get("warning_s").asDouble();
    return new WorkerReport(
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

  private static TaskReport piece(JsonNode p) throws Malformed {
    TaskId task = TaskId.parse(Cbor.text(p, "piece"));
    State state = STATES.get(Cbor.text(p, "status"));
    if (task == null || state == null) {
      throw new Malformed("a task of the report is unclear");
    }
    ExitCause why =
        state == State.EXITED
            ? WHYS.getOrDefault(Cbor.textOr(p, "cause", "error"), ExitCause.ERROR)
            : null;
    JsonNode kept = Cbor.present(p, "kept");
    return new TaskReport(task, count(p, "try"), state, why, kept != null && kept.asBoolean());
  }

  /** Commands under a token; in an answer to a report this renews the worker's lease. */
  public static ObjectNode reply(Version token, List<Command> orders) {
    ObjectNode m = Cbor.map().put("baton", token.requireToken().value());
    var list = m.putArray("orders");
    for (Command o : orders) {
      var node = list.addObject();
      node.put(
          "verb",
          switch (o.verb()) {
            case LAUNCH -> "launch";
            case HALT -> "halt";
            case FORGET -> "forget";
          });
      node.put("piece", o.task().toString()).put("try", o.attempt());
      if (o.verb() == Command.Verb.HALT) {
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
