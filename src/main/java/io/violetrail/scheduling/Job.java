package io.violetrail.scheduling;

import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.Status;
import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.HashSet;
import java.util.Set;
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

  public final BitSet done = new BitSet();
  public final BitSet stored = new BitSet();
  public final Int2ObjectHashMap<Placement> placed = new Int2ObjectHashMap<>();

  /** When each failed task may be tried again. */
  public final Int2ObjectHashMap<Double> notBefore = new Int2ObjectHashMap<>();

  public final Set<Object> failedOn = new HashSet<>();
  public int failures;
  public Phase phase = Phase.OPEN;
  public Status end;

  /**
   * The first task that may be neither done nor placed; a hint that keeps scans of wide jobs short.
   */
  public int cursor;

  public double flushedS;

  private final ArrayDeque<Supplier<CompletableFuture<?>>> writes = new ArrayDeque<>();
  private boolean writing;

  public Job(JobSpec spec, long arrivedMs, double arrivedS, boolean recovered) {
    this.spec = spec;
    this.arrivedMs = arrivedMs;
    this.arrivedS = arrivedS;
    this.recovered = recovered;
  }

  public boolean complete() {
    return done.cardinality() == spec.tasks();
  }

  public int unplaced() {
    return spec.tasks() - done.cardinality() - placed.size();
  }

  /**
   * The next task at or after {@code from} that is neither done nor placed; -1 if there is none.
   */
  public int nextFree(int from) {
    for (int i = done.nextClearBit(Math.max(from, cursor));
        i < spec.tasks();
        i = done.nextClearBit(i + 1)) {
      if (!placed.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  public double deadlineS() {
    return spec.deadlineS() == null ? Double.POSITIVE_INFINITY : arrivedS + spec.deadlineS();
  }

  public JobView view() {
    if (phase == Phase.OVER) {
      return new JobView(spec.id().value(), end, done.cardinality(), 0);
    }
    int running = 0;
    for (Placement p : placed.values()) {
      running += p.running() ? 1 : 0;
    }
    Status status = running > 0 || phase == Phase.CLOSING ? Status.RUNNING : Status.QUEUED;
    return new JobView(spec.id().value(), status, done.cardinality(), running);
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
    writes
        .poll()
        .get()
        .whenComplete(
            (r, f) -> {
              writing = false;
              nextWrite();
            });
  }
}
