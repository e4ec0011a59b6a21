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
 * When something is due: times of day on days of a calendar. Plain and immutable; days are looked
 * up in what is handed in.
 *
 * <p>Local times become instants by one rule. A time that daylight saving skips is due at the end
 * of the gap; one that comes twice is due the first time. Times that become the same instant are
 * one.
 */
public final class CalendarExpression {
  /** From one 29 February to the next at most, across a century without one, is eight years. */
  static final int MAX_LOOKAHEAD_DAYS = 8 * 366 + 1;

  private static final int MAX_LENGTH = 1_000;
  private static final int MINUTES_PER_DAY = 24 * 60;

  private final List<Rule> rules;
  private final String text;

  private CalendarExpression(String text, List<Rule> rules) {
    this.text = text;
    this.rules = rules;
  }

  /** A text that is no expression, with line, column and what was expected there. */
  public static final class MalformedExpressionException extends MalformedDataException {
    private static final long serialVersionUID = 1L;

    MalformedExpressionException(String reason) {
      super(reason);
    }
  }

  /** Some times on some days; {@code intervalMinutes} above 0 instead: counted from midnight. */
  record Rule(List<LocalTime> times, int intervalMinutes, DayRule dayRule) {}

  /**
   * Parses a calendar expression.
   *
   * @throws MalformedExpressionException if the text is too long, does not follow the grammar or
   *     can never match
   */
  public static CalendarExpression parse(String text) throws MalformedExpressionException {
    if (text.length() > MAX_LENGTH) {
      throw new MalformedExpressionException("longer than " + MAX_LENGTH + " characters");
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

  /** Names of holiday regions and local days that it speaks of. */
  public void collectReferences(TreeSet<String> regions, TreeSet<String> dayNames) {
    rules.forEach(r -> r.dayRule().collectReferences(regions, dayNames));
  }

  /** The first due instant after another; null if there is none within eight years. */
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

  /** The due instants of a local day, in order. */
  public TreeSet<Instant> dueTimesOn(
      LocalDate day, ZoneId zone, String region, DayCalendar dayCalendar) {
    TreeSet<Instant> dueTimes = new TreeSet<>();
    for (Rule rule : rules) {
      if (!rule.dayRule().matches(day, region, dayCalendar)) {
        continue;
      }
      rule.times().forEach(t -> dueTimes.add(toInstant(day.atTime(t), zone)));
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
    // In an overlap the first is the earlier instant.
    return local.toInstant(offsets.get(0));
  }

  /** Why a day is due or is not, for people. */
  public String explain(LocalDate day, String region, DayCalendar dayCalendar) {
    return rules.stream()
        .map(r -> r.dayRule().explain(day, region, dayCalendar))
        .collect(Collectors.joining("; "));
  }
}
