package io.violetrail.calendar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.ScheduleRow.Run;
import io.violetrail.wire.Cbor;

/**
 * Decides when to report that a run is forecast to miss its deadline or has missed it, and encodes
 * the report in its stored form.
 */
final class DeadlineReport {
  /** A report is repeated when the forecast gets worse than the reported one by more than this. */
  private static final long REREPORT_THRESHOLD_MILLIS = 60_000;

  /**
   * A report is withdrawn once the forecast completion precedes the deadline by at least this
   * fraction of the time from the due time to the deadline. Without a margin, a forecast close to
   * the deadline would cause alternating reports and withdrawals.
   */
  private static final double RECOVERY_MARGIN_FRACTION = 0.05;

  private DeadlineReport() {}

  /**
   * The consequences of a forecast for a run's report.
   *
   * @param reportDue whether a new or changed report must be written
   * @param recovered whether an open report must be withdrawn
   * @param deadlinePassed whether the deadline has passed
   */
  record Assessment(boolean reportDue, boolean recovered, boolean deadlinePassed) {}

  /**
   * Compares a run's forecast with its deadline and its last report.
   *
   * @param secondsToDeadline the time from the run's due time to its deadline
   */
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

  /**
   * Returns the report in its stored form: {@code at} is the time of the first report, {@code said}
   * that of this one, {@code done} the forecast completion.
   */
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
