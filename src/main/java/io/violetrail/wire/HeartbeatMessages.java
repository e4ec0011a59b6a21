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
import java.util.TreeSet;

/** Encodes and decodes the messages exchanged with the workers. */
public final class HeartbeatMessages {
  /** The path on which a controller receives heartbeats. */
  public static final String HEARTBEAT_PATH = "/agent/beat";

  /** The path on which a worker receives direct commands. */
  public static final String COMMANDS_PATH = "/orders";

  /** The path on which a worker returns its status. */
  public static final String STATUS_PATH = "/status";

  private HeartbeatMessages() {}

  /**
   * A worker's heartbeat.
   *
   * @param endpoint the address at which the worker receives direct commands; may be empty
   * @param session number of the worker's session; the first one is 1
   * @param sequence number of this report within the session
   * @param fencingToken the highest token that the worker has seen; {@link Version#NONE} if it has
   *     seen none
   * @param preemptionNoticeSeconds seconds until the provider preempts the machine; null without a
   *     notice
   */
  public record WorkerReport(
      MachineId machineId,
      String endpoint,
      String machineType,
      String zone,
      boolean spot,
      long session,
      long sequence,
      Version fencingToken,
      Double preemptionNoticeSeconds,
      List<TaskReport> tasks) {
    /** Returns whether any task of this report has not exited, so may still be on the machine. */
    public boolean holdsTasks() {
      return tasks.stream().anyMatch(task -> task.state() != TaskState.EXITED);
    }

    /** Returns whether the worker sent this report after the one with the given numbers. */
    public boolean isNewerThan(long otherSession, long otherSequence) {
      return session > otherSession || (session == otherSession && sequence > otherSequence);
    }
  }

  /** The state of one task on a worker. {@code exitCause} is null unless the task has exited. */
  public record TaskReport(
      TaskId taskId, long attempt, TaskState state, ExitCause exitCause, boolean checkpointSaved) {}

  /** A task's state on its machine. */
  public enum TaskState {
    /** Waits for its image to be fetched. */
    FETCHING,
    /** Waits for the other tasks of its gang's attempt. */
    WAITING_FOR_GANG,
    /** Runs, or is being stopped together with its gang. */
    RUNNING,
    /** Saves a checkpoint after a command to stop. */
    CHECKPOINTING,
    /** Has exited, for the reason given by its {@link ExitCause}. */
    EXITED
  }

  /** Why a task exited. */
  public enum ExitCause {
    /** The task completed. */
    DONE,
    /** The task was stopped by a command. */
    STOPPED,
    /** Another task of the same gang was lost. */
    GANG_MEMBER_LOST,
    /** The task's gang was not complete within the gang start timeout. */
    GANG_INCOMPLETE,
    /** The task failed; in most cases the cause is a faulty machine. */
    ERROR,
    /** The worker refused the launch because the machine lacks free resources. */
    INSUFFICIENT_RESOURCES,
    /** The worker refused the launch because it has another attempt of the same task. */
    BUSY,
    /** The worker refused the launch because it does not know the job. */
    UNKNOWN
  }

  /**
   * A command to a worker.
   *
   * @param graceSeconds time to save a checkpoint; sent with {@link CommandType#STOP} only
   */
  public record WorkerCommand(CommandType type, TaskId taskId, long attempt, double graceSeconds) {
    /** The kinds of commands. */
    public enum CommandType {
      /** Launches an attempt of a task; has no effect if the worker already has the attempt. */
      LAUNCH,
      /** Stops an attempt, after a grace period to save a checkpoint. */
      STOP,
      /** Removes an exited attempt from the reports. */
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
   * The limit for session, sequence, fencing token and attempt numbers. Real values are far below
   * it. A report with a greater value is corrupt: if it were accepted, every later report of the
   * machine would be considered stale, or the fencing tokens would run out of numbers.
   */
  private static final long MAX_COUNTER = 1L << 53;

