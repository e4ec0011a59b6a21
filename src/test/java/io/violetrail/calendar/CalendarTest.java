package io.violetrail.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.CompletionForecast.RunProgress;
import io.violetrail.calendar.ScheduleDefinition.InvalidDefinitionException;
import io.violetrail.wire.Cbor;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** When schedules are due, and that each due time has exactly one run. */
class CalendarTest {
  private static final DayCalendar DAYS =
      DayCalendar.of(new PublicHolidays(), Map.of("meetings", ReferenceSchedule.MEETINGS));

  private static TreeSet<Instant> dueTimes(String text, String zone, String from, int days)
      throws Exception {
    CalendarExpression expression = CalendarExpression.parse(text);
    TreeSet<Instant> dueTimes = new TreeSet<>();
    for (int i = 0; i < days; i++) {
      dueTimes.addAll(
          expression.dueTimesOn(LocalDate.parse(from).plusDays(i), ZoneId.of(zone), null, DAYS));
    }
    return dueTimes;
  }

  @Test
  void localTimesInDaylightSavingChangesAreDueOnce() throws Exception {
    assertEquals(
        "[2027-03-28T01:00:00Z]",
        dueTimes("at 02:30", "Europe/Berlin", "2027-03-28", 1).toString(),
        "at the end of the gap");
    assertEquals(
        "[2027-10-31T00:30:00Z]",
        dueTimes("at 02:30", "Europe/Berlin", "2027-10-31", 1).toString(),
        "the first time");
    assertEquals(
        1,
        dueTimes("at 02:10, 02:50", "Europe/Berlin", "2027-03-28", 1).size(),
        "one instant, one run");
    assertEquals(
        "[2028-02-29T09:00:00Z]",
        dueTimes("at 12:00 on day 29 of february", "Africa/Dar_es_Salaam", "2027-01-01", 800)
            .toString());
  }

  @Test
  void expressionsAgreeWithJavaTime() throws Exception {
    Random random = new Random(3);
    for (int i = 0; i < 60; i++) {
      ReferenceSchedule reference = ReferenceSchedule.draw(random);
      ZoneId zone = ZoneId.of(List.of("Europe/Berlin", "America/New_York").get(i % 2));
      Instant from = Instant.parse("2026-12-30T07:00:00Z");
      Instant to = Instant.parse("2028-03-02T00:00:00Z");
      TreeSet<Instant> actual = new TreeSet<>();
      CalendarExpression expression = CalendarExpression.parse(reference.expression());
      for (Instant at = expression.findNextDue(from, zone, null, DAYS);
          at != null && !at.isAfter(to);
          at = expression.findNextDue(at, zone, null, DAYS)) {
        actual.add(at);
      }
      assertEquals(reference.dueTimesBetween(from, to, zone), actual, reference.expression());
    }
  }

  @Test
  void parseErrorsNamePositionAndExpectation() {
    for (var entry :
        Map.of(
                "at 06:30 on lst workday of month", "line 1, column 13",
                "at 25:00", "column 4: '25:00' is no time of day",
                "at 06:30 on\nmonday of", "line 2, column 8",
                "every 0 minutes", "column 7: '0' is no number of minutes",
                "at 06:00 on 2027-02-30", "is no date",
                "", "expecting")
            .entrySet()) {
      String message =
          assertThrows(
                  CalendarExpression.MalformedExpressionException.class,
                  () -> CalendarExpression.parse(entry.getKey()))
              .getMessage();
      assertTrue(message.contains(entry.getValue()), entry.getKey() + ": " + message);
    }
  }

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

  private static int rejectionCode(ObjectNode definition) {
    return assertThrows(
            InvalidDefinitionException.class,
            () ->
                ScheduleDefinition.parse(definition)
                    .validate(Instant.parse("2027-01-01T00:00:00Z"), DAYS))
        .httpStatus();
  }

