package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.TaskId;
import io.violetrail.wire.HeartbeatMessages.TaskState;

/**
 * One attempt to run a task on a machine, from the scheduling decision until there is evidence that
 * the task has terminated.
 *
 * <p>Until its launch is sent, a placement is revocable: it can be removed without further action.
 * After that, it is removed only on {@link io.violetrail.evidence.TerminationEvidence}.
 *
 * <p>Used on the event loop's thread. Not stored: after a failover, placements are rebuilt from the
 * workers' heartbeats.
 */
public final class TaskPlacement {
  private static final double NO_STOP = -1;

  private final Job job;
  private final int taskIndex;
  private final Machine machine;
  private final long attempt;

  /** The heartbeat in whose reply the launch was sent; null before that. */
  private ReportId launchReport;

  /** The state in the last heartbeat that showed the task; null before the first. */
  private TaskState reportedState;

  /** The grace period of the requested stop; {@link #NO_STOP} if none is requested. */
  private double stopGraceSeconds = NO_STOP;

  private final double placedAtSeconds;

  /** When the task was last reported to have started running; 0 before. */
  private double runningSinceSeconds;

  /** Whether a report has shown the attempt as exited before its launch was settled. */
  private boolean exitReported;

  /** Whether the entity counts the task's resources as used; changed only by the entity. */
  private boolean countedAsUsed;

  /** Identifies a heartbeat of a machine's worker: the worker's session and a number within it. */
  public record ReportId(long session, long sequence) {}

  /**
   * Creates a placement whose launch was not sent yet.
   *
   * @param attempt identifies this attempt among all attempts to run the task
   * @param placedAtSeconds the current time in seconds of the monotonic clock
   */
  public TaskPlacement(
      Job job, int taskIndex, Machine machine, long attempt, double placedAtSeconds) {
    this.job = job;
    this.taskIndex = taskIndex;
    this.machine = machine;
    this.attempt = attempt;
    this.placedAtSeconds = placedAtSeconds;
  }

  public Job job() {
    return job;
  }

  /** Returns the index of the task within its job, from 0. */
  public int taskIndex() {
    return taskIndex;
  }

  /** Returns the machine on which the task runs or is to be launched. */
  public Machine machine() {
    return machine;
  }

  /** Returns the number that identifies this attempt among all attempts to run the task. */
  public long attempt() {
    return attempt;
  }

  /**
   * Returns the heartbeat in whose reply the launch was sent; null before that. For a launch by a
   * former owner or process, both numbers are 0.
   */
  public ReportId launchReport() {
    return launchReport;
  }

  /** Records that the launch is sent in the reply to the machine's newest heartbeat. */
  public void markLaunched() {
    launchReport = new ReportId(machine.lastSession(), machine.lastSequence());
  }

  /**
   * Records that a heartbeat shows a task that was launched by another owner, or by this one before
   * a restart.
   */
  public void markLaunchedByFormerOwner() {
    launchReport = new ReportId(0, 0);
  }

  /** Returns the state in the last heartbeat that showed the task; null before the first. */
  public TaskState reportedState() {
    return reportedState;
  }

  /**
   * Records the state of the task in a heartbeat.
   *
   * @return whether the task is running now and was not in the previous heartbeat
   */
  public boolean recordReportedState(TaskState newState, double nowSeconds) {
    boolean startedRunning = reportedState != newState && newState == TaskState.RUNNING;
    if (startedRunning) {
      runningSinceSeconds = nowSeconds;
    }
    reportedState = newState;
    return startedRunning;
  }

  public boolean isStopRequested() {
    return stopGraceSeconds >= 0;
  }

  /** Returns the grace period of the requested stop in seconds; negative if none is requested. */
  public double stopGraceSeconds() {
    return stopGraceSeconds;
  }

  /** Returns the time of the scheduling decision, in seconds of the monotonic clock. */
  public double placedAtSeconds() {
    return placedAtSeconds;
  }

  /**
   * Returns when the task was last reported to have started running, in seconds of the monotonic
   * clock; 0 before.
   */
  public double runningSinceSeconds() {
    return runningSinceSeconds;
  }

  /** Returns whether the task was ever reported as running. */
  public boolean hasRun() {
    return runningSinceSeconds > 0;
  }

  /** Returns the time since {@link #runningSinceSeconds}. Valid only if {@link #hasRun}. */
  public double runSeconds(double nowSeconds) {
    return nowSeconds - runningSinceSeconds;
  }

  /** Returns whether the entity counts the task's resources as used. */
  public boolean countedAsUsed() {
    return countedAsUsed;
  }

  /** Sets whether the task's resources are counted as used. Called only by the entity. */
  public void setCountedAsUsed(boolean counted) {
    countedAsUsed = counted;
  }

  /** Returns the identifier of the task, which is the same for all attempts. */
  public TaskId taskId() {
    return new TaskId(job.spec().id(), taskIndex);
  }

  /**
   * Returns whether a report has shown the attempt as exited before its launch was settled. It uses
   * no room on its machine then, but nothing proves yet that the task may start elsewhere.
   */
  public boolean isExitReported() {
    return exitReported;
  }

  /** Sets {@link #isExitReported}; called only by its machine, which accounts for the room. */
  public void setExitReported(boolean exited) {
    exitReported = exited;
  }

  /** Returns whether no launch was sent to a worker yet, so that the placement can be removed. */
  public boolean isRevocable() {
    return launchReport == null && reportedState == null;
  }

  /** Returns whether the task was last reported as running or as saving a checkpoint. */
  public boolean isRunning() {
    return reportedState == TaskState.RUNNING || reportedState == TaskState.CHECKPOINTING;
  }

  /**
   * Requests that the task be stopped. If several stops are requested, the shortest grace period
   * applies.
   *
   * @param graceSeconds 0 to stop the task immediately
   */
  public void requestStop(double graceSeconds) {
    stopGraceSeconds = isStopRequested() ? Math.min(stopGraceSeconds, graceSeconds) : graceSeconds;
  }
}
