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
 * A calendar year on a stand-in clock. Three controllers own an entity each and take one another's
 * over; they crash, freeze and go on with what they believed, lose the state service, and their
 * clocks wander and leap. Transactions are refused, applied without an answer, or applied late. All
 * is drawn from one seed.
 */
public final class ScheduleYearSimulation {
  private static final List<String> ZONES =
      List.of("Africa/Dar_es_Salaam", "Europe/Berlin", "America/New_York", "Australia/Lord_Howe");
  private static final long CLOCK_ERROR_BOUND_MILLIS = 250;

  private final Random random;
  private final Instant beginsAt = Instant.parse("2027-01-01T00:00:00Z");
  private final Instant endsAt;
  private long nowMillis = beginsAt.toEpochMilli();
  private long nextEventSequence;
  private final PriorityQueue<TimedEvent> events = new PriorityQueue<>();

  /** The state service: rows with stamps, and claims of jobs. */
  final TreeMap<String, StoredRow> rows = new TreeMap<>();

  final Map<String, Long> claims = new HashMap<>();
  private long revision;
  private int changeCount;
  int reportCount;
  int withdrawnCount;
  private final List<Long> leadTimesMillis = new ArrayList<>();

  private final List<SimulatedSchedule> schedules = new ArrayList<>();
  private final Map<String, SimulatedJob> jobs = new HashMap<>();
  private final List<SimulatedOwner> owners = new ArrayList<>();
  private final long[] versions = new long[3];
  private final ClockJumps[] clockJumps = {new ClockJumps(), new ClockJumps(), new ClockJumps()};
  private long outageUntilMillis;

  /** When each entity was without a live owner, for what can be asked of reports. */
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

  /** One schedule with what its checker knows of it. */
  private static final class SimulatedSchedule {
    String name;
    String uid;
    ReferenceSchedule reference;
    ZoneId zone;
    long deadlineMillis;
    Instant createdAt;

    /** Spans in which due times get no run: from what was settled at a pause until its end. */
    final List<long[]> pausedSpans = new ArrayList<>();

    long deletedAtMillis = Long.MAX_VALUE;
  }

  private record SimulatedJob(
      long beginsMillis, long endsMillis, int taskCount, boolean looksStuck) {}

  private static final class ClockJumps {
    long offsetMillis;
    final List<long[]> spans = new ArrayList<>();
  }

