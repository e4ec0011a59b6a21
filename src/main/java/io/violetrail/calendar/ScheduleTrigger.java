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
 * Fires the schedules of one owned entity, follows their runs, and reports what will be late.
 * Decides by the rows that it knows and by the clock; whether a step counts is decided by its
 * transaction, which is conditional on the row's revision. So a decision by an old row changes
 * nothing.
 *
 * <p>Called on the event loop's thread by the {@link ScheduleRegistry}. After a crash the entity's
 * next owner goes on from the rows, which have all that is needed.
 */
final class ScheduleTrigger {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleTrigger.class);

  /** How often each schedule with open runs is checked. */
  private static final long RUN_CHECK_INTERVAL_MILLIS = 2_000;

  /** The delay before a step that could not be taken is tried again. */
  private static final long RETRY_DELAY_MILLIS = 1_000;

  /** Runs of one schedule that are not over; what is due beyond that waits. */
  static final int MAX_OPEN_RUNS = 12;

  /** Ended runs that a row keeps before they go into a history block. */
  static final int RUNS_PER_BLOCK = 16;

  /** History blocks kept of a schedule; the oldest is deleted. */
  static final int MAX_HISTORY_BLOCKS = 64;

  /** Steps of one tick: submissions and heartbeats are handled in between. */
  private static final int MAX_STEPS_PER_TICK = 50;

  private final Environment environment;
  private final Supplier<DayCalendar> dayCalendar;
  private final Map<String, ScheduleState> schedulesByName = new HashMap<>();
  private final PriorityQueue<ScheduleTimer> dueTimers = new PriorityQueue<>();
  private final PriorityQueue<ScheduleTimer> runCheckTimers = new PriorityQueue<>();
  private final ClockJumpGuard clockJumpGuard;

  /** The edges: clocks, the state service, and what is known of jobs. */
  interface Environment {
    long wallClockMillis();

    long monotonicMillis();

    /** How many runs may be stored now without delaying other submissions. */
    int availableRunSlots();

    /** Stores a run's job with the next state of its schedule, by one transaction. */
    CompletableFuture<WriteOutcome> storeRun(ScheduleRow before, ScheduleRow next, JobSpec spec);

    /** Stores the next state; {@code block}, if not null, with it as the block of a number. */
    CompletableFuture<WriteOutcome> storeRow(
        ScheduleRow before, ScheduleRow next, ObjectNode block, boolean urgent);

    /** What is known of a job for sure; null if it has to be looked up, which this begins. */
    JobView findJobView(JobId id);

    /** The progress of an open job; null if it is not open here. */
    RunProgress findRunProgress(JobId id);
  }

  /** What a transaction came to. */
  record WriteOutcome(WriteResult result, long modRevision) {}

  enum WriteResult {
    APPLIED,
    /** The row has been changed by somebody else; the watch delivers the change. */
    CONFLICT
  }

  /** When a schedule is to be looked at; those of equal time in the order of their deadlines. */
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
      Environment environment, Supplier<DayCalendar> dayCalendar, double clockBoundSeconds) {
    this.environment = environment;
    this.dayCalendar = dayCalendar;
    this.clockJumpGuard = new ClockJumpGuard(clockBoundSeconds);
  }

  /** Takes a schedule's row over if it is newer than the known one. */
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

  /** Plans all due times again after a change of local days. */
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

  /** When the next step is due by the clock; for whoever skips idle time. */
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
      // Timers are not taken back when a schedule changes: one that means nothing now is passed.
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

  /** Settles the next due time: it gets its run, or a reason why not, or is tried again later. */
  private void settleNextDue(ScheduleState schedule, long nowMillis) {
    ScheduleRow row = schedule.row();
    ScheduleDefinition definition = schedule.definition();
    OverlapPolicy overlap = definition.overlap();
    long oldestDueMillis = nowMillis - (long) (1000 * definition.catchUpSeconds());
    boolean unfinished = !row.openRuns().isEmpty();
    if (schedule.nextDueMillis() < oldestDueMillis) {
      skipDueBefore(schedule, oldestDueMillis);
    } else if (unfinished && overlap == OverlapPolicy.SKIP) {
      long dueMillis = schedule.nextDueMillis();
      recordSkipped(schedule, dueMillis, dueMillis, 1, "the run before is not over");
    } else if ((unfinished && overlap == OverlapPolicy.WAIT)
        || row.openRuns().size() >= MAX_OPEN_RUNS) {
      enqueueDue(schedule, nowMillis + RUN_CHECK_INTERVAL_MILLIS);
    } else if (environment.availableRunSlots() <= 0) {
      enqueueDue(schedule, nowMillis + RETRY_DELAY_MILLIS);
    } else {
      fireRun(schedule, nowMillis);
    }
  }

  /** Settles all due times that are too old to be made up, by one write. */
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
                row -> ScheduleRow.recordSkipped(row, firstMillis, lastMillis, count, reason)),
        true);
  }

  private void fireRun(ScheduleState schedule, long nowMillis) {
    ScheduleRow before = schedule.row();
    long dueMillis = schedule.nextDueMillis();
    JobSpec spec;
    try {
      spec = schedule.definition().toJobSpec(ScheduleRow.runJobId(before.uid(), dueMillis));
    } catch (ScheduleDefinition.InvalidDefinitionException exception) {
      throw new IllegalStateException(exception);
    }
    ScheduleRow next = before.withChange(v -> ScheduleRow.recordFired(v, dueMillis, nowMillis));
    schedule.onWriteStarted();
    Futures.logFailure(
        environment
            .storeRun(before, next, spec)
            .whenComplete(
                (stored, failure) -> {
                  LOG.debug("schedule {} due {}: {}", before.name(), dueMillis, stored);
                  onWriteCompleted(schedule, next, stored, failure);
                }),
        "fire a schedule");
  }

  private void writeRow(ScheduleState schedule, ScheduleRow next, boolean urgent) {
    ScheduleRow before = schedule.row();
    ScheduleRow archived = next;
    ObjectNode block = null;
    if (next.endedRuns().size() >= RUNS_PER_BLOCK) {
      block = RunHistoryCodec.encode(next.endedRuns());
      archived =
          next.withChange(
              node -> {
                node.putArray("past");
                node.put("blocks", node.path("blocks").asInt() + 1);
              });
    }
    ScheduleRow stored = archived;
    schedule.onWriteStarted();
    Futures.logFailure(
        environment
            .storeRow(before, stored, block, urgent)
            .whenComplete((result, failure) -> onWriteCompleted(schedule, stored, result, failure)),
        "write a schedule's runs");
  }

  private void onWriteCompleted(
      ScheduleState schedule, ScheduleRow next, WriteOutcome stored, Throwable failure) {
    schedule.onWriteCompleted();
    if (failure == null && stored.result() == WriteResult.APPLIED) {
      if (stored.modRevision() > schedule.row().modRevision()) {
        replaceRow(schedule, next.withModRevision(stored.modRevision()));
      }
    } else if (schedule.hasNextDue()) {
      // If the row was changed, the watch delivers it; until then a new try would fail as well.
      enqueueDue(
          schedule,
          Math.max(schedule.nextDueMillis(), environment.wallClockMillis() + RETRY_DELAY_MILLIS));
    }
    enqueueRunCheck(schedule);
  }

  /** Checks a schedule's runs up to the first that leads to a write; true if one does. */
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
                    v -> ScheduleRow.recordEnded(v, run.dueMillis(), nowMillis, outcome, late)),
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

  /** Writes a report of a miss, of its change or of its recovery; true if there is one to write. */
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
        "schedule {} due {}: {}",
        schedule.row().name(),
        Instant.ofEpochMilli(run.dueMillis()),
        assessment.recovered()
            ? "it will be in time after all"
            : "it will miss its deadline " + Instant.ofEpochMilli(deadlineMillis));
    writeRow(
        schedule,
        schedule
            .row()
            .withChange(row -> ScheduleRow.runEntry(row, run.dueMillis()).set("report", report)),
        true);
    return true;
  }

  /** Rows with a report that was not withdrawn. */
  List<ScheduleRow> findSchedulesWithOpenReports() {
    return schedulesByName.values().stream()
        .map(ScheduleState::row)
        .filter(row -> row.openRuns().stream().anyMatch(Run::hasOpenReport))
        .toList();
  }
}
