package io.violetrail.calendar;

import io.violetrail.calendar.CalendarExpression.MalformedExpressionException;
import io.violetrail.calendar.CalendarExpression.Rule;
import io.violetrail.calendar.grammar.CalendarParser;
import io.violetrail.calendar.grammar.CalendarParser.AtTimesContext;
import io.violetrail.calendar.grammar.CalendarParser.CalendarContext;
import io.violetrail.calendar.grammar.CalendarParser.DateContext;
import io.violetrail.calendar.grammar.CalendarParser.DayBaseContext;
import io.violetrail.calendar.grammar.CalendarParser.DayItemContext;
import io.violetrail.calendar.grammar.CalendarParser.DayListContext;
import io.violetrail.calendar.grammar.CalendarParser.DayOfMonthContext;
import io.violetrail.calendar.grammar.CalendarParser.DaysContext;
import io.violetrail.calendar.grammar.CalendarParser.DueRuleContext;
import io.violetrail.calendar.grammar.CalendarParser.EverySpanContext;
import io.violetrail.calendar.grammar.CalendarParser.HolidaysContext;
import io.violetrail.calendar.grammar.CalendarParser.MonthsContext;
import io.violetrail.calendar.grammar.CalendarParser.NamedDaysContext;
import io.violetrail.calendar.grammar.CalendarParser.NthOfMonthContext;
import io.violetrail.calendar.grammar.CalendarParser.ShiftedContext;
import io.violetrail.calendar.grammar.CalendarParser.UnshiftedContext;
import io.violetrail.calendar.grammar.CalendarParser.WeekdayContext;
import io.violetrail.calendar.grammar.CalendarParser.WorkdaysContext;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.Month;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.antlr.v4.runtime.Token;

/**
 * Converts the parse tree of a calendar expression to rules. Rejects values that the grammar
 * accepts but that are out of range.
 */
final class ExpressionParser {
  private static final int MAX_SHIFT_DAYS = 60;

  List<Rule> parseRules(CalendarContext tree) throws MalformedExpressionException {
    List<Rule> rules = new ArrayList<>();
    for (DueRuleContext dueRule : tree.dueRule()) {
      rules.add(parseRule(dueRule));
    }
    return List.copyOf(rules);
  }

  private static MalformedExpressionException errorAt(Token token, String reason) {
    return new MalformedExpressionException(
        "line "
            + token.getLine()
            + ", column "
            + (token.getCharPositionInLine() + 1)
            + ": '"
            + token.getText()
            + "' "
            + reason);
  }

  private static int parseNumber(Token token, int min, int max, String quantityName)
      throws MalformedExpressionException {
    int value =
        token.getText().length() > 6 ? Integer.MAX_VALUE : Integer.parseInt(token.getText());
    if (value < min || value > max) {
      throw errorAt(token, "is not a valid " + quantityName + ": expected " + min + " to " + max);
    }
    return value;
  }

  private Rule parseRule(DueRuleContext dueRule) throws MalformedExpressionException {
    if (dueRule instanceof AtTimesContext atTimes) {
      List<LocalTime> times = new ArrayList<>();
      for (var time : atTimes.TIME()) {
        try {
          times.add(LocalTime.parse(time.getText()));
        } catch (DateTimeException exception) {
          throw errorAt(time.getSymbol(), "is not a time of day: expected 00:00 to 23:59");
        }
      }
      return new Rule(times, 0, parseDays(atTimes.days()));
    }
    EverySpanContext everySpan = (EverySpanContext) dueRule;
    boolean unitIsHours = everySpan.unit.getType() == CalendarParser.HOURS;
    int interval =
        parseNumber(
            everySpan.INT().getSymbol(),
            1,
            unitIsHours ? 24 : 24 * 60,
            "number of " + everySpan.unit.getText());
    return new Rule(List.of(), unitIsHours ? 60 * interval : interval, parseDays(everySpan.days()));
  }

