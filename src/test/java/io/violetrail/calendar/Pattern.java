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
 * A calendar twice over: as an expression, and as plain java.time, written apart from the
 * subsystem. Checkers go by the second.
 */
record Pattern(String text, Predicate<LocalDate> on, List<LocalTime> times) {
  static final Set<LocalDate> MEETINGS =
      Set.of(
          LocalDate.of(2027, 1, 6),
          LocalDate.of(2027, 1, 20),
          LocalDate.of(2027, 2, 3),
          LocalDate.of(2027, 5, 3),
          LocalDate.of(2027, 10, 11));

  private static boolean workday(LocalDate d) {
    return d.getDayOfWeek().getValue() < 6;
  }

  static Pattern draw(Random random) {
    LocalTime at = LocalTime.of(random.nextInt(24), 5 * random.nextInt(12));
    LocalTime second = LocalTime.of(2, 30);
    return switch (random.nextInt(8)) {
      case 0 -> new Pattern("at " + at, d -> true, List.of(at));
      case 1 ->
          new Pattern(
              "at " + at + " on workdays except 2027-01-04",
              d -> workday(d) && !d.equals(LocalDate.of(2027, 1, 4)),
              List.of(at));
      case 2 ->
          new Pattern(
              "at " + at + ", 02:30 on sunday and wednesday",
              d -> d.getDayOfWeek() == DayOfWeek.SUNDAY || d.getDayOfWeek() == DayOfWeek.WEDNESDAY,
              List.of(at, second));
      case 3 ->
          new Pattern(
              "at " + at + " on last workday of month",
              d -> {
                LocalDate last = d.with(TemporalAdjusters.lastDayOfMonth());
                while (!workday(last)) {
                  last = last.minusDays(1);
                }
                return d.equals(last);
              },
              List.of(at));
      case 4 ->
          new Pattern(
              "at " + at + " on 2nd tuesday of month",
              d -> d.equals(d.with(TemporalAdjusters.dayOfWeekInMonth(2, DayOfWeek.TUESDAY))),
              List.of(at));
      case 5 ->
          new Pattern(
              "at " + at + " on 1 workday before days \"meetings\"",
              d -> {
                LocalDate next = d.plusDays(1);
                while (workday(d) && !workday(next) && !MEETINGS.contains(next)) {
                  next = next.plusDays(1);
                }
                return workday(d) && MEETINGS.contains(next);
              },
              List.of(at));
      case 6 ->
          new Pattern(
              "at 02:30 on last sunday of march and october or at " + at + " on day 29 of february",
              null,
              List.of(at));
      default ->
          new Pattern(
              "at 00:00, 23:59 on last day of month",
              d -> d.plusDays(1).getDayOfMonth() == 1,
              List.of(LocalTime.MIDNIGHT, LocalTime.of(23, 59)));
    };
  }

  /** Due instants in a span, the first excluded and the last included. */
  TreeSet<Instant> between(Instant from, Instant to, ZoneId zone) {
    TreeSet<Instant> all = new TreeSet<>();
    LocalDate last = to.atZone(zone).toLocalDate().plusDays(1);
    for (LocalDate d = from.atZone(zone).toLocalDate().minusDays(1);
        !d.isAfter(last);
        d = d.plusDays(1)) {
      if (on == null) {
        boolean march = d.getMonthValue() == 3 || d.getMonthValue() == 10;
        if (march && d.equals(d.with(TemporalAdjusters.lastInMonth(DayOfWeek.SUNDAY)))) {
          all.add(instant(d.atTime(2, 30), zone));
        }
        if (d.getMonthValue() == 2 && d.getDayOfMonth() == 29) {
          all.add(instant(d.atTime(times.get(0)), zone));
        }
      } else if (on.test(d)) {
        for (LocalTime t : times) {
          all.add(instant(d.atTime(t), zone));
        }
      }
    }
    all.removeIf(i -> !i.isAfter(from) || i.isAfter(to));
    return all;
  }

  private static Instant instant(LocalDateTime local, ZoneId zone) {
    ZonedDateTime z = ZonedDateTime.of(local, zone).withEarlierOffsetAtOverlap();
    if (z.toLocalDateTime().equals(local)) {
      return z.toInstant();
    }
    Instant before = local.minusHours(6).atZone(zone).toInstant();
    return zone.getRules().nextTransition(before).getInstant();
  }
}
