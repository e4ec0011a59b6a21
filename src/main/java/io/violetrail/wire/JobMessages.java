package io.violetrail.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.JobId;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.wire.Cbor.MalformedMessageException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/** Encodes and decodes the messages exchanged with users: job submissions and job views. */
public final class JobMessages {
  /** The path of submissions; the path of a single job is below it. */
  public static final String JOBS_PATH = "/work";

  /** The suffix that turns a job's path into the path of its cancellation. */
  public static final String CANCEL_PATH_SUFFIX = "/abort";

  /** The maximum number of tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  private static final Map<String, JobShape> SHAPES =
      Map.of("batch", JobShape.ARRAY, "ensemble", JobShape.GANG, "daemon", JobShape.SERVICE);
  private static final Map<String, Priority> PRIORITIES =
      Map.of(
          "prod",
          Priority.PRODUCTION,
          "high",
          Priority.HIGH,
          "normal",
          Priority.NORMAL,
          "low",
          Priority.LOW);

  /**
   * The fields stored for a job in addition to its id, in stored order. Only the values are stored,
   * because the field names would take most of the space.
   */
  private static final List<String> STORED_FIELDS =
      List.of(
          "jobclass",
          "crew",
          "shape",
          "urgency",
          "pieces",
          "cores",
          "gpus",
          "mem_gb",
          "bundle",
          "pull_gb",
          "hosttypes",
          "yard",
          "one_zone",
          "apart",
          "loaners",
          "guess_s",
          "snapshot_s",
          "flush_s",
          "due_s");

  private JobMessages() {}

  /**
   * Decodes a user's submission, which must name an image. Jobs described through other interfaces
   * need no image; see {@link #parseJobSpec}.
   *
   * @throws MalformedMessageException if a required field is missing or a value is out of range
   */
  public static JobSpec parseSubmission(JsonNode message) throws MalformedMessageException {
    Cbor.readText(message, "bundle");
    return parseJobSpec(message);
  }

  /**
   * Decodes the description of a job. The image may be absent.
   *
   * @throws MalformedMessageException if a required field is missing or a value is out of range
   */
  public static JobSpec parseJobSpec(JsonNode message) throws MalformedMessageException {
    String id = Cbor.readText(message, "name_id");
    if (!JobId.isWellFormed(id)) {
      throw new MalformedMessageException(
          "name_id must be job- followed by digits, at most 64 characters, received "
              + message.get("name_id"));
    }
    long tasks = Cbor.readCount(message, "pieces");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new MalformedMessageException(
          "pieces must be from 1 to " + MAX_TASKS + ", received " + tasks);
    }
    Double deadlineSeconds =
        Cbor.findPresent(message, "due_s") == null
            ? null
            : (Double) Cbor.readAmount(message, "due_s");
    return new JobSpec(
        new JobId(id),
        Cbor.readText(message, "jobclass"),
        Cbor.readText(message, "crew"),
        readOneOf(SHAPES, message, "shape"),
        readOneOf(PRIORITIES, message, "urgency"),
        (int) tasks,
        new Resources(
            Cbor.readAmount(message, "cores"),
            Cbor.readAmount(message, "gpus"),
            Cbor.readAmount(message, "mem_gb")),
        Cbor.readTextOrDefault(message, "bundle", ""),
        Cbor.readAmount(message, "pull_gb"),
        Cbor.readTexts(message, "hosttypes"),
        Cbor.readTextOrDefault(message, "yard", null),
        Cbor.readFlag(message, "one_zone"),
        Cbor.readFlag(message, "apart"),
        Cbor.readFlag(message, "loaners"),
        Cbor.readAmount(message, "guess_s"),
        Cbor.readAmount(message, "snapshot_s"),
        Cbor.readAmount(message, "flush_s"),
        deadlineSeconds);
  }

  /**
   * Encodes a job in the form of a submission. An empty image and null machine types are omitted.
   */
  public static ObjectNode submissionMessage(JobSpec spec) {
    ObjectNode message = Cbor.newMap();
    message
        .put("name_id", spec.id().value())
        .put("jobclass", spec.jobClass())
        .put("crew", spec.team());
    message
        .put("shape", wireNameOf(SHAPES, spec.shape()))
        .put("urgency", wireNameOf(PRIORITIES, spec.priority()))
        .put("pieces", spec.taskCount());
    message
        .put("cores", spec.taskResources().cpus())
        .put("gpus", spec.taskResources().gpus())
        .put("mem_gb", spec.taskResources().memoryGb());
    if (!spec.image().isEmpty()) {
      message.put("bundle", spec.image());
    }
    message.put("pull_gb", spec.imageGb());
    if (spec.machineTypes() != null) {
      var list = message.putArray("hosttypes");
      spec.machineTypes().forEach(list::add);
    }
    message
        .put("yard", spec.zone())
        .put("one_zone", spec.singleZone())
        .put("apart", spec.spreadAcrossZones())
        .put("loaners", spec.spotAllowed());
    message
        .put("guess_s", spec.estimatedRuntimeSeconds())
        .put("snapshot_s", spec.checkpointIntervalSeconds())
        .put("flush_s", spec.checkpointSaveSeconds())
        .put("due_s", spec.deadlineSeconds());
    return message;
  }

  /** Appends the values of a job's description, without its id, to a list in stored order. */
  public static void appendSpec(JobSpec spec, ArrayNode values) {
    ObjectNode message = submissionMessage(spec);
    STORED_FIELDS.forEach(field -> values.add(message.get(field)));
  }

  /**
   * Decodes a job's description from the values of a list that start at the given index.
   *
   * @throws MalformedMessageException if a required value is missing or a value is out of range
   */
  public static JobSpec parsePackedSpec(JobId id, JsonNode values, int fromIndex)
      throws MalformedMessageException {
    ObjectNode message = Cbor.newMap().put("name_id", id.value());
    for (int i = 0; i < STORED_FIELDS.size(); i++) {
      message.set(STORED_FIELDS.get(i), values.path(fromIndex + i));
    }
    return parseJobSpec(message);
  }

  /** Encodes a job's id, its status and its counts of completed and running tasks. */
  public static ObjectNode viewMessage(JobView view) {
    ObjectNode message =
        Cbor.newMap()
            .put("name_id", view.id())
            .put("status", view.status().name().toLowerCase(Locale.ROOT));
    return message.put("done", view.doneCount()).put("running", view.runningCount());
  }

  private static <T> T readOneOf(Map<String, T> valuesByWireName, JsonNode message, String field)
      throws MalformedMessageException {
    T value = valuesByWireName.get(Cbor.readText(message, field));
    if (value == null) {
      throw new MalformedMessageException(
          field
              + " must be one of "
              + new TreeSet<>(valuesByWireName.keySet())
              + ", received "
              + message.get(field));
    }
    return value;
  }

  private static <T> String wireNameOf(Map<String, T> valuesByWireName, T value) {
    return valuesByWireName.entrySet().stream()
        .filter(entry -> entry.getValue() == value)
        .findFirst()
        .orElseThrow()
        .getKey();
  }
}
