package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Shape;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.JobWire;
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
 * @param deadlineS by when a run is to be complete, after its due time
 * @param meetingS by when a miss must have been reported, after its due time
 * @param catchUpS how far back missed due times are made up
 */
public record Definition(
    Expression expression,
    ZoneId zone,
    String holidays,
    ObjectNode job,
    double deadlineS,
    double meetingS,
    Overlap overlap,
    double catchUpS) {
  /** A miss is reported at the deadline at the latest; this long is left to read of it. */
  static final double LEAST_LEAD_S = 60;

  private static final double USUAL_CATCH_UP_S = 24 * 3600;
  private static final double MOST_S = 366.0 * 24 * 3600;
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
  public enum Overlap {
    ALLOW,
    SKIP,
    WAIT
  }

  /** A definition that is not taken: 400 if it is malformed, 422 if it can mean nothing useful. */
  public static final class Refused extends Exception {
    private static final long serialVersionUID = 1L;
    private final int code;

    Refused(int code, String field, String why) {
      super(field + ": " + why, null, false, false);
      this.code = code;
    }

    public int code() {
      return code;
    }
  }

  /**
   * Reads a schedule definition from a request body and fills in defaults.
   *
   * @throws Refused with status 422 and the path of the field that is unknown, missing or invalid
   */
  public static Definition of(JsonNode m) throws Refused {
    Set<String> unknown = new HashSet<>();
    m.fieldNames().forEachRemaining(unknown::add);
    unknown.removeAll(FIELDS);
    if (!unknown.isEmpty()) {
      throw new Refused(422, new TreeSet<>(unknown).first(), "the field is unknown");
    }
    Expression due;
    try {
      due = Expression.parse(text(m, "due", null));
    } catch (Expression.Malformed e) {
      throw new Refused(400, "due", e.getMessage());
    }
    ZoneId zone;
    try {
      zone = ZoneId.of(text(m, "zone", null));
    } catch (DateTimeException e) {
      throw new Refused(422, "zone", "is no time zone");
    }
    double deadline = seconds(m, "deadline_s", null);
    double meeting = seconds(m, "meeting_s", deadline + LEAST_LEAD_S);
    if (meeting < deadline + LEAST_LEAD_S) {
      throw new Refused(
          422, "meeting_s", "must be at least " + LEAST_LEAD_S + " s after the deadline");
    }
    String overlap = text(m, "overlap", "allow");
    if (!Set.of("allow", "skip", "wait").contains(overlap)) {
      throw new Refused(422, "overlap", "must be allow, skip or wait");
    }
    if (!(m.get("job") instanceof ObjectNode job)) {
      throw new Refused(400, "job", "must be an object");
    }
    Definition d =
        new Definition(
            due,
            zone,
            m.has("holidays") ? text(m, "holidays", null) : null,
            job,
            deadline,
            meeting,
            Overlap.valueOf(overlap.toUpperCase(Locale.ROOT)),
            seconds(m, "catch_up_s", USUAL_CATCH_UP_S));
    d.spec(new JobId("job-0"));
    return d;
  }

  private static String text(JsonNode m, String field, String other) throws Refused {
    JsonNode v = m.get(field);
    if (v == null && other != null) {
      return other;
    }
    if (v == null || !v.isTextual() || v.asText().isBlank()) {
      throw new Refused(400, field, "must be text");
    }
    return v.asText();
  }

  private static double seconds(JsonNode m, String field, Double other) throws Refused {
    JsonNode v = m.get(field);
    if (v == null && other != null) {
      return other;
    }
    if (v == null || !v.isNumber()) {
      throw new Refused(400, field, "must be a number of seconds");
    }
    if (v.asDouble() < 0 || v.asDouble() > MOST_S) {
      throw new Refused(422, field, "is out of range");
    }
    return v.asDouble();
  }

  /** The native job of one run. Its due time reaches placement as any job's does. */
  public JobSpec spec(JobId id) throws Refused {
    if (job.has("name_id") || job.has("due_s")) {
      throw new Refused(422, "job", "name_id and due_s follow from the schedule");
    }
    ObjectNode message = job.deepCopy().put("name_id", id.value()).put("due_s", deadlineS);
    try {
      JobSpec spec = JobWire.spec(message);
      if (spec.shape() == Shape.SERVICE) {
        throw new Refused(422, "job.shape", "a daemon is never done");
      }
      return spec;
    } catch (Cbor.Malformed e) {
      throw new Refused(400, "job", e.getMessage());
    }
  }

  /** Refuses what is never due, or speaks of days that nobody knows. */
  public void check(Instant now, Days days) throws Refused {
    TreeSet<String> regions = new TreeSet<>();
    TreeSet<String> named = new TreeSet<>();
    expression.names(regions, named);
    if (holidays != null) {
      regions.add(holidays);
    }
    for (String region : regions) {
      if (!days.knows(region)) {
        throw new Refused(422, "holidays", "nobody knows the region " + region);
      }
    }
    for (String name : named) {
      if (days.named(name) == null) {
        throw new Refused(422, "due", "no days are kept under the name \"" + name + "\"");
      }
    }
    if (next(now, days) == null) {
      throw new Refused(422, "due", "is never due within eight years");
    }
  }

  public Instant next(Instant after, Days days) {
    return expression.next(after, zone, holidays, days);
  }
}
