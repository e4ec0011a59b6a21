package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.TaskId;
import io.violetrail.wire.HeartbeatMessages.State;

/** A task's place on a machine, from the decision until there is evidence that it is gone. */
public final class Placement {
  public final Job job;
  public final int index;
  public final Machine machine;
  public final long attempt;

  /** The report in whose answer the launch was sent; null before that. */
  public Sent sent;

  /** As last reported; null before the first report that shows it. */
  public State state;

  /** Grace of the halt it is to get; negative: none. */
  public double haltGraceS = -1;

  public double sinceS;

  /** When it was first seen running; 0 before. */
  public double runningS;

  /** Identifies a report of a worker. */
  public record Sent(long session, long sequence) {}

  /**
   * Creates an attempt to run one task on a machine.
   *
   * @param index position of the task within its job
   * @param attempt number of the attempt
   * @param sinceS steady clock reading at placement, in seconds
   */
  public Placement(Job job, int index, Machine machine, long attempt, double sinceS) {
    this.job = job;
    this.index = index;
    this.machine = machine;
    this.attempt = attempt;
    this.sinceS = sinceS;
  }

  public TaskId task() {
    return new TaskId(job.spec.id(), index);
  }

  /** Only decided, not told to the worker: it can be dropped without a trace. */
  public boolean revocable() {
    return sent == null && state == null;
  }

  public boolean running() {
    return state == State.RUNNING || state == State.SAVING;
  }

  /** Whether the holding counts it as used; kept by the holding alone. */
  public boolean counted;

  /** Asks for a halt; a shorter grace wins. */
  public void halt(double graceS) {
    haltGraceS = haltGraceS < 0 ? graceS : Math.min(haltGraceS, graceS);
  }
}
