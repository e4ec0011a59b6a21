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
  boolean matches(LocalDate day, String region, Days days);

  /** Why it matches or does not. */
  String why(LocalDate day, String region, Days days);

  default void names(TreeSet<String> regions, TreeSet<String> named) {}

  /** A simple rule with a name for people. */
  record Simple(String name, Test test) implements DayRule {
    interface Test {
      boolean of(LocalDate day, String region, Days days);
    }

    @Override
    public boolean matches(LocalDate day, String region, Days days) {
      return test.of(day, region, days);
    }

    @Override
    public String why(LocalDate day, String region, Days days) {
      return day + (matches(day, region, days) ? " is " : " is not ") + name;
    }
  }

  static DayRule everyDay() {
    return new Simple("a day", (day, region, days) -> true);
  }

  static DayRule workdays() {
    return new Simple("a workday", (day, region, days) -> days.workday(region, day));
  }

  static DayRule weekday(DayOfWeek which) {
    return new Simple("a " + which, (day, region, days) -> day.getDayOfWeek() == which);
  }

  static DayRule date(LocalDate date) {
    return new Simple(date.toString(), (day, region, days) -> day.equals(date));
  }

  static DayRule dayOfMonth(int number, Set<Month> months) {
    return new Simple(
        "day " + number + " of " + months,
        (day, region, days) -> day.getDayOfMonth() == number && months.contains(day.getMonth()));
  }

  /** The n-th (0: the last) day of its kind in its month; a kind is null for any day. */
  static DayRule nth(int n, Simple kind, Set<Month> months) {
    return new Simple(
        (n == 0 ? "the last" : "number " + n) + " of its month that is " + kind.name(),
        (day, region, days) -> {
          if (!months.contains(day.getMonth()) || !kind.matches(day, region, days)) {
            return false;
          }
          YearMonth month = YearMonth.from(day);
          int count = 0;
          int from = n == 0 ? day.getDayOfMonth() + 1 : 1;
          int to = n == 0 ? month.lengthOfMonth() : day.getDayOfMonth();
          for (int d = from; d <= to; d++) {
            count += kind.matches(month.atDay(d), region, days) ? 1 : 0;
          }
          return count == n;
        });
  }

  /** Holidays of a region. */
  record HolidaysOf(String name) implements DayRule {
    @Override
    public boolean matches(LocalDate day, String region, Days days) {
      return days.holiday(name, day);
    }

    @Override
    public String why(LocalDate day, String region, Days days) {
      return day + (matches(day, region, days) ? " is" : " is not") + " a holiday of " + name;
    }

    @Override
    public void names(TreeSet<String> regions, TreeSet<String> named) {
      regions.add(name);
    }
  }

  /** Days that are kept under a name; none if nothing is. */
  record Named(String name) implements DayRule {
    @Override
    public boolean matches(LocalDate day, String region, Days days) {
      Set<LocalDate> all = days.named(name);
      return all != null && all.contains(day);
    }

    @Override
    public String why(LocalDate day, String region, Days days) {
      return day
          + (matches(day, region, days) ? " is" : " is not")
          + " among the days \""
          + name
          + "\"";
    }

    @Override
    public void names(TreeSet<String> regions, TreeSet<String> named) {
      named.add(name);
    }
  }

  /** So many days or workdays before (negative) or after another rule's days. */
  record Shifted(DayRule base, int by, boolean workdays) implements DayRule {
    @Override
    public boolean matches(LocalDate day, String region, Days days) {
      if (workdays && !days.workday(region, day)) {
        return false;
      }
      // Every base day from which so many steps lead here.
      LocalDate back = day;
      int left = Math.abs(by);
      int step = by < 0 ? 1 : -1;
      while (left > 0) {
        back = back.plusDays(step);
        if (!workdays) {
          left--;
          continue;
        }
        // Days between two workdays lead to the same one as the nearer workday's end.
        if (left == 1 && base.matches(back, region, days)) {
          return true;
        }
        left -= days.workday(region, back) ? 1 : 0;
      }
      return base.matches(back, region, days);
    }

    @Override
    public String why(LocalDate day, String region, Days days) {
      return day
          + (matches(day, region, days) ? " is " : " is not ")
          + Math.abs(by)
          + (workdays ? " workdays " : " days ")
          + (by < 0 ? "before" : "after")
          + " such a day";
    }

    @Override
    public void names(TreeSet<String> regions, TreeSet<String> named) {
      base.names(regions, named);
    }
  }

  /** Any of these, and none of those. */
  record Among(List<DayRule> any, List<DayRule> none) implements DayRule {
    @Override
    public boolean matches(LocalDate day, String region, Days days) {
      return any.stream().anyMatch(r -> r.matches(day, region, days))
          && none.stream().noneMatch(r -> r.matches(day, region, days));
    }

    @Override
    public String why(LocalDate day, String region, Days days) {
      for (DayRule r : none) {
        if (r.matches(day, region, days)) {
          return "excepted: " + r.why(day, region, days);
        }
      }
      for (DayRule r : any) {
        if (r.matches(day, region, days)) {
          return r.why(day, region, days);
        }
      }
      return String.join(", ", any.stream().map(r -> r.why(day, region, days)).toList());
    }

    @Override
    public void names(TreeSet<String> regions, TreeSet<String> named) {
      any.forEach(r -> r.names(regions, named));
      none.forEach(r -> r.names(regions, named));
    }
  }
}
