package io.violetrail.scheduling;

import io.violetrail.evidence.Departure;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.Status;
import io.violetrail.model.Shape;
import io.violetrail.net.Futures;
import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.agrona.collections.Int2ObjectHashMap;

/** An open job of an entity that this controller owns. */
public final class Job {
  /** Where a job is between intake and its stored end. */
  public enum Phase {
    /** Its tasks run or wait. */
    OPEN,
    /** All of its tasks are done; that is being stored. */
    CLOSING,
    /** Its user has cancelled it; that is being stored. */
    CANCELLING,
    /** Its end is stored and never changes. */
    OVER
  }

  /** Waiting for longer, a job is starving: it no longer keeps to what is merely better. */
  private static final double STARVING_S = 60;

  /** After so long it takes accelerators that are kept for work yet to come. */
  private static final double LAST_RESORT_S = 75;

  /** A job that can't use what it withholds from others lets go of it for as long, in turns. */
  private static final double TURN_S = 80;

  private final JobSpec spec;
  private final long arrivedMs;

  /**
   * When it arrived on this controller's steady clock; before this process started for older jobs.
   */
  private final double arrivedS;

  /** Loaded from the state service: tasks of it may be on machines that have not reported yet. */
  private final boolean recovered;

  /** Run in room and on machines that nobody else needs; see {@link Aims#spareWork}. */
  private final boolean spareWork;

  private final BitSet done = new BitSet();
  private int doneCount;

  /** The part of what is done that the state service has. */
  private final BitSet stored = new BitSet();

  private final Int2ObjectHashMap<Placement> placed = new Int2ObjectHashMap<>();

  /** Done or placed, so that the next free task of a wide job is found without a search. */
  private final BitSet taken = new BitSet();

  /** Where tasks were last that wait to start anew. */
  private final Int2ObjectHashMap<Departure> departures = new Int2ObjectHashMap<>();

  /** When each failed task may be tried again. */
  private final Int2ObjectHashMap<Double> notBefore = new Int2ObjectHashMap<>();

  /** What its failures say. */
  private final Trial trial = new Trial();

  /** What a waiting task is worth, as of a moment: asked for each machine, the same for all. */
  private double worth;

  private double worthAtS = Double.NEGATIVE_INFINITY;

  /** Failures of its own tasks, for whoever counts them. */
  private int errors;

  /** Not before then is room for it made again. */
  private double makeRoomS;

  private Phase phase = Phase.OPEN;
  private Status end;

  /** It has waited too long for its first task, and goes before others for that one alone. */
  private boolean toBegin;

  /** When a task of it was placed last. */
  private double placedS = Double.NEGATIVE_INFINITY;

  private final ArrayDeque<Supplier<CompletableFuture<?>>> writes = new ArrayDeque<>();
  private boolean writing;

  /** An open job that is not spare work. */
  public Job(JobSpec spec, long arrivedMs, double arrivedS, boolean recovered) {
    this(spec, arrivedMs, arrivedS, recovered, false);
  }

  /** An open job with no task placed. */
  public Job(JobSpec spec, long arrivedMs, double arrivedS, boolean recovered, boolean spareWork) {
    this.spareWork = spareWork;
    this.spec = spec;
    this.arrivedMs = arrivedMs;
    this.arrivedS = arrivedS;
    this.recovered = recovered;
  }

  /** What was submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** When it was accepted, in milliseconds of the time of day. */
  public long arrivedMs() {
    return arrivedMs;
  }

  /**
   * When it arrived on this controller's steady clock, in seconds; before this process started for
   * older jobs.
   */
  public double arrivedS() {
    return arrivedS;
  }

  /**
   * Whether it was loaded from the state service: tasks of it may be on machines that have not
   * reported yet.
   */
  public boolean recovered() {
    return recovered;
  }

  /** Whether it is run in room and on machines that nobody else needs. */
  public boolean spareWork() {
    return spareWork;
  }

  /** Whether the state service has it that the task is done. */
  public boolean isStored(int index) {
    return stored.get(index);
  }

