package io.violetrail.worker;

import io.violetrail.api.JobLifecycle;
import io.violetrail.api.KnownJobs;
import io.violetrail.api.UnknownTaskLookup;
import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.fleet.Machine;
import io.violetrail.model.JobShape;
import io.violetrail.model.ReportSize;
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
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles a machine with a single report of its worker. {@link ReportReconciler} creates one
 * instance for each report, on the event loop's thread.
 */
final class ReportReconciliation {
  private static final Logger LOG = LoggerFactory.getLogger(ReportReconciliation.class);

  private final JobLifecycle jobLifecycle;
  private final UnknownTaskLookup unknownTaskLookup;
  private final RuntimeEstimates runtimeEstimates;
  private final TaskFailureHandler failureHandler;
  private final OwnedEntity entity;
  private final Machine machine;
  private final double nowSeconds;
  private final List<WorkerCommand> commands;

  /** Tasks of open jobs that the report shows as not exited. */
  private final Set<TaskId> reportedTasks = new HashSet<>();

  /**
   * Reported tasks that have not exited and are not placed on this machine, with the resources that
   * they count for until they are gone: the machine's whole capacity if the job is not known.
   */
  private final Map<TaskId, Resources> unknownTasks = new HashMap<>();

  ReportReconciliation(
      JobLifecycle jobLifecycle,
      UnknownTaskLookup unknownTaskLookup,
      RuntimeEstimates runtimeEstimates,
      TaskFailureHandler failureHandler,
      OwnedEntity entity,
      Machine machine,
      double nowSeconds,
      List<WorkerCommand> commands) {
    this.jobLifecycle = jobLifecycle;
    this.unknownTaskLookup = unknownTaskLookup;
    this.runtimeEstimates = runtimeEstimates;
    this.failureHandler = failureHandler;
    this.entity = entity;
    this.machine = machine;
    this.nowSeconds = nowSeconds;
    this.commands = commands;
  }

  void run(WorkerReport report) {
    for (TaskReport taskReport : report.tasks()) {
      reconcileTask(taskReport);
    }
    machine.replaceUnknownTasks(unknownTasks);
    machine.setExitedReportBytes(exitedReportBytes(report));
    removeUnreportedPlacements(
        machine.tasksKnown() && report.session() > machine.lastSession()
            ? TerminationEvidence.LATER_SESSION
            : TerminationEvidence.REPORT_WITHOUT_IT);
  }

  private static int exitedReportBytes(WorkerReport report) {
    int bytes = 0;
    for (TaskReport taskReport : report.tasks()) {
      if (taskReport.state() == TaskState.EXITED) {
        bytes += ReportSize.bytesOfTask(taskReport.taskId().jobId());
      }
    }
    return bytes;
  }

  private void reconcileTask(TaskReport taskReport) {
    Job job = entity.jobs().get(taskReport.taskId().jobId());
    if (job == null || taskReport.taskId().index() >= job.spec().taskCount()) {
      reconcileUnknownTask(taskReport);
    } else if (taskReport.state() == TaskState.EXITED) {
      reconcileExitedTask(job, taskReport);
    } else {
      reportedTasks.add(taskReport.taskId());
      reconcileRunningTask(job, taskReport);
    }
  }

