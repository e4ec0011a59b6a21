package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.errors.MalformedDataException;
import io.violetrail.model.JobId;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.JobMessages;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.ZoneId;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * What an operator says of a schedule: the job, when it is due, and by when it must be done. Read
 * strictly; a field that nobody knows is refused.
 *
 * @param deadlineSeconds by when a run is to be complete, after its due time
 * @param reportBySeconds by when a miss must have been reported, after its due time
 * @param catchUpSeconds how far back missed due times are made up
 */
public record ScheduleDefinition(
    CalendarExpression expression,
    ZoneId zone,
    String holidayRegion,
    ObjectNode job,
    double deadlineSeconds,
    double reportBySeconds,
    OverlapPolicy overlap,
    double catchUpSeconds) {
  /** A miss is reported at the deadline at the latest; this long is left to read of it. */
  static final double MIN_REPORT_LEAD_SECONDS = 60;

  private static final double DEFAULT_CATCH_UP_SECONDS = 24 * 3600;
  private static final double MAX_SECONDS = 366.0 * 24 * 3600;
  private static final Set<String> FIELDS =
      Set.of(
          "name",
          "version",
          "due",
          "zone",
          "holidays",
          "job",
          "deadline_s",
          "meeting_s",
          "overlap",
          "catch_up_s");

  /** What happens at a due time while the run before it is not over. */
  public enum OverlapPolicy {
    ALLOW,
    SKIP,
    WAIT
  }

  /** A definition that is not taken: 400 if it is malformed, 422 if it can mean nothing useful. */
  public static final class InvalidDefinitionException extends MalformedDataException {
    private static final long serialVersionUID = 1L;
    private final int httpStatus;

    InvalidDefinitionException(int httpStatus, String field, String reason) {
      super(field + ": " + reason);
      this.httpStatus = httpStatus;
    }

    public int httpStatus() {
      return httpStatus;
    }
  }

  /**
   * Reads a schedule definition from a request body and fills in defaults.
   *
   * @throws InvalidDefinitionException with status 422 and the path of the field that is unknown,
   *     missing or invalid
   */
  public static ScheduleDefinition parse(JsonNode json) throws InvalidDefinitionException {
    Set<String> unknown = new HashSet<>();
    json.fieldNames().forEachRemaining(unknown::add);
    unknown.removeAll(FIELDS);
    if (!unknown.isEmpty()) {
      throw new InvalidDefinitionException(
          422, new TreeSet<>(unknown).first(), "the field is unknown");
    }
    CalendarExpression due;
    try {
      due = CalendarExpression.parse(readText(json, "due", null));
    } catch (CalendarExpression.MalformedExpressionException exception) {
      throw new InvalidDefinitionException(400, "due", exception.getMessage());
    }
    ZoneId zone;
    try {
      zone = ZoneId.of(readText(json, "zone", null));
    } catch (DateTimeException exception) {
      throw new InvalidDefinitionException(422, "zone", "is no time zone");
    }
    double deadline = readSeconds(json, "deadline_s", null);
    double reportBy = readSeconds(json, "meeting_s", deadline + MIN_REPORT_LEAD_SECONDS);
    if (reportBy < deadline + MIN_REPORT_LEAD_SECONDS) {
      throw new InvalidDefinitionException(
          422,
          "meeting_s",
          "must be at least " + MIN_REPORT_LEAD_SECONDS + " s after the deadline");
    }
    String overlap = readText(json, "overlap", "allow");
    if (!Set.of("allow", "skip", "wait").contains(overlap)) {
      throw new InvalidDefinitionException(422, "overlap", "must be allow, skip or wait");
    }
    if (!(json.get("job") instanceof ObjectNode job)) {
      throw new InvalidDefinitionException(400, "job", "must be an object");
    }
    ScheduleDefinition scheduleDefinition =
        new ScheduleDefinition(
            due,
            zone,
            json.has("holidays") ? readText(json, "holidays", null) : null,
            job,
            deadline,
            reportBy,
            OverlapPolicy.valueOf(overlap.toUpperCase(Locale.ROOT)),
            readSeconds(json, "catch_up_s", DEFAULT_CATCH_UP_SECONDS));
    scheduleDefinition.toJobSpec(new JobId("job-0"));
    return scheduleDefinition;
  }

  private static String readText(JsonNode json, String field, String defaultValue)
      throws InvalidDefinitionException {
    JsonNode value = json.get(field);
    if (value == null && defaultValue != null) {
      return defaultValue;
    }
    if (value == null || !value.isTextual() || value.asText().isBlank()) {
      throw new InvalidDefinitionException(400, field, "must be text");
    }
    return value.asText();
  }

  private static double readSeconds(JsonNode json, String field, Double defaultValue)
      throws InvalidDefinitionException {
    JsonNode value = json.get(field);
    if (value == null && defaultValue != null) {
      return defaultValue;
    }
    if (value == null || !value.isNumber()) {
      throw new InvalidDefinitionException(400, field, "must be a number of seconds");
    }
    if (value.asDouble() < 0 || value.asDouble() > MAX_SECONDS) {
      throw new InvalidDefinitionException(422, field, "is out of range");
    }
    return value.asDouble();
  }

  /** The native job of one run. Its due time reaches placement as any job's does. */
  public JobSpec toJobSpec(JobId id) throws InvalidDefinitionException {
    if (job.has("name_id") || job.has("due_s")) {
      throw new InvalidDefinitionException(
          422, "job", "name_id and due_s follow from the schedule");
    }
    ObjectNode message = job.deepCopy().put("name_id", id.value()).put("due_s", deadlineSeconds);
    try {
      JobSpec spec = JobMessages.parseJobSpec(message);
      if (spec.shape() == JobShape.SERVICE) {
        throw new InvalidDefinitionException(422, "job.shape", "a daemon is never done");
      }
      return spec;
    } catch (Cbor.MalformedMessageException exception) {
      throw new InvalidDefinitionException(400, "job", exception.getMessage());
    }
  }

  /** Refuses what is never due, or speaks of days that nobody knows. */
  public void validate(Instant now, DayCalendar dayCalendar) throws InvalidDefinitionException {
    TreeSet<String> regions = new TreeSet<>();
    TreeSet<String> dayNames = new TreeSet<>();
    expression.collectReferences(regions, dayNames);
    if (holidayRegion != null) {
      regions.add(holidayRegion);
    }
    for (String region : regions) {
      if (!dayCalendar.isKnownRegion(region)) {
        throw new InvalidDefinitionException(422, "holidays", "nobody knows the region " + region);
      }
    }
    for (String name : dayNames) {
      if (dayCalendar.findNamedDays(name) == null) {
        throw new InvalidDefinitionException(
            422, "due", "no days are kept under the name \"" + name + "\"");
      }
    }
    if (findNextDue(now, dayCalendar) == null) {
      throw new InvalidDefinitionException(422, "due", "is never due within eight years");
    }
  }

  public Instant findNextDue(Instant after, DayCalendar dayCalendar) {
    return expression.findNextDue(after, zone, holidayRegion, dayCalendar);
  }
}
