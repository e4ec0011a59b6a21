package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.TaskId;
import io.violetrail.wire.HeartbeatMessages.TaskState;

/**
 * One attempt of a task on a machine, from the scheduling decision until there is evidence that the
 * task is gone.
 *
 * <p>Until its launch is sent it is revocable and can be dropped without a trace; from then on only
 * {@link io.violetrail.evidence.TerminationEvidence} removes it. Used on the event loop's thread.
 * Not stored: after a failover the reports of workers show what was placed.
 */
public final class TaskPlacement {
  private static final double NO_STOP = -1;

  private final Job job;
  private final int taskIndex;
  private final Machine machine;
  private final long attempt;

  /** The report in whose reply the launch was sent; null before that. */
  private ReportId launchReport;

  /** As last reported; null before the first report that shows it. */
  private TaskState reportedState;

  /** The grace period of the requested stop; {@link #NO_STOP} if none is requested. */
  private double stopGraceSeconds = NO_STOP;

  private final double placedAtSeconds;

  /** When it was first reported as running; 0 before. */
  private double runningSinceSeconds;

  /** Whether the entity counts its resources as used; kept by the entity alone. */
  private boolean countedAsUsed;

  /** Identifies a report of a machine's worker. */
  public record ReportId(long session, long sequence) {}

  /**
   * A decision made now; nothing is sent to the worker yet.
   *
   * @param attempt tells this start of the task from all others
   * @param placedAtSeconds now, in seconds of the monotonic clock
   */
  public TaskPlacement(
      Job job, int taskIndex, Machine machine, long attempt, double placedAtSeconds) {
    this.job = job;
    this.taskIndex = taskIndex;
    this.machine = machine;
    this.attempt = attempt;
    this.placedAtSeconds = placedAtSeconds;
  }

  /** The job that the task belongs to. */
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

  /** The report in whose reply the launch was sent; null before that. */
  public ReportId launchReport() {
    return launchReport;
  }

  /** The launch is sent in the reply to the machine's newest report. */
  public void launched() {
    launchReport = new ReportId(machine.lastSession(), machine.lastSequence());
  }

  /** A report shows a task that another owner, or this one before a restart, has launched. */
  public void foundByReport() {
    launchReport = new ReportId(0, 0);
  }

  /** As last reported; null before the first report that shows it. */
  public TaskState reportedState() {
    return reportedState;
  }

  /**
   * A report shows the task in that state.
   *
   * @return whether this is the first report that shows it running, after another state
   */
  public boolean reported(TaskState newState, double nowSeconds) {
    boolean starts = reportedState != newState && newState == TaskState.RUNNING;
    if (starts) {
      runningSinceSeconds = nowSeconds;
    }
    reportedState = newState;
    return starts;
  }

  /** Whether it is to stop. */
  public boolean isStopRequested() {
    return stopGraceSeconds >= 0;
  }

  /** The grace period of the requested stop, in seconds; negative if none is requested. */
  public double stopGraceSeconds() {
    return stopGraceSeconds;
  }

  /** When it was decided, in seconds of the monotonic clock. */
  public double placedAtSeconds() {
    return placedAtSeconds;
  }

  /** When it was first reported as running, in seconds of the monotonic clock; 0 before. */
  public double runningSinceSeconds() {
    return runningSinceSeconds;
  }

  /** Whether it was ever reported as running. */
  public boolean hasRun() {
    return runningSinceSeconds > 0;
  }

  /** How long ago it was first reported as running; call it only if {@link #hasRun}. */
  public double ranSeconds(double nowSeconds) {
    return nowSeconds - runningSinceSeconds;
  }

  /** Whether the entity counts its resources as used. */
  public boolean countedAsUsed() {
    return countedAsUsed;
  }

  /** For the entity alone, which counts what is placed. */
  public void setCounted(boolean nowCounted) {
    countedAsUsed = nowCounted;
  }

  /** The identifier of the task, the same for all attempts. */
  public TaskId taskId() {
    return new TaskId(job.spec().id(), taskIndex);
  }

  /**
   * Whether it is only decided and was never sent to a worker: it can be dropped without a trace.
   */
  public boolean isRevocable() {
    return launchReport == null && reportedState == null;
  }

  /** Whether it runs or saves a checkpoint, as last reported. */
  public boolean isRunning() {
    return reportedState == TaskState.RUNNING || reportedState == TaskState.CHECKPOINTING;
  }

  /**
   * Requests a stop; of several grace periods the shortest applies.
   *
   * @param graceSeconds 0 for a stop at once
   */
  public void requestStop(double graceSeconds) {
    stopGraceSeconds = isStopRequested() ? Math.min(stopGraceSeconds, graceSeconds) : graceSeconds;
  }
}
