package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.ScheduleDefinition.InvalidDefinitionException;
import io.violetrail.calendar.ScheduleRow.Run;
import io.violetrail.wire.Cbor;
import java.time.Instant;
import java.util.Set;

/** Converts schedules and runs to JSON for operators, with timestamps as text in ISO 8601. */
final class ScheduleJson {
  private static final Set<String> TIMESTAMP_FIELDS =
      Set.of("due", "last", "fired", "done", "at", "said");

  private ScheduleJson() {}

  /**
   * Returns a schedule with its open runs and its next due time, which is null while the schedule
   * is paused.
   *
   * @param dayCalendar the holidays and local days for computing the next due time
   */
  static ObjectNode schedule(ScheduleRow row, DayCalendar dayCalendar) {
    ObjectNode json = Cbor.newMap().put("name", row.name()).put("version", row.version());
    row.definition().properties().forEach(field -> json.set(field.getKey(), field.getValue()));
    json.put("paused", row.isPaused()).put("entity", row.entity().value());
    json.put("settled", Instant.ofEpochMilli(row.cursorMillis()).toString());
    try {
      Instant next =
          row.isPaused()
              ? null
              : ScheduleDefinition.parse(row.definition())
                  .findNextDue(Instant.ofEpochMilli(row.cursorMillis()), dayCalendar);
      json.put("next", next == null ? null : next.toString());
    } catch (InvalidDefinitionException exception) {
      json.put("error", exception.getMessage());
    }
    ArrayNode runs = json.putArray("runs");
    row.openRuns().forEach(run -> runs.add(openRun(row, run)));
    return json;
  }

  /** Returns an open run with its deadline and its report. */
  static ObjectNode openRun(ScheduleRow row, Run run) {
    ObjectNode json = Cbor.newMap().put("due", Instant.ofEpochMilli(run.dueMillis()).toString());
    json.put("job", ScheduleRow.runJobId(row.uid(), run.dueMillis()).value());
    long deadlineMillis =
        run.dueMillis() + (long) (1000 * row.definition().path("deadline_s").asDouble());
    json.put("deadline", Instant.ofEpochMilli(deadlineMillis).toString());
    if (run.report() != null) {
      ObjectNode report = json.putObject("report");
      report.put("first", Instant.ofEpochMilli(run.report().path("at").asLong()).toString());
      report.put("foreseen", Instant.ofEpochMilli(run.report().path("done").asLong()).toString());
      report.put("withdrawn", run.report().path("withdrawn").asBoolean());
    }
    return json;
  }

  /** Converts an entry of the run history, in which timestamps are stored as numbers. */
  static JsonNode endedRun(JsonNode run) {
    ObjectNode json = Cbor.newMap();
    run.properties()
        .forEach(
            entry -> {
              boolean isTimestamp =
                  TIMESTAMP_FIELDS.contains(entry.getKey()) && entry.getValue().isNumber();
              if (isTimestamp) {
                json.put(
                    entry.getKey(), Instant.ofEpochMilli(entry.getValue().asLong()).toString());
              } else {
                json.set(
                    entry.getKey(),
                    entry.getValue().isObject() ? endedRun(entry.getValue()) : entry.getValue());
              }
            });
    return json;
  }
}
