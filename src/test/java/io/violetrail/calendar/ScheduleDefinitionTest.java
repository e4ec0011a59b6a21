package io.violetrail.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.ScheduleDefinition.InvalidDefinitionException;
import io.violetrail.wire.Cbor;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which schedule definitions are rejected, and with which status. */
class ScheduleDefinitionTest {
  private static final DayCalendar DAYS =
      DayCalendar.of(new PublicHolidays(), Map.of("meetings", ReferenceSchedule.MEETINGS));

  private static ObjectNode definition(String due) {
    ObjectNode definition =
        Cbor.newMap().put("due", due).put("zone", "Europe/Berlin").put("deadline_s", 600.0);
    ObjectNode job = definition.putObject("job").put("jobclass", "c").put("crew", "t");
    job.put("shape", "batch").put("urgency", "normal").put("pieces", 4).put("cores", 1.0);
    job.put("gpus", 0.0).put("mem_gb", 1.0).put("pull_gb", 0.1).put("one_zone", false);
    job.put("apart", false).put("loaners", false).put("guess_s", 60.0).put("snapshot_s", 0.0);
    job.put("flush_s", 0.0);
    return definition;
  }

  private static int rejectionStatus(ObjectNode definition) {
    return assertThrows(
            InvalidDefinitionException.class,
            () ->
                ScheduleDefinition.parse(definition)
                    .validate(Instant.parse("2027-01-01T00:00:00Z"), DAYS))
        .httpStatus();
  }

  @Test
  void invalidAndNeverDueDefinitionsAreRejected() throws Exception {
    ScheduleDefinition.parse(definition("at 06:00")).validate(Instant.EPOCH, DAYS);
    assertEquals(400, rejectionStatus(definition("at dawn")));
    assertEquals(
        422, rejectionStatus(definition("at 06:00 on 2020-01-01")), "only due in the past");
    assertEquals(422, rejectionStatus(definition("at 06:00 on day 30 of february")), "no such day");
    assertEquals(422, rejectionStatus(definition("at 06:00 on days \"unknown\"")));
    assertEquals(422, rejectionStatus(definition("at 06:00 on holidays \"xx\"")));
    assertEquals(422, rejectionStatus(definition("at 06:00").put("meeting_s", 610.0)));
    assertEquals(422, rejectionStatus(definition("at 06:00").put("unknown", 1)));
    assertEquals(400, rejectionStatus(definition("at 06:00").put("deadline_s", "soon")));
    ObjectNode daemon = definition("at 06:00");
    ((ObjectNode) daemon.get("job")).put("shape", "daemon");
    assertEquals(422, rejectionStatus(daemon), "a daemon never ends");
  }
}
