package io.violetrail.calendar;

import io.violetrail.calendar.Expression.Malformed;
import io.violetrail.calendar.Expression.Rule;
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

/** Turns the parser's tree into rules; what the grammar lets through and has no meaning is said. */
final class Reading {
  private static final int MOST_SHIFT = 60;

  List<Rule> rules(CalendarContext tree) throws Malformed {
    List<Rule> all = new ArrayList<>();
    for (DueRuleContext r : tree.dueRule()) {
      all.add(rule(r));
    }
    return List.copyOf(all);
  }

  private static Malformed at(Token token, String why) {
    return new Malformed(
        "line "
            + token.getLine()
            + ", column "
            + (token.getCharPositionInLine() + 1)
            + ": '"
            + token.getText()
            + "' "
            + why);
  }

  private static int number(Token token, int least, int most, String what) throws Malformed {
    int n = token.getText().length() > 6 ? Integer.MAX_VALUE : Integer.parseInt(token.getText());
    if (n < least || n > most) {
      throw at(token, "is no " + what + ": expected " + least + " to " + most);
    }
    return n;
  }

  private Rule rule(DueRuleContext r) throws Malformed {
    if (r instanceof AtTimesContext a) {
      List<LocalTime> times = new ArrayList<>();
      for (var t : a.TIME()) {
        try {
          times.add(LocalTime.parse(t.getText()));
        } catch (DateTimeException e) {
          throw at(t.getSymbol(), "is no time of day: expected 00:00 to 23:59");
        }
      }
      return new Rule(times, 0, days(a.days()));
    }
    EverySpanContext e = (EverySpanContext) r;
    boolean hours = e.unit.getType() == CalendarParser.HOURS;
    int n = number(e.INT().getSymbol(), 1, hours ? 24 : 24 * 60, "number of " + e.unit.getText());
    return new Rule(List.of(), hours ? 60 * n : n, days(e.days()));
  }

  private DayRule days(DaysContext d) throws Malformed {
    if (d == null) {
      return DayRule.everyDay();
    }
    List<DayRule> any = list(d.dayList(0));
    return new DayRule.Among(any, d.dayList().size() > 1 ? list(d.dayList(1)) : List.of());
  }

  private List<DayRule> list(DayListContext l) throws Malformed {
    List<DayRule> all = new ArrayList<>();
    for (DayItemContext i : l.dayItem()) {
      all.add(item(i));
    }
    return List.copyOf(all);
  }

  private DayRule item(DayItemContext i) throws Malformed {
    if (i instanceof UnshiftedContext u) {
      return base(u.dayBase());
    }
    ShiftedContext s = (ShiftedContext) i;
    int n = number(s.INT().getSymbol(), 1, MOST_SHIFT, "number of days");
    int unit = s.unit.getType();
    boolean workdays = unit == CalendarParser.WORKDAY || unit == CalendarParser.WORKDAYS;
    return new DayRule.Shifted(
        base(s.dayBase()), s.side.getType() == CalendarParser.BEFORE ? -n : n, workdays);
  }

  private DayRule base(DayBaseContext b) throws Malformed {
    if (b instanceof WorkdaysContext) {
      return DayRule.workdays();
    } else if (b instanceof WeekdayContext w) {
      return DayRule.weekday(weekday(w.WEEKDAY().getSymbol()));
    } else if (b instanceof NthOfMonthContext n) {
      int which = n.which.getType() == CalendarParser.LAST ? 0 : n.which.getText().charAt(0) - '0';
      return DayRule.nth(which, (DayRule.Simple) dayKind(n.what), months(n.months()));
    } else if (b instanceof DayOfMonthContext d) {
      return DayRule.dayOfMonth(
          number(d.INT().getSymbol(), 1, 31, "day of a month"), months(d.months()));
    } else if (b instanceof HolidaysContext h) {
      return new DayRule.HolidaysOf(text(h.STRING().getSymbol()));
    } else if (b instanceof NamedDaysContext n) {
      return new DayRule.Named(text(n.STRING().getSymbol()));
    } else if (b instanceof DateContext d) {
      try {
        return DayRule.date(LocalDate.parse(d.DATE().getText()));
      } catch (DateTimeException e) {
        throw at(d.DATE().getSymbol(), "is no date: expected YEAR-MONTH-DAY");
      }
    }
    return DayRule.everyDay();
  }

  private static DayRule dayKind(Token what) {
    return switch (what.getType()) {
      case CalendarParser.WORKDAY -> DayRule.workdays();
      case CalendarParser.WEEKDAY -> DayRule.weekday(weekday(what));
      default -> DayRule.everyDay();
    };
  }

  private static DayOfWeek weekday(Token t) {
    return DayOfWeek.valueOf(t.getText().toUpperCase(Locale.ROOT));
  }

  private static String text(Token t) {
    return t.getText().substring(1, t.getText().length() - 1);
  }

  private static Set<Month> months(MonthsContext m) {
    Set<Month> all = EnumSet.noneOf(Month.class);
    m.MONTHNAME().forEach(n -> all.add(Month.valueOf(n.getText().toUpperCase(Locale.ROOT))));
    return all.isEmpty() ? EnumSet.allOf(Month.class) : all;
  }
}