  /** The state service has it that the task is done. */
  public void markStored(int index) {
    stored.set(index);
  }

  /** The state service has all that is done, with the job's end. */
  private void markAllStored() {
    stored.or(done);
  }

  /** Which tasks from {@code from} to before {@code to} are done without that being stored. */
  public BitSet doneNotStored(int from, int to) {
    BitSet fresh = done.get(from, to);
    fresh.andNot(stored.get(from, to));
    return fresh;
  }

  /** When a failed task may be tried again, in seconds; null if it may be at any time. */
  public Double notBefore(int index) {
    return notBefore.get(index);
  }

  /** Whether some failed task may not be tried again yet. */
  public boolean anyRetryLater(double now) {
    for (Double retryAt : notBefore.values()) {
      if (retryAt > now) {
        return true;
      }
    }
    return false;
  }

  /** A failed task may be tried again at that second. */
  public void retryNotBefore(int index, double atSeconds) {
    notBefore.put(index, (Double) atSeconds);
  }

  /** A task may be tried again at once. */
  public void retryAtOnce(int index) {
    notBefore.remove(index);
  }

  /** All failed tasks may be tried again at once. */
  public void retryAllAtOnce() {
    notBefore.clear();
  }

  /** What its failures say. */
  public Trial trial() {
    return trial;
  }

  /** What a waiting task is worth, worked out once for each moment. */
  double worthAt(double now, DoubleSupplier worthNow) {
    if (worthAtS != now) {
      worthAtS = now;
      worth = worthNow.getAsDouble();
    }
    return worth;
  }

  /** Failures of its own tasks so far. */
  public int errors() {
    return errors;
  }

  /** A task of its own has failed. */
  public void countError() {
    errors++;
  }

  /** Not before then, in seconds, is room for it made again. */
  double makeRoomS() {
    return makeRoomS;
  }

  /** Room is made for it now, and not again before then. */
  void makeRoomNotBefore(double atSeconds) {
    makeRoomS = atSeconds;
  }

  /** Where it is between intake and its stored end. */
  public Phase phase() {
    return phase;
  }

  /** Its end as stored; null before. */
  public Status end() {
    return end;
  }

  /** All of its tasks are done: what remains is to store that. */
  public void startClosing() {
    requirePhase(Phase.OPEN);
    phase = Phase.CLOSING;
  }

  /** Its user has cancelled it: what remains is to store that. */
  public void startCancelling() {
    requirePhase(Phase.OPEN);
    phase = Phase.CANCELLING;
  }

  private void requirePhase(Phase required) {
    if (phase != required) {
      throw new IllegalStateException("job " + spec.id() + " is " + phase);
    }
  }

  /** Its end is stored. */
  public void ended(Status status) {
    phase = Phase.OVER;
    end = status;
    markAllStored();
  }

  /** Whether it goes before others for its first task, since it has waited too long. */
  boolean toBegin() {
    return toBegin;
  }

  /** Says whether it goes before others for its first task. */
  void setToBegin(boolean first) {
    toBegin = first;
  }

  /** Whether all of its tasks are done. */
  public boolean complete() {
    return doneCount == spec.tasks();
  }

  /** How many tasks are neither done nor placed. */
  public int unplaced() {
    return spec.tasks() - taken.cardinality();
  }

  /**
   * How many of its tasks may be started now. A suspect job gets one probe (a gang is one), and
   * nothing during its pauses.
   */
  public int mayStart(double now) {
    int waiting = unplaced();
    if (!trial.suspect() || waiting == 0) {
      return waiting;
    }
    if (trial.paused(now)) {
      return 0;
    }
    if (spec.shape() == Shape.GANG) {
      return waiting;
    }
    return placed.isEmpty() ? 1 : 0;
  }

  /** Whether the task is done. */
  public boolean isDone(int index) {
    return done.get(index);
  }

  /** The task is done. */
  public void markDone(int index) {
    if (!done.get(index)) {
      done.set(index);
      doneCount++;
      taken.set(index);
    }
  }