  /** Draws the schedules and failures of so many days from the seed; {@link #run} plays them. */
  public ScheduleYearSimulation(long seed, int schedules, int days) {
    this.random = new Random(seed);
    this.endsAt = beginsAt.plus(Duration.ofDays(days));
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
    schedule.reference = ReferenceSchedule.draw(random);
    schedule.zone = ZoneId.of(ZONES.get(random.nextInt(ZONES.size())));
    schedule.deadlineMillis = 600_000L + random.nextInt(3_000_000);
    schedule.uid = "uid-" + number;
    schedule.createdAt = beginsAt;
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
            beginsAt.toEpochMilli());
    rows.put(row.key(), new StoredRow(row.value(), ++revision));
    schedules.add(schedule);
  }

  /** One entity's engine at one controller, under one version. */
  private final class SimulatedOwner implements ScheduleTrigger.Environment {
    final int controller;
    final int entity;
    final long version;
    final ScheduleTrigger trigger =
        new ScheduleTrigger(this, this::calendarDays, CLOCK_ERROR_BOUND_MILLIS / 1000.0);
    final long startedAtMillis = nowMillis;
    long frozenUntilMillis;

    SimulatedOwner(int controller, int entity, long version) {
      this.controller = controller;
      this.entity = entity;
      this.version = version;
      loadRows();
    }

    private DayCalendar calendarDays() {
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

    /** The transaction: fenced by the version, conditional on the row, claiming the job. */
    private boolean applyTransaction(
        ScheduleRow before, ScheduleRow next, ObjectNode block, JobId claimedJob, int tasks) {
      StoredRow stored = rows.get(before.key());
      boolean holds =
          versions[entity] == version
              && stored != null
              && stored.revision() == before.modRevision()
              && (claimedJob == null || !claims.containsKey(claimedJob.value()));
      if (!holds) {
        return false;
      }
      revision++;
      changeCount++;
      rows.put(before.key(), new StoredRow(next.value(), revision));
      if (block != null) {
        changeCount++;
        rows.put(
            next.blockKey(next.value().path("blocks").asInt() - 1), new StoredRow(block, revision));
      }
      if (claimedJob != null) {
        changeCount += 2;
        claims.put(claimedJob.value(), nowMillis);
        jobs.put(claimedJob.value(), drawJob(tasks));
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
        // Nobody hears of it, and it is applied much later, if it still holds.
        runAfter(delay, () -> answer.completeExceptionally(unavailable()));
        runAfter(
            delay + random.nextInt(120_000),
            () -> applyTransaction(before, next, block, claimedJob, tasks));
      } else if (draw < 8) {
        // Applied, and the answer does not say under which revision.
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
      boolean done = nowMillis >= job.endsMillis();
      boolean runs = nowMillis >= job.beginsMillis();
      return new JobView(
          id.value(),
          done ? JobStatus.DONE : runs ? JobStatus.RUNNING : JobStatus.QUEUED,
          done ? job.taskCount() : 0,
          runs && !done ? job.taskCount() : 0);
    }

    @Override
    public RunProgress findRunProgress(JobId id) {
      SimulatedJob job = jobs.get(id.value());
      if (job == null) {
        return null;
      }
      boolean runs = nowMillis >= job.beginsMillis();
      double ageSeconds = runs ? (nowMillis - job.beginsMillis()) / 1000.0 : 0;
      // Some look as if no machine would come for long, and then one does.
      double startSeconds = job.looksStuck() ? 4_000 : 40;
      return new RunProgress(
          job.taskCount(), 0, runs ? job.taskCount() : 0, ageSeconds, 60, startSeconds);
    }
  }

  /** Most are quick; some find no machine for long, some run on and on. */
  private SimulatedJob drawJob(int taskCount) {
    int draw = random.nextInt(20);
    long waitMillis =
        draw == 0 ? 300_000 + random.nextInt(6_000_000) : 1_000 + random.nextInt(60_000);
    long runMillis =
        draw == 1 ? 600_000 + random.nextInt(6_000_000) : 30_000 + random.nextInt(90_000);
    return new SimulatedJob(
        nowMillis + waitMillis, nowMillis + waitMillis + runMillis, taskCount, draw == 2);
  }

  /** The feed: whoever is awake hears of a row soon, whoever is frozen hears of it afterwards. */
  private void notifyOwners(String key, ObjectNode value, long stamp) {
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
              ScheduleRow row = ScheduleRow.fromRow(key, value, stamp);
              if (row.entity().value().equals("c" + owner.entity)) {
                owner.trigger.onRowChanged(row);
              }
            }
          });
    }
  }

  private void assignOwner(int entity, int controller) {
    versions[entity] = (versions[entity] / 10 + 1) * 10 + controller;
    owners.add(new SimulatedOwner(controller, entity, versions[entity]));
  }

  /** An entity's owner fails in one of several ways, again and again. */
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
              // It stands still, and goes on with all that it believed.
              owner.frozenUntilMillis =
                  nowMillis + gapMillis + random.nextInt(failureKind == 1 ? 60_000 : 3_600_000);
              long wakesAtMillis = owner.frozenUntilMillis;
              runAfter(wakesAtMillis - nowMillis + 5_000, () -> owners.remove(owner));
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

  /** Nobody is there for hours, across due times. */
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

  /** A clock is off by up to ten minutes for a while, far beyond its bound. */
  private void jumpClock(int controller) {
    long spanMillis = 120_000L + random.nextInt(1_800_000);
    clockJumps[controller].offsetMillis = random.nextInt(1_200_000) - 600_000L;
    clockJumps[controller].spans.add(new long[] {nowMillis, nowMillis + spanMillis});
    runAfter(spanMillis, () -> clockJumps[controller].offsetMillis = 0);
    runAfter(spanMillis + hoursToMillis(5 + random.nextInt(60)), () -> jumpClock(controller));
  }

  /** An operator pauses a schedule for a while, or deletes one. */
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

  /** Plays the year, and long enough after it for the last due times to be settled. */
  public ScheduleYearSimulation run() {
    long endMillis = endsAt.toEpochMilli() + hoursToMillis(12);
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

  /** What is wrong with the year, by java.time alone. */
  public List<String> findProblems() {
    List<String> problems = new ArrayList<>();
    Set<String> expectedRuns = new HashSet<>();
    for (SimulatedSchedule schedule : schedules) {
      // The clocks that decide may run ahead: what is due in that time after the end may have run.
      Instant lastCertain = endsAt;
      TreeSet<Instant> dueTimes =
          schedule.reference.dueTimesBetween(
              schedule.createdAt, endsAt.plus(Duration.ofHours(13)), schedule.zone);
      TreeMap<Long, Integer> reportedRuns = countReportedRuns(schedule, problems);
      for (Instant dueTime : dueTimes) {
        long dueMillis = dueTime.toEpochMilli();
        String id = ScheduleRow.runJobId(schedule.uid, dueMillis).value();
        expectedRuns.add(id);
        boolean hasRun = claims.containsKey(id);
        boolean skipped =
            dueMillis > schedule.deletedAtMillis
                || schedule.pausedSpans.stream()
                    .anyMatch(
                        s -> dueMillis > s[0] && dueMillis <= (s[1] == 0 ? Long.MAX_VALUE : s[1]));
        if (!hasRun && !skipped && !dueTime.isAfter(lastCertain)) {
          problems.add(
              schedule.name
                  + " ("
                  + schedule.reference.expression()
                  + ") has no run of "
                  + dueTime);
        }
        if (hasRun && skipped) {
          problems.add(schedule.name + " has a run of " + dueTime + ", when it was paused or gone");
        }
        if (rows.containsKey(ScheduleRow.KEY_PREFIX + schedule.name)
            && reportedRuns.getOrDefault(dueMillis, 0) != (hasRun ? 1 : 0)) {
          problems.add(
              schedule.name + " tells of " + reportedRuns.get(dueMillis) + " runs of " + dueTime);
        }
      }
    }
    for (String id : claims.keySet()) {
      if (!expectedRuns.contains(id)) {
        problems.add(id + " is a run of no due time");
      }
    }
    return problems;
  }

  /** How often a schedule's row and blocks tell of a run, by due time; checks its reports. */
  private TreeMap<Long, Integer> countReportedRuns(
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
      } catch (RunHistoryCodec.CorruptBlockException torn) {
        problems.add(entry.getKey() + ": " + torn.getMessage());
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

  /** A run that missed its deadline was reported before the meeting, if anybody was there. */
  private void checkReport(
      SimulatedSchedule schedule, long dueMillis, JsonNode report, List<String> problems) {
    SimulatedJob job = jobs.get(ScheduleRow.runJobId(schedule.uid, dueMillis).value());
    long deadlineMillis = dueMillis + schedule.deadlineMillis;
    long meetingMillis =
        deadlineMillis + (long) (1000 * ScheduleDefinition.MIN_REPORT_LEAD_SECONDS);
    reportCount += report == null ? 0 : 1;
    withdrawnCount += report != null && report.path("withdrawn").asBoolean() ? 1 : 0;
    if (job == null
        || job.endsMillis() <= deadlineMillis + 15_000
        || meetingMillis > endsAt.toEpochMilli()) {
      return;
    }
    int entity = Integer.parseInt(schedule.name.substring(1)) % 3;
    long knownFromMillis =
        Math.max(
            claims.get(ScheduleRow.runJobId(schedule.uid, dueMillis).value()),
            deadlineMillis - 30_000);
    boolean ownerPresent =
        knownFromMillis + 40_000 < meetingMillis
            && ownerlessSpans.get(entity).stream()
                .noneMatch(d -> d[0] < meetingMillis && d[1] > knownFromMillis - 20_000);
    // A clock beyond its bound shows another time to the deadline than there is.
    boolean clockJumped = false;
    for (ClockJumps jump : clockJumps) {
      clockJumped |=
          jump.spans.stream().anyMatch(span -> span[0] < meetingMillis && span[1] > dueMillis);
    }
    boolean reportedInTime =
        report != null
            && report.path("at").asLong() <= meetingMillis + 2 * CLOCK_ERROR_BOUND_MILLIS;
    if (ownerPresent && !clockJumped && report != null && !report.path("withdrawn").asBoolean()) {
      leadTimesMillis.add(meetingMillis - report.path("at").asLong());
    }
    if (ownerPresent && !clockJumped && report == null) {
      problems.add(
          schedule.name
              + " missed the deadline of "
              + Instant.ofEpochMilli(dueMillis)
              + " and said nothing");
    } else if (ownerPresent && !clockJumped && !reportedInTime) {
      problems.add(
          schedule.name
              + " reported the miss of "
              + Instant.ofEpochMilli(dueMillis)
              + " after the meeting");
    }
  }

  /** What a year came to, for the program that plays large ones. */
  public record Summary(
      int runs,
      int reports,
      int withdrawnReports,
      int rowChanges,
      long historyBlocks,
      long historyBytes,
      List<Long> leadTimesMillis) {

    /** Bytes of history per run, as if all blocks were full. */
    public double historyBytesPerRun() {
      return historyBytes / (double) Math.max(1, historyBlocks * ScheduleTrigger.RUNS_PER_BLOCK);
    }
  }

  /** Returns the counts of the year as played so far; lead times are in ascending order. */
  public Summary summarize() {
    List<ObjectNode> blocks =
        rows.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith("cal/h/"))
            .map(entry -> entry.getValue().value())
            .toList();
    return new Summary(
        claims.size(),
        reportCount,
        withdrawnCount,
        changeCount,
        blocks.size(),
        blocks.stream().mapToLong(block -> Cbor.encode(block).length).sum(),
        leadTimesMillis.stream().sorted().toList());
  }
}
