package io.violetrail.cli;

import io.violetrail.calendar.CalendarExpression;
import io.violetrail.calendar.CalendarExpression.MalformedExpressionException;
import io.violetrail.calendar.DayCalendar;
import io.violetrail.calendar.PublicHolidays;
import java.io.PrintWriter;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the next due times of a calendar expression without calling a controller. */
@Command(
    name = "preview",
    mixinStandardHelpOptions = true,
    description = "Prints the next due times of an expression and why each day matches or not.")
final class SchedulePreviewCommand implements Callable<Integer> {
  /** The search for due times ends this many years after the first day. */
  private static final int MAX_YEARS_AHEAD = 8;

  @Parameters(paramLabel = "EXPRESSION")
  private String expression;

  @Option(
      names = "--zone",
      required = true,
      description = "time zone, for example Africa/Dar_es_Salaam")
  private String zone;

  @Option(
      names = "--holidays",
      description = "region whose public holidays do not count as workdays, for example de-by")
  private String region;

  @Option(names = "--from", description = "first day; default: today")
  private LocalDate firstDay;

  @Option(
      names = "--count",
      defaultValue = "10",
      description = "number of due times to print; default: ${DEFAULT-VALUE}")
  private int count;

  @Option(
      names = "--why",
      description = "also print the days without a due time and why they are skipped")
  private boolean explainSkippedDays;

  @Option(
      names = "--days",
      description = "a named set of local days, NAME=DATE,DATE; may be repeated",
      paramLabel = "NAME=DATES")
  private Map<String, String> datesByName = new HashMap<>();

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    try {
      DayCalendar days = DayCalendar.of(new PublicHolidays(), parseNamedDays());
      if (region != null && !days.isKnownRegion(region)) {
        return fail(
            ExitStatus.REFUSED,
            "unknown holiday region: " + region + "; --holidays expects a region such as de-by");
      }
      int shown = printDueTimes(CalendarExpression.parse(expression), days);
      return shown == 0
          ? fail(
              ExitStatus.REFUSED,
              "the expression has no due time within " + MAX_YEARS_AHEAD + " years")
          : ExitStatus.DONE;
    } catch (MalformedExpressionException | DateTimeException exception) {
      return fail(ExitStatus.BAD_USAGE, exception.getMessage());
    }
  }

  private int fail(int exitStatus, String reason) {
    spec.commandLine().getErr().println("violetrail schedule preview: " + reason);
    return exitStatus;
  }

  private Map<String, Set<LocalDate>> parseNamedDays() {
    Map<String, Set<LocalDate>> namedDays = new HashMap<>();
    datesByName.forEach(
        (name, dates) -> {
          Set<LocalDate> dateSet = new HashSet<>();
          List.of(dates.split(",")).forEach(date -> dateSet.add(LocalDate.parse(date)));
          namedDays.put(name, dateSet);
        });
    return namedDays;
  }

  /**
   * Prints at most {@code count} due times. The returned number also includes further due times on
   * the last of the printed days.
   */
  private int printDueTimes(CalendarExpression calendarExpression, DayCalendar days) {
    PrintWriter out = spec.commandLine().getOut();
    ZoneId zoneId = ZoneId.of(zone);
    LocalDate first = firstDay == null ? LocalDate.now(zoneId) : firstDay;
    LocalDate end = first.plusYears(MAX_YEARS_AHEAD);
    int found = 0;
    for (LocalDate day = first; found < count && day.isBefore(end); day = day.plusDays(1)) {
      Set<Instant> dueTimes = calendarExpression.dueTimesOn(day, zoneId, region, days);
      for (Instant dueTime : dueTimes) {
        if (found++ < count) {
          out.println(
              dueTime.atZone(zoneId) + " (" + calendarExpression.explain(day, region, days) + ")");
        }
      }
      if (explainSkippedDays && dueTimes.isEmpty()) {
        out.println("  " + day + " skipped: " + calendarExpression.explain(day, region, days));
      }
    }
    return found;
  }
}
