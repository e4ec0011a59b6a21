package io.violetrail.tools;

import io.violetrail.calendar.ScheduleYearSimulation;
import java.util.List;

/** Simulates a year of schedules and prints its figures and problems. Not a test. */
public final class ScheduleYearRun {
  private static final int MAX_PRINTED_PROBLEMS = 20;

  private ScheduleYearRun() {}

  /** Arguments: seed, number of schedules, number of days. */
  public static void main(String[] args) {
    final long startedAtNanos = System.nanoTime();
    ScheduleYearSimulation year =
        new ScheduleYearSimulation(
                Long.parseLong(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]))
            .run();
    List<String> problems = year.findProblems();
    ScheduleYearSimulation.Summary summary = year.summarize();
    List<Long> leadTimesMillis = summary.leadTimesMillis();
    boolean hasReports = !leadTimesMillis.isEmpty();
    System.out.printf(
        "%d runs, %d problems, %d reports (%d withdrawn), %.2f row changes per run, %d history"
            + " blocks with %.0f bytes per run, lead time of reports in s: min %d, median %d;"
            + " simulated in %.0f s%n",
        summary.runs(),
        problems.size(),
        summary.reports(),
        summary.withdrawnReports(),
        summary.rowChanges() / (double) summary.runs(),
        summary.historyBlocks(),
        summary.historyBytesPerRun(),
        hasReports ? leadTimesMillis.get(0) / 1000 : 0,
        hasReports ? leadTimesMillis.get(leadTimesMillis.size() / 2) / 1000 : 0,
        (System.nanoTime() - startedAtNanos) / 1e9);
    problems.stream().limit(MAX_PRINTED_PROBLEMS).forEach(System.out::println);
  }
}
