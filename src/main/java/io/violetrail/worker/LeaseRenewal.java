package io.violetrail.worker;

import io.violetrail.api.JobLifecycle;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.model.Version;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.wire.HeartbeatMessages.TaskReport;
import io.violetrail.wire.HeartbeatMessages.TaskState;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Renews workers' leases, which is done here and nowhere else. The same reply stops what the report
 * shows of jobs that are finished or cancelled: the worker takes both or neither, so no lease is
 * renewed for a task whose end this owner knows, whether this controller's own lease is valid or
 * uncertain.
 *
 * <p>Called on the event loop's thread; has no state.
 */
public final class LeaseRenewal {
  /** Commands in one reply; keeps it below the protocol's 64 KiB. */
  static final int MAX_COMMANDS = 400;

  private final Membership membership;
  private final JobLifecycle jobLifecycle;
  private final EvidenceLog evidence;

  /** Stops the tasks of jobs that are finished or cancelled by {@code jobLifecycle}. */
  public LeaseRenewal(Membership membership, JobLifecycle jobLifecycle, EvidenceLog evidence) {
    this.membership = membership;
    this.jobLifecycle = jobLifecycle;
    this.evidence = evidence;
  }

  /**
   * The reply that renews the worker's lease and carries the commands.
   *
   * <p>An owner that has not loaded its entity's rows yet knows of no finished or cancelled job.
   * Until then, workers with tasks have their lease renewed only as long as {@link
   * Membership#mayRenewWhileLoading} allows; after that they are kept reporting here while their
   * lease runs on.
   *
   * @param token the fencing token under which the lease is renewed
   * @param commands those beyond {@link #MAX_COMMANDS}, counted with the stops, are left out; a
   *     launch that is left out is taken for lost once the next report does not show it
   */
  HeartbeatReply renew(
      OwnedEntity entity, Version token, WorkerReport report, List<WorkerCommand> commands) {
    if (!entity.isActive()) {
      return report.holdsTasks() && !membership.mayRenewWhileLoading(entity)
          ? HeartbeatReply.withoutRenewal(report)
          : HeartbeatReply.leaseRenewed(token, List.of());
    }
    Set<WorkerCommand> stopsFirst = new LinkedHashSet<>();
    for (TaskReport task : report.tasks()) {
      if (task.state() != TaskState.EXITED
          && jobLifecycle.isFinishedOrCancelled(entity, task.taskId().jobId())) {
        stopsFirst.add(WorkerCommands.stopAtOnce(task));
      }
    }
    stopsFirst.addAll(commands);
    return HeartbeatReply.leaseRenewed(
        token, List.copyOf(stopsFirst).subList(0, Math.min(MAX_COMMANDS, stopsFirst.size())));
  }

  /**
   * The reply to a report of a session whose lease was taken for expired: its tasks may have
   * started elsewhere. Either the report was delayed in the network and nobody waits for the reply,
   * or another controller has renewed the lease: then the reply that renews it stops all of its
   * tasks. A worker without tasks is left without renewal, so that its lease expires: the machine
   * is used again in a later session only.
   */
  HeartbeatReply answerExpiredSession(OwnedEntity entity, Version token, WorkerReport report) {
    if (!report.holdsTasks()) {
      return HeartbeatReply.withoutRenewal(report);
    }
    List<WorkerCommand> stops =
        report.tasks().stream()
            .filter(task -> task.state() != TaskState.EXITED)
            .map(WorkerCommands::stopAtOnce)
            .toList();
    evidence.recordOutlivedLease(report.machineId(), report.session(), stops.size());
    return renew(entity, token, report, stops);
  }
}
