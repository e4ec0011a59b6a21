package io.violetrail.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.MachineId;
import io.violetrail.model.TaskId;
import io.violetrail.model.Version;
import io.violetrail.wire.Cbor.MalformedMessageException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The workers' messages. */
public final class HeartbeatMessages {
  /** Where a controller takes heartbeats. */
  public static final String HEARTBEAT_PATH = "/agent/beat";

  /** Where a worker takes direct commands. */
  public static final String COMMANDS_PATH = "/orders";

  /** Where a worker tells its status. */
  public static final String STATUS_PATH = "/status";

  private HeartbeatMessages() {}

  /** A worker's report. {@code spotNoticeSeconds} is null without a spot notice. */
  public record WorkerReport(
      MachineId machineId,
      String endpoint,
      String machineType,
      String zone,
      boolean spot,
      long session,
      long sequence,
      Version fencingToken,
      Double spotNoticeSeconds,
      List<TaskReport> tasks) {
    /** Whether any task of the report may still be on the machine. */
    public boolean holdsTasks() {
      return tasks.stream().anyMatch(p -> p.state() != TaskState.EXITED);
    }

    /** Whether the worker sent this report after the one with the given numbers. */
    public boolean isNewerThan(long otherSession, long otherSequence) {
      return session > otherSession || (session == otherSession && sequence > otherSequence);
    }
  }

  /** One task as a worker sees it. {@code exitCause} is null unless it has ended. */
  public record TaskReport(
      TaskId taskId, long attempt, TaskState state, ExitCause exitCause, boolean checkpointSaved) {}

  /** A task's state on its machine. */
  public enum TaskState {
    /** Waits for its image. */
    FETCHING,
    /** Waits for the other tasks of its gang's attempt. */
    WAITING_FOR_GANG,
    /** Runs, or is being stopped with its gang. */
    RUNNING,
    /** Was told to stop and saves its progress. */
    CHECKPOINTING,
    /** Has ended; see its exit cause. */
    EXITED
  }

  /** Why a task ended. */
  public enum ExitCause {
    /** Completed. */
    DONE,
    /** Stopped by command. */
    STOPPED,
    /** Another task of its gang is gone. */
    GANG_MEMBER_LOST,
    /** Its gang was not complete in time. */
    GANG_INCOMPLETE,
    /** Failed; mostly the machine is faulty. */
    ERROR,
    /** The machine refused the start: not enough is free. */
    INSUFFICIENT_RESOURCES,
    /** The machine refused the start: another attempt of the task is there. */
    BUSY,
    /** The machine refused the start: the job is not known to it. */
    UNKNOWN
  }

  /** A command. */
  public record WorkerCommand(CommandType type, TaskId taskId, long attempt, double graceSeconds) {
    /** What a worker can be told. */
    public enum CommandType {
      /** Start an attempt of a task; without effect if the worker has it already. */
      LAUNCH,
      /** Stop an attempt, with time to save a checkpoint. */
      STOP,
      /** Remove an exited attempt from the reports. */
      FORGET
    }
  }

  private static final Map<String, TaskState> STATES =
      Map.of(
          "fetching",
          TaskState.FETCHING,
          "gathering",
          TaskState.WAITING_FOR_GANG,
          "running",
          TaskState.RUNNING,
          "flushing",
          TaskState.CHECKPOINTING,
          "ended",
          TaskState.EXITED);
  private static final Map<String, ExitCause> EXIT_CAUSES =
      Map.of(
          "done",
          ExitCause.DONE,
          "halted",
          ExitCause.STOPPED,
          "mates_gone",
          ExitCause.GANG_MEMBER_LOST,
          "incomplete",
          ExitCause.GANG_INCOMPLETE,
          "error",
          ExitCause.ERROR,
          "no_room",
          ExitCause.INSUFFICIENT_RESOURCES,
          "in_use",
          ExitCause.BUSY,
          "unknown",
          ExitCause.UNKNOWN);

  /**
   * Sessions, reports, terms and attempts are far below this on any machine. A report with a
   * greater one is broken; believed, it would make all later reports of its machine look old, or
   * take terms to the end of their numbers.
   */
  private static final long MAX_COUNTER = 1L << 53;

