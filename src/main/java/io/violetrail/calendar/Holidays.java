package io.violetrail.calendar;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import de.focus_shift.jollyday.core.Holiday;
import de.focus_shift.jollyday.core.HolidayManager;
import de.focus_shift.jollyday.core.ManagerParameters;
import java.time.LocalDate;
import java.time.Year;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Public holidays from Jollyday, kept by region and year. */
public final class Holidays {
  /** Some dozen days each. */
  private static final int KEPT_YEARS = 500;

  private final Map<String, HolidayManager> managers = new HashMap<>();
  private final Cache<String, Set<LocalDate>> years =
      CacheBuilder.newBuilder().maximumSize(KEPT_YEARS).build();

  boolean knows(String region) {
    try {
      return region.matches("[a-z]{2}(-[a-z0-9]{1,8})?") && manager(country(region)) != null;
    } catch (RuntimeException e) {
      return false;
    }
  }

  boolean on(String region, LocalDate day) {
    String key = region + " " + day.getYear();
    Set<LocalDate> days = years.getIfPresent(key);
    if (days == null) {
      days = new HashSet<>();
      String[] parts = region.split("-", 0);
      HolidayManager m = manager(parts[0]);
      Set<Holiday> all =
          parts.length > 1
              ? m.getHolidays(Year.of(day.getYear()), parts[1])
              : m.getHolidays(Year.of(day.getYear()));
      for (Holiday h : all) {
        days.add(h.getDate());
      }
      years.put(key, days);
    }
    return days.contains(day);
  }

  private static String country(String region) {
    return region.split("-", 0)[0];
  }

  private HolidayManager manager(String country) {
    return managers.computeIfAbsent(
        country.toLowerCase(Locale.ROOT),
        c -> HolidayManager.getInstance(ManagerParameters.create(c)));
  }
}
