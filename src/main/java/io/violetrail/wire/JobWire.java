package io.violetrail.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.Amounts;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.Priority;
import io.violetrail.model.Shape;
import io.violetrail.wire.Cbor.Malformed;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The users' messages. */
public final class JobWire {
  public static final int MAX_TASKS = 100_000;
  private static final Map<String, Shape> SHAPES =
      Map.of("batch", Shape.ARRAY, "ensemble", Shape.GANG, "daemon", Shape.SERVICE);
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

  private JobWire() {}

  /** A user's submission. What other interfaces describe may do without an image. */
  public static JobSpec submitted(JsonNode m) throws Malformed {
    Cbor.text(m, "bundle");
    return spec(m);
  }

  /**
   * Decodes a submitted job.
   *
   * @throws Malformed if a required field is missing or a value is out of range
   */
  public static JobSpec spec(JsonNode m) throws Malformed {
    String id = Cbor.text(m, "name_id");
    if (!JobId.wellFormed(id)) {
      throw new Malformed("name_id has the wrong form");
    }
    long tasks = Cbor.count(m, "pieces");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new Malformed("pieces is out of range");
    }
    Double deadline = Cbor.present(m, "due_s") == null ? null : (Double) Cbor.amount(m, "due_s");
    return new JobSpec(
        new JobId(id),
        Cbor.text(m, "jobclass"),
        Cbor.text(m, "crew"),
        oneOf(SHAPES, m, "shape"),
        oneOf(PRIORITIES, m, "urgency"),
        (int) tasks,
        new Amounts(Cbor.amount(m, "cores"), Cbor.amount(m, "gpus"), Cbor.amount(m, "mem_gb")),
        Cbor.textOr(m, "bundle", ""),
        Cbor.amount(m, "pull_gb"),
        Cbor.texts(m, "hosttypes"),
        Cbor.textOr(m, "yard", null),
        Cbor.flag(m, "one_zone"),
        Cbor.flag(m, "apart"),
        Cbor.flag(m, "loaners"),
        Cbor.amount(m, "guess_s"),
        Cbor.amount(m, "snapshot_s"),
        Cbor.amount(m, "flush_s"),
        deadline);
  }

  /** Encodes a job in the form in which it is submitted; fields at their default are left out. */
  public static ObjectNode spec(JobSpec s) {
    ObjectNode m = Cbor.map();
    m.put("name_id", s.id().value()).put("jobclass", s.jobClass()).put("crew", s.team());
    m.put("shape", nameOf(SHAPES, s.shape()))
        .put("urgency", nameOf(PRIORITIES, s.priority()))
        .put("pieces", s.tasks());
    m.put("cores", s.task().cpus()).put("gpus", s.task().gpus()).put("mem_gb", s.task().memoryGb());
    if (!s.image().isEmpty()) {
      m.put("bundle", s.image());
    }
    m.put("pull_gb", s.imageGb());
    if (s.types() != null) {
      var list = m.putArray("hosttypes");
      s.types().forEach(list::add);
    }
    m.put("yard", s.zone())
        .put("one_zone", s.oneZone())
        .put("apart", s.spread())
        .put("loaners", s.spot());
    m.put("guess_s", s.estimateS())
        .put("snapshot_s", s.checkpointS())
        .put("flush_s", s.saveS())
        .put("due_s", s.deadlineS());
    return m;
  }

  /** What is stored of a job beside its id, in this order: names would take most of the room. */
  private static final List<String> STORED =
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

  /** Adds a job's description without its id to a list of values. */
  public static void pack(JobSpec s, ArrayNode to) {
    ObjectNode m = spec(s);
    STORED.forEach(field -> to.add(m.get(field)));
  }

  /** The description that stands in a list of values from an index on. */
  public static JobSpec unpack(JobId id, JsonNode list, int from) throws Malformed {
    ObjectNode m = Cbor.map().put("name_id", id.value());
    for (int i = 0; i < STORED.size(); i++) {
      m.set(STORED.get(i), list.path(from + i));
    }
    return spec(m);
  }

  /** Encodes a job's status and its counts of finished and running tasks. */
  public static ObjectNode view(JobView v) {
    ObjectNode m =
        Cbor.map().put("name_id", v.id()).put("status", v.status().name().toLowerCase(Locale.ROOT));
    return m.put("done", v.done()).put("running", v.running());
  }

  private static <T> T oneOf(Map<String, T> known, JsonNode m, String field) throws Malformed {
    T value = known.get(Cbor.text(m, field));
    if (value == null) {
      throw new Malformed(field + " is unknown");
    }
    return value;
  }

  private static <T> String nameOf(Map<String, T> known, T value) {
    return known.entrySet().stream()
        .filter(e -> e.getValue() == value)
        .findFirst()
        .orElseThrow()
        .getKey();
  }
}
