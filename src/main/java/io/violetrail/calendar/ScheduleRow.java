package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.wire.Cbor;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A schedule as its row holds it. Everything that decides whether a due time has had its run stands
 * in this one row: the cursor says up to which due time all is settled, and it advances only by the
 * transaction that stores the run's job. Never changed; {@link #with} makes the next one.
 */
public final class ScheduleRow {
  static final String ROWS = "cal/s/";
  static final String DAYS = "cal/d/";
  private static final String BLOCKS = "cal/h/";

  private final String name;
  private final ObjectNode value;
  private final long stamp;

  /** A run that is not over: its report, if there is one, says when it was last foreseen late. */
  public record Run(long dueMs, long firedMs, JsonNode report) {
    boolean open() {
      return report != null && !report.path("withdrawn").asBoolean();
    }
  }

  ScheduleRow(String name, ObjectNode value, long stamp) {
    this.name = name;
    this.value = value;
    this.stamp = stamp;
  }

  static ScheduleRow of(String key, JsonNode value, long stamp) {
    return new ScheduleRow(key.substring(ROWS.length()), (ObjectNode) value, stamp);
  }

  static ScheduleRow fresh(
      String name, ObjectNode definition, ControllerId entity, String uid, long nowMs) {
    ObjectNode v = Cbor.map().put("uid", uid).put("entity", entity.value());
    v.put("version", 1).put("paused", false).put("cursor", nowMs).put("blocks", 0);

    v.set("def", definition);
    v.putArray("runs");
    v.putArray("past");
    return new ScheduleRow(name, v, 0);
  }

  ScheduleRow with(Consumer<ObjectNode> change) {
    ObjectNode next = value.deepCopy();
    change.accept(next);
    return new ScheduleRow(name, next, stamp);
  }

  ScheduleRow at(long revision) {
    return new ScheduleRow(name, value, revision);
  }

  String name() {
    return name;
  }

  String key() {
    return ROWS + name;
  }

  ObjectNode value() {
    return value;
  }

  long stamp() {
    return stamp;
  }

  String uid() {
    return value.path("uid").asText();
  }

  ControllerId entity() {
    return new ControllerId(value.path("entity").asText());
  }

  JsonNode definition() {
    return value.path("def");
  }

  boolean paused() {
    return value.path("paused").asBoolean();
  }

  int version() {
    return value.path("version").asInt();
  }

  /** Every due time up to here is settled. */
  long cursorMs() {
    return value.path("cursor").asLong();
  }

  List<Run> runs() {
    List<Run> all = new ArrayList<>();
    for (JsonNode r : value.path("runs")) {
      all.add(new Run(r.path("due").asLong(), r.path("fired").asLong(), r.get("report")));
    }
    return all;
  }

  /** How due times ended that are not in a block yet. */
  ArrayNode past() {
    return (ArrayNode) value.get("past");
  }

  static void ran(ObjectNode row, long dueMs, long nowMs) {
    row.put("cursor", dueMs);
    ((ArrayNode) row.get("runs")).addObject().put("due", dueMs).put("fired", nowMs);
  }

  /** The entry of a run in a row under construction. */
  static ObjectNode run(ObjectNode row, long dueMs) {
    for (JsonNode r : row.path("runs")) {
      if (r.path("due").asLong() == dueMs) {
        return (ObjectNode) r;
      }
    }
    throw new IllegalStateException("no run of " + dueMs);
  }

  static void over(ObjectNode row, long dueMs, long nowMs, String how, boolean late) {
    ObjectNode run = run(row, dueMs);
    ObjectNode end = ((ArrayNode) row.get("past")).addObject();
    end.put("due", dueMs).put("fired", run.path("fired").asLong()).put("done", nowMs);
    end.put("how", how).put("late", late);
    if (run.has("report")) {
      end.set("report", run.get("report"));
    }
    ArrayNode rest = Cbor.list();
    boolean left = false;
    for (JsonNode r : row.path("runs")) {
      if (!left && r.path("due").asLong() == dueMs) {
        left = true;
      } else {
        rest.add(r);
      }
    }
    row.set("runs", rest);
  }

  /** Due times that get no run, for a reason. */
  static void skipped(ObjectNode row, long firstMs, long lastMs, int count, String why) {
    row.put("cursor", lastMs);
    ((ArrayNode) row.get("past"))
        .addObject()
        .put("due", firstMs)
        .put("last", lastMs)
        .put("count", count)
        .put("how", "skipped")
        .put("why", why);
  }

  String blockKey(long number) {
    return BLOCKS + uid() + "/" + "%08d".formatted(number);
  }

  /**
   * The id of the run of a due time: it follows from the two, so a run that is stored twice is the
   * same job, whose claim exists.
   */
  static JobId runId(String uid, long dueMs) {
    long number =
        Hashing.sha256()
            .hashString("violetrail run " + uid + " " + dueMs, StandardCharsets.UTF_8)
            .asLong();
    return new JobId("job-8" + "%019d".formatted(number & Long.MAX_VALUE));
  }
}
