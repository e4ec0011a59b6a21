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
import java.util.function.Supplier;
import org.agrona.collections.Int2ObjectHashMap;

/** An open job of an entity that this controller owns. */
public final class Job {
  /** Where a job is between intake and its stored end. */
  public enum Phase {
    OPEN,
    CLOSING,
    CANCELLING,
    OVER
  }

  public final JobSpec spec;
  public final long arrivedMs;

  /**
   * When it arrived on this controller's steady clock; before this process started for older jobs.
   */
  public final double arrivedS;

  /** Loaded from the state service: tasks of it may be on machines that have not reported yet. */
  public final boolean recovered;

  /** Run in room and on machines that nobody else needs; see {@link Aims#spareWork}. */
  public final boolean spareWork;

  private final BitSet done = new BitSet();
  private int doneCount;

  /** The part of what is done that the state service has. */
  public final BitSet stored = new BitSet();

  private final Int2ObjectHashMap<Placement> placed = new Int2ObjectHashMap<>();

  /** Done or placed, so that the next free task of a wide job is found without a search. */
  private final BitSet taken = new BitSet();

  /** Where tasks were last that wait to start anew. */
  private final Int2ObjectHashMap<Departure> departures = new Int2ObjectHashMap<>();

  /** When each failed task may be tried again. */
  public final Int2ObjectHashMap<Double> notBefore = new Int2ObjectHashMap<>();

  /** What its failures say. */
  public final Trial trial = new Trial();

  /** What a waiting task is worth, as of a moment: asked for each machine, the same for all. */
  double worth;

  double worthAtS = Double.NEGATIVE_INFINITY;

  /** Failures of its own tasks, for whoever counts them. */
  public int errors;

  /** Not before then is room for it made again. */
  public double makeRoomS;

  public Phase phase = Phase.OPEN;
  public Status end;

  private final ArrayDeque<Supplier<CompletableFuture<?>>> writes = new ArrayDeque<>();
  private boolean writing;

  public Job(JobSpec spec, long arrivedMs, double arrivedS, boolean recovered) {
    this(spec, arrivedMs, arrivedS, recovered, false);
  }

  /**
   * Creates a job that has not placed any task yet.
   *
   * @param arrivedMs submission time, in milliseconds since the epoch
   * @param arrivedS submission time on the steady clock, in seconds
   * @param recovered whether the job was read from storage rather than submitted here
   * @param spareWork whether the tasks only use idle capacity and are not counted as demand
   */
  public Job(JobSpec spec, long arrivedMs, double arrivedS, boolean recovered, boolean spareWork) {
    this.spareWork = spareWork;
    this.spec = spec;
    this.arrivedMs = arrivedMs;
    this.arrivedS = arrivedS;
    this.recovered = recovered;
  }

  public boolean complete() {
    return doneCount == spec.tasks();
  }

  public int unplaced() {
    return spec.tasks() - taken.cardinality();
  }

  /** It has waited too long for its first task, and goes before others for that one alone. */
  public boolean toBegin;

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

  public boolean isDone(int index) {
    return done.get(index);
  }

  /** Marks a task as successfully finished; a repeated call has no effect. */
  public void markDone(int index) {
    if (!done.get(index)) {
      done.set(index);
      doneCount++;
      taken.set(index);
    }
  }

  public int doneCount() {
    return doneCount;
  }

  /** A copy of which tasks are done. */
  public BitSet done() {
    return (BitSet) done.clone();
  }

  public boolean allStored() {
    return stored.cardinality() >= doneCount;
  }

  public Placement placed(int index) {
    return placed.get(index);
  }

  /** All placements; changes while they are walked are safe. */
  public List<Placement> placements() {
    return List.copyOf(placed.values());
  }

  public boolean nothingPlaced() {
    return placed.isEmpty();
  }

  /** For the holding alone, which counts what is placed. */
  public void place(Placement p) {
    placedS = p.sinceS;
    placed.put(p.index, p);
    taken.set(p.index);
  }

  /** Removes a placement if it is the task's current one, so that the task can be placed again. */
  public void unplace(Placement p) {
    if (placed.get(p.index) == p) {
      placed.remove(p.index);
      taken.set(p.index, done.get(p.index));
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

  public double deadlineS() {
    return spec.deadlineS() == null ? Double.POSITIVE_INFINITY : arrivedS + spec.deadlineS();
  }

  /** Waiting for longer, a job is starving: it no longer keeps to what is merely better. */
  private static final double STARVING_S = 60;

  /** After so long it takes accelerators that are kept for work yet to come. */
  private static final double LAST_RESORT_S = 75;

  /** A job that can't use what it withholds from others lets go of it for as long, in turns. */
  private static final double TURN_S = 80;

  private double placedS = Double.NEGATIVE_INFINITY;

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

  /** Returns the state that users see. */
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