  /**
   * Removes placements whose launch was sent but whose task is not in the report. The launch was
   * sent in the reply to an earlier report, so either it never arrived or the task is gone. In the
   * same session that counts only once the launch is settled: if the machine has restarted, a copy
   * of the launch could start the task again. The worker drops replies to reports of an earlier
   * session.
   */
  private void removeUnreportedPlacements(TerminationEvidence evidence) {
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      if (!placement.isRevocable()
          && !reportedTasks.contains(placement.taskId())
          && (evidence == TerminationEvidence.LATER_SESSION
              || isSettled(placement.taskId(), placement.attempt()))
          && machine.findPlacement(placement.taskId()) == placement) {
        LOG.debug(
            "removing task {} attempt {}: the latest report of machine {} does not show it",
            placement.taskId(),
            placement.attempt(),
            machine.id());
        entity.removePlacement(placement, nowSeconds, evidence);
      }
    }
  }

  private void reconcileRunningTask(Job job, TaskReport taskReport) {
    TaskPlacement placement = findReportedAttempt(taskReport);
    if (placement == null) {
      if (isOnAnotherMachine(job, taskReport.taskId())) {
        unknownTasks.put(taskReport.taskId(), job.spec().taskResources());
        commands.add(WorkerCommands.stopAtOnce(taskReport));
        return;
      }
      placement = addReportedPlacement(job, taskReport);
    }
    machine.recordNotExited(placement);
    if (placement.recordReportedState(taskReport.state(), nowSeconds)) {
      machine.recordImage(job.spec().image());
    }
    if (placement.reportedState() == TaskState.RUNNING && placement.hasRun()) {
      FailureAttribution.recordRunning(job, placement.runSeconds(nowSeconds));
    }
    if (job.phase() != Job.Phase.OPEN || job.isDone(placement.taskIndex())) {
      placement.requestStop(0);
    }
  }

  /**
   * Returns the placement of the reported attempt, or null if there is none. A placement of another
   * attempt of the task on this machine is removed if its launch was never sent.
   */
  private TaskPlacement findReportedAttempt(TaskReport taskReport) {
    TaskPlacement placement = machine.findPlacement(taskReport.taskId());
    if (placement == null || placement.attempt() == taskReport.attempt()) {
      return placement;
    }
    if (placement.isRevocable()) {
      entity.removePlacement(placement, nowSeconds, TerminationEvidence.NEVER_SENT);
    }
    return null;
  }

  /**
   * Returns whether another machine's worker may run the task. If the task is placed on another
   * machine but its launch was never sent, that placement is removed and the result is false.
   */
  private boolean isOnAnotherMachine(Job job, TaskId taskId) {
    TaskPlacement otherPlacement = job.findPlacement(taskId.index());
    if (otherPlacement == null || otherPlacement.machine() == machine) {
      return false;
    }
    if (otherPlacement.isRevocable()) {
      entity.removePlacement(otherPlacement, nowSeconds, TerminationEvidence.NEVER_SENT);
      return false;
    }
    LOG.error(
        "task {} is reported by machine {} but placed on machine {}; stopping the reported attempt",
        taskId,
        machine.id(),
        otherPlacement.machine().id());
    return true;
  }

  private TaskPlacement addReportedPlacement(Job job, TaskReport taskReport) {
    TaskPlacement placement =
        new TaskPlacement(
            job, taskReport.taskId().index(), machine, taskReport.attempt(), nowSeconds);
    placement.markLaunchedByFormerOwner();
    entity.addPlacement(placement);
    return placement;
  }

  private boolean isSettled(TaskId taskId, long attempt) {
    return machine.isLaunchSettled(taskId, attempt, nowSeconds);
  }

  /**
   * Tells the worker to forget an exited task. That is put off until its launch is settled, as
   * without a record of the attempt the worker would execute a copy of the launch.
   */
  private void forgetIfSettled(TaskReport taskReport) {
    if (isSettled(taskReport.taskId(), taskReport.attempt())) {
      commands.add(WorkerCommands.forget(taskReport));
    }
  }

  private void reconcileExitedTask(Job job, TaskReport taskReport) {
    int index = taskReport.taskId().index();
    boolean succeeded = taskReport.exitCause() == ExitCause.DONE;
    TaskPlacement placement = machine.findPlacement(taskReport.taskId());
    // Replicas of a service do not complete: one that exits is started again.
    if (succeeded && job.spec().shape() != JobShape.SERVICE && !job.isDone(index)) {
      job.markDone(index);
      FailureAttribution.recordSuccess(machine, job);
      machine.recordImage(job.spec().image());
    }
    if (placement != null
        && placement.attempt() == taskReport.attempt()
        && !placement.isRevocable()) {
      if (job.isDone(index) || isSettled(taskReport.taskId(), taskReport.attempt())) {
        removeExitedPlacement(job, placement, taskReport.exitCause());
      } else {
        machine.recordUnsettledExit(placement);
      }
    }
    if (job.isDone(index)) {
      jobLifecycle.handleProgress(entity, job);
      if (succeeded && !job.isStored(index) && job.phase() != Job.Phase.FINISHED) {
        // Without a FORGET command the worker keeps reporting the task. The command is sent only
        // once the completion is stored, so that a controller's crash does not lose it.
        return;
      }
    }
    forgetIfSettled(taskReport);
  }

  private void removeExitedPlacement(Job job, TaskPlacement placement, ExitCause exitCause) {
    if (exitCause == ExitCause.DONE && placement.hasRun() && !placement.isStopRequested()) {
      runtimeEstimates.recordRuntime(job.spec(), placement.runSeconds(nowSeconds));
    }
    entity.removePlacement(placement, nowSeconds, TerminationEvidence.REPORTED_ENDED);
    if (exitCause != ExitCause.DONE) {
      failureHandler.handleFailure(machine, placement, exitCause);
    }
  }

  /** Handles a task whose job is finished or cancelled, or is not among the jobs loaded here. */
  private void reconcileUnknownTask(TaskReport taskReport) {
    KnownJobs.FinishedOrNonexistentJob knownJob =
        unknownTaskLookup.findFinishedOrNonexistentJob(entity, taskReport.taskId().jobId());
    if (taskReport.state() != TaskState.EXITED) {
      // If the job is finished or cancelled, LeaseRenewal adds the stop to the renewing reply.
      unknownTasks.put(
          taskReport.taskId(),
          knownJob == null ? machine.type().capacity() : knownJob.taskResources());
    } else if (knownJob != null) {
      forgetIfSettled(taskReport);
    }
  }
}
