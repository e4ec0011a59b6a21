package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.CompletionForecast.RunProgress;
import io.violetrail.calendar.ScheduleTrigger.WriteOutcome;
import io.violetrail.calendar.ScheduleTrigger.WriteResult;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.wire.Cbor;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

/**
 * Simulates schedules over a year or less with a simulated clock. Three controllers own one entity
 * each and take over each other's entities. They crash, freeze and resume with outdated state, and
 * lose the state service; their clocks drift and jump. Transactions fail, are applied without a
 * usable answer, or are applied late. All events are drawn from one seed.
 */
public final class ScheduleYearSimulation {
  private static final List<String> ZONES =
      List.of("Africa/Dar_es_Salaam", "Europe/Berlin", "America/New_York", "Australia/Lord_Howe");
  private static final long CLOCK_ERROR_BOUND_MILLIS = 250;

  private final Random random;
  private final Instant startTime = Instant.parse("2027-01-01T00:00:00Z");
  private final Instant endTime;
  private long nowMillis = startTime.toEpochMilli();
  private long nextEventSequence;
  private final PriorityQueue<TimedEvent> events = new PriorityQueue<>();

  /** The state service's rows with their revisions. */
  final TreeMap<String, StoredRow> rows = new TreeMap<>();

  /** The times at which job ids were claimed in the state service. */
  final Map<String, Long> claimTimesByJobId = new HashMap<>();

  private long revision;
  private int rowChangeCount;
  int reportCount;
  int withdrawnCount;
  private final List<Long> leadTimesMillis = new ArrayList<>();

  private final List<SimulatedSchedule> schedules = new ArrayList<>();
  private final Map<String, SimulatedJob> jobs = new HashMap<>();
  private final List<SimulatedOwner> owners = new ArrayList<>();
  private final long[] currentVersions = new long[3];
  private final ClockJumps[] clockJumps = {new ClockJumps(), new ClockJumps(), new ClockJumps()};
  private long outageUntilMillis;

