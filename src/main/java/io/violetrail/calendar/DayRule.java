package io.violetrail.calendar;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.Month;
import java.time.YearMonth;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A rule that selects days. Stateless: the result depends only on the arguments. The {@code region}
 * arguments name the region whose holidays are not workdays; null means that no holidays apply.
 */
interface DayRule {
  boolean matches(LocalDate day, String region, DayCalendar dayCalendar);

  /** Returns a human-readable explanation of why the day matches or does not. */
  String explain(LocalDate day, String region, DayCalendar dayCalendar);

  default void collectReferences(TreeSet<String> regions, TreeSet<String> dayNames) {}

  /**
   * A rule defined by a predicate.
   *
   * @param description completes the sentence "the day is ..." in explanations
   */
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

  /**
   * Returns a rule that matches the n-th day of a kind in each of the given months.
   *
   * @param ordinal the number of the day from 1; 0 for the last day of the kind
   * @param kind the days that are counted
   */
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

  /**
   * A rule that matches the holidays of a region.
   *
   * @param holidayRegion the region, regardless of the one whose holidays are not workdays
   */
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

  /** A rule that matches the local days stored under a name; no day if there are none. */
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

  /**
   * A rule that matches days at an offset from the days of another rule.
   *
   * @param offset the number of days; negative for days before those of the base rule
   * @param countsWorkdays whether only workdays are counted
   */
  record ShiftedDays(DayRule base, int offset, boolean countsWorkdays) implements DayRule {
    @Override
    public boolean matches(LocalDate day, String region, DayCalendar dayCalendar) {
      if (countsWorkdays && !dayCalendar.isWorkday(region, day)) {
        return false;
      }
      // Walks from the day against the direction of the offset, to each base day that the offset
      // shifts to the day.
      LocalDate candidate = day;
      int remaining = Math.abs(offset);
      int step = offset < 0 ? 1 : -1;
      while (remaining > 0) {
        candidate = candidate.plusDays(step);
        if (!countsWorkdays) {
          remaining--;
          continue;
        }
        // In the last step, every day up to and including the next workday counts as a base day:
        // counting workdays from any of them leads to the same workday.
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
          + " a day that the rule counts from";
    }

    @Override
    public void collectReferences(TreeSet<String> regions, TreeSet<String> dayNames) {
      base.collectReferences(regions, dayNames);
    }
  }

  /** A rule that matches days that any included rule and no excluded rule matches. */
  record DaySelection(List<DayRule> included, List<DayRule> excluded) implements DayRule {
    @Override
    public boolean matches(LocalDate day, String region, DayCalendar dayCalendar) {
      return included.stream().anyMatch(rule -> rule.matches(day, region, dayCalendar))
          && excluded.stream().noneMatch(rule -> rule.matches(day, region, dayCalendar));
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
          ", ", included.stream().map(rule -> rule.explain(day, region, dayCalendar)).toList());
    }

    @Override
    public void collectReferences(TreeSet<String> regions, TreeSet<String> dayNames) {
      included.forEach(rule -> rule.collectReferences(regions, dayNames));
      excluded.forEach(rule -> rule.collectReferences(regions, dayNames));
    }
  }
}
