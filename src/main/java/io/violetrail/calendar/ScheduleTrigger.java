package io.violetrail.calendar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.CompletionForecast.RunProgress;
import io.violetrail.calendar.ScheduleDefinition.OverlapPolicy;
import io.violetrail.calendar.ScheduleRow.Run;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.wire.Cbor;
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
 * Fires the schedules of one held entity, watches over their runs, and reports what will be late.
 * Decides by what it has been told of the rows and by the clock; whether a step counts is decided
 * by the transaction behind it, which names the row's last change.
 */
final class ScheduleTrigger {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleTrigger.class);

  /** Runs that are looked at, in turn, every so many milliseconds. */
  private static final long RUN_CHECK_INTERVAL_MILLIS = 2_000;

  /** A step that could not be taken is tried again after this long. */
  private static final long RETRY_DELAY_MILLIS = 1_000;

  /** Runs of one schedule that are not over; what is due beyond that waits. */
  static final int MAX_OPEN_RUNS = 12;

  /** Ended runs in a row before they go into a block. */
  static final int RUNS_PER_BLOCK = 16;

  /** Blocks kept of a schedule; the oldest goes. */
  static final int MAX_HISTORY_BLOCKS = 64;

  /** Steps of one turn: native work comes in between. */
  private static final int MAX_STEPS_PER_TICK = 50;

  /** A miss that becomes this much worse is reported again. */
  private static final long REREPORT_THRESHOLD_MILLIS = 60_000;

  /** A run foreseen in time by this part of its time to the deadline is no longer reported. */
  private static final double RECOVERY_MARGIN_FRACTION = 0.05;

  /** Wall clock and steady clock may part by twice the bound on the time of day in one step. */
  private final long maxClockStepMillis;

  private static final long CLOCK_DISTRUST_MILLIS = 5_000;

  private final Environment environment;
  private final Supplier<DayCalendar> dayCalendar;
  private final Map<String, ScheduleState> schedulesByName = new HashMap<>();
  private final PriorityQueue<ScheduleTimer> dueTimers = new PriorityQueue<>();
  private final PriorityQueue<ScheduleTimer> runCheckTimers = new PriorityQueue<>();
  private long clockOffsetMillis;
  private boolean clockOffsetKnown;
  private long clockDistrustedUntilMillis;

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

    /** What is seen of an open job; null if it is not open here. */
    RunProgress findRunProgress(JobId id);
  }

  /** What a transaction came to. */
  record WriteOutcome(WriteResult result, long modRevision) {}

  enum WriteResult {
    APPLIED,
    /** The row has been changed by somebody else; the feed tells. */
    CONFLICT,
    /** Nothing is stored now. */
    DEFERRED
  }

  private static final class ScheduleState {
    ScheduleRow row;
    ScheduleDefinition scheduleDefinition;
    long nextDueMillis = Long.MAX_VALUE;
    boolean writeInFlight;
  }

  /** A turn of a schedule; ones of equal time by the deadline. */
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
    this.maxClockStepMillis = (long) (2_000 * clockBoundSeconds) + 1_000;
  }

  /** A schedule's row as it stands. */
  void onRowChanged(ScheduleRow row) {
    ScheduleState schedule = schedulesByName.computeIfAbsent(row.name(), n -> new ScheduleState());
    if (schedule.row != null && schedule.row.modRevision() >= row.modRevision()) {
      return;
    }
    applyRow(schedule, row);
  }

  private void applyRow(ScheduleState schedule, ScheduleRow row) {
    boolean definitionUnchanged =
        schedule.row != null && schedule.row.definition().equals(row.definition());
    schedule.row = row;
    try {
      schedule.scheduleDefinition =
          definitionUnchanged
              ? schedule.scheduleDefinition
              : ScheduleDefinition.parse(row.definition());
    } catch (ScheduleDefinition.InvalidDefinitionException exception) {
      LOG.error("schedule {} cannot be read: {}", row.name(), exception.getMessage());
      schedule.scheduleDefinition = null;
    }
    planNextDue(schedule);
    if (!row.openRuns().isEmpty()) {
      runCheckTimers.add(
          new ScheduleTimer(
              environment.wallClockMillis() + RUN_CHECK_INTERVAL_MILLIS, 0, row.name()));
    }
  }

  /** Local days have been changed: due times follow. */
  void onDaysChanged() {
    schedulesByName.values().forEach(this::planNextDue);
  }

  private void planNextDue(ScheduleState schedule) {
    schedule.nextDueMillis = Long.MAX_VALUE;
    if (schedule.scheduleDefinition == null || schedule.row.isPaused()) {
      return;
    }
    Instant next =
        schedule.scheduleDefinition.findNextDue(
            Instant.ofEpochMilli(schedule.row.cursorMillis()), dayCalendar.get());
    if (next != null) {
      schedule.nextDueMillis = next.toEpochMilli();
      enqueueDue(schedule, schedule.nextDueMillis);
    }
  }

  private void enqueueDue(ScheduleState schedule, long atMillis) {
    dueTimers.add(
        new ScheduleTimer(
            atMillis,
            schedule.nextDueMillis + (long) (1000 * schedule.scheduleDefinition.deadlineSeconds()),
            schedule.row.name()));
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
    if (!isClockTrusted(nowMillis)) {
      return;
    }
    int remainingSteps = MAX_STEPS_PER_TICK;
    while (remainingSteps > 0 && !dueTimers.isEmpty() && dueTimers.peek().atMillis() <= nowMillis) {
      remainingSteps--;
      ScheduleState schedule = schedulesByName.get(dueTimers.poll().name());
      // Turns are not taken back when a schedule changes: one that means nothing now is passed.
      if (schedule != null && !schedule.writeInFlight && schedule.nextDueMillis <= nowMillis) {
        settleNextDue(schedule, nowMillis);
      }
    }
    remainingSteps = MAX_STEPS_PER_TICK;
    while (remainingSteps > 0
        && !runCheckTimers.isEmpty()
        && runCheckTimers.peek().atMillis() <= nowMillis) {
      remainingSteps--;
      ScheduleState schedule = schedulesByName.get(runCheckTimers.poll().name());
      if (schedule != null && !schedule.row.openRuns().isEmpty()) {
        boolean checkAgain = schedule.writeInFlight || !checkRuns(schedule, nowMillis);
        if (checkAgain) {
          runCheckTimers.add(
              new ScheduleTimer(nowMillis + RUN_CHECK_INTERVAL_MILLIS, 0, schedule.row.name()));
        }
      }
    }
  }

  /**
   * Whether the time of day has gone on as the steady clock has. After a leap beyond the bound that
   * the settings state, nothing is fired for a moment: it may leap back. Exactly one run of each
   * due time does not depend on this, since the cursor only advances.
   */
  private boolean isClockTrusted(long nowMillis) {
    long offsetMillis = nowMillis - environment.monotonicMillis();
    if (clockOffsetKnown && Math.abs(offsetMillis - clockOffsetMillis) > maxClockStepMillis) {
      LOG.info(
          "the time of day leaps by {} ms: nothing is fired for a moment",
          offsetMillis - clockOffsetMillis);
      clockDistrustedUntilMillis = environment.monotonicMillis() + CLOCK_DISTRUST_MILLIS;
    }
    clockOffsetMillis = offsetMillis;
    clockOffsetKnown = true;
    return environment.monotonicMillis() >= clockDistrustedUntilMillis;
  }

  /** Settles the next due time: it gets its run, or a reason why not. */
  private void settleNextDue(ScheduleState schedule, long nowMillis) {
    ScheduleRow row = schedule.row;
    ScheduleDefinition scheduleDefinition = schedule.scheduleDefinition;
    long oldestDueMillis = nowMillis - (long) (1000 * scheduleDefinition.catchUpSeconds());
    boolean unfinished = !row.openRuns().isEmpty();
    if (schedule.nextDueMillis < oldestDueMillis) {
      long firstMillis = schedule.nextDueMillis;
      long lastMillis = firstMillis;
      int count = 1;
      for (Instant dueTime =
              scheduleDefinition.findNextDue(Instant.ofEpochMilli(lastMillis), dayCalendar.get());
          dueTime != null && dueTime.toEpochMilli() < oldestDueMillis;
          dueTime = scheduleDefinition.findNextDue(dueTime, dayCalendar.get())) {
        lastMillis = dueTime.toEpochMilli();
        count++;
      }
      long lastSkippedMillis = lastMillis;
      int skippedCount = count;
      writeRow(
          schedule,
          row.withChange(
              v ->
                  ScheduleRow.recordSkipped(
                      v, firstMillis, lastSkippedMillis, skippedCount, "too far back")),
          true);
    } else if (unfinished && scheduleDefinition.overlap() == OverlapPolicy.SKIP) {
      long dueMillis = schedule.nextDueMillis;
      writeRow(
          schedule,
          row.withChange(
              v ->
                  ScheduleRow.recordSkipped(
                      v, dueMillis, dueMillis, 1, "the run before is not over")),
          true);
    } else if (unfinished && scheduleDefinition.overlap() == OverlapPolicy.WAIT
        || row.openRuns().size() >= MAX_OPEN_RUNS) {
      enqueueDue(schedule, nowMillis + RUN_CHECK_INTERVAL_MILLIS);
    } else if (environment.availableRunSlots() <= 0) {
      enqueueDue(schedule, nowMillis + RETRY_DELAY_MILLIS);
    } else {
      fireRun(schedule, nowMillis);
    }
  }

  private void fireRun(ScheduleState schedule, long nowMillis) {
    ScheduleRow before = schedule.row;
    long dueMillis = schedule.nextDueMillis;
    JobSpec spec;
    try {
      spec = schedule.scheduleDefinition.toJobSpec(ScheduleRow.runJobId(before.uid(), dueMillis));
    } catch (ScheduleDefinition.InvalidDefinitionException exception) {
      throw new IllegalStateException(exception);
    }
    ScheduleRow next = before.withChange(v -> ScheduleRow.recordFired(v, dueMillis, nowMillis));
    schedule.writeInFlight = true;
    environment
        .storeRun(before, next, spec)
        .whenComplete(
            (stored, failure) -> {
              LOG.debug("schedule {} due {}: {}", before.name(), dueMillis, stored);
              onWriteCompleted(schedule, next, stored, failure);
            });
  }

  private void writeRow(ScheduleState schedule, ScheduleRow next, boolean urgent) {
    ScheduleRow before = schedule.row;
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
    schedule.writeInFlight = true;
    environment
        .storeRow(before, stored, block, urgent)
        .whenComplete((result, failure) -> onWriteCompleted(schedule, stored, result, failure));
  }

  private void onWriteCompleted(
      ScheduleState schedule, ScheduleRow next, WriteOutcome stored, Throwable failure) {
    schedule.writeInFlight = false;
    if (failure == null && stored.result() == WriteResult.APPLIED) {
      if (stored.modRevision() > schedule.row.modRevision()) {
        applyRow(schedule, next.withModRevision(stored.modRevision()));
      }
    } else if (schedule.scheduleDefinition != null && schedule.nextDueMillis < Long.MAX_VALUE) {
      // If the row was changed, the feed tells how; until then a new try would fail as well.
      enqueueDue(
          schedule,
          Math.max(schedule.nextDueMillis, environment.wallClockMillis() + RETRY_DELAY_MILLIS));
    }
    if (!schedule.row.openRuns().isEmpty()) {
      runCheckTimers.add(
          new ScheduleTimer(
              environment.wallClockMillis() + RUN_CHECK_INTERVAL_MILLIS, 0, schedule.row.name()));
    }
  }

  /** Looks at a schedule's runs; true if one of them led to a write, after which it goes on. */
  private boolean checkRuns(ScheduleState schedule, long nowMillis) {
    for (Run run : schedule.row.openRuns()) {
      JobId id = ScheduleRow.runJobId(schedule.row.uid(), run.dueMillis());
      JobView view = environment.findJobView(id);
      long deadlineMillis =
          run.dueMillis() + (long) (1000 * schedule.scheduleDefinition.deadlineSeconds());
      if (view != null && view.status().isTerminal()) {
        String outcome = view.status().name();
        boolean late = nowMillis > deadlineMillis || !outcome.equals("DONE");
        writeRow(
            schedule,
            schedule.row.withChange(
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

  /** Reports a miss, that it has become worse, or that it is mended; true if that is written. */
  private boolean reportForecast(
      ScheduleState schedule, Run run, long nowMillis, long forecastMillis, long deadlineMillis) {
    boolean late = forecastMillis > deadlineMillis;
    long marginMillis =
        (long) (RECOVERY_MARGIN_FRACTION * 1000 * schedule.scheduleDefinition.deadlineSeconds());
    long reportedForecastMillis = run.report() == null ? 0 : run.report().path("done").asLong();
    boolean first = late && !run.hasOpenReport();
    boolean worse =
        late
            && run.hasOpenReport()
            && forecastMillis > reportedForecastMillis + REREPORT_THRESHOLD_MILLIS
            && nowMillis < deadlineMillis;
    boolean missed =
        run.hasOpenReport()
            && nowMillis > deadlineMillis
            && !run.report().path("missed").asBoolean();
    boolean recovered =
        run.hasOpenReport()
            && nowMillis < deadlineMillis
            && forecastMillis <= deadlineMillis - marginMillis;
    if (!first && !worse && !missed && !recovered) {
      return false;
    }
    ObjectNode report =
        Cbor.newMap().put("at", run.hasOpenReport() ? run.report().path("at").asLong() : nowMillis);
    report
        .put("said", nowMillis)
        .put("done", forecastMillis)
        .put("withdrawn", recovered)
        .put("missed", nowMillis > deadlineMillis);
    LOG.info(
        "schedule {} due {}: {}",
        schedule.row.name(),
        Instant.ofEpochMilli(run.dueMillis()),
        recovered
            ? "it will be in time after all"
            : "it will miss its deadline " + Instant.ofEpochMilli(deadlineMillis));
    writeRow(
        schedule,
        schedule.row.withChange(
            v -> ScheduleRow.runEntry(v, run.dueMillis()).set("report", report)),
        true);
    return true;
  }

  /** Rows with reports that stand. */
  List<ScheduleRow> findSchedulesWithOpenReports() {
    return schedulesByName.values().stream()
        .map(l -> l.row)
        .filter(r -> r.openRuns().stream().anyMatch(Run::hasOpenReport))
        .toList();
  }
}
