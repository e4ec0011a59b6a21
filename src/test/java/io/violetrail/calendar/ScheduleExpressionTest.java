package io.violetrail.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests when expressions are due, and the errors for malformed expressions. */
class ScheduleExpressionTest {
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
        "at the first occurrence");
    assertEquals(
        1,
        dueTimes("at 02:10, 02:50", "Europe/Berlin", "2027-03-28", 1).size(),
        "both times are the same instant");
    assertEquals(
        "[2028-02-29T09:00:00Z]",
        dueTimes("at 12:00 on day 29 of february", "Africa/Dar_es_Salaam", "2027-01-01", 800)
            .toString());
  }

  @Test
  void expressionsAgreeWithJavaTime() throws Exception {
    Random random = new Random(3);
    for (int i = 0; i < 60; i++) {
      ReferenceSchedule reference = ReferenceSchedule.createRandom(random);
      ZoneId zone = ZoneId.of(List.of("Europe/Berlin", "America/New_York").get(i % 2));
      Instant from = Instant.parse("2026-12-30T07:00:00Z");
      Instant to = Instant.parse("2028-03-02T00:00:00Z");
      TreeSet<Instant> actual = new TreeSet<>();
      CalendarExpression expression = CalendarExpression.parse(reference.expression());
      for (Instant dueTime = expression.findNextDue(from, zone, null, DAYS);
          dueTime != null && !dueTime.isAfter(to);
          dueTime = expression.findNextDue(dueTime, zone, null, DAYS)) {
        actual.add(dueTime);
      }
      assertEquals(reference.dueTimesBetween(from, to, zone), actual, reference.expression());
    }
  }

  @Test
  void parseErrorsNamePositionAndExpectation() {
    for (var entry :
        Map.of(
                "at 06:30 on lst workday of month", "line 1, column 13",
                "at 25:00", "column 4: '25:00' is not a time of day",
                "at 06:30 on\nmonday of", "line 2, column 8",
                "every 0 minutes", "column 7: '0' is not a valid number of minutes",
                "at 06:00 on 2027-02-30", "is not a date",
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
}
