package io.violetrail.cli;

import io.violetrail.calendar.CalendarExpression;
import io.violetrail.calendar.DayCalendar;
import io.violetrail.calendar.PublicHolidays;
import io.violetrail.cli.ControllerClient.NoAnswerException;
import io.violetrail.cli.ControllerClient.Reply;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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

/** Schedules from the command line: at a controller, or without one. */
@Command(
    name = "schedule",
    mixinStandardHelpOptions = true,
    subcommands = {ScheduleCommand.Preview.class},
    description = {
      "Recurring jobs tied to calendars.",
      "Exit status: 0 done, 1 refused or torn, 2 bad usage, 3 no answer; nothing is half done."
    })
final class ScheduleCommand implements Callable<Integer> {
  private static final int REFUSED = 1;
  private static final int BAD_USAGE = 2;
  private static final int NO_ANSWER = 3;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return BAD_USAGE;
  }

  private int sendRequest(String server, String method, String path, byte[] body) {
    try {
      Reply reply = new ControllerClient(List.of(server)).send(method, path, body);
      spec.commandLine().getOut().println(reply.body().toPrettyString());
      boolean torn = !reply.body().path("torn").isEmpty();
      return reply.isSuccessful() && !torn ? 0 : REFUSED;
    } catch (NoAnswerException exception) {
      spec.commandLine().getErr().println("violetrail schedule: " + exception.getMessage());
      return NO_ANSWER;
    }
  }

  private int sendFile(String server, String method, String path, Path file) {
    try {
      return sendRequest(server, method, path, Files.readAllBytes(file));
    } catch (IOException exception) {
      spec.commandLine().getErr().println("violetrail schedule: cannot read " + file);
      return BAD_USAGE;
    }
  }

  private static final String SERVER_DESCRIPTION = "a controller's API address, host:port";

  @Command(name = "create", description = "Creates the schedule that a JSON file describes.")
  int create(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "FILE") Path file) {
    return sendFile(server, "POST", "/schedules", file);
  }

  @Command(name = "change", description = "Replaces a schedule; the file names its version.")
  int change(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name,
      @Parameters(paramLabel = "FILE") Path file) {
    return sendFile(server, "PUT", "/schedules/" + name, file);
  }

  @Command(name = "list", description = "Lists schedules by name.")
  int list(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Option(names = "--after", defaultValue = "", description = "begin after a name")
          String after) {
    return sendRequest(
        server, "GET", "/schedules" + (after.isEmpty() ? "" : "?after=" + after), null);
  }

  @Command(name = "show", description = "Shows a schedule, its runs and their reports.")
  int show(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "GET", "/schedules/" + name, null);
  }

  @Command(name = "pause", description = "Nothing is due until it is resumed, or made up then.")
  int pause(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "POST", "/schedules/" + name + "/pause", null);
  }

  @Command(name = "resume", description = "Ends a pause.")
  int resume(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "POST", "/schedules/" + name + "/resume", null);
  }

  @Command(name = "delete", description = "Deletes a schedule; runs under way go on.")
  int delete(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "DELETE", "/schedules/" + name, null);
  }

  @Command(name = "history", description = "Ended runs; a torn block is named, status 1.")
  int history(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "GET", "/schedules/" + name + "/history", null);
  }

  @Command(
      name = "reports",
      description = "Deadlines that will be or were missed, at a controller.")
  int reports(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION)
          String server) {
    return sendRequest(server, "GET", "/reports", null);
  }

  @Command(name = "days", description = "Keeps the local days of a JSON file under a name.")
  int days(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name,
      @Parameters(paramLabel = "FILE") Path file) {
    return sendFile(server, "PUT", "/calendars/" + name, file);
  }

  /** The next due times, day by day, without a controller. */
  @Command(
      name = "preview",
      mixinStandardHelpOptions = true,
      description = "Says when an expression is due next, and why days are or are not.")
  static final class Preview implements Callable<Integer> {
    @Parameters(paramLabel = "EXPRESSION")
    private String expression;

    @Option(
        names = "--zone",
        required = true,
        description = "time zone, such as Africa/Dar_es_Salaam")
    private String zone;

    @Option(names = "--holidays", description = "region whose holidays are no workdays")
    private String region;

    @Option(names = "--from", description = "first day; default: today")
    private LocalDate from;

    @Option(names = "--count", defaultValue = "10", description = "due times to show")
    private int count;

    @Option(names = "--why", description = "also say of each day before them why it is passed")
    private boolean why;

    @Option(
        names = "--days",
        description = "local days, as NAME=DATE,DATE; may be repeated",
        paramLabel = "NAME=DATES")
    private Map<String, String> named = new HashMap<>();

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
      var out = spec.commandLine().getOut();
      var err = spec.commandLine().getErr();
      try {
        Map<String, Set<LocalDate>> namedDays = new HashMap<>();
        named.forEach(
            (name, dates) -> {
              Set<LocalDate> dateSet = new HashSet<>();
              List.of(dates.split(",")).forEach(d -> dateSet.add(LocalDate.parse(d)));
              namedDays.put(name, dateSet);
            });
        DayCalendar days = DayCalendar.of(new PublicHolidays(), namedDays);
        if (region != null && !days.isKnownRegion(region)) {
          err.println("violetrail schedule preview: nobody knows the region " + region);
          return REFUSED;
        }
        CalendarExpression calendarExpression = CalendarExpression.parse(expression);
        ZoneId zoneId = ZoneId.of(zone);
        LocalDate day = from == null ? LocalDate.now(zoneId) : from;
        LocalDate last = day.plusYears(8);
        int shown = 0;
        while (shown < count && day.isBefore(last)) {
          var due = calendarExpression.dueTimesOn(day, zoneId, region, days);
          for (Instant dueTime : due) {
            if (shown++ < count) {
              out.println(
                  dueTime.atZone(zoneId)
                      + " ("
                      + calendarExpression.explain(day, region, days)
                      + ")");
            }
          }
          if (why && due.isEmpty()) {
            out.println("  " + day + " passed: " + calendarExpression.explain(day, region, days));
          }
          day = day.plusDays(1);
        }
        if (shown == 0) {
          err.println("violetrail schedule preview: it is never due within eight years");
          return REFUSED;
        }
        return 0;
      } catch (CalendarExpression.MalformedExpressionException
          | DateTimeException calendarExpression) {
        err.println("violetrail schedule preview: " + calendarExpression.getMessage());
        return BAD_USAGE;
      }
    }
  }
}
