package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.Firing.Result;
import io.violetrail.calendar.Firing.Stored;
import io.violetrail.calendar.Foresight.Outlook;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.Status;
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
final class Year {
  private static final List<String> ZONES =
      List.of("Africa/Dar_es_Salaam", "Europe/Berlin", "America/New_York", "Australia/Lord_Howe");
  private static final long BOUND_MS = 250;

  final Random random;
  final Instant begins = Instant.parse("2027-01-01T00:00:00Z");
  final Instant ends;
  private long now = begins.toEpochMilli();
  private long order;
  private final PriorityQueue<Event> events = new PriorityQueue<>();

  /** The state service: rows with stamps, and claims of jobs. */
  final TreeMap<String, Row> rows = new TreeMap<>();

  final Map<String, Long> claims = new HashMap<>();
  private long revision;
  int changes;

  final List<Planned> planned = new ArrayList<>();
  private final Map<String, SimJob> jobs = new HashMap<>();
  private final List<Owner> owners = new ArrayList<>();
  private final long[] versions = new long[3];
  private final Leap[] leaps = {new Leap(), new Leap(), new Leap()};
  private long outageUntil;

  /** When each entity was without a live owner, for what can be asked of reports. */
  private final List<List<long[]>> down =
      List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());

  record Row(ObjectNode value, long stamp) {}

  private record Event(long at, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
  }

  /** One schedule with what its checker knows of it. */
  static final class Planned {
    String name;
    String uid;
    Pattern pattern;
    ZoneId zone;
    long deadlineMs;
    Instant created;

    /** Spans in which due times get no run: from what was settled at a pause until its end. */
    final List<long[]> dropped = new ArrayList<>();

    long deletedMs = Long.MAX_VALUE;
  }

  private record SimJob(long begins, long ends, int tasks, boolean doubtful) {}

  private static final class Leap {
    long ms;
    final List<long[]> spans = new ArrayList<>();
  }

  Year(long seed, int schedules, int days) {
    this.random = new Random(seed);
    this.ends = begins.plus(Duration.ofDays(days));
    for (int i = 0; i < schedules; i++) {
      plan(i);
    }
    for (int e = 0; e < 3; e++) {
      own(e, e);
      fail(e);
    }
    at(hours(30), this::outage);
    at(hours(40), this::allDown);
    at(hours(24), this::operate);
    for (int c = 0; c < 3; c++) {
      int controller = c;
      at(hours(20 + c), () -> leap(controller));
    }
  }

  private static long hours(double h) {
    return (long) (h * 3_600_000);
  }

  private void at(long inMs, Runnable task) {
    events.add(new Event(now + Math.max(0, inMs), order++, task));
  }

  private void plan(int i) {
    Planned p = new Planned();
    p.name = "s" + i;
    p.pattern = Pattern.draw(random);
    p.zone = ZoneId.of(ZONES.get(random.nextInt(ZONES.size())));
    p.deadlineMs = 600_000L + random.nextInt(3_000_000);
    p.uid = "uid-" + i;
    p.created = begins;
    ObjectNode def = Cbor.map().put("due", p.pattern.text()).put("zone", p.zone.getId());
    def.put("deadline_s", p.deadlineMs / 1000.0).put("catch_up_s", 30.0 * 24 * 3600);
    ObjectNode job = def.putObject("job").put("jobclass", "c").put("crew", "t");
    job.put("shape", "batch").put("urgency", "normal").put("pieces", 4).put("cores", 1.0);
    job.put("gpus", 0.0).put("mem_gb", 1.0).put("pull_gb", 0.1).put("one_zone", false);
    job.put("apart", false).put("loaners", false).put("guess_s", 60.0).put("snapshot_s", 0.0);
    job.put("flush_s", 0.0);
    ScheduleRow row =
        ScheduleRow.fresh(p.name, def, new ControllerId("c" + i % 3), p.uid, begins.toEpochMilli());
    rows.put(row.key(), new Row(row.value(), ++revision));
    planned.add(p);
  }

  /** One entity's engine at one controller, under one version. */
  private final class Owner implements Firing.Port {
    final int controller;
    final int entity;
    final long version;
    final Firing firing = new Firing(this, this::days, BOUND_MS / 1000.0);
    final long steadyFrom = now;
    long frozenUntil;

    Owner(int controller, int entity, long version) {
      this.controller = controller;
      this.entity = entity;
      this.version = version;
      load();
    }

    private Days days() {
      return Days.of(new Holidays(), Map.of("meetings", Pattern.MEETINGS));
    }

    void load() {
      for (var e : rows.subMap(ScheduleRow.ROWS, ScheduleRow.ROWS + "~").entrySet()) {
        ScheduleRow row = ScheduleRow.of(e.getKey(), e.getValue().value(), e.getValue().stamp());
        if (row.entity().value().equals("c" + entity)) {
          firing.row(row);
        }
      }
    }

    @Override
    public long wallMs() {
      long wander = (long) (BOUND_MS * Math.sin(now / 50_000.0 + controller));
      return now + wander + leaps[controller].ms;
    }

    @Override
    public long steadyMs() {
      return now - steadyFrom;
    }

    @Override
    public int room() {
      return 4;
    }

    @Override
    public CompletableFuture<Stored> fire(ScheduleRow before, ScheduleRow next, JobSpec spec) {
      return store(before, next, null, spec.id(), spec.tasks());
    }

    @Override
    public CompletableFuture<Stored> write(
        ScheduleRow before, ScheduleRow next, ObjectNode block, boolean urgent) {
      return store(before, next, block, null, 0);
    }

    /** The transaction: fenced by the version, conditional on the row, claiming the job. */
    private boolean apply(
        ScheduleRow before, ScheduleRow next, ObjectNode block, JobId claim, int tasks) {
      Row there = rows.get(before.key());
      boolean holds =
          versions[entity] == version
              && there != null
              && there.stamp() == before.stamp()
              && (claim == null || !claims.containsKey(claim.value()));
      if (!holds) {
        return false;
      }
      revision++;
      changes++;
      rows.put(before.key(), new Row(next.value(), revision));
      if (block != null) {
        changes++;
        rows.put(next.blockKey(next.value().path("blocks").asInt() - 1), new Row(block, revision));
      }
      if (claim != null) {
        changes += 2;
        claims.put(claim.value(), now);
        jobs.put(claim.value(), job(tasks));
      }
      tell(before.key(), next.value(), revision);
      return true;
    }

    private CompletableFuture<Stored> store(
        ScheduleRow before, ScheduleRow next, ObjectNode block, JobId claim, int tasks) {
      CompletableFuture<Stored> answer = new CompletableFuture<>();
      int luck = now < outageUntil ? 0 : random.nextInt(100);
      long delay = 5L + random.nextInt(200);
      if (luck < 2) {
        at(delay, () -> answer.complete(new Stored(Result.LATER, 0)));
      } else if (luck < 5) {
        // Nobody hears of it, and it is applied much later, if it still holds.
        at(delay, () -> answer.complete(new Stored(Result.LATER, 0)));
        at(delay + random.nextInt(120_000), () -> apply(before, next, block, claim, tasks));
      } else if (luck < 8) {
        // Applied, and the answer does not say under which revision.
        at(
            delay,
            () -> {
              apply(before, next, block, claim, tasks);
              answer.complete(new Stored(Result.CHANGED, 0));
            });
      } else {
        at(
            delay,
            () -> {
              boolean applied = apply(before, next, block, claim, tasks);
              answer.complete(
                  applied ? new Stored(Result.APPLIED, revision) : new Stored(Result.CHANGED, 0));
            });
      }
      return answer;
    }

    @Override
    public JobView view(JobId id) {
      SimJob job = jobs.get(id.value());
      if (job == null) {
        return null;
      }
      boolean done = now >= job.ends();
      boolean runs = now >= job.begins();
      return new JobView(
          id.value(),
          done ? Status.DONE : runs ? Status.RUNNING : Status.QUEUED,
          done ? job.tasks() : 0,
          runs && !done ? job.tasks() : 0);
    }

    @Override
    public Outlook outlook(JobId id) {
      SimJob job = jobs.get(id.value());
      if (job == null) {
        return null;
      }
      boolean runs = now >= job.begins();
      double age = runs ? (now - job.begins()) / 1000.0 : 0;
      // Some look as if no machine would come for long, and then one does.
      double start = job.doubtful() ? 4_000 : 40;
      return new Outlook(job.tasks(), 0, runs ? job.tasks() : 0, age, 60, start);
    }
  }

  /** Most are quick; some find no machine for long, some run on and on. */
  private SimJob job(int tasks) {
    int luck = random.nextInt(20);
    long wait = luck == 0 ? 300_000 + random.nextInt(6_000_000) : 1_000 + random.nextInt(60_000);
    long run = luck == 1 ? 600_000 + random.nextInt(6_000_000) : 30_000 + random.nextInt(90_000);
    return new SimJob(now + wait, now + wait + run, tasks, luck == 2);
  }

  /** The feed: whoever is awake hears of a row soon, whoever is frozen hears of it afterwards. */
  private void tell(String key, ObjectNode value, long stamp) {
    for (Owner o : List.copyOf(owners)) {
      long asleep = Math.max(0, o.frozenUntil - now);
      at(
          asleep + 10 + random.nextInt(300),
          () -> {
            if (!owners.contains(o)) {
              return;
            }
            if (value == null) {
              o.firing.gone(key.substring(ScheduleRow.ROWS.length()));
            } else {
              ScheduleRow row = ScheduleRow.of(key, value, stamp);
              if (row.entity().value().equals("c" + o.entity)) {
                o.firing.row(row);
              }
            }
          });
    }
  }

  private void own(int entity, int controller) {
    versions[entity] = (versions[entity] / 10 + 1) * 10 + controller;
    owners.add(new Owner(controller, entity, versions[entity]));
  }

  /** An entity's owner fails in one of several ways, again and again. */
  private void fail(int entity) {
    at(
        hours(6 + random.nextInt(80)),
        () -> {
          int how = random.nextInt(3);
          int next = random.nextInt(3);
          long gap = 4_000L + random.nextInt(30_000);
          down.get(entity).add(new long[] {now, now + gap});
          for (Owner o : List.copyOf(owners)) {
            if (o.entity != entity) {
              continue;
            }
            if (how == 0) {
              owners.remove(o);
            } else {
              // It stands still, and goes on with all that it believed.
              o.frozenUntil = now + gap + random.nextInt(how == 1 ? 60_000 : 3_600_000);
              long wakes = o.frozenUntil;
              at(wakes - now + 5_000, () -> owners.remove(o));
            }
          }
          at(gap, () -> own(entity, next));
          fail(entity);
        });
  }

  private void outage() {
    outageUntil = now + 20_000 + random.nextInt(600_000);
    for (int e = 0; e < 3; e++) {
      down.get(e).add(new long[] {now, outageUntil});
    }
    at(hours(20 + random.nextInt(100)), this::outage);
  }

  /** Nobody is there for hours, across due times. */
  private void allDown() {
    owners.clear();
    long gap = 60_000L + random.nextInt(6 * 3_600_000);
    for (int e = 0; e < 3; e++) {
      int entity = e;
      down.get(e).add(new long[] {now, now + gap});
      at(gap, () -> own(entity, entity));
    }
    at(gap + hours(60 + random.nextInt(200)), this::allDown);
  }

  /** A clock is off by up to ten minutes for a while, far beyond its bound. */
  private void leap(int controller) {
    long span = 120_000L + random.nextInt(1_800_000);
    leaps[controller].ms = random.nextInt(1_200_000) - 600_000L;
    leaps[controller].spans.add(new long[] {now, now + span});
    at(span, () -> leaps[controller].ms = 0);
    at(span + hours(5 + random.nextInt(60)), () -> leap(controller));
  }

  /** An operator pauses a schedule for a while, or deletes one. */
  private void operate() {
    Planned p = planned.get(random.nextInt(planned.size()));
    String key = ScheduleRow.ROWS + p.name;
    Row there = rows.get(key);
    if (there != null && !there.value().path("paused").asBoolean()) {
      if (random.nextInt(8) == 0) {
        p.deletedMs = there.value().path("cursor").asLong();
        rows.remove(key);
        revision++;
        tell(key, null, revision);
      } else {
        long[] span = {there.value().path("cursor").asLong(), 0};
        p.dropped.add(span);
        change(key, true);
        at(
            hours(1 + random.nextInt(100)),
            () -> {
              span[1] = change(key, false);
            });
      }
    }
    at(hours(10 + random.nextInt(50)), this::operate);
  }

  private long change(String key, boolean paused) {
    Row there = rows.get(key);
    if (there == null) {
      return Long.MAX_VALUE;
    }
    ScheduleRow row = ScheduleRow.of(key, there.value(), there.stamp());
    long cursor = Math.max(row.cursorMs(), now);
    ScheduleRow next = row.with(v -> v.put("paused", paused).put("cursor", cursor));
    revision++;
    rows.put(key, new Row(next.value(), revision));
    tell(key, next.value(), revision);
    return cursor;
  }

  /** Plays the year, and long enough after it for the last due times to be settled. */
  Year play() {
    long end = ends.toEpochMilli() + hours(12);
    while (now < end) {
      long next = Math.min(end, now + 60_000);
      if (!events.isEmpty()) {
        next = Math.min(next, events.peek().at());
      }
      for (Owner o : owners) {
        long due = o.firing.nextMs() - (o.wallMs() - now);
        next = Math.min(next, Math.max(now + 250, Math.max(due, o.frozenUntil)));
      }
      now = Math.max(now, next);
      while (!events.isEmpty() && events.peek().at() <= now) {
        events.poll().task().run();
      }
      for (Owner o : List.copyOf(owners)) {
        if (now >= o.frozenUntil) {
          o.firing.tick();
        }
      }
    }
    return this;
  }

  /** What is wrong with the year, by java.time alone. */
  List<String> check() {
    List<String> wrong = new ArrayList<>();
    Set<String> known = new HashSet<>();
    for (Planned p : planned) {
      // The clocks that decide may run ahead: what is due in that time after the end may have run.
      Instant sure = ends;
      TreeSet<Instant> due = p.pattern.between(p.created, ends.plus(Duration.ofHours(13)), p.zone);
      TreeMap<Long, Integer> told = told(p, wrong);
      for (Instant d : due) {
        long ms = d.toEpochMilli();
        String id = ScheduleRow.runId(p.uid, ms).value();
        known.add(id);
        boolean ran = claims.containsKey(id);
        boolean dropped =
            ms > p.deletedMs
                || p.dropped.stream()
                    .anyMatch(s -> ms > s[0] && ms <= (s[1] == 0 ? Long.MAX_VALUE : s[1]));
        if (!ran && !dropped && !d.isAfter(sure)) {
          wrong.add(p.name + " (" + p.pattern.text() + ") has no run of " + d);
        }
        if (ran && dropped) {
          wrong.add(p.name + " has a run of " + d + ", when it was paused or gone");
        }
        if (rows.containsKey(ScheduleRow.ROWS + p.name)
            && told.getOrDefault(ms, 0) != (ran ? 1 : 0)) {
          wrong.add(p.name + " tells of " + told.get(ms) + " runs of " + d);
        }
      }
    }
    for (String id : claims.keySet()) {
      if (!known.contains(id)) {
        wrong.add(id + " is a run of no due time");
      }
    }
    return wrong;
  }

  /** How often a schedule's row and blocks tell of a run, by due time; checks its reports. */
  private TreeMap<Long, Integer> told(Planned p, List<String> wrong) {
    TreeMap<Long, Integer> all = new TreeMap<>();
    Row row = rows.get(ScheduleRow.ROWS + p.name);
    if (row == null) {
      return all;
    }
    List<JsonNode> runs = new ArrayList<>();
    row.value().path("runs").forEach(runs::add);
    row.value().path("past").forEach(runs::add);
    for (var e : rows.subMap("cal/h/" + p.uid + "/", "cal/h/" + p.uid + "/~").entrySet()) {
      try {
        Archive.unpack(e.getValue().value()).forEach(runs::add);
      } catch (Archive.Torn t) {
        wrong.add(e.getKey() + ": " + t.getMessage());
      }
    }
    for (JsonNode r : runs) {
      if (r.path("how").asText().equals("skipped")) {
        continue;
      }
      long due = r.path("due").asLong();
      all.merge(due, 1, Integer::sum);
      report(p, due, r.get("report"), wrong);
    }
    return all;
  }

  int reports;
  int withdrawn;
  final List<Long> leads = new ArrayList<>();

  /** A run that missed its deadline was reported before the meeting, if anybody was there. */
  private void report(Planned p, long due, JsonNode report, List<String> wrong) {
    SimJob job = jobs.get(ScheduleRow.runId(p.uid, due).value());
    long deadline = due + p.deadlineMs;
    long meeting = deadline + (long) (1000 * Definition.LEAST_LEAD_S);
    reports += report == null ? 0 : 1;
    withdrawn += report != null && report.path("withdrawn").asBoolean() ? 1 : 0;
    if (job == null || job.ends() <= deadline + 15_000 || meeting > ends.toEpochMilli()) {
      return;
    }
    int entity = Integer.parseInt(p.name.substring(1)) % 3;
    long from = Math.max(claims.get(ScheduleRow.runId(p.uid, due).value()), deadline - 30_000);
    boolean there =
        from + 40_000 < meeting
            && down.get(entity).stream().noneMatch(d -> d[0] < meeting && d[1] > from - 20_000);
    // A clock beyond its bound shows another time to the deadline than there is.
    boolean leapt = false;
    for (Leap l : leaps) {
      leapt |= l.spans.stream().anyMatch(span -> span[0] < meeting && span[1] > due);
    }
    boolean told = report != null && report.path("at").asLong() <= meeting + 2 * BOUND_MS;
    if (there && !leapt && report != null && !report.path("withdrawn").asBoolean()) {
      leads.add(meeting - report.path("at").asLong());
    }
    if (there && !leapt && report == null) {
      wrong.add(
          p.name + " missed the deadline of " + Instant.ofEpochMilli(due) + " and said nothing");
    } else if (there && !leapt && !told) {
      wrong.add(
          p.name + " reported the miss of " + Instant.ofEpochMilli(due) + " after the meeting");
    }
  }

  /** Arguments: seed, schedules, days. A large year is a command, not a test. */
  public static void main(String[] args) {
    long began = System.nanoTime();
    Year y =
        new Year(Long.parseLong(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]))
            .play();
    List<String> wrong = y.check();
    y.leads.sort(null);
    long blocks = y.rows.keySet().stream().filter(k -> k.startsWith("cal/h/")).count();
    long bytes =
        y.rows.entrySet().stream()
            .filter(e -> e.getKey().startsWith("cal/h/"))
            .mapToLong(e -> Cbor.bytes(e.getValue().value()).length)
            .sum();
    System.out.printf(
        "%d runs, %d wrong, %d reports (%d withdrawn), %.2f changes a run, %d blocks, %.0f bytes a"
            + " run in them, lead time of reports s: least %d, median %d; played in %.0f s%n",
        y.claims.size(),
        wrong.size(),
        y.reports,
        y.withdrawn,
        y.changes / (double) y.claims.size(),
        blocks,
        bytes / (double) Math.max(1, blocks * Firing.IN_A_BLOCK),
        y.leads.isEmpty() ? 0 : y.leads.get(0) / 1000,
        y.leads.isEmpty() ? 0 : y.leads.get(y.leads.size() / 2) / 1000,
        (System.nanoTime() - began) / 1e9);
    wrong.stream().limit(20).forEach(System.out::println);
  }
}
