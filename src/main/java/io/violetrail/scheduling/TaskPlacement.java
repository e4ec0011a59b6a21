package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.TaskId;
import io.violetrail.wire.HeartbeatMessages.TaskState;

/** A task's place on a machine, from the decision until there is evidence that it is gone. */
public final class TaskPlacement {
  private final Job job;
  private final int taskIndex;
  private final Machine machine;
  private final long attempt;

  /** The report in whose answer the launch was sent; null before that. */
  private ReportId launchReport;

  /** As last reported; null before the first report that shows it. */
  private TaskState reportedState;

  /** Grace of the halt it is to get; negative: none. */
  private double stopGraceSeconds = -1;

  private final double placedAtSeconds;

  /** When it was first seen running; 0 before. */
  private double runningSinceSeconds;

  /** Whether the entity counts it as used; kept by the entity alone. */
  private boolean countedAsUsed;

  /** Identifies a report of a worker. */
  public record ReportId(long session, long sequence) {}

  /** A decision made now; nothing is told to the worker yet. */
  public TaskPlacement(
      Job job, int taskIndex, Machine machine, long attempt, double placedAtSeconds) {
    this.job = job;
    this.taskIndex = taskIndex;
    this.machine = machine;
    this.attempt = attempt;
    this.placedAtSeconds = placedAtSeconds;
  }

  /** The job that the task is of. */
  public Job job() {
    return job;
  }

  /** The task's number within its job, from 0. */
  public int taskIndex() {
    return taskIndex;
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
  public ReportId launchReport() {
    return launchReport;
  }

  /** The launch leaves in the answer to the machine's newest report. */
  public void launched() {
    launchReport = new ReportId(machine.lastSession(), machine.lastSequence());
  }

  /** A report has shown a task that this owner did not launch itself. */
  public void foundByReport() {
    launchReport = new ReportId(0, 0);
  }

  /** As last reported; null before the first report that shows it. */
  public TaskState reportedState() {
    return reportedState;
  }

  /** A report has shown the task in that state; true if it runs since this report. */
  public boolean reported(TaskState newState, double now) {
    boolean starts = reportedState != newState && newState == TaskState.RUNNING;
    if (starts) {
      runningSinceSeconds = now;
    }
    reportedState = newState;
    return starts;
  }

  /** Seconds of grace of the halt that it is to get; negative: it is to get none. */
  public double stopGraceSeconds() {
    return stopGraceSeconds;
  }

  /** When it was decided, in seconds of the steady clock. */
  public double placedAtSeconds() {
    return placedAtSeconds;
  }

  /** When it was first seen running, in seconds of the steady clock; 0 before. */
  public double runningSinceSeconds() {
    return runningSinceSeconds;
  }

  /** Whether the entity counts it as used. */
  public boolean countedAsUsed() {
    return countedAsUsed;
  }

  /** For the entity alone, which counts what is placed. */
  public void setCounted(boolean nowCounted) {
    countedAsUsed = nowCounted;
  }

  /** The task's name. */
  public TaskId taskId() {
    return new TaskId(job.spec().id(), taskIndex);
  }

  /** Only decided, not told to the worker: it can be dropped without a trace. */
  public boolean isRevocable() {
    return launchReport == null && reportedState == null;
  }

  /** Whether it takes part in its job's progress, or saves it. */
  public boolean isRunning() {
    return reportedState == TaskState.RUNNING || reportedState == TaskState.CHECKPOINTING;
  }

  /** Asks for a halt; a shorter grace wins. */
  public void requestStop(double graceSeconds) {
    stopGraceSeconds =
        stopGraceSeconds < 0 ? graceSeconds : Math.min(stopGraceSeconds, graceSeconds);
  }
}
