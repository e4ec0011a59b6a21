package io.violetrail.calendar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.CompletionForecast.RunProgress;
import io.violetrail.calendar.ScheduleDefinition.OverlapPolicy;
import io.violetrail.calendar.ScheduleRow.Run;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.net.Futures;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fires the schedules of one owned entity, monitors their runs, and reports runs that are forecast
 * to miss their deadline. Decisions are based on the known rows and the clock. Every step takes
 * effect only through its transaction, which is conditional on the row's revision, so a decision
 * based on an outdated row changes nothing.
 *
 * <p>Called on the event loop's thread by the {@link ScheduleRegistry}. After a crash the entity's
 * next owner continues from the rows, which contain the complete state.
 */
final class ScheduleTrigger {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleTrigger.class);

  /** The interval at which each schedule with open runs is checked. */
  private static final long RUN_CHECK_INTERVAL_MILLIS = 2_000;

  /** The delay before a step that could not be taken is retried. */
  private static final long RETRY_DELAY_MILLIS = 1_000;

  /** The maximum number of open runs of one schedule; further due times wait until a run ends. */
  static final int MAX_OPEN_RUNS = 12;

  /** The number of ended runs at which a row's ended runs are moved to a history block. */
  static final int RUNS_PER_BLOCK = 16;

  /** The number of history blocks kept for a schedule; the oldest is deleted beyond that. */
  static final int MAX_HISTORY_BLOCKS = 64;

  /**
   * The maximum number of steps of each kind in one tick, so that submissions and heartbeats are
   * handled between the ticks.
   */
  private static final int MAX_STEPS_PER_TICK = 50;

  private final Environment environment;
  private final Supplier<DayCalendar> dayCalendar;
  private final Map<String, ScheduleState> schedulesByName = new HashMap<>();
  private final PriorityQueue<ScheduleTimer> dueTimers = new PriorityQueue<>();
  private final PriorityQueue<ScheduleTimer> runCheckTimers = new PriorityQueue<>();
  private final ClockJumpGuard clockJumpGuard;

  /** Access to the clocks, the state service and the state of jobs. */
  interface Environment {
    long wallClockMillis();

    long monotonicMillis();

    /** Returns how many runs may be stored now without delaying other submissions. */
    int availableRunSlots();

    /** Stores a run's job and the next state of its schedule's row in one transaction. */
    CompletableFuture<WriteOutcome> storeRun(ScheduleRow before, ScheduleRow next, JobSpec spec);

    /**
     * Stores the next state of a schedule's row.
     *
     * @param block a history block that is stored in the same transaction, under the number that
     *     follows from the block count of {@code next}; null if there is none
     * @param urgent whether the write has normal rather than background priority
     */
    CompletableFuture<WriteOutcome> storeRow(
        ScheduleRow before, ScheduleRow next, ObjectNode block, boolean urgent);

    /**
     * Returns the state of a job that is open in the entity or is known to have ended. Otherwise
     * starts a lookup and returns null; a later call returns the result.
     */
    JobView findJobView(JobId id);

    /** Returns the progress of an open job; null if the entity has no such open job. */
    RunProgress findRunProgress(JobId id);
  }

  /**
   * The outcome of a transaction.
   *
   * @param modRevision the row's new revision if the transaction was applied
   */
  record WriteOutcome(WriteResult result, long modRevision) {}

  enum WriteResult {
    APPLIED,
    /** Another write has changed the row; the watch delivers the change. */
    CONFLICT
  }

  /** The time of a schedule's next step. Timers of equal time are ordered by deadline. */
  private record ScheduleTimer(long atMillis, long deadlineMillis, String name)
      implements Comparable<ScheduleTimer> {
    @Override
    public int compareTo(ScheduleTimer other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      int byDeadline = byTime != 0 ? byTime : Long.compare(deadlineMillis, other.deadlineMillis);
      return byDeadline != 0 ? byDeadline : name.compareTo(other.name);
    }
  }

  ScheduleTrigger(
      Environment environment, Supplier<DayCalendar> dayCalendar, double clockErrorBoundSeconds) {
    this.environment = environment;
    this.dayCalendar = dayCalendar;
    this.clockJumpGuard = new ClockJumpGuard(clockErrorBoundSeconds);
  }

  /** Replaces the known row of a schedule if the given one is newer. */
  void onRowChanged(ScheduleRow row) {
    ScheduleState schedule = schedulesByName.get(row.name());
    if (schedule == null) {
      schedule = new ScheduleState(row);
      schedulesByName.put(row.name(), schedule);
      planSteps(schedule);
    } else if (schedule.row().modRevision() < row.modRevision()) {
      replaceRow(schedule, row);
    }
  }

  private void replaceRow(ScheduleState schedule, ScheduleRow row) {
    schedule.replaceRow(row);
    planSteps(schedule);
  }

  private void planSteps(ScheduleState schedule) {
    planNextDue(schedule);
    enqueueRunCheck(schedule);
  }

  private void enqueueRunCheck(ScheduleState schedule) {
    if (!schedule.row().openRuns().isEmpty()) {
      runCheckTimers.add(
          new ScheduleTimer(
              environment.wallClockMillis() + RUN_CHECK_INTERVAL_MILLIS, 0, schedule.row().name()));
    }
  }

  /** Recomputes the next due times of all schedules after a change of local days. */
  void onDaysChanged() {
    schedulesByName.values().forEach(this::planNextDue);
  }

  private void planNextDue(ScheduleState schedule) {
    schedule.planNextDue(dayCalendar.get());
    if (schedule.hasNextDue()) {
      enqueueDue(schedule, schedule.nextDueMillis());
    }
  }

  private void enqueueDue(ScheduleState schedule, long atMillis) {
    dueTimers.add(
        new ScheduleTimer(
            atMillis,
            schedule.nextDueMillis() + (long) (1000 * schedule.definition().deadlineSeconds()),
            schedule.row().name()));
  }

  void onScheduleDeleted(String name) {
    schedulesByName.remove(name);
  }

  /**
   * Returns the wall-clock time of the next timer, {@link Long#MAX_VALUE} if there is none. It
   * allows a caller to skip idle time.
   */
  long nextStepAtMillis() {
    long first = dueTimers.isEmpty() ? Long.MAX_VALUE : dueTimers.peek().atMillis();
    return Math.min(
        first, runCheckTimers.isEmpty() ? Long.MAX_VALUE : runCheckTimers.peek().atMillis());
  }

  int scheduleCount() {
    return schedulesByName.size();
  }

  void tick() {
    long nowMillis = environment.wallClockMillis();
    if (!clockJumpGuard.isTrusted(nowMillis, environment.monotonicMillis())) {
      return;
    }
    settleDueTimes(nowMillis);
    checkOpenRuns(nowMillis);
  }

  private void settleDueTimes(long nowMillis) {
    int remainingSteps = MAX_STEPS_PER_TICK;
    while (remainingSteps > 0 && isFirstDue(dueTimers, nowMillis)) {
      remainingSteps--;
      ScheduleState schedule = schedulesByName.get(dueTimers.poll().name());
      // Timers are not removed when a schedule changes, so outdated timers are skipped here.
      if (schedule != null
          && !schedule.isWriteInFlight()
          && schedule.nextDueMillis() <= nowMillis) {
        settleNextDue(schedule, nowMillis);
      }
    }
  }

  private void checkOpenRuns(long nowMillis) {
    int remainingSteps = MAX_STEPS_PER_TICK;
    while (remainingSteps > 0 && isFirstDue(runCheckTimers, nowMillis)) {
      remainingSteps--;
      ScheduleState schedule = schedulesByName.get(runCheckTimers.poll().name());
      if (schedule == null || schedule.row().openRuns().isEmpty()) {
        continue;
      }
      boolean checkAgain = schedule.isWriteInFlight() || !checkRuns(schedule, nowMillis);
      if (checkAgain) {
        runCheckTimers.add(
            new ScheduleTimer(nowMillis + RUN_CHECK_INTERVAL_MILLIS, 0, schedule.row().name()));
      }
    }
  }

  private static boolean isFirstDue(PriorityQueue<ScheduleTimer> timers, long nowMillis) {
    return !timers.isEmpty() && timers.peek().atMillis() <= nowMillis;
  }

  /** Fires a run for the next due time, records why it is skipped, or enqueues it for a retry. */
  private void settleNextDue(ScheduleState schedule, long nowMillis) {
    ScheduleRow row = schedule.row();
    ScheduleDefinition definition = schedule.definition();
    OverlapPolicy overlap = definition.overlap();
    long oldestDueMillis = nowMillis - (long) (1000 * definition.catchUpSeconds());
    boolean hasOpenRuns = !row.openRuns().isEmpty();
    if (schedule.nextDueMillis() < oldestDueMillis) {
      skipDueBefore(schedule, oldestDueMillis);
    } else if (hasOpenRuns && overlap == OverlapPolicy.SKIP) {
      long dueMillis = schedule.nextDueMillis();
      recordSkipped(schedule, dueMillis, dueMillis, 1, "the run before is not over");
    } else if ((hasOpenRuns && overlap == OverlapPolicy.WAIT)
        || row.openRuns().size() >= MAX_OPEN_RUNS) {
      enqueueDue(schedule, nowMillis + RUN_CHECK_INTERVAL_MILLIS);
    } else if (environment.availableRunSlots() <= 0) {
      enqueueDue(schedule, nowMillis + RETRY_DELAY_MILLIS);
    } else {
      fireRun(schedule, nowMillis);
    }
  }

  /** Records in one write that all due times beyond the catch-up limit are skipped. */
  private void skipDueBefore(ScheduleState schedule, long oldestDueMillis) {
    ScheduleDefinition definition = schedule.definition();
    long lastMillis = schedule.nextDueMillis();
    int count = 1;
    Instant dueTime = definition.findNextDue(Instant.ofEpochMilli(lastMillis), dayCalendar.get());
    while (dueTime != null && dueTime.toEpochMilli() < oldestDueMillis) {
      lastMillis = dueTime.toEpochMilli();
      count++;
      dueTime = definition.findNextDue(dueTime, dayCalendar.get());
    }
    recordSkipped(schedule, schedule.nextDueMillis(), lastMillis, count, "too far back");
  }

  private void recordSkipped(
      ScheduleState schedule, long firstMillis, long lastMillis, int count, String reason) {
    writeRow(
        schedule,
        schedule
            .row()
            .withChange(
                value -> ScheduleRow.recordSkipped(value, firstMillis, lastMillis, count, reason)),
        true);
  }

  private void fireRun(ScheduleState schedule, long nowMillis) {
    ScheduleRow before = schedule.row();
    long dueMillis = schedule.nextDueMillis();
    JobSpec spec;
    try {
      spec = schedule.definition().toJobSpec(ScheduleRow.runJobId(before.uid(), dueMillis));
    } catch (ScheduleDefinition.InvalidDefinitionException exception) {
      throw new IllegalStateException(
          "schedule " + before.name() + ": the definition does not yield a valid job", exception);
    }
    ScheduleRow next =
        before.withChange(value -> ScheduleRow.recordFired(value, dueMillis, nowMillis));
    schedule.onWriteStarted();
    Futures.logFailure(
        environment
            .storeRun(before, next, spec)
            .whenComplete(
                (outcome, failure) -> {
                  LOG.debug(
                      "schedule {}: write of the run due at {} completed: {}",
                      before.name(),
                      dueMillis,
                      outcome);
                  onWriteCompleted(schedule, next, outcome, failure);
                }),
        "store a run of a schedule");
  }

  private void writeRow(ScheduleState schedule, ScheduleRow next, boolean urgent) {
    ScheduleRow before = schedule.row();
    ScheduleRow rowToStore = next;
    ObjectNode block = null;
    if (next.endedRuns().size() >= RUNS_PER_BLOCK) {
      block = RunHistoryCodec.encode(next.endedRuns());
      rowToStore =
          next.withChange(
              value -> {
                value.putArray("past");
                value.put("blocks", value.path("blocks").asInt() + 1);
              });
    }
    ScheduleRow storedRow = rowToStore;
    schedule.onWriteStarted();
    Futures.logFailure(
        environment
            .storeRow(before, storedRow, block, urgent)
            .whenComplete(
                (outcome, failure) -> onWriteCompleted(schedule, storedRow, outcome, failure)),
        "write the row of a schedule");
  }

  private void onWriteCompleted(
      ScheduleState schedule, ScheduleRow next, WriteOutcome outcome, Throwable failure) {
    schedule.onWriteCompleted();
    if (failure == null && outcome.result() == WriteResult.APPLIED) {
      if (outcome.modRevision() > schedule.row().modRevision()) {
        replaceRow(schedule, next.withModRevision(outcome.modRevision()));
      }
    } else if (schedule.hasNextDue()) {
      // After a conflict the watch delivers the changed row; a retry before that fails as well.
      enqueueDue(
          schedule,
          Math.max(schedule.nextDueMillis(), environment.wallClockMillis() + RETRY_DELAY_MILLIS));
    }
    enqueueRunCheck(schedule);
  }

  /**
   * Checks a schedule's open runs up to the first one that requires a write, and starts the write.
   *
   * @return whether a write was started
   */
  private boolean checkRuns(ScheduleState schedule, long nowMillis) {
    for (Run run : schedule.row().openRuns()) {
      JobId id = ScheduleRow.runJobId(schedule.row().uid(), run.dueMillis());
      JobView view = environment.findJobView(id);
      long deadlineMillis =
          run.dueMillis() + (long) (1000 * schedule.definition().deadlineSeconds());
      if (view != null && view.status().isTerminal()) {
        String outcome = view.status().name();
        boolean late = nowMillis > deadlineMillis || !outcome.equals("DONE");
        writeRow(
            schedule,
            schedule
                .row()
                .withChange(
                    value ->
                        ScheduleRow.recordEnded(value, run.dueMillis(), nowMillis, outcome, late)),
            false);
        return true;
      }
      RunProgress progress = view == null ? null : environment.findRunProgress(id);
      long forecastMillis =
          Math.max(
              nowMillis,
              progress == null
                  ? nowMillis
                  : CompletionForecast.completionMillis(nowMillis, progress));
      if (reportForecast(schedule, run, nowMillis, forecastMillis, deadlineMillis)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Writes a report if the run is forecast to miss its deadline, if an earlier report needs an
   * update, or if the report must be withdrawn.
   *
   * @return whether a write was started
   */
  private boolean reportForecast(
      ScheduleState schedule, Run run, long nowMillis, long forecastMillis, long deadlineMillis) {
    DeadlineReport.Assessment assessment =
        DeadlineReport.assess(
            run,
            nowMillis,
            forecastMillis,
            deadlineMillis,
            schedule.definition().deadlineSeconds());
    if (!assessment.reportDue()) {
      return false;
    }
    ObjectNode report = DeadlineReport.toJson(run, nowMillis, forecastMillis, assessment);
    LOG.info(
        "schedule {}: the run due at {} {}",
        schedule.row().name(),
        Instant.ofEpochMilli(run.dueMillis()),
        assessment.recovered()
            ? "is forecast to meet its deadline again; its report is withdrawn"
            : "is late: it is forecast to end after its deadline "
                + Instant.ofEpochMilli(deadlineMillis));
    writeRow(
        schedule,
        schedule
            .row()
            .withChange(
                value -> ScheduleRow.runEntry(value, run.dueMillis()).set("report", report)),
        true);
    return true;
  }

  /** Returns the rows of schedules that have a report which was not withdrawn. */
  List<ScheduleRow> findSchedulesWithOpenReports() {
    return schedulesByName.values().stream()
        .map(ScheduleState::row)
        .filter(row -> row.openRuns().stream().anyMatch(Run::hasOpenReport))
        .toList();
  }
}
