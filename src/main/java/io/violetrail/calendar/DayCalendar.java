package io.violetrail.calendar;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.util.Map;
import java.util.Set;

/** Provides the holidays of regions, and the named local days that operators store. */
public interface DayCalendar {
  /** Returns whether the day is a holiday of a region such as {@code de} or {@code de-by}. */
  boolean isHoliday(String region, LocalDate day);

  boolean isKnownRegion(String region);

  /** Returns the local days stored under a name; null if there are none. */
  Set<LocalDate> findNamedDays(String name);

  /**
   * Returns whether the day is Monday to Friday and not a holiday of the region.
   *
   * @param region null if no holidays apply
   */
  default boolean isWorkday(String region, LocalDate day) {
    DayOfWeek dayOfWeek = day.getDayOfWeek();
    boolean weekend = dayOfWeek == DayOfWeek.SATURDAY || dayOfWeek == DayOfWeek.SUNDAY;
    return !weekend && (region == null || !isHoliday(region, day));
  }

  /**
   * Returns a calendar of public holidays and local days.
   *
   * @param namedDays the local days by name; later changes of the map take effect
   */
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