  @Test
  void definitionsThatAreNeverDueAreRejected() throws Exception {
    ScheduleDefinition.parse(definition("at 06:00")).validate(Instant.EPOCH, DAYS);
    assertEquals(400, rejectionCode(definition("at dawn")));
    assertEquals(422, rejectionCode(definition("at 06:00 on 2020-01-01")), "never due again");
    assertEquals(
        422, rejectionCode(definition("at 06:00 on day 30 of february")), "never due at all");
    assertEquals(422, rejectionCode(definition("at 06:00 on days \"unheard\"")));
    assertEquals(422, rejectionCode(definition("at 06:00 on holidays \"xx\"")));
    assertEquals(422, rejectionCode(definition("at 06:00").put("meeting_s", 610.0)));
    assertEquals(422, rejectionCode(definition("at 06:00").put("surprise", 1)));
    assertEquals(400, rejectionCode(definition("at 06:00").put("deadline_s", "soon")));
    ObjectNode daemon = definition("at 06:00");
    ((ObjectNode) daemon.get("job")).put("shape", "daemon");
    assertEquals(422, rejectionCode(daemon), "a daemon is never done");
  }

  @Test
  void corruptHistoryBlockIsDetected() throws Exception {
    ArrayNode runs = Cbor.newList();
    for (int i = 0; i < 16; i++) {
      runs.addObject().put("due", 1_800_000_000_000L + i).put("how", "DONE");
    }
    ObjectNode block = RunHistoryCodec.encode(runs);
    assertEquals(runs.toString(), RunHistoryCodec.decode(block).toString());
    String text = block.get("xz").asText();
    for (int cut = 0; cut < text.length(); cut += 4) {
      ObjectNode truncated = block.deepCopy().put("xz", text.substring(0, cut));
      assertThrows(
          RunHistoryCodec.CorruptBlockException.class, () -> RunHistoryCodec.decode(truncated));
      char other = text.charAt(cut) == 'A' ? 'B' : 'A';
      ObjectNode altered =
          block.deepCopy().put("xz", text.substring(0, cut) + other + text.substring(cut + 1));
      assertThrows(
          RunHistoryCodec.CorruptBlockException.class, () -> RunHistoryCodec.decode(altered));
    }
    assertThrows(
        RunHistoryCodec.CorruptBlockException.class, () -> RunHistoryCodec.decode(Cbor.newMap()));
  }

  @Test
  void completionIsForecastFromProgress() {
    assertEquals(
        100_000,
        CompletionForecast.completionMillis(0, new RunProgress(4, 0, 0, 0, 60, 40)),
        "none began");
    assertEquals(
        30_000, CompletionForecast.completionMillis(0, new RunProgress(4, 0, 4, 30, 60, 40)));
    assertEquals(
        150_000,
        CompletionForecast.completionMillis(0, new RunProgress(8, 1, 3, 30, 60, 40)),
        "in turns");
    assertEquals(
        30_000,
        CompletionForecast.completionMillis(0, new RunProgress(1, 0, 1, 300, 60, 40)),
        "it overruns");
  }

  @Test
  void everyDueTimeRunsOnceInASimulatedMonthWithFaults() {
    for (long seed = 1; seed <= 3; seed++) {
      ScheduleYearSimulation year = new ScheduleYearSimulation(seed, 24, 35).run();
      assertTrue(year.claims.size() > 100, "runs " + year.claims.size());
      assertEquals(List.of(), year.findProblems(), "seed " + seed);
      assertTrue(year.reportCount > 3, "reports " + year.reportCount);
      assertTrue(year.withdrawnCount > 0, "some are mended");
    }
  }

  @Test
  void simulationDetectsDuplicateAndMissingRuns() {
    ScheduleYearSimulation year = new ScheduleYearSimulation(9, 6, 20).run();
    assertEquals(List.of(), year.findProblems());
    String anyRun = year.claims.keySet().iterator().next();
    long claimedAt = year.claims.remove(anyRun);
    assertTrue(year.findProblems().stream().anyMatch(w -> w.contains("has no run")));
    year.claims.put(anyRun, claimedAt);
    assertEquals(List.of(), year.findProblems());
    for (var entry : year.rows.entrySet()) {
      if (entry.getKey().startsWith(ScheduleRow.KEY_PREFIX)
          && !entry.getValue().value().path("past").isEmpty()) {
        ArrayNode past = (ArrayNode) entry.getValue().value().get("past");
        past.add(past.get(0));
      }
    }
    assertTrue(year.findProblems().stream().anyMatch(w -> w.contains("tells of 2 runs")));
  }
}
