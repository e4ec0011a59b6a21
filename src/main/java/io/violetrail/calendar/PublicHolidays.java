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

/** Public holidays from the Jollyday library, cached by region and year. */
public final class PublicHolidays {
  /** The maximum number of cached sets; each set has about a dozen days. */
  private static final int MAX_CACHED_REGION_YEARS = 500;

  private final Map<String, HolidayManager> managersByCountry = new HashMap<>();
  private final Cache<String, Set<LocalDate>> holidaysByRegionAndYear =
      CacheBuilder.newBuilder().maximumSize(MAX_CACHED_REGION_YEARS).build();

  boolean isKnownRegion(String region) {
    try {
      return region.matches("[a-z]{2}(-[a-z0-9]{1,8})?") && managerFor(countryOf(region)) != null;
    } catch (RuntimeException exception) {
      return false;
    }
  }

  boolean isHoliday(String region, LocalDate day) {
    String key = region + " " + day.getYear();
    Set<LocalDate> days = holidaysByRegionAndYear.getIfPresent(key);
    if (days == null) {
      days = new HashSet<>();
      String[] parts = region.split("-", 0);
      HolidayManager manager = managerFor(parts[0]);
      Set<Holiday> holidays =
          parts.length > 1
              ? manager.getHolidays(Year.of(day.getYear()), parts[1])
              : manager.getHolidays(Year.of(day.getYear()));
      for (Holiday holiday : holidays) {
        days.add(holiday.getDate());
      }
      holidaysByRegionAndYear.put(key, days);
    }
    return days.contains(day);
  }

  private static String countryOf(String region) {
    return region.split("-", 0)[0];
  }

  private HolidayManager managerFor(String country) {
    return managersByCountry.computeIfAbsent(
        country.toLowerCase(Locale.ROOT),
        lowerCaseCountry -> HolidayManager.getInstance(ManagerParameters.create(lowerCaseCountry)));
  }
}
