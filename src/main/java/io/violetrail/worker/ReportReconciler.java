package io.violetrail.worker;

import io.violetrail.api.JobLifecycle;
import io.violetrail.api.UnknownTaskLookup;
import io.violetrail.fleet.Machine;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.TaskFailureHandler;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.List;

/**
 * Reconciles the owner's view of a machine with its worker's newest report: the tasks that run, the
 * tasks that have exited, and the tasks that should not be there. {@link ReportReconciliation} does
 * the work for a single report.
 *
 * <p>Called by {@link OwnedMachineHeartbeat} on the event loop's thread; has no state of its own.
 */
public final class ReportReconciler {
  private final JobLifecycle jobLifecycle;
  private final UnknownTaskLookup unknownTaskLookup;
  private final RuntimeEstimates runtimeEstimates;
  private final TaskFailureHandler failureHandler;

  /** Passes progress to {@code jobLifecycle} and failures to {@code failureHandler}. */
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

  /**
   * Reconciles the machine with its newest report.
   *
   * @param commands receives the commands that result from the report: stops of tasks that must not
   *     run there, and {@code FORGET} for exited tasks
   */
  void reconcile(
      OwnedEntity entity,
      Machine machine,
      WorkerReport report,
      double nowSeconds,
      List<WorkerCommand> commands) {
    new ReportReconciliation(
            jobLifecycle,
            unknownTaskLookup,
            runtimeEstimates,
            failureHandler,
            entity,
            machine,
            nowSeconds,
            commands)
        .run(report);
  }
}
