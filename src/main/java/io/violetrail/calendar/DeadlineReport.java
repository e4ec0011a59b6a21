package io.violetrail.calendar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.ScheduleRow.Run;
import io.violetrail.wire.Cbor;

/** When a run's operators are told that it will miss its deadline, and in which stored form. */
final class DeadlineReport {
  /** A miss that becomes this much worse is reported again. */
  private static final long REREPORT_THRESHOLD_MILLIS = 60_000;

  /**
   * A report is withdrawn once the run is expected this part of its time to the deadline before the
   * deadline: without a margin a forecast at the edge would report and withdraw in turn.
   */
  private static final double RECOVERY_MARGIN_FRACTION = 0.05;

  private DeadlineReport() {}

  /**
   * What a forecast means for a run's report.
   *
   * @param reportDue whether anything new is to be reported
   * @param recovered whether an open report is to be withdrawn
   * @param deadlinePassed whether the deadline is over
   */
  record Assessment(boolean reportDue, boolean recovered, boolean deadlinePassed) {}

  /** Compares a run's forecast with its deadline and its last report. */
  static Assessment assess(
      Run run, long nowMillis, long forecastMillis, long deadlineMillis, double secondsToDeadline) {
    boolean late = forecastMillis > deadlineMillis;
    boolean deadlinePassed = nowMillis > deadlineMillis;
    if (!run.hasOpenReport()) {
      return new Assessment(late, false, deadlinePassed);
    }
    long marginMillis = (long) (RECOVERY_MARGIN_FRACTION * 1000 * secondsToDeadline);
    long reportedForecastMillis = run.report().path("done").asLong();
    boolean beforeDeadline = nowMillis < deadlineMillis;
    boolean worse =
        late
            && forecastMillis > reportedForecastMillis + REREPORT_THRESHOLD_MILLIS
            && beforeDeadline;
    boolean missed = deadlinePassed && !run.report().path("missed").asBoolean();
    boolean recovered = beforeDeadline && forecastMillis <= deadlineMillis - marginMillis;
    return new Assessment(worse || missed || recovered, recovered, deadlinePassed);
  }

  /** The report as a run's entry in its row has it. */
  static ObjectNode toJson(Run run, long nowMillis, long forecastMillis, Assessment assessment) {
    long firstReportedMillis = run.hasOpenReport() ? run.report().path("at").asLong() : nowMillis;
    return Cbor.newMap()
        .put("at", firstReportedMillis)
        .put("said", nowMillis)
        .put("done", forecastMillis)
        .put("withdrawn", assessment.recovered())
        .put("missed", assessment.deadlinePassed());
  }
}
