package io.violetrail.calendar;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.Month;
import java.time.YearMonth;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Which days. Plain decisions on a day and what days are called. */
interface DayRule {
  boolean matches(LocalDate day, String region, DayCalendar dayCalendar);

  /** Why it matches or does not. */
  String explain(LocalDate day, String region, DayCalendar dayCalendar);

  default void collectReferences(TreeSet<String> regions, TreeSet<String> dayNames) {}

  /** A simple rule with a name for people. */
  record PredicateRule(String description, DayPredicate predicate) implements DayRule {
    interface DayPredicate {
      boolean test(LocalDate day, String region, DayCalendar dayCalendar);
    }

    @Override
    public boolean matches(LocalDate day, String region, DayCalendar dayCalendar) {
      return predicate.test(day, region, dayCalendar);
    }

    @Override
    public String explain(LocalDate day, String region, DayCalendar dayCalendar) {
      return day + (matches(day, region, dayCalendar) ? " is " : " is not ") + description;
    }
  }

  static DayRule everyDay() {
    return new PredicateRule("a day", (day, region, dayCalendar) -> true);
  }

  static DayRule workdays() {
    return new PredicateRule(
        "a workday", (day, region, dayCalendar) -> dayCalendar.isWorkday(region, day));
  }

  static DayRule onWeekday(DayOfWeek dayOfWeek) {
    return new PredicateRule(
        "a " + dayOfWeek, (day, region, dayCalendar) -> day.getDayOfWeek() == dayOfWeek);
  }

  static DayRule onDate(LocalDate date) {
    return new PredicateRule(date.toString(), (day, region, dayCalendar) -> day.equals(date));
  }

  static DayRule dayOfMonth(int dayOfMonth, Set<Month> months) {
    return new PredicateRule(
        "day " + dayOfMonth + " of " + months,
        (day, region, dayCalendar) ->
            day.getDayOfMonth() == dayOfMonth && months.contains(day.getMonth()));
  }

  /** The n-th (0: the last) day of its kind in its month; a kind is null for any day. */
  static DayRule nthOfMonth(int ordinal, PredicateRule kind, Set<Month> months) {
    return new PredicateRule(
        (ordinal == 0 ? "the last" : "number " + ordinal)
            + " of its month that is "
            + kind.description(),
        (day, region, dayCalendar) -> {
          if (!months.contains(day.getMonth()) || !kind.matches(day, region, dayCalendar)) {
            return false;
          }
          YearMonth month = YearMonth.from(day);
          int count = 0;
          int firstDay = ordinal == 0 ? day.getDayOfMonth() + 1 : 1;
          int lastDay = ordinal == 0 ? month.lengthOfMonth() : day.getDayOfMonth();
          for (int dayOfMonth = firstDay; dayOfMonth <= lastDay; dayOfMonth++) {
            count += kind.matches(month.atDay(dayOfMonth), region, dayCalendar) ? 1 : 0;
          }
          return count == ordinal;
        });
  }

  /** Holidays of a region. */
  record RegionHolidays(String holidayRegion) implements DayRule {
    @Override
    public boolean matches(LocalDate day, String region, DayCalendar dayCalendar) {
      return dayCalendar.isHoliday(holidayRegion, day);
    }

    @Override
    public String explain(LocalDate day, String region, DayCalendar dayCalendar) {
      return day
          + (matches(day, region, dayCalendar) ? " is" : " is not")
          + " a holiday of "
          + holidayRegion;
    }

    @Override
    public void collectReferences(TreeSet<String> regions, TreeSet<String> dayNames) {
      regions.add(holidayRegion);
    }
  }

  /** Days that are kept under a name; none if nothing is. */
  record NamedDays(String name) implements DayRule {
    @Override
    public boolean matches(LocalDate day, String region, DayCalendar dayCalendar) {
      Set<LocalDate> namedDays = dayCalendar.findNamedDays(name);
      return namedDays != null && namedDays.contains(day);
    }

    @Override
    public String explain(LocalDate day, String region, DayCalendar dayCalendar) {
      return day
          + (matches(day, region, dayCalendar) ? " is" : " is not")
          + " among the days \""
          + name
          + "\"";
    }

    @Override
    public void collectReferences(TreeSet<String> regions, TreeSet<String> dayNames) {
      dayNames.add(name);
    }
  }

  /** So many days or workdays before (negative) or after another rule's days. */
  record ShiftedDays(DayRule base, int offset, boolean countsWorkdays) implements DayRule {
    @Override
    public boolean matches(LocalDate day, String region, DayCalendar dayCalendar) {
      if (countsWorkdays && !dayCalendar.isWorkday(region, day)) {
        return false;
      }
      // Every base day from which so many steps lead here.
      LocalDate candidate = day;
      int remaining = Math.abs(offset);
      int step = offset < 0 ? 1 : -1;
      while (remaining > 0) {
        candidate = candidate.plusDays(step);
        if (!countsWorkdays) {
          remaining--;
          continue;
        }
        // Days between two workdays lead to the same one as the nearer workday's end.
        if (remaining == 1 && base.matches(candidate, region, dayCalendar)) {
          return true;
        }
        remaining -= dayCalendar.isWorkday(region, candidate) ? 1 : 0;
      }
      return base.matches(candidate, region, dayCalendar);
    }

    @Override
    public String explain(LocalDate day, String region, DayCalendar dayCalendar) {
      return day
          + (matches(day, region, dayCalendar) ? " is " : " is not ")
          + Math.abs(offset)
          + (countsWorkdays ? " workdays " : " days ")
          + (offset < 0 ? "before" : "after")
          + " such a day";
    }

    @Override
    public void collectReferences(TreeSet<String> regions, TreeSet<String> dayNames) {
      base.collectReferences(regions, dayNames);
    }
  }

  /** Any of these, and none of those. */
  record DaySelection(List<DayRule> included, List<DayRule> excluded) implements DayRule {
    @Override
    public boolean matches(LocalDate day, String region, DayCalendar dayCalendar) {
      return included.stream().anyMatch(r -> r.matches(day, region, dayCalendar))
          && excluded.stream().noneMatch(r -> r.matches(day, region, dayCalendar));
    }

    @Override
    public String explain(LocalDate day, String region, DayCalendar dayCalendar) {
      for (DayRule rule : excluded) {
        if (rule.matches(day, region, dayCalendar)) {
          return "excepted: " + rule.explain(day, region, dayCalendar);
        }
      }
      for (DayRule rule : included) {
        if (rule.matches(day, region, dayCalendar)) {
          return rule.explain(day, region, dayCalendar);
        }
      }
      return String.join(
          ", ", included.stream().map(r -> r.explain(day, region, dayCalendar)).toList());
    }

    @Override
    public void collectReferences(TreeSet<String> regions, TreeSet<String> dayNames) {
      included.forEach(r -> r.collectReferences(regions, dayNames));
      excluded.forEach(r -> r.collectReferences(regions, dayNames));
    }
  }
}