  private DayRule parseDays(DaysContext context) throws MalformedExpressionException {
    if (context == null) {
      return DayRule.everyDay();
    }
    List<DayRule> included = parseDayList(context.dayList(0));
    return new DayRule.DaySelection(
        included, context.dayList().size() > 1 ? parseDayList(context.dayList(1)) : List.of());
  }

  private List<DayRule> parseDayList(DayListContext context) throws MalformedExpressionException {
    List<DayRule> rules = new ArrayList<>();
    for (DayItemContext item : context.dayItem()) {
      rules.add(parseDayItem(item));
    }
    return List.copyOf(rules);
  }

  private DayRule parseDayItem(DayItemContext item) throws MalformedExpressionException {
    if (item instanceof UnshiftedContext unshifted) {
      return parseDayBase(unshifted.dayBase());
    }
    ShiftedContext shifted = (ShiftedContext) item;
    int count = parseNumber(shifted.INT().getSymbol(), 1, MAX_SHIFT_DAYS, "number of days");
    int unit = shifted.unit.getType();
    boolean workdays = unit == CalendarParser.WORKDAY || unit == CalendarParser.WORKDAYS;
    return new DayRule.ShiftedDays(
        parseDayBase(shifted.dayBase()),
        shifted.side.getType() == CalendarParser.BEFORE ? -count : count,
        workdays);
  }

  private DayRule parseDayBase(DayBaseContext base) throws MalformedExpressionException {
    if (base instanceof WorkdaysContext) {
      return DayRule.workdays();
    } else if (base instanceof WeekdayContext weekday) {
      return DayRule.onWeekday(parseWeekday(weekday.WEEKDAY().getSymbol()));
    } else if (base instanceof NthOfMonthContext nthOfMonth) {
      int ordinal =
          nthOfMonth.which.getType() == CalendarParser.LAST
              ? 0
              : nthOfMonth.which.getText().charAt(0) - '0';
      return DayRule.nthOfMonth(
          ordinal,
          (DayRule.PredicateRule) parseDayKind(nthOfMonth.what),
          parseMonths(nthOfMonth.months()));
    } else if (base instanceof DayOfMonthContext dayOfMonth) {
      return DayRule.dayOfMonth(
          parseNumber(dayOfMonth.INT().getSymbol(), 1, 31, "day of a month"),
          parseMonths(dayOfMonth.months()));
    } else if (base instanceof HolidaysContext holidays) {
      return new DayRule.RegionHolidays(unquote(holidays.STRING().getSymbol()));
    } else if (base instanceof NamedDaysContext namedDays) {
      return new DayRule.NamedDays(unquote(namedDays.STRING().getSymbol()));
    } else if (base instanceof DateContext date) {
      try {
        return DayRule.onDate(LocalDate.parse(date.DATE().getText()));
      } catch (DateTimeException exception) {
        throw errorAt(date.DATE().getSymbol(), "is not a date: expected YEAR-MONTH-DAY");
      }
    }
    return DayRule.everyDay();
  }

  private static DayRule parseDayKind(Token what) {
    return switch (what.getType()) {
      case CalendarParser.WORKDAY -> DayRule.workdays();
      case CalendarParser.WEEKDAY -> DayRule.onWeekday(parseWeekday(what));
      default -> DayRule.everyDay();
    };
  }

  private static DayOfWeek parseWeekday(Token token) {
    return DayOfWeek.valueOf(token.getText().toUpperCase(Locale.ROOT));
  }

  private static String unquote(Token token) {
    return token.getText().substring(1, token.getText().length() - 1);
  }

  private static Set<Month> parseMonths(MonthsContext context) {
    Set<Month> months = EnumSet.noneOf(Month.class);
    context
        .MONTHNAME()
        .forEach(name -> months.add(Month.valueOf(name.getText().toUpperCase(Locale.ROOT))));
    return months.isEmpty() ? EnumSet.allOf(Month.class) : months;
  }
}
