package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.ControllerId;
import io.violetrail.model.DerivedJobId;
import io.violetrail.model.JobId;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A schedule's stored row. Everything that decides whether a due time has had its run is in this
 * one row: the cursor says up to which due time all is settled, and it advances only by the
 * transaction that stores the run's job. So a due time gets one run, whoever crashes. Immutable;
 * {@link #withChange} makes the next state.
 */
public final class ScheduleRow {
  static final String KEY_PREFIX = "cal/s/";
  static final String CALENDAR_KEY_PREFIX = "cal/d/";
  private static final String RUN_JOB_ID_PREFIX = "job-8";
  private static final String HISTORY_KEY_PREFIX = "cal/h/";

  private final String name;
  private final ObjectNode value;
  private final long modRevision;

  /** A run that is not over: its report, if there is one, says when it was last foreseen late. */
  public record Run(long dueMillis, long firedMillis, JsonNode report) {
    boolean hasOpenReport() {
      return report != null && !report.path("withdrawn").asBoolean();
    }
  }

  ScheduleRow(String name, ObjectNode value, long modRevision) {
    this.name = name;
    this.value = value;
    this.modRevision = modRevision;
  }

  static ScheduleRow fromRow(String key, JsonNode value, long modRevision) {
    return new ScheduleRow(key.substring(KEY_PREFIX.length()), (ObjectNode) value, modRevision);
  }

  static ScheduleRow create(
      String name, ObjectNode definition, ControllerId entity, String uid, long nowMillis) {
    ObjectNode value = Cbor.newMap().put("uid", uid).put("entity", entity.value());
    value.put("version", 1).put("paused", false).put("cursor", nowMillis).put("blocks", 0);

    value.set("def", definition);
    value.putArray("runs");
    value.putArray("past");
    return new ScheduleRow(name, value, 0);
  }

  ScheduleRow withChange(Consumer<ObjectNode> change) {
    ObjectNode next = value.deepCopy();
    change.accept(next);
    return new ScheduleRow(name, next, modRevision);
  }

  ScheduleRow withModRevision(long revision) {
    return new ScheduleRow(name, value, revision);
  }

  String name() {
    return name;
  }

  String key() {
    return KEY_PREFIX + name;
  }

  ObjectNode value() {
    return value;
  }

  long modRevision() {
    return modRevision;
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

  boolean isPaused() {
    return value.path("paused").asBoolean();
  }

  int version() {
    return value.path("version").asInt();
  }

  /** Every due time up to here is settled. */
  long cursorMillis() {
    return value.path("cursor").asLong();
  }

  List<Run> openRuns() {
    List<Run> runs = new ArrayList<>();
    for (JsonNode run : value.path("runs")) {
      runs.add(new Run(run.path("due").asLong(), run.path("fired").asLong(), run.get("report")));
    }
    return runs;
  }

  /** How due times ended that are not in a block yet. */
  ArrayNode endedRuns() {
    return (ArrayNode) value.get("past");
  }

  static void recordFired(ObjectNode row, long dueMillis, long nowMillis) {
    row.put("cursor", dueMillis);
    ((ArrayNode) row.get("runs")).addObject().put("due", dueMillis).put("fired", nowMillis);
  }

  /** The entry of a run in a row under construction. */
  static ObjectNode runEntry(ObjectNode row, long dueMillis) {
    for (JsonNode run : row.path("runs")) {
      if (run.path("due").asLong() == dueMillis) {
        return (ObjectNode) run;
      }
    }
    throw new IllegalStateException("no run of " + dueMillis);
  }

  static void recordEnded(
      ObjectNode row, long dueMillis, long nowMillis, String outcome, boolean late) {
    ObjectNode run = runEntry(row, dueMillis);
    ObjectNode ended = ((ArrayNode) row.get("past")).addObject();
    ended.put("due", dueMillis).put("fired", run.path("fired").asLong()).put("done", nowMillis);
    ended.put("how", outcome).put("late", late);
    if (run.has("report")) {
      ended.set("report", run.get("report"));
    }
    ArrayNode remaining = Cbor.newList();
    boolean left = false;
    for (JsonNode node : row.path("runs")) {
      if (!left && node.path("due").asLong() == dueMillis) {
        left = true;
      } else {
        remaining.add(node);
      }
    }
    row.set("runs", remaining);
  }

  /** Due times that get no run, for a reason. */
  static void recordSkipped(
      ObjectNode row, long firstMillis, long lastMillis, int count, String reason) {
    row.put("cursor", lastMillis);
    ((ArrayNode) row.get("past"))
        .addObject()
        .put("due", firstMillis)
        .put("last", lastMillis)
        .put("count", count)
        .put("how", "skipped")
        .put("why", reason);
  }

  String blockKey(long number) {
    return HISTORY_KEY_PREFIX + uid() + "/" + "%08d".formatted(number);
  }

  /** The keys of the history blocks that are kept, the oldest first. */
  List<String> historyBlockKeys() {
    List<String> keys = new ArrayList<>();
    int count = value.path("blocks").asInt();
    for (int i = Math.max(0, count - ScheduleTrigger.MAX_HISTORY_BLOCKS); i < count; i++) {
      keys.add(blockKey(i));
    }
    return keys;
  }

  /**
   * The id of the run of a due time: it follows from the two, so a run that is stored twice is the
   * same job, whose claim exists.
   */
  static JobId runJobId(String uid, long dueMillis) {
    return DerivedJobId.of(RUN_JOB_ID_PREFIX, "violetrail run " + uid + " " + dueMillis);
  }
}
