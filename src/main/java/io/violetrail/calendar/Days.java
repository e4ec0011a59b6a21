package io.violetrail.calendar;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.util.Map;
import java.util.Set;

/** What days are called: holidays of regions, and local days that operators keep as data. */
public interface Days {
  /** Whether it is a holiday of a region such as {@code de} or {@code de-by}. */
  boolean holiday(String region, LocalDate day);

  /** Whether the region is known. */
  boolean knows(String region);

  /** The days kept under a name; null if there are none under it. */
  Set<LocalDate> named(String name);

  /** Monday to Friday, unless it is a holiday of the region; null: there are none. */
  default boolean workday(String region, LocalDate day) {
    DayOfWeek d = day.getDayOfWeek();
    boolean weekend = d == DayOfWeek.SATURDAY || d == DayOfWeek.SUNDAY;
    return !weekend && (region == null || !holiday(region, day));
  }

  /** Days by names, with the holidays of a library. */
  static Days of(Holidays holidays, Map<String, Set<LocalDate>> named) {
    return new Days() {
      @Override
      public boolean holiday(String region, LocalDate day) {
        return holidays.on(region, day);
      }

      @Override
      public boolean knows(String region) {
        return holidays.knows(region);
      }

      @Override
      public Set<LocalDate> named(String name) {
        return named.get(name);
      }
    };
  }
}
