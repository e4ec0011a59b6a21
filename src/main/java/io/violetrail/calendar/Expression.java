package io.violetrail.calendar;

import io.violetrail.calendar.grammar.CalendarLexer;
import io.violetrail.calendar.grammar.CalendarParser;
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
public final class Expression {
  /** From one 29 February to the next at most, across a century without one, is eight years. */
  static final int HORIZON_DAYS = 8 * 366 + 1;

  private static final int MOST_LENGTH = 1_000;
  private static final int MOST_A_DAY = 24 * 60;

  private final List<Rule> rules;
  private final String text;

  private Expression(String text, List<Rule> rules) {
    this.text = text;
    this.rules = rules;
  }

  /** A text that is no expression, with line, column and what was expected there. */
  public static final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    Malformed(String why) {
      super(why, null, false, false);
    }
  }

  /** Some times on some days; {@code everyMinutes} above 0 instead: counted from midnight. */
  record Rule(List<LocalTime> times, int everyMinutes, DayRule days) {}

  /**
   * Parses a calendar expression.
   *
   * @throws Malformed if the text is too long, does not follow the grammar or can never match
   */
  public static Expression parse(String text) throws Malformed {
    if (text.length() > MOST_LENGTH) {
      throw new Malformed("longer than " + MOST_LENGTH + " characters");
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
              RecognitionException e) {
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
      throw new Malformed(errors.get(0));
    }
    return new Expression(text, new Reading().rules(tree));
  }

  @Override
  public String toString() {
    return text;
  }

  /** Names of holiday regions and local days that it speaks of. */
  public void names(TreeSet<String> regions, TreeSet<String> named) {
    rules.forEach(r -> r.days().names(regions, named));
  }

  /** The first due instant after another; null if there is none within eight years. */
  public Instant next(Instant after, ZoneId zone, String region, Days days) {
    LocalDate day = after.atZone(zone).toLocalDate().minusDays(1);
    for (int i = 0; i < HORIZON_DAYS; i++, day = day.plusDays(1)) {
      for (Instant due : on(day, zone, region, days)) {
        if (due.isAfter(after)) {
          return due;
        }
      }
    }
    return null;
  }

  /** The due instants of a local day, in order. */
  public TreeSet<Instant> on(LocalDate day, ZoneId zone, String region, Days days) {
    TreeSet<Instant> all = new TreeSet<>();
    for (Rule r : rules) {
      if (!r.days().matches(day, region, days)) {
        continue;
      }
      r.times().forEach(t -> all.add(instant(day.atTime(t), zone)));
      if (r.everyMinutes() > 0) {
        for (int m = 0; m < MOST_A_DAY; m += r.everyMinutes()) {
          all.add(instant(day.atStartOfDay().plusMinutes(m), zone));
        }
      }
    }
    return all;
  }

  private static Instant instant(LocalDateTime local, ZoneId zone) {
    var offsets = zone.getRules().getValidOffsets(local);
    if (offsets.isEmpty()) {
      ZoneOffsetTransition gap = zone.getRules().getTransition(local);
      return gap.getInstant();
    }
    // In an overlap the first is the earlier instant.
    return local.toInstant(offsets.get(0));
  }

  /** Why a day is due or is not, for people. */
  public String why(LocalDate day, String region, Days days) {
    return rules.stream()
        .map(r -> r.days().why(day, region, days))
        .collect(Collectors.joining("; "));
  }
}
