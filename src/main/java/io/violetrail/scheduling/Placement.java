package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.TaskId;
import io.violetrail.wire.HeartbeatMessages.State;

/** A task's place on a machine, from the decision until there is evidence that it is gone. */
public final class Placement {
  private final Job job;
  private final int index;
  private final Machine machine;
  private final long attempt;

  /** The report in whose answer the launch was sent; null before that. */
  private Sent sent;

  /** As last reported; null before the first report that shows it. */
  private State state;

  /** Grace of the halt it is to get; negative: none. */
  private double haltGraceS = -1;

  private final double sinceS;

  /** When it was first seen running; 0 before. */
  private double runningS;

  /** Whether the entity counts it as used; kept by the entity alone. */
  private boolean counted;

  /** Identifies a report of a worker. */
  public record Sent(long session, long sequence) {}

  /** A decision made now; nothing is told to the worker yet. */
  public Placement(Job job, int index, Machine machine, long attempt, double sinceS) {
    this.job = job;
    this.index = index;
    this.machine = machine;
    this.attempt = attempt;
    this.sinceS = sinceS;
  }

  /** The job that the task is of. */
  public Job job() {
    return job;
  }

  /** The task's number within its job, from 0. */
  public int index() {
    return index;
  }

  /** Where the task is, or is to be. */
  public Machine machine() {
    return machine;
  }

  /** Tells this start of the task from all others. */
  public long attempt() {
    return attempt;
  }

  /** The report in whose answer the launch was sent; null before that. */
  public Sent sent() {
    return sent;
  }

  /** The launch leaves in the answer to the machine's newest report. */
  public void launched() {
    sent = new Sent(machine.session(), machine.sequence());
  }

  /** A report has shown a task that this owner did not launch itself. */
  public void foundByReport() {
    sent = new Sent(0, 0);
  }

  /** As last reported; null before the first report that shows it. */
  public State state() {
    return state;
  }

  /** A report has shown the task in that state; true if it runs since this report. */
  public boolean reported(State newState, double now) {
    boolean starts = state != newState && newState == State.RUNNING;
    if (starts) {
      runningS = now;
    }
    state = newState;
    return starts;
  }

  /** Seconds of grace of the halt that it is to get; negative: it is to get none. */
  public double haltGraceS() {
    return haltGraceS;
  }

  /** When it was decided, in seconds of the steady clock. */
  public double sinceS() {
    return sinceS;
  }

  /** When it was first seen running, in seconds of the steady clock; 0 before. */
  public double runningS() {
    return runningS;
  }

  /** Whether the entity counts it as used. */
  public boolean counted() {
    return counted;
  }

  /** For the entity alone, which counts what is placed. */
  public void setCounted(boolean nowCounted) {
    counted = nowCounted;
  }

  /** The task's name. */
  public TaskId task() {
    return new TaskId(job.spec().id(), index);
  }

  /** Only decided, not told to the worker: it can be dropped without a trace. */
  public boolean revocable() {
    return sent == null && state == null;
  }

  /** Whether it takes part in its job's progress, or saves it. */
  public boolean running() {
    return state == State.RUNNING || state == State.SAVING;
  }

  /** Asks for a halt; a shorter grace wins. */
  public void halt(double graceS) {
    haltGraceS = haltGraceS < 0 ? graceS : Math.min(haltGraceS, graceS);
  }
}
