package io.violetrail.calendar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.Definition.Overlap;
import io.violetrail.calendar.Foresight.Outlook;
import io.violetrail.calendar.ScheduleRow.Run;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.net.Futures;
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
final class Firing {
  private static final Logger LOG = LoggerFactory.getLogger(Firing.class);

  /** Runs that are looked at, in turn, every so many milliseconds. */
  private static final long LOOK_MS = 2_000;

  /** A step that could not be taken is tried again after this long. */
  private static final long AGAIN_MS = 1_000;

  /** Runs of one schedule that are not over; what is due beyond that waits. */
  static final int MOST_RUNS = 12;

  /** Ended runs in a row before they go into a block. */
  static final int IN_A_BLOCK = 16;

  /** Blocks kept of a schedule; the oldest goes. */
  static final int MOST_BLOCKS = 64;

  /** Steps of one turn: native work comes in between. */
  private static final int A_TURN = 50;

  /** A miss that becomes this much worse is reported again. */
  private static final long WORSE_MS = 60_000;

  /** A run foreseen in time by this part of its time to the deadline is no longer reported. */
  private static final double MENDED = 0.05;

  /** Wall clock and steady clock may part by twice the bound on the time of day in one step. */
  private final long boundMs;

  private static final long DISTRUST_MS = 5_000;

  private final Port port;
  private final Supplier<Days> days;
  private final Map<String, Live> live = new HashMap<>();
  private final PriorityQueue<Turn> due = new PriorityQueue<>();
  private final PriorityQueue<Turn> looks = new PriorityQueue<>();
  private long offsetMs;
  private boolean clockKnown;
  private long distrustUntilMs;

  /** The edges: clocks, the state service, and what is known of jobs. */
  interface Port {
    long wallMs();

    long steadyMs();

    /** How many runs may be stored now without delaying other submissions. */
    int room();

    /** Stores a run's job with the next state of its schedule, by one transaction. */
    CompletableFuture<Stored> fire(ScheduleRow before, ScheduleRow next, JobSpec spec);

    /** Stores the next state; {@code block}, if not null, with it as the block of a number. */
    CompletableFuture<Stored> write(
        ScheduleRow before, ScheduleRow next, ObjectNode block, boolean urgent);

    /** What is known of a job for sure; null if it has to be looked up, which this begins. */
    JobView view(JobId id);

    /** What is seen of an open job; null if it is not open here. */
    Outlook outlook(JobId id);
  }

  /** What a transaction came to. */
  record Stored(Result result, long stamp) {}

  enum Result {
    APPLIED,
    /** The row has been changed by somebody else; the feed tells. */
    CHANGED,
    /** Nothing is stored now. */
    LATER
  }

  private static final class Live {
    ScheduleRow row;
    Definition definition;
    long nextMs = Long.MAX_VALUE;
    boolean busy;
  }

  /** A turn of a schedule; ones of equal time by the deadline. */
  private record Turn(long atMs, long deadlineMs, String name) implements Comparable<Turn> {
    @Override
    public int compareTo(Turn o) {
      int byTime = Long.compare(atMs, o.atMs);
      int byDeadline = byTime != 0 ? byTime : Long.compare(deadlineMs, o.deadlineMs);
      return byDeadline != 0 ? byDeadline : name.compareTo(o.name);
    }
  }

  Firing(Port port, Supplier<Days> days, double boundS) {
    this.port = port;
    this.days = days;
    this.boundMs = (long) (2_000 * boundS) + 1_000;
  }

  /** A schedule's row as it stands. */
  void row(ScheduleRow row) {
    Live l = live.computeIfAbsent(row.name(), n -> new Live());
    if (l.row != null && l.row.stamp() >= row.stamp()) {
      return;
    }
    take(l, row);
  }

  private void take(Live l, ScheduleRow row) {
    boolean same = l.row != null && l.row.definition().equals(row.definition());
    l.row = row;
    try {
      l.definition = same ? l.definition : Definition.of(row.definition());
    } catch (Definition.Refused e) {
      LOG.error("schedule {} cannot be read: {}", row.name(), e.getMessage());
      l.definition = null;
    }
    plan(l);
    if (!row.runs().isEmpty()) {
      looks.add(new Turn(port.wallMs() + LOOK_MS, 0, row.name()));
    }
  }

