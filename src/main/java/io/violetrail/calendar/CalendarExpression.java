package io.violetrail.calendar;

import io.violetrail.calendar.grammar.CalendarLexer;
import io.violetrail.calendar.grammar.CalendarParser;
import io.violetrail.errors.MalformedDataException;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.zone.ZoneOffsetTransition;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;

/**
 * A parsed expression of due times: times of day on days of a calendar. Immutable; holidays and
 * local days are looked up in the {@link DayCalendar} that the caller passes.
 *
 * <p>Local times are converted to instants as follows. A time that a change to daylight saving time
 * skips is due at the end of the gap. A time that occurs twice is due at its first occurrence.
 * Times that are converted to the same instant are one due time.
 */
public final class CalendarExpression {
  /**
   * Eight years: the longest interval between two leap days, across a century year that is not a
   * leap year.
   */
  static final int MAX_LOOKAHEAD_DAYS = 8 * 366 + 1;

  private static final int MAX_LENGTH = 1_000;
  private static final int MINUTES_PER_DAY = 24 * 60;

  private final List<Rule> rules;
  private final String text;

  private CalendarExpression(String text, List<Rule> rules) {
    this.text = text;
    this.rules = rules;
  }

  /**
   * Thrown for an invalid expression. The message says what is wrong and, unless the expression is
   * too long, at which line and column.
   */
  public static final class MalformedExpressionException extends MalformedDataException {
    private static final long serialVersionUID = 1L;

    MalformedExpressionException(String reason) {
      super(reason);
    }
  }

  /**
   * Due times on the days that a day rule matches.
   *
   * @param times the times of day; empty if an interval is used
   * @param intervalMinutes the interval of due times, counted from midnight; 0 if times are used
   */
  record Rule(List<LocalTime> times, int intervalMinutes, DayRule dayRule) {}

  /**
   * Parses a calendar expression.
   *
   * @throws MalformedExpressionException if the text is too long, does not follow the grammar or
   *     contains a value out of range
   */
  public static CalendarExpression parse(String text) throws MalformedExpressionException {
    if (text.length() > MAX_LENGTH) {
      throw new MalformedExpressionException(
          "the expression has " + text.length() + " characters; the limit is " + MAX_LENGTH);
    }
    List<String> errors = new ArrayList<>();
    BaseErrorListener listener =
        new BaseErrorListener() {
          @Override
          public void syntaxError(
              Recognizer<?, ?> recognizer,
              Object symbol,
              int line,
              int column,
              String message,
              RecognitionException exception) {
            errors.add("line " + line + ", column " + (column + 1) + ": " + message);
          }
        };
    CalendarLexer lexer = new CalendarLexer(CharStreams.fromString(text));
    lexer.removeErrorListeners();
    lexer.addErrorListener(listener);
    CalendarParser parser = new CalendarParser(new CommonTokenStream(lexer));
    parser.removeErrorListeners();
    parser.addErrorListener(listener);
    CalendarParser.CalendarContext tree = parser.calendar();
    if (!errors.isEmpty()) {
      throw new MalformedExpressionException(errors.get(0));
    }
    return new CalendarExpression(text, new ExpressionParser().parseRules(tree));
  }

  @Override
  public String toString() {
    return text;
  }

  /** Adds the holiday regions and the names of local days that the expression refers to. */
  public void collectReferences(TreeSet<String> regions, TreeSet<String> dayNames) {
    rules.forEach(rule -> rule.dayRule().collectReferences(regions, dayNames));
  }

  /**
   * Returns the first due instant after the given one; null if there is none within eight years.
   *
   * @param region the region whose holidays are not workdays; null if no holidays apply
   */
  public Instant findNextDue(Instant after, ZoneId zone, String region, DayCalendar dayCalendar) {
    LocalDate day = after.atZone(zone).toLocalDate().minusDays(1);
    for (int i = 0; i < MAX_LOOKAHEAD_DAYS; i++, day = day.plusDays(1)) {
      for (Instant due : dueTimesOn(day, zone, region, dayCalendar)) {
        if (due.isAfter(after)) {
          return due;
        }
      }
    }
    return null;
  }

  /**
   * Returns the due instants of a local day in ascending order.
   *
   * @param region the region whose holidays are not workdays; null if no holidays apply
   */
  public TreeSet<Instant> dueTimesOn(
      LocalDate day, ZoneId zone, String region, DayCalendar dayCalendar) {
    TreeSet<Instant> dueTimes = new TreeSet<>();
    for (Rule rule : rules) {
      if (!rule.dayRule().matches(day, region, dayCalendar)) {
        continue;
      }
      rule.times().forEach(time -> dueTimes.add(toInstant(day.atTime(time), zone)));
      if (rule.intervalMinutes() > 0) {
        for (int minute = 0; minute < MINUTES_PER_DAY; minute += rule.intervalMinutes()) {
          dueTimes.add(toInstant(day.atStartOfDay().plusMinutes(minute), zone));
        }
      }
    }
    return dueTimes;
  }

  private static Instant toInstant(LocalDateTime local, ZoneId zone) {
    var offsets = zone.getRules().getValidOffsets(local);
    if (offsets.isEmpty()) {
      ZoneOffsetTransition gap = zone.getRules().getTransition(local);
      return gap.getInstant();
    }
    // In an overlap the first offset gives the earlier instant.
    return local.toInstant(offsets.get(0));
  }

  /** Returns a human-readable explanation of why a day is due or not. */
  public String explain(LocalDate day, String region, DayCalendar dayCalendar) {
    return rules.stream()
        .map(rule -> rule.dayRule().explain(day, region, dayCalendar))
        .collect(Collectors.joining("; "));
  }
}
