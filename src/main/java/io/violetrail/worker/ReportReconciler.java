package io.violetrail.worker;

import io.violetrail.api.JobLifecycle;
import io.violetrail.api.KnownJobs;
import io.violetrail.api.UnknownTaskLookup;
import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.fleet.Machine;
import io.violetrail.model.JobShape;
import io.violetrail.model.Resources;
import io.violetrail.model.TaskId;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.FailureAttribution;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.TaskFailureHandler;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.wire.HeartbeatMessages.ExitCause;
import io.violetrail.wire.HeartbeatMessages.TaskReport;
import io.violetrail.wire.HeartbeatMessages.TaskState;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand.CommandType;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings an owner's picture of a machine in line with its worker's newest report: what runs there,
 * what has ended, and what is there that should not be. Keeps no state of its own.
 */
public final class ReportReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(ReportReconciler.class);

  private final JobLifecycle jobLifecycle;
  private final UnknownTaskLookup unknownTaskLookup;
  private final RuntimeEstimates runtimeEstimates;
  private final TaskFailureHandler failureHandler;

  /** Tells the jobs what is done and the failure handler what has failed. */
  public ReportReconciler(
      JobLifecycle jobLifecycle,
      UnknownTaskLookup unknownTaskLookup,
      RuntimeEstimates runtimeEstimates,
      TaskFailureHandler failureHandler) {
    this.jobLifecycle = jobLifecycle;
    this.unknownTaskLookup = unknownTaskLookup;
    this.runtimeEstimates = runtimeEstimates;
    this.failureHandler = failureHandler;
  }

  /** Brings the picture of a machine in line with its newest report. */
  void reconcile(
      OwnedEntity entity,
      Machine machine,
      WorkerReport report,
      double nowSeconds,
      List<WorkerCommand> commands) {
    Set<TaskId> reportedTasks = new HashSet<>();
    Map<TaskId, Resources> unknownTasks = new HashMap<>();
    for (TaskReport taskReport : report.tasks()) {
      Job job = entity.jobs().get(taskReport.taskId().jobId());
      if (job == null || taskReport.taskId().index() >= job.spec().taskCount()) {
        reconcileUnknownTask(entity, machine, taskReport, unknownTasks, commands);
      } else if (taskReport.state() == TaskState.EXITED) {
        reconcileExitedTask(entity, machine, job, taskReport, nowSeconds, commands);
      } else {
        reportedTasks.add(taskReport.taskId());
        if (!reconcileRunningTask(entity, machine, job, taskReport, nowSeconds)) {
          unknownTasks.put(taskReport.taskId(), job.spec().taskResources());
          commands.add(
              new WorkerCommand(CommandType.STOP, taskReport.taskId(), taskReport.attempt(), 0));
        }
      }
    }
    machine.replaceUnknownTasks(unknownTasks);
    TerminationEvidence evidence =
        machine.tasksKnown() && report.session() > machine.lastSession()
            ? TerminationEvidence.LATER_SESSION
            : TerminationEvidence.REPORT_WITHOUT_IT;
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      // Sent in the answer to an earlier report and not in this newer one: it was never taken, or
      // is over.
      if (!placement.isRevocable()
          && !reportedTasks.contains(placement.taskId())
          && machine.findPlacement(placement.taskId()) == placement) {
        LOG.debug(
            "task {} try {} is no longer on {}",
            placement.taskId(),
            placement.attempt(),
            machine.id());
        entity.removePlacement(placement, nowSeconds, evidence);
      }
    }
  }

  /** False if the task is known to be on another machine. */
  private boolean reconcileRunningTask(
      OwnedEntity entity, Machine machine, Job job, TaskReport taskReport, double nowSeconds) {
    int index = taskReport.taskId().index();
    TaskPlacement placement = machine.findPlacement(taskReport.taskId());
    if (placement != null
        && placement.attempt() != taskReport.attempt()
        && placement.isRevocable()) {
      entity.removePlacement(placement, nowSeconds, TerminationEvidence.NEVER_SENT);
      placement = null;
    }
    if (placement == null || placement.attempt() != taskReport.attempt()) {
      TaskPlacement otherPlacement = job.findPlacement(index);
      if (otherPlacement != null && otherPlacement.machine() != machine) {
        if (otherPlacement.isRevocable()) {
          entity.removePlacement(otherPlacement, nowSeconds, TerminationEvidence.NEVER_SENT);
        } else {
          LOG.error(
              "task {} is on {} and on {}",
              taskReport.taskId(),
              machine.id(),
              otherPlacement.machine().id());
          return false;
        }
      }
      placement = new TaskPlacement(job, index, machine, taskReport.attempt(), nowSeconds);
      placement.foundByReport();
      entity.addPlacement(placement);
    }
    if (placement.reported(taskReport.state(), nowSeconds)) {
      machine.imageSeen(job.spec().image());
    }
    if (placement.reportedState() == TaskState.RUNNING && placement.runningSinceSeconds() > 0) {
      FailureAttribution.recordRunning(job, nowSeconds - placement.runningSinceSeconds());
    }
    if (job.phase() != Job.Phase.OPEN || job.isDone(index)) {
      placement.requestStop(0);
    }
    return true;
  }

  private void reconcileExitedTask(
      OwnedEntity entity,
      Machine machine,
      Job job,
      TaskReport taskReport,
      double nowSeconds,
      List<WorkerCommand> commands) {
    int index = taskReport.taskId().index();
    TaskPlacement placement = machine.findPlacement(taskReport.taskId());
    boolean isCurrentAttempt =
        placement != null
            && placement.attempt() == taskReport.attempt()
            && !placement.isRevocable();
    // A replica is never done: one that ends is started again.
    boolean done =
        taskReport.exitCause() == ExitCause.DONE && job.spec().shape() != JobShape.SERVICE;
    if (done && !job.isDone(index)) {
      job.markDone(index);
      FailureAttribution.recordSuccess(machine, job);
      machine.imageSeen(job.spec().image());
    }
    if (isCurrentAttempt) {
      if (taskReport.exitCause() == ExitCause.DONE
          && placement.runningSinceSeconds() > 0
          && placement.stopGraceSeconds() < 0) {
        runtimeEstimates.recordRuntime(job.spec(), nowSeconds - placement.runningSinceSeconds());
      }
      entity.removePlacement(placement, nowSeconds, TerminationEvidence.REPORTED_ENDED);
      if (taskReport.exitCause() != ExitCause.DONE) {
        failureHandler.taskFailed(machine, placement, taskReport.exitCause());
      }
    }
    if (job.isDone(index)) {
      jobLifecycle.handleProgress(entity, job);
      if (taskReport.exitCause() == ExitCause.DONE
          && !job.isStored(index)
          && job.phase() != Job.Phase.FINISHED) {
        return;
      }
    }
    commands.add(
        new WorkerCommand(CommandType.FORGET, taskReport.taskId(), taskReport.attempt(), 0));
  }

  /** A task of a job that is over, or that this owner has not loaded. */
  private void reconcileUnknownTask(
      OwnedEntity entity,
      Machine machine,
      TaskReport taskReport,
      Map<TaskId, Resources> unknownTasks,
      List<WorkerCommand> commands) {
    KnownJobs.KnownJob knownJob =
        unknownTaskLookup.findKnownJob(entity, taskReport.taskId().jobId());
    if (taskReport.state() != TaskState.EXITED) {
      // Its halt goes with whatever renews the lease.
      unknownTasks.put(
          taskReport.taskId(),
          knownJob == null ? machine.type().capacity() : knownJob.taskResources());
    } else if (knownJob != null) {
      commands.add(
          new WorkerCommand(CommandType.FORGET, taskReport.taskId(), taskReport.attempt(), 0));
    }
  }
}