  /** Local days have been changed: due times follow. */
  void daysChanged() {
    live.values().forEach(this::plan);
  }

  private void plan(Live l) {
    l.nextMs = Long.MAX_VALUE;
    if (l.definition == null || l.row.paused()) {
      return;
    }
    Instant next = l.definition.next(Instant.ofEpochMilli(l.row.cursorMs()), days.get());
    if (next != null) {
      l.nextMs = next.toEpochMilli();
      queue(l, l.nextMs);
    }
  }

  private void queue(Live l, long atMs) {
    due.add(new Turn(atMs, l.nextMs + (long) (1000 * l.definition.deadlineS()), l.row.name()));
  }

  void gone(String name) {
    live.remove(name);
  }

  /** When the next step is due by the clock; for whoever skips idle time. */
  long nextMs() {
    long first = due.isEmpty() ? Long.MAX_VALUE : due.peek().atMs();
    return Math.min(first, looks.isEmpty() ? Long.MAX_VALUE : looks.peek().atMs());
  }

  int schedules() {
    return live.size();
  }

  void tick() {
    long now = port.wallMs();
    if (!trusted(now)) {
      return;
    }
    int left = A_TURN;
    while (left > 0 && !due.isEmpty() && due.peek().atMs() <= now) {
      left--;
      Live l = live.get(due.poll().name());
      // Turns are not taken back when a schedule changes: one that means nothing now is passed.
      if (l != null && !l.busy && l.nextMs <= now) {
        settle(l, now);
      }
    }
    left = A_TURN;
    while (left > 0 && !looks.isEmpty() && looks.peek().atMs() <= now) {
      left--;
      Live l = live.get(looks.poll().name());
      if (l != null && !l.row.runs().isEmpty()) {
        boolean again = l.busy || !look(l, now);
        if (again) {
          looks.add(new Turn(now + LOOK_MS, 0, l.row.name()));
        }
      }
    }
  }

  /**
   * Whether the time of day has gone on as the steady clock has. After a leap beyond the bound that
   * the settings state, nothing is fired for a moment: it may leap back. Exactly one run of each
   * due time does not depend on this, since the cursor only advances.
   */
  private boolean trusted(long now) {
    long offset = now - port.steadyMs();
    if (clockKnown && Math.abs(offset - offsetMs) > boundMs) {
      LOG.info("the time of day leaps by {} ms: nothing is fired for a moment", offset - offsetMs);
      distrustUntilMs = port.steadyMs() + DISTRUST_MS;
    }
    offsetMs = offset;
    clockKnown = true;
    return port.steadyMs() >= distrustUntilMs;
  }

  /** Settles the next due time: it gets its run, or a reason why not. */
  private void settle(Live l, long now) {
    ScheduleRow row = l.row;
    Definition d = l.definition;
    long oldest = now - (long) (1000 * d.catchUpS());
    boolean unfinished = !row.runs().isEmpty();
    if (l.nextMs < oldest) {
      long first = l.nextMs;
      long last = first;
      int count = 1;
      for (Instant n = d.next(Instant.ofEpochMilli(last), days.get());
          n != null && n.toEpochMilli() < oldest;
          n = d.next(n, days.get())) {
        last = n.toEpochMilli();
        count++;
      }
      long upTo = last;
      int skipped = count;
      write(l, row.with(v -> ScheduleRow.skipped(v, first, upTo, skipped, "too far back")), true);
    } else if (unfinished && d.overlap() == Overlap.SKIP) {
      long at = l.nextMs;
      write(
          l, row.with(v -> ScheduleRow.skipped(v, at, at, 1, "the run before is not over")), true);
    } else if ((unfinished && d.overlap() == Overlap.WAIT) || row.runs().size() >= MOST_RUNS) {
      queue(l, now + LOOK_MS);
    } else if (port.room() <= 0) {
      queue(l, now + AGAIN_MS);
    } else {
      fire(l, now);
    }
  }