  /** How many tasks are done. */
  public int doneCount() {
    return doneCount;
  }

  /** A copy of which tasks are done. */
  public BitSet done() {
    return (BitSet) done.clone();
  }

  /** Whether the state service has all that is done. */
  public boolean allStored() {
    return stored.cardinality() >= doneCount;
  }

  /** Where the task is placed; null if it is not. */
  public Placement placed(int index) {
    return placed.get(index);
  }

  /** All placements; changes while they are walked are safe. */
  public List<Placement> placements() {
    return List.copyOf(placed.values());
  }

  /** Whether no task is placed. */
  public boolean nothingPlaced() {
    return placed.isEmpty();
  }

  /** For the holding alone, which counts what is placed. */
  public void place(Placement p) {
    placedS = p.sinceS();
    placed.put(p.index(), p);
    taken.set(p.index());
  }

  /** Takes a placement away, unless the task has another one by now. */
  public void unplace(Placement p) {
    if (placed.get(p.index()) == p) {
      placed.remove(p.index());
      taken.set(p.index(), done.get(p.index()));
    }
  }

  /** A task that is not done has left its machine. */
  public void departed(int index, Departure departure) {
    departures.put(index, departure);
  }

  /** Where a task that starts anew was last; null if it was nowhere as far as known here. */
  public Departure takeDeparture(int index) {
    return departures.isEmpty() ? null : departures.remove(index);
  }

  /**
   * The next task at or after {@code from} that is neither done nor placed; -1 if there is none.
   */
  public int nextFree(int from) {
    int i = taken.nextClearBit(from);
    return i < spec.tasks() ? i : -1;
  }

  /** When it should be complete, in seconds of the steady clock; infinite without a deadline. */
  public double deadlineS() {
    return spec.deadlineS() == null ? Double.POSITIVE_INFINITY : arrivedS + spec.deadlineS();
  }

  /** How long none of its waiting tasks has found a place. */
  public double waitedS(double now) {
    return Math.max(0, now - Math.max(arrivedS, placedS));
  }

  /**
   * Whether it has waited so long that other entities make room for it. Nothing may wait for long
   * while a machine that fits has room.
   */
  public boolean starving(double now) {
    return waitedS(now) > STARVING_S;
  }

  /** Whether it may take what is kept for work that is not there: nothing of it runs at all. */
  public boolean atLastResort(double now) {
    return waitedS(now) > LAST_RESORT_S && nothingPlaced();
  }

  /**
   * Whether it may gather what it cannot use yet, machines or parts of a limit, and keep others
   * from it. A job that gathers in vain would keep the rest from running for as long as it waits.
   */
  public boolean gathers(double now) {
    return waitedS(now) % (2 * TURN_S) < TURN_S;
  }

  /** Whether its end is asked for and not known to be stored: it may be, and others may know. */
  public boolean endUndecided() {
    return phase == Phase.CLOSING || phase == Phase.CANCELLING;
  }

  /** What its user is told of it. */
  public JobView view() {
    if (phase == Phase.OVER) {
      return new JobView(spec.id().value(), end, doneCount, 0);
    }
    int running = 0;
    for (Placement p : placed.values()) {
      running += p.running() ? 1 : 0;
    }
    Status status = running > 0 ? Status.RUNNING : Status.QUEUED;
    return new JobView(spec.id().value(), status, doneCount, running);
  }

  /** Runs this job's writes one after the other, so that none overtakes another. */
  public void write(Supplier<CompletableFuture<?>> next) {
    writes.add(next);
    nextWrite();
  }

  /** Whether one of its writes is under way. */
  public boolean writing() {
    return writing;
  }

  private void nextWrite() {
    if (writing || writes.isEmpty()) {
      return;
    }
    writing = true;
    Futures.logFailure(
        writes
            .poll()
            .get()
            .whenComplete(
                (r, f) -> {
                  writing = false;
                  nextWrite();
                }),
        "write a job's state");
  }
}
