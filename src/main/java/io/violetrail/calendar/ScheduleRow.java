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
 * The stored row of a schedule. This one row decides whether a due time has had its run: all due
 * times up to the cursor are settled, and a firing advances the cursor only in the transaction that
 * stores the run's job. Each due time therefore gets one run, regardless of which controller
 * crashes. Immutable; {@link #withChange} returns the next state.
 */
public final class ScheduleRow {
  static final String KEY_PREFIX = "cal/s/";
  static final String CALENDAR_KEY_PREFIX = "cal/d/";
  private static final String RUN_JOB_ID_PREFIX = "job-8";
  private static final String HISTORY_KEY_PREFIX = "cal/h/";

  private final String name;
  private final ObjectNode value;
  private final long modRevision;

  /**
   * An open run.
   *
   * @param firedMillis the wall-clock time at which the run was fired
   * @param report the last report that the run will miss or has missed its deadline, possibly
   *     withdrawn since; null if there is none
   */
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

  ScheduleRow withModRevision(long newModRevision) {
    return new ScheduleRow(name, value, newModRevision);
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

  /** Returns the time up to which all due times are settled, that is fired or skipped. */
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

  /** Returns the ended runs and skipped due times that are not in a history block yet. */
  ArrayNode endedRuns() {
    return (ArrayNode) value.get("past");
  }

  static void recordFired(ObjectNode rowValue, long dueMillis, long nowMillis) {
    rowValue.put("cursor", dueMillis);
    ((ArrayNode) rowValue.get("runs")).addObject().put("due", dueMillis).put("fired", nowMillis);
  }

  /**
   * Returns the entry of an open run, which the caller may modify.
   *
   * @throws IllegalStateException if the row has no open run with this due time
   */
  static ObjectNode runEntry(ObjectNode rowValue, long dueMillis) {
    for (JsonNode run : rowValue.path("runs")) {
      if (run.path("due").asLong() == dueMillis) {
        return (ObjectNode) run;
      }
    }
    throw new IllegalStateException("the row has no open run with due time " + dueMillis + " ms");
  }

  static void recordEnded(
      ObjectNode rowValue, long dueMillis, long nowMillis, String outcome, boolean late) {
    ObjectNode run = runEntry(rowValue, dueMillis);
    ObjectNode ended = ((ArrayNode) rowValue.get("past")).addObject();
    ended.put("due", dueMillis).put("fired", run.path("fired").asLong()).put("done", nowMillis);
    ended.put("how", outcome).put("late", late);
    if (run.has("report")) {
      ended.set("report", run.get("report"));
    }
    ArrayNode remaining = Cbor.newList();
    boolean removed = false;
    for (JsonNode node : rowValue.path("runs")) {
      if (!removed && node.path("due").asLong() == dueMillis) {
        removed = true;
      } else {
        remaining.add(node);
      }
    }
    rowValue.set("runs", remaining);
  }

  /**
   * Records that consecutive due times get no run.
   *
   * @param reason stored in the history for operators
   */
  static void recordSkipped(
      ObjectNode rowValue, long firstMillis, long lastMillis, int count, String reason) {
    rowValue.put("cursor", lastMillis);
    ((ArrayNode) rowValue.get("past"))
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

  /** Returns the keys of the history blocks that are kept, the oldest first. */
  List<String> historyBlockKeys() {
    List<String> keys = new ArrayList<>();
    int count = value.path("blocks").asInt();
    for (int i = Math.max(0, count - ScheduleTrigger.MAX_HISTORY_BLOCKS); i < count; i++) {
      keys.add(blockKey(i));
    }
    return keys;
  }

  /**
   * Returns the job id of the run for a due time. The id is derived from the schedule's uid and the
   * due time, so a second attempt to store the run is for the same job, whose id is already
   * claimed.
   */
  static JobId runJobId(String uid, long dueMillis) {
    return DerivedJobId.of(RUN_JOB_ID_PREFIX, "violetrail run " + uid + " " + dueMillis);
  }
}