  /**
   * Decodes a worker's heartbeat.
   *
   * @throws MalformedMessageException if a required field is missing or has the wrong type
   */
  public static WorkerReport parseReport(JsonNode message) throws MalformedMessageException {
    List<TaskReport> tasks = new ArrayList<>();
    Set<String> seenAttempts = new HashSet<>();
    JsonNode list = Cbor.findPresent(message, "pieces");
    if (list != null && !list.isArray()) {
      throw new MalformedMessageException("pieces must be a list, received " + list.getNodeType());
    }
    if (list != null) {
      for (JsonNode taskMessage : list) {
        TaskReport taskReport = parseTaskReport(taskMessage);
        if (!seenAttempts.add(taskReport.taskId() + " " + taskReport.attempt())) {
          throw new MalformedMessageException(
              "pieces lists attempt "
                  + taskReport.attempt()
                  + " of task "
                  + taskReport.taskId()
                  + " more than once");
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

  /** Session numbers start at 1, since stored session 0 means that no report has been received. */
  private static long parseSession(JsonNode message) throws MalformedMessageException {
    long session = parseCounter(message, "tenure");
    if (session == 0) {
      throw new MalformedMessageException("tenure must be at least 1, received 0");
    }
    return session;
  }

  private static long parseCounter(JsonNode message, String field)
      throws MalformedMessageException {
    long value = Cbor.readCount(message, field);
    if (value > MAX_COUNTER) {
      throw new MalformedMessageException(
          field + " must be at most " + MAX_COUNTER + ", received " + value);
    }
    return value;
  }

  private static TaskReport parseTaskReport(JsonNode message) throws MalformedMessageException {
    TaskId taskId = TaskId.parse(Cbor.readText(message, "piece"));
    TaskState state = STATES.get(Cbor.readText(message, "status"));
    if (taskId == null || state == null) {
      throw new MalformedMessageException(
          "a task in pieces has an invalid piece or status, received piece "
              + message.get("piece")
              + " and status "
              + message.get("status")
              + "; piece must have the form job-000412/3 and status must be one of "
              + new TreeSet<>(STATES.keySet()));
    }
    ExitCause exitCause =
        state == TaskState.EXITED
            ? EXIT_CAUSES.getOrDefault(
                Cbor.readTextOrDefault(message, "cause", "error"), ExitCause.ERROR)
            : null;
    JsonNode checkpointSaved = Cbor.findPresent(message, "kept");
    return new TaskReport(
        taskId,
        parseCounter(message, "try"),
        state,
        exitCause,
        checkpointSaved != null && checkpointSaved.asBoolean());
  }

  /**
   * Encodes commands that carry a fencing token. As the reply to a heartbeat, the message renews
   * the worker's lease.
   *
   * @throws IllegalArgumentException if the version is not a valid fencing token
   */
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
   * Encodes commands that are sent directly to a worker. They do not renew its lease, and the
   * worker executes them only in the given session.
   */
  public static ObjectNode directCommands(
      Version fencingToken, long session, List<WorkerCommand> commands) {
    return commandReply(fencingToken, commands).put("tenure", session);
  }

  /**
   * Returns a reply that does not renew the worker's lease: its token {@link Version#NONE} is lower
   * than every issued token. The token is sent explicitly because some workers read a reply without
   * a token as token 0, which earlier releases had issued.
   *
   * <p>A worker that has seen no token accepts this reply, so it must not be sent to such a worker
   * if it has tasks.
   */
  public static ObjectNode nonRenewingReply() {
    ObjectNode message = Cbor.newMap().put("baton", Version.NONE.value());
    message.putArray("orders");
    return message;
  }

  /**
   * Encodes a reply that redirects a worker's heartbeats to another controller. Without an owner
   * (null), the reply names no controller.
   */
  public static ObjectNode redirectReply(String owner) {
    ObjectNode message = Cbor.newMap();
    return owner == null ? message : message.put("master", owner);
  }
}