  /**
   * Decodes a worker's heartbeat.
   *
   * @throws MalformedMessageException if a required field is missing or has the wrong type
   */
  public static WorkerReport parseReport(JsonNode message) throws MalformedMessageException {
    List<TaskReport> tasks = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    JsonNode list = Cbor.findPresent(message, "pieces");
    if (list != null && !list.isArray()) {
      throw new MalformedMessageException("pieces must be a list");
    }
    if (list != null) {
      for (JsonNode taskMessage : list) {
        TaskReport taskReport = parseTaskReport(taskMessage);
        if (!seen.add(taskReport.taskId() + " " + taskReport.attempt())) {
          throw new MalformedMessageException("an attempt stands twice in the report");
        }
        tasks.add(taskReport);
      }
    }
    Double spotNoticeSeconds =
        Cbor.findPresent(message, "warning_s") == null
            ? null
            : (Double) message.get("warning_s").asDouble();
    return new WorkerReport(
        new MachineId(Cbor.readText(message, "host")),
        Cbor.readTextOrDefault(message, "endpoint", ""),
        Cbor.readText(message, "hosttype"),
        Cbor.readText(message, "yard"),
        Cbor.readFlag(message, "loaners"),
        parseSession(message),
        parseCounter(message, "tick"),
        Cbor.findPresent(message, "baton") == null
            ? Version.NONE
            : new Version(parseCounter(message, "baton")),
        spotNoticeSeconds,
        tasks);
  }

  /** Sessions start at 1: 0 stands for "not heard of yet" wherever a session is kept. */
  private static long parseSession(JsonNode message) throws MalformedMessageException {
    long session = parseCounter(message, "tenure");
    if (session == 0) {
      throw new MalformedMessageException("tenure starts at 1");
    }
    return session;
  }

  private static long parseCounter(JsonNode message, String field)
      throws MalformedMessageException {
    long value = Cbor.readCount(message, field);
    if (value > MAX_COUNTER) {
      throw new MalformedMessageException(field + " is out of range");
    }
    return value;
  }

  private static TaskReport parseTaskReport(JsonNode message) throws MalformedMessageException {
    TaskId taskId = TaskId.parse(Cbor.readText(message, "piece"));
    TaskState state = STATES.get(Cbor.readText(message, "status"));
    if (taskId == null || state == null) {
      throw new MalformedMessageException("a task of the report is unclear");
    }
    ExitCause exitCause =
        state == TaskState.EXITED
            ? EXIT_CAUSES.getOrDefault(
                Cbor.readTextOrDefault(message, "cause", "error"), ExitCause.ERROR)
            : null;
    JsonNode kept = Cbor.findPresent(message, "kept");
    return new TaskReport(
        taskId, parseCounter(message, "try"), state, exitCause, kept != null && kept.asBoolean());
  }

  /** Commands under a token; in an answer to a report this renews the worker's lease. */
  public static ObjectNode commandReply(Version fencingToken, List<WorkerCommand> commands) {
    ObjectNode message = Cbor.newMap().put("baton", fencingToken.requireFencingToken().value());
    var list = message.putArray("orders");
    for (WorkerCommand command : commands) {
      var node = list.addObject();
      node.put(
          "verb",
          switch (command.type()) {
            case LAUNCH -> "launch";
            case STOP -> "halt";
            case FORGET -> "forget";
          });
      node.put("piece", command.taskId().toString()).put("try", command.attempt());
      if (command.type() == WorkerCommand.CommandType.STOP) {
        node.put("wind_down_s", command.graceSeconds());
      }
    }
    return message;
  }

  /**
   * Commands sent straight to a worker. They renew no lease, and are carried out in that session of
   * the worker only.
   */
  public static ObjectNode directCommands(
      Version fencingToken, long session, List<WorkerCommand> commands) {
    return commandReply(fencingToken, commands).put("tenure", session);
  }

  /**
   * An answer that renews nothing: its token is lower than any that a worker has been given. Left
   * out, the token was read as 0 by some workers, and 0 had been given out.
   *
   * <p>A worker that has seen no token at all takes it, so it is not for one that has tasks.
   */
  public static ObjectNode nonRenewingReply() {
    ObjectNode message = Cbor.newMap().put("baton", Version.NONE.value());
    message.putArray("orders");
    return message;
  }

  /** Tells a worker to report elsewhere; {@code owner} may be null. */
  public static ObjectNode redirectReply(String owner) {
    ObjectNode message = Cbor.newMap();
    return owner == null ? message : message.put("master", owner);
  }
}
