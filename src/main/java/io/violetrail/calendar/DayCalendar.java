package io.violetrail.calendar;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.util.Map;
import java.util.Set;

/** What days are called: holidays of regions, and local days that operators keep as data. */
public interface DayCalendar {
  /** Whether it is a holiday of a region such as {@code de} or {@code de-by}. */
  boolean isHoliday(String region, LocalDate day);

  /** Whether the region is known. */
  boolean isKnownRegion(String region);

  /** The days kept under a name; null if there are none under it. */
  Set<LocalDate> findNamedDays(String name);

  /** Monday to Friday, unless it is a holiday of the region; null: there are none. */
  default boolean isWorkday(String region, LocalDate day) {
    DayOfWeek dayOfWeek = day.getDayOfWeek();
    boolean weekend = dayOfWeek == DayOfWeek.SATURDAY || dayOfWeek == DayOfWeek.SUNDAY;
    return !weekend && (region == null || !isHoliday(region, day));
  }

  /** Days by names, with the holidays of a library. */
  static DayCalendar of(PublicHolidays holidays, Map<String, Set<LocalDate>> namedDays) {
    return new DayCalendar() {
      @Override
      public boolean isHoliday(String region, LocalDate day) {
        return holidays.isHoliday(region, day);
      }

      @Override
      public boolean isKnownRegion(String region) {
        return holidays.isKnownRegion(region);
      }

      @Override
      public Set<LocalDate> findNamedDays(String name) {
        return namedDays.get(name);
      }
    };
  }
}
