package io.violetrail.calendar;

import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.time.temporal.TemporalAdjusters;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * A schedule as an expression and, independently of the tested code, as a predicate based on {@code
 * java.time}. Checks use the latter.
 *
 * @param isDueDay null for the expression that has different times on different days
 */
record ReferenceSchedule(String expression, Predicate<LocalDate> isDueDay, List<LocalTime> times) {
  static final Set<LocalDate> MEETINGS =
      Set.of(
          LocalDate.of(2027, 1, 6),
          LocalDate.of(2027, 1, 20),
          LocalDate.of(2027, 2, 3),
          LocalDate.of(2027, 5, 3),
          LocalDate.of(2027, 10, 11));

  private static boolean isWorkday(LocalDate date) {
    return date.getDayOfWeek().getValue() < 6;
  }

  static ReferenceSchedule createRandom(Random random) {
    LocalTime time = LocalTime.of(random.nextInt(24), 5 * random.nextInt(12));
    LocalTime secondTime = LocalTime.of(2, 30);
    return switch (random.nextInt(8)) {
      case 0 -> new ReferenceSchedule("at " + time, d -> true, List.of(time));
      case 1 ->
          new ReferenceSchedule(
              "at " + time + " on workdays except 2027-01-04",
              d -> isWorkday(d) && !d.equals(LocalDate.of(2027, 1, 4)),
              List.of(time));
      case 2 ->
          new ReferenceSchedule(
              "at " + time + ", 02:30 on sunday and wednesday",
              d -> d.getDayOfWeek() == DayOfWeek.SUNDAY || d.getDayOfWeek() == DayOfWeek.WEDNESDAY,
              List.of(time, secondTime));
      case 3 ->
          new ReferenceSchedule(
              "at " + time + " on last workday of month",
              date -> {
                LocalDate last = date.with(TemporalAdjusters.lastDayOfMonth());
                while (!isWorkday(last)) {
                  last = last.minusDays(1);
                }
                return date.equals(last);
              },
              List.of(time));
      case 4 ->
          new ReferenceSchedule(
              "at " + time + " on 2nd tuesday of month",
              d -> d.equals(d.with(TemporalAdjusters.dayOfWeekInMonth(2, DayOfWeek.TUESDAY))),
              List.of(time));
      case 5 ->
          new ReferenceSchedule(
              "at " + time + " on 1 workday before days \"meetings\"",
              date -> {
                LocalDate next = date.plusDays(1);
                while (isWorkday(date) && !isWorkday(next) && !MEETINGS.contains(next)) {
                  next = next.plusDays(1);
                }
                return isWorkday(date) && MEETINGS.contains(next);
              },
              List.of(time));
      case 6 ->
          new ReferenceSchedule(
              "at 02:30 on last sunday of march and october or at "
                  + time
                  + " on day 29 of february",
              null,
              List.of(time));
      default ->
          new ReferenceSchedule(
              "at 00:00, 23:59 on last day of month",
              d -> d.plusDays(1).getDayOfMonth() == 1,
              List.of(LocalTime.MIDNIGHT, LocalTime.of(23, 59)));
    };
  }

  /** Returns the due instants after {@code from}, up to and including {@code to}. */
  TreeSet<Instant> dueTimesBetween(Instant from, Instant to, ZoneId zone) {
    TreeSet<Instant> dueTimes = new TreeSet<>();
    LocalDate lastDate = to.atZone(zone).toLocalDate().plusDays(1);
    for (LocalDate date = from.atZone(zone).toLocalDate().minusDays(1);
        !date.isAfter(lastDate);
        date = date.plusDays(1)) {
      if (isDueDay == null) {
        boolean marchOrOctober = date.getMonthValue() == 3 || date.getMonthValue() == 10;
        if (marchOrOctober
            && date.equals(date.with(TemporalAdjusters.lastInMonth(DayOfWeek.SUNDAY)))) {
          dueTimes.add(toInstant(date.atTime(2, 30), zone));
        }
        if (date.getMonthValue() == 2 && date.getDayOfMonth() == 29) {
          dueTimes.add(toInstant(date.atTime(times.get(0)), zone));
        }
      } else if (isDueDay.test(date)) {
        for (LocalTime time : times) {
          dueTimes.add(toInstant(date.atTime(time), zone));
        }
      }
    }
    dueTimes.removeIf(dueTime -> !dueTime.isAfter(from) || dueTime.isAfter(to));
    return dueTimes;
  }

  private static Instant toInstant(LocalDateTime local, ZoneId zone) {
    ZonedDateTime resolved = ZonedDateTime.of(local, zone).withEarlierOffsetAtOverlap();
    if (resolved.toLocalDateTime().equals(local)) {
      return resolved.toInstant();
    }
    Instant before = local.minusHours(6).atZone(zone).toInstant();
    return zone.getRules().nextTransition(before).getInstant();
  }
}
