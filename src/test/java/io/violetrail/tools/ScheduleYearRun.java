package io.violetrail.tools;

import io.violetrail.calendar.ScheduleYearSimulation;
import java.util.List;

/** Plays a simulated year of schedules and prints its figures and problems. Not a test. */
public final class ScheduleYearRun {
  private static final int MAX_PRINTED_PROBLEMS = 20;

  private ScheduleYearRun() {}

  /** Arguments: seed, schedules, days. */
  public static void main(String[] args) {
    final long startedAtNanos = System.nanoTime();
    ScheduleYearSimulation year =
        new ScheduleYearSimulation(
                Long.parseLong(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]))
            .run();
    List<String> problems = year.findProblems();
    ScheduleYearSimulation.Summary summary = year.summarize();
    List<Long> leadTimesMillis = summary.leadTimesMillis();
    boolean reported = !leadTimesMillis.isEmpty();
    System.out.printf(
        "%d runs, %d wrong, %d reports (%d withdrawn), %.2f changes a run, %d blocks, %.0f bytes a"
            + " run in them, lead time of reports s: least %d, median %d; played in %.0f s%n",
        summary.runs(),
        problems.size(),
        summary.reports(),
        summary.withdrawnReports(),
        summary.rowChanges() / (double) summary.runs(),
        summary.historyBlocks(),
        summary.historyBytesPerRun(),
        reported ? leadTimesMillis.get(0) / 1000 : 0,
        reported ? leadTimesMillis.get(leadTimesMillis.size() / 2) / 1000 : 0,
        (System.nanoTime() - startedAtNanos) / 1e9);
    problems.stream().limit(MAX_PRINTED_PROBLEMS).forEach(System.out::println);
  }
}