  /**
   * Spans in which each entity had no live owner or the state service was unavailable. Reports are
   * not required then.
   */
  private final List<List<long[]>> ownerlessSpans =
      List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());

  record StoredRow(ObjectNode value, long revision) {}

  private record TimedEvent(long atMillis, long sequence, Runnable task)
      implements Comparable<TimedEvent> {
    @Override
    public int compareTo(TimedEvent other) {
      return atMillis != other.atMillis
          ? Long.compare(atMillis, other.atMillis)
          : Long.compare(sequence, other.sequence);
    }
  }

  /** A schedule with what the check needs to know of it. */
  private static final class SimulatedSchedule {
    String name;
    String uid;
    ReferenceSchedule reference;
    ZoneId zone;
    long deadlineMillis;
    Instant createdAt;

    /**
     * Spans in which due times get no run: from the cursor at a pause until the cursor when it
     * ends, which is 0 while paused.
     */
    final List<long[]> pausedSpans = new ArrayList<>();

    long deletedAtMillis = Long.MAX_VALUE;
  }

  private record SimulatedJob(
      long startMillis, long endMillis, int taskCount, boolean hasLateStartForecast) {}

  private static final class ClockJumps {
    long offsetMillis;
    final List<long[]> spans = new ArrayList<>();
  }

  /** Draws the schedules and failures from the seed; {@link #run} simulates them. */
  public ScheduleYearSimulation(long seed, int schedules, int days) {
    this.random = new Random(seed);
    this.endTime = startTime.plus(Duration.ofDays(days));
    for (int i = 0; i < schedules; i++) {
      addSchedule(i);
    }
    for (int entityIndex = 0; entityIndex < 3; entityIndex++) {
      assignOwner(entityIndex, entityIndex);
      scheduleFailures(entityIndex);
    }
    runAfter(hoursToMillis(30), this::startOutage);
    runAfter(hoursToMillis(40), this::stopAllControllers);
    runAfter(hoursToMillis(24), this::pauseOrDelete);
    for (int controllerNumber = 0; controllerNumber < 3; controllerNumber++) {
      int controller = controllerNumber;
      runAfter(hoursToMillis(20 + controllerNumber), () -> jumpClock(controller));
    }
  }

  private static long hoursToMillis(double hours) {
    return (long) (hours * 3_600_000);
  }

  private void runAfter(long delayMillis, Runnable task) {
    events.add(new TimedEvent(nowMillis + Math.max(0, delayMillis), nextEventSequence++, task));
  }

  private void addSchedule(int number) {
    SimulatedSchedule schedule = new SimulatedSchedule();
    schedule.name = "s" + number;
    schedule.reference = ReferenceSchedule.createRandom(random);
    schedule.zone = ZoneId.of(ZONES.get(random.nextInt(ZONES.size())));
    schedule.deadlineMillis = 600_000L + random.nextInt(3_000_000);
    schedule.uid = "uid-" + number;
    schedule.createdAt = startTime;
    ObjectNode definition =
        Cbor.newMap()
            .put("due", schedule.reference.expression())
            .put("zone", schedule.zone.getId());
    definition
        .put("deadline_s", schedule.deadlineMillis / 1000.0)
        .put("catch_up_s", 30.0 * 24 * 3600);
    ObjectNode job = definition.putObject("job").put("jobclass", "c").put("crew", "t");
    job.put("shape", "batch").put("urgency", "normal").put("pieces", 4).put("cores", 1.0);
    job.put("gpus", 0.0).put("mem_gb", 1.0).put("pull_gb", 0.1).put("one_zone", false);
    job.put("apart", false).put("loaners", false).put("guess_s", 60.0).put("snapshot_s", 0.0);
    job.put("flush_s", 0.0);
    ScheduleRow row =
        ScheduleRow.create(
            schedule.name,
            definition,
            new ControllerId("c" + number % 3),
            schedule.uid,
            startTime.toEpochMilli());
    rows.put(row.key(), new StoredRow(row.value(), ++revision));
    schedules.add(schedule);
  }

  /** The trigger of an entity at one controller, with the entity's version as fencing token. */
  private final class SimulatedOwner implements ScheduleTrigger.Environment {
    final int controller;
    final int entity;
    final long version;
    final ScheduleTrigger trigger =
        new ScheduleTrigger(this, this::dayCalendar, CLOCK_ERROR_BOUND_MILLIS / 1000.0);
    final long startedAtMillis = nowMillis;
    long frozenUntilMillis;

    SimulatedOwner(int controller, int entity, long version) {
      this.controller = controller;
      this.entity = entity;
      this.version = version;
      loadRows();
    }

    private DayCalendar dayCalendar() {
      return DayCalendar.of(new PublicHolidays(), Map.of("meetings", ReferenceSchedule.MEETINGS));
    }

    void loadRows() {
      for (var entry :
          rows.subMap(ScheduleRow.KEY_PREFIX, ScheduleRow.KEY_PREFIX + "~").entrySet()) {
        ScheduleRow row =
            ScheduleRow.fromRow(
                entry.getKey(), entry.getValue().value(), entry.getValue().revision());
        if (row.entity().value().equals("c" + entity)) {
          trigger.onRowChanged(row);
        }
      }
    }

    @Override
    public long wallClockMillis() {
      long driftMillis =
          (long) (CLOCK_ERROR_BOUND_MILLIS * Math.sin(nowMillis / 50_000.0 + controller));
      return nowMillis + driftMillis + clockJumps[controller].offsetMillis;
    }

    @Override
    public long monotonicMillis() {
      return nowMillis - startedAtMillis;
    }

    @Override
    public int availableRunSlots() {
      return 4;
    }

    @Override
    public CompletableFuture<WriteOutcome> storeRun(
        ScheduleRow before, ScheduleRow next, JobSpec spec) {
      return storeWithFaults(before, next, null, spec.id(), spec.taskCount());
    }

    @Override
    public CompletableFuture<WriteOutcome> storeRow(
        ScheduleRow before, ScheduleRow next, ObjectNode block, boolean urgent) {
      return storeWithFaults(before, next, block, null, 0);
    }

    /**
     * Applies a transaction if the version is current, the row is unchanged and the job's id is not
     * claimed yet.
     *
     * @param claimedJob the job whose id the transaction claims; null if there is none
     */
    private boolean applyTransaction(
        ScheduleRow before, ScheduleRow next, ObjectNode block, JobId claimedJob, int tasks) {
      StoredRow stored = rows.get(before.key());
      boolean conditionsHold =
          currentVersions[entity] == version
              && stored != null
              && stored.revision() == before.modRevision()
              && (claimedJob == null || !claimTimesByJobId.containsKey(claimedJob.value()));
      if (!conditionsHold) {
        return false;
      }
      revision++;
      rowChangeCount++;
      rows.put(before.key(), new StoredRow(next.value(), revision));
      if (block != null) {
        rowChangeCount++;
        rows.put(
            next.blockKey(next.value().path("blocks").asInt() - 1), new StoredRow(block, revision));
      }
      if (claimedJob != null) {
        rowChangeCount += 2;
        claimTimesByJobId.put(claimedJob.value(), nowMillis);
        jobs.put(claimedJob.value(), createRandomJob(tasks));
      }
      notifyOwners(before.key(), next.value(), revision);
      return true;
    }

    private static IllegalStateException unavailable() {
      return new IllegalStateException("the state service does not answer");
    }

    private CompletableFuture<WriteOutcome> storeWithFaults(
        ScheduleRow before, ScheduleRow next, ObjectNode block, JobId claimedJob, int tasks) {
      CompletableFuture<WriteOutcome> answer = new CompletableFuture<>();
      int draw = nowMillis < outageUntilMillis ? 0 : random.nextInt(100);
      long delay = 5L + random.nextInt(200);
      if (draw < 2) {
        runAfter(delay, () -> answer.completeExceptionally(unavailable()));
      } else if (draw < 5) {
        // The answer is lost; the transaction is applied much later if its conditions still hold.
        runAfter(delay, () -> answer.completeExceptionally(unavailable()));
        runAfter(
            delay + random.nextInt(120_000),
            () -> applyTransaction(before, next, block, claimedJob, tasks));
      } else if (draw < 8) {
        // Applied if its conditions hold, but the answer reports a conflict.
        runAfter(
            delay,
            () -> {
              applyTransaction(before, next, block, claimedJob, tasks);
              answer.complete(new WriteOutcome(WriteResult.CONFLICT, 0));
            });
      } else {
        runAfter(
            delay,
            () -> {
              boolean applied = applyTransaction(before, next, block, claimedJob, tasks);
              answer.complete(
                  applied
                      ? new WriteOutcome(WriteResult.APPLIED, revision)
                      : new WriteOutcome(WriteResult.CONFLICT, 0));
            });
      }
      return answer;
    }

    @Override
    public JobView findJobView(JobId id) {
      SimulatedJob job = jobs.get(id.value());
      if (job == null) {
        return null;
      }
      boolean done = nowMillis >= job.endMillis();
      boolean started = nowMillis >= job.startMillis();
      return new JobView(
          id.value(),
          done ? JobStatus.DONE : started ? JobStatus.RUNNING : JobStatus.QUEUED,
          done ? job.taskCount() : 0,
          started && !done ? job.taskCount() : 0);
    }

    @Override
    public RunProgress findRunProgress(JobId id) {
      SimulatedJob job = jobs.get(id.value());
      if (job == null) {
        return null;
      }
      boolean started = nowMillis >= job.startMillis();
      double ageSeconds = started ? (nowMillis - job.startMillis()) / 1000.0 : 0;
      // Some jobs are forecast to start late, so a report is withdrawn when they start soon.
      double startDelaySeconds = job.hasLateStartForecast() ? 4_000 : 40;
      return new RunProgress(
          job.taskCount(), 0, started ? job.taskCount() : 0, ageSeconds, 60, startDelaySeconds);
    }
  }

  /** Draws a job. Most are short; some wait long for a machine, and some run long. */
  private SimulatedJob createRandomJob(int taskCount) {
    int draw = random.nextInt(20);
    long waitMillis =
        draw == 0 ? 300_000 + random.nextInt(6_000_000) : 1_000 + random.nextInt(60_000);
    long runMillis =
        draw == 1 ? 600_000 + random.nextInt(6_000_000) : 30_000 + random.nextInt(90_000);
    return new SimulatedJob(
        nowMillis + waitMillis, nowMillis + waitMillis + runMillis, taskCount, draw == 2);
  }

  /** Delivers a row change to all owners: soon to a live owner, to a frozen one when it resumes. */
  private void notifyOwners(String key, ObjectNode value, long modRevision) {
    for (SimulatedOwner owner : List.copyOf(owners)) {
      long frozenMillis = Math.max(0, owner.frozenUntilMillis - nowMillis);
      runAfter(
          frozenMillis + 10 + random.nextInt(300),
          () -> {
            if (!owners.contains(owner)) {
              return;
            }
            if (value == null) {
              owner.trigger.onScheduleDeleted(key.substring(ScheduleRow.KEY_PREFIX.length()));
            } else {
              ScheduleRow row = ScheduleRow.fromRow(key, value, modRevision);
              if (row.entity().value().equals("c" + owner.entity)) {
                owner.trigger.onRowChanged(row);
              }
            }
          });
    }
  }

  private void assignOwner(int entity, int controller) {
    currentVersions[entity] = (currentVersions[entity] / 10 + 1) * 10 + controller;
    owners.add(new SimulatedOwner(controller, entity, currentVersions[entity]));
  }

  /** Schedules the next failure of an entity's owner, and repeats so after each one. */
  private void scheduleFailures(int entity) {
    runAfter(
        hoursToMillis(6 + random.nextInt(80)),
        () -> {
          int failureKind = random.nextInt(3);
          int nextController = random.nextInt(3);
          long gapMillis = 4_000L + random.nextInt(30_000);
          ownerlessSpans.get(entity).add(new long[] {nowMillis, nowMillis + gapMillis});
          for (SimulatedOwner owner : List.copyOf(owners)) {
            if (owner.entity != entity) {
              continue;
            }
            if (failureKind == 0) {
              owners.remove(owner);
            } else {
              // The owner freezes and resumes with outdated state.
              owner.frozenUntilMillis =
                  nowMillis + gapMillis + random.nextInt(failureKind == 1 ? 60_000 : 3_600_000);
              long resumesAtMillis = owner.frozenUntilMillis;
              runAfter(resumesAtMillis - nowMillis + 5_000, () -> owners.remove(owner));
            }
          }
          runAfter(gapMillis, () -> assignOwner(entity, nextController));
          scheduleFailures(entity);
        });
  }

  private void startOutage() {
    outageUntilMillis = nowMillis + 20_000 + random.nextInt(600_000);
    for (int entityIndex = 0; entityIndex < 3; entityIndex++) {
      ownerlessSpans.get(entityIndex).add(new long[] {nowMillis, outageUntilMillis});
    }
    runAfter(hoursToMillis(20 + random.nextInt(100)), this::startOutage);
  }

  /** Stops all controllers for a minute to six hours, so that due times are missed. */
  private void stopAllControllers() {
    owners.clear();
    long gapMillis = 60_000L + random.nextInt(6 * 3_600_000);
    for (int entityIndex = 0; entityIndex < 3; entityIndex++) {
      int entityNumber = entityIndex;
      ownerlessSpans.get(entityIndex).add(new long[] {nowMillis, nowMillis + gapMillis});
      runAfter(gapMillis, () -> assignOwner(entityNumber, entityNumber));
    }
    runAfter(gapMillis + hoursToMillis(60 + random.nextInt(200)), this::stopAllControllers);
  }

  /** Makes a clock wrong by up to ten minutes for a while, far beyond the clock error bound. */
  private void jumpClock(int controller) {
    long spanMillis = 120_000L + random.nextInt(1_800_000);
    clockJumps[controller].offsetMillis = random.nextInt(1_200_000) - 600_000L;
    clockJumps[controller].spans.add(new long[] {nowMillis, nowMillis + spanMillis});
    runAfter(spanMillis, () -> clockJumps[controller].offsetMillis = 0);
    runAfter(spanMillis + hoursToMillis(5 + random.nextInt(60)), () -> jumpClock(controller));
  }

  /** Pauses a schedule for a while, or deletes it. */
  private void pauseOrDelete() {
    SimulatedSchedule schedule = schedules.get(random.nextInt(schedules.size()));
    String key = ScheduleRow.KEY_PREFIX + schedule.name;
    StoredRow stored = rows.get(key);
    if (stored != null && !stored.value().path("paused").asBoolean()) {
      if (random.nextInt(8) == 0) {
        schedule.deletedAtMillis = stored.value().path("cursor").asLong();
        rows.remove(key);
        revision++;
        notifyOwners(key, null, revision);
      } else {
        long[] span = {stored.value().path("cursor").asLong(), 0};
        schedule.pausedSpans.add(span);
        setPaused(key, true);
        runAfter(
            hoursToMillis(1 + random.nextInt(100)),
            () -> {
              span[1] = setPaused(key, false);
            });
      }
    }
    runAfter(hoursToMillis(10 + random.nextInt(50)), this::pauseOrDelete);
  }

  private long setPaused(String key, boolean paused) {
    StoredRow stored = rows.get(key);
    if (stored == null) {
      return Long.MAX_VALUE;
    }
    ScheduleRow row = ScheduleRow.fromRow(key, stored.value(), stored.revision());
    long cursorMillis = Math.max(row.cursorMillis(), nowMillis);
    ScheduleRow next = row.withChange(v -> v.put("paused", paused).put("cursor", cursorMillis));
    revision++;
    rows.put(key, new StoredRow(next.value(), revision));
    notifyOwners(key, next.value(), revision);
    return cursorMillis;
  }

  /** Runs the simulation until 12 hours after its end, so that the last due times are settled. */
  public ScheduleYearSimulation run() {
    long endMillis = endTime.toEpochMilli() + hoursToMillis(12);
    while (nowMillis < endMillis) {
      long nextMillis = Math.min(endMillis, nowMillis + 60_000);
      if (!events.isEmpty()) {
        nextMillis = Math.min(nextMillis, events.peek().atMillis());
      }
      for (SimulatedOwner owner : owners) {
        long dueMillis = owner.trigger.nextStepAtMillis() - (owner.wallClockMillis() - nowMillis);
        nextMillis =
            Math.min(
                nextMillis,
                Math.max(nowMillis + 250, Math.max(dueMillis, owner.frozenUntilMillis)));
      }
      nowMillis = Math.max(nowMillis, nextMillis);
      while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
        events.poll().task().run();
      }
      for (SimulatedOwner owner : List.copyOf(owners)) {
        if (nowMillis >= owner.frozenUntilMillis) {
          owner.trigger.tick();
        }
      }
    }
    return this;
  }

  /**
   * Checks the simulated runs and reports against {@link ReferenceSchedule}, which relies on {@code
   * java.time} alone.
   *
   * @return a description of each problem
   */
  public List<String> findProblems() {
    List<String> problems = new ArrayList<>();
    Set<String> expectedRuns = new HashSet<>();
    for (SimulatedSchedule schedule : schedules) {
      // Controllers' clocks may be ahead, so due times shortly after the end may have a run.
      Instant lastRequiredDueTime = endTime;
      TreeSet<Instant> dueTimes =
          schedule.reference.dueTimesBetween(
              schedule.createdAt, endTime.plus(Duration.ofHours(13)), schedule.zone);
      TreeMap<Long, Integer> recordedRuns = countRecordedRuns(schedule, problems);
      for (Instant dueTime : dueTimes) {
        long dueMillis = dueTime.toEpochMilli();
        String id = ScheduleRow.runJobId(schedule.uid, dueMillis).value();
        expectedRuns.add(id);
        boolean hasRun = claimTimesByJobId.containsKey(id);
        boolean skipped =
            dueMillis > schedule.deletedAtMillis
                || schedule.pausedSpans.stream()
                    .anyMatch(
                        span ->
                            dueMillis > span[0]
                                && dueMillis <= (span[1] == 0 ? Long.MAX_VALUE : span[1]));
        if (!hasRun && !skipped && !dueTime.isAfter(lastRequiredDueTime)) {
          problems.add(
              schedule.name
                  + " ("
                  + schedule.reference.expression()
                  + ") has no run of "
                  + dueTime);
        }
        if (hasRun && skipped) {
          problems.add(
              schedule.name + " has a run of " + dueTime + ", when it was paused or deleted");
        }
        if (rows.containsKey(ScheduleRow.KEY_PREFIX + schedule.name)
            && recordedRuns.getOrDefault(dueMillis, 0) != (hasRun ? 1 : 0)) {
          problems.add(
              schedule.name + " records " + recordedRuns.get(dueMillis) + " runs of " + dueTime);
        }
      }
    }
    for (String id : claimTimesByJobId.keySet()) {
      if (!expectedRuns.contains(id)) {
        problems.add(id + " is a run without a due time");
      }
    }
    return problems;
  }

  /**
   * Counts the runs that a schedule's row and history blocks record, by due time, and checks their
   * reports.
   */
  private TreeMap<Long, Integer> countRecordedRuns(
      SimulatedSchedule schedule, List<String> problems) {
    TreeMap<Long, Integer> countByDueTime = new TreeMap<>();
    StoredRow row = rows.get(ScheduleRow.KEY_PREFIX + schedule.name);
    if (row == null) {
      return countByDueTime;
    }
    List<JsonNode> runs = new ArrayList<>();
    row.value().path("runs").forEach(runs::add);
    row.value().path("past").forEach(runs::add);
    for (var entry :
        rows.subMap("cal/h/" + schedule.uid + "/", "cal/h/" + schedule.uid + "/~").entrySet()) {
      try {
        RunHistoryCodec.decode(entry.getValue().value()).forEach(runs::add);
      } catch (RunHistoryCodec.CorruptBlockException exception) {
        problems.add(entry.getKey() + ": " + exception.getMessage());
      }
    }
    for (JsonNode run : runs) {
      if (run.path("how").asText().equals("skipped")) {
        continue;
      }
      long dueMillis = run.path("due").asLong();
      countByDueTime.merge(dueMillis, 1, Integer::sum);
      checkReport(schedule, dueMillis, run.get("report"), problems);
    }
    return countByDueTime;
  }

  /**
   * Checks that a run which missed its deadline was reported at most {@link
   * ScheduleDefinition#MIN_REPORT_LEAD_SECONDS} after the deadline, if the entity had an owner.
   */
  private void checkReport(
      SimulatedSchedule schedule, long dueMillis, JsonNode report, List<String> problems) {
    SimulatedJob job = jobs.get(ScheduleRow.runJobId(schedule.uid, dueMillis).value());
    long deadlineMillis = dueMillis + schedule.deadlineMillis;
    long reportByMillis =
        deadlineMillis + (long) (1000 * ScheduleDefinition.MIN_REPORT_LEAD_SECONDS);
    reportCount += report == null ? 0 : 1;
    withdrawnCount += report != null && report.path("withdrawn").asBoolean() ? 1 : 0;
    if (job == null
        || job.endMillis() <= deadlineMillis + 15_000
        || reportByMillis > endTime.toEpochMilli()) {
      return;
    }
    int entity = Integer.parseInt(schedule.name.substring(1)) % 3;
    long knownFromMillis =
        Math.max(
            claimTimesByJobId.get(ScheduleRow.runJobId(schedule.uid, dueMillis).value()),
            deadlineMillis - 30_000);
    boolean ownerPresent =
        knownFromMillis + 40_000 < reportByMillis
            && ownerlessSpans.get(entity).stream()
                .noneMatch(span -> span[0] < reportByMillis && span[1] > knownFromMillis - 20_000);
    // A clock error beyond the bound gives a wrong time to the deadline.
    boolean clockJumped = false;
    for (ClockJumps jump : clockJumps) {
      clockJumped |=
          jump.spans.stream().anyMatch(span -> span[0] < reportByMillis && span[1] > dueMillis);
    }
    boolean reportedInTime =
        report != null
            && report.path("at").asLong() <= reportByMillis + 2 * CLOCK_ERROR_BOUND_MILLIS;
    if (ownerPresent && !clockJumped && report != null && !report.path("withdrawn").asBoolean()) {
      leadTimesMillis.add(reportByMillis - report.path("at").asLong());
    }
    if (ownerPresent && !clockJumped && report == null) {
      problems.add(
          schedule.name
              + " missed the deadline of "
              + Instant.ofEpochMilli(dueMillis)
              + " without a report");
    } else if (ownerPresent && !clockJumped && !reportedInTime) {
      problems.add(
          schedule.name + " reported the miss of " + Instant.ofEpochMilli(dueMillis) + " too late");
    }
  }

  /** The figures of a simulation, for the program that runs large ones. */
  public record Summary(
      int runs,
      int reports,
      int withdrawnReports,
      int rowChanges,
      long historyBlocks,
      long historyBytes,
      List<Long> leadTimesMillis) {

    /** Returns the bytes of history per run, assuming that all blocks are full. */
    public double historyBytesPerRun() {
      return historyBytes / (double) Math.max(1, historyBlocks * ScheduleTrigger.RUNS_PER_BLOCK);
    }
  }

  /** Returns the figures of the simulation so far; lead times are in ascending order. */
  public Summary summarize() {
    List<ObjectNode> blocks =
        rows.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith("cal/h/"))
            .map(entry -> entry.getValue().value())
            .toList();
    return new Summary(
        claimTimesByJobId.size(),
        reportCount,
        withdrawnCount,
        rowChangeCount,
        blocks.size(),
        blocks.stream().mapToLong(block -> Cbor.encode(block).length).sum(),
        leadTimesMillis.stream().sorted().toList());
  }
}