  private void fire(Live l, long now) {
    ScheduleRow before = l.row;
    long at = l.nextMs;
    JobSpec spec;
    try {
      spec = l.definition.spec(ScheduleRow.runId(before.uid(), at));
    } catch (Definition.Refused e) {
      throw new IllegalStateException(e);
    }
    ScheduleRow next = before.with(v -> ScheduleRow.ran(v, at, now));
    l.busy = true;
    Futures.logFailure(
        port.fire(before, next, spec)
            .whenComplete(
                (stored, failure) -> {
                  LOG.debug("schedule {} due {}: {}", before.name(), at, stored);
                  done(l, next, stored, failure);
                }),
        "fire a schedule");
  }

  private void write(Live l, ScheduleRow next, boolean urgent) {
    ScheduleRow before = l.row;
    ScheduleRow archived = next;
    ObjectNode block = null;
    if (next.past().size() >= IN_A_BLOCK) {
      block = Archive.pack(next.past());
      archived =
          next.with(
              v -> {
                v.putArray("past");
                v.put("blocks", v.path("blocks").asInt() + 1);
              });
    }
    ScheduleRow stored = archived;
    l.busy = true;
    Futures.logFailure(
        port.write(before, stored, block, urgent)
            .whenComplete((result, failure) -> done(l, stored, result, failure)),
        "write a schedule's runs");
  }

  private void done(Live l, ScheduleRow next, Stored stored, Throwable failure) {
    l.busy = false;
    if (failure == null && stored.result() == Result.APPLIED) {
      if (stored.stamp() > l.row.stamp()) {
        take(l, next.at(stored.stamp()));
      }
    } else if (l.definition != null && l.nextMs < Long.MAX_VALUE) {
      // If the row was changed, the feed tells how; until then a new try would fail as well.
      queue(l, Math.max(l.nextMs, port.wallMs() + AGAIN_MS));
    }
    if (!l.row.runs().isEmpty()) {
      looks.add(new Turn(port.wallMs() + LOOK_MS, 0, l.row.name()));
    }
  }

  /** Looks at a schedule's runs; true if one of them led to a write, after which it goes on. */
  private boolean look(Live l, long now) {
    for (Run run : l.row.runs()) {
      JobId id = ScheduleRow.runId(l.row.uid(), run.dueMs());
      JobView view = port.view(id);
      long deadline = run.dueMs() + (long) (1000 * l.definition.deadlineS());
      if (view != null && view.status().terminal()) {
        String how = view.status().name();
        boolean late = now > deadline || !how.equals("DONE");
        write(l, l.row.with(v -> ScheduleRow.over(v, run.dueMs(), now, how, late)), false);
        return true;
      }
      Outlook seen = view == null ? null : port.outlook(id);
      long done = Math.max(now, seen == null ? now : Foresight.doneMs(now, seen));
      if (foresee(l, run, now, done, deadline)) {
        return true;
      }
    }
    return false;
  }

  /** Reports a miss, that it has become worse, or that it is mended; true if that is written. */
  private boolean foresee(Live l, Run run, long now, long done, long deadline) {
    boolean late = done > deadline;
    long margin = (long) (MENDED * 1000 * l.definition.deadlineS());
    long reported = run.report() == null ? 0 : run.report().path("done").asLong();
    boolean first = late && !run.open();
    boolean worse = late && run.open() && done > reported + WORSE_MS && now < deadline;
    boolean missed = run.open() && now > deadline && !run.report().path("missed").asBoolean();
    boolean mended = run.open() && now < deadline && done <= deadline - margin;
    if (!first && !worse && !missed && !mended) {
      return false;
    }
    ObjectNode report = Cbor.map().put("at", run.open() ? run.report().path("at").asLong() : now);
    report
        .put("said", now)
        .put("done", done)
        .put("withdrawn", mended)
        .put("missed", now > deadline);
    LOG.info(
        "schedule {} due {}: {}",
        l.row.name(),
        Instant.ofEpochMilli(run.dueMs()),
        mended
            ? "it will be in time after all"
            : "it will miss its deadline " + Instant.ofEpochMilli(deadline));
    write(l, l.row.with(v -> ScheduleRow.run(v, run.dueMs()).set("report", report)), true);
    return true;
  }

  /** Rows with reports that stand. */
  List<ScheduleRow> reported() {
    return live.values().stream()
        .map(l -> l.row)
        .filter(r -> r.runs().stream().anyMatch(Run::open))
        .toList();
  }
}
