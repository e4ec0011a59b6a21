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
 * The definition of a schedule as written by an operator: the job, when it is due, and the deadline
 * of its runs. Parsing is strict: unknown fields are rejected.
 *
 * @param holidayRegion the region whose holidays are not workdays; null if no holidays apply
 * @param job the fields of a run's job, without its id and deadline
 * @param deadlineSeconds the time from a run's due time to its deadline
 * @param reportBySeconds the time from a run's due time by which a miss must have been reported
 * @param overlap what happens at a due time while an earlier run is open
 * @param catchUpSeconds the age up to which missed due times are caught up; older ones are skipped
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
  /**
   * The least time between the deadline and the time by which a miss must have been reported. A
   * miss is reported at the deadline at the latest, which leaves operators this long to read it.
   */
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

  /** What happens at a due time while an earlier run is open. */
  public enum OverlapPolicy {
    /** The new run is started. */
    ALLOW,
    /** The due time gets no run. */
    SKIP,
    /** The due time's run is started when the open runs have ended. */
    WAIT
  }

  /**
   * Thrown for a definition that is rejected: with HTTP status 400 if it is malformed, 422 if it is
   * well-formed but a value is unknown, out of range or can never take effect.
   */
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
   * @throws InvalidDefinitionException with status 400 or 422 and the path of the field that is
   *     unknown, missing or invalid
   */
  public static ScheduleDefinition parse(JsonNode json) throws InvalidDefinitionException {
    Set<String> unknownFields = new HashSet<>();
    json.fieldNames().forEachRemaining(unknownFields::add);
    unknownFields.removeAll(FIELDS);
    if (!unknownFields.isEmpty()) {
      throw new InvalidDefinitionException(
          422,
          new TreeSet<>(unknownFields).first(),
          "is not a field of a schedule; the fields are " + new TreeSet<>(FIELDS));
    }
    CalendarExpression expression;
    try {
      expression = CalendarExpression.parse(readText(json, "due", null));
    } catch (CalendarExpression.MalformedExpressionException exception) {
      throw new InvalidDefinitionException(400, "due", exception.getMessage());
    }
    ZoneId zone;
    try {
      zone = ZoneId.of(readText(json, "zone", null));
    } catch (DateTimeException exception) {
      throw new InvalidDefinitionException(
          422, "zone", "must be a time zone such as Europe/Berlin: " + exception.getMessage());
    }
    double deadlineSeconds = readSeconds(json, "deadline_s", null);
    double reportBySeconds =
        readSeconds(json, "meeting_s", deadlineSeconds + MIN_REPORT_LEAD_SECONDS);
    if (reportBySeconds < deadlineSeconds + MIN_REPORT_LEAD_SECONDS) {
      throw new InvalidDefinitionException(
          422,
          "meeting_s",
          "must be at least "
              + (deadlineSeconds + MIN_REPORT_LEAD_SECONDS)
              + " ("
              + MIN_REPORT_LEAD_SECONDS
              + " s after the deadline); got "
              + reportBySeconds);
    }
    String overlap = readText(json, "overlap", "allow");
    if (!Set.of("allow", "skip", "wait").contains(overlap)) {
      throw new InvalidDefinitionException(
          422, "overlap", "must be allow, skip or wait; got '" + overlap + "'");
    }
    if (!(json.get("job") instanceof ObjectNode job)) {
      throw new InvalidDefinitionException(400, "job", "must be an object");
    }
    ScheduleDefinition definition =
        new ScheduleDefinition(
            expression,
            zone,
            json.has("holidays") ? readText(json, "holidays", null) : null,
            job,
            deadlineSeconds,
            reportBySeconds,
            OverlapPolicy.valueOf(overlap.toUpperCase(Locale.ROOT)),
            readSeconds(json, "catch_up_s", DEFAULT_CATCH_UP_SECONDS));
    definition.toJobSpec(new JobId("job-0"));
    return definition;
  }

  private static String readText(JsonNode json, String field, String defaultValue)
      throws InvalidDefinitionException {
    JsonNode value = json.get(field);
    if (value == null && defaultValue != null) {
      return defaultValue;
    }
    if (value == null || !value.isTextual() || value.asText().isBlank()) {
      throw new InvalidDefinitionException(400, field, "must be a non-blank string");
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
      throw new InvalidDefinitionException(
          422, field, "must be 0 to " + (long) MAX_SECONDS + " s; got " + value.asDouble());
    }
    return value.asDouble();
  }

  /**
   * Returns the job of one run. Placement treats the job's deadline in the same way as that of any
   * other job.
   *
   * @throws InvalidDefinitionException if the job is malformed, is a service, or sets its own id or
   *     deadline
   */
  public JobSpec toJobSpec(JobId id) throws InvalidDefinitionException {
    if (job.has("name_id") || job.has("due_s")) {
      throw new InvalidDefinitionException(
          422, "job", "must not contain name_id or due_s: the schedule sets them");
    }
    ObjectNode message = job.deepCopy().put("name_id", id.value()).put("due_s", deadlineSeconds);
    try {
      JobSpec spec = JobMessages.parseJobSpec(message);
      if (spec.shape() == JobShape.SERVICE) {
        throw new InvalidDefinitionException(
            422, "job.shape", "must not be daemon: a daemon never ends, but a run has a deadline");
      }
      return spec;
    } catch (Cbor.MalformedMessageException exception) {
      throw new InvalidDefinitionException(400, "job", exception.getMessage());
    }
  }

  /**
   * Checks that all referenced holiday regions and local days exist, and that there is a due time
   * within the next eight years.
   *
   * @throws InvalidDefinitionException with status 422 if a check fails
   */
  public void validate(Instant now, DayCalendar dayCalendar) throws InvalidDefinitionException {
    TreeSet<String> regions = new TreeSet<>();
    TreeSet<String> dayNames = new TreeSet<>();
    expression.collectReferences(regions, dayNames);
    if (holidayRegion != null) {
      regions.add(holidayRegion);
    }
    for (String region : regions) {
      if (!dayCalendar.isKnownRegion(region)) {
        throw new InvalidDefinitionException(
            422,
            "holidays",
            "unknown region '" + region + "'; a region has a form such as de or de-by");
      }
    }
    for (String name : dayNames) {
      if (dayCalendar.findNamedDays(name) == null) {
        throw new InvalidDefinitionException(
            422,
            "due",
            "there are no local days named \"" + name + "\"; store them under /calendars/" + name);
      }
    }
    if (findNextDue(now, dayCalendar) == null) {
      throw new InvalidDefinitionException(
          422, "due", "has no due time within the next eight years");
    }
  }

  /** Returns the first due time after the given one; null if there is none within eight years. */
  public Instant findNextDue(Instant after, DayCalendar dayCalendar) {
    return expression.findNextDue(after, zone, holidayRegion, dayCalendar);
  }
}
