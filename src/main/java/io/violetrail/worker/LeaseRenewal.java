package io.violetrail.worker;

import io.violetrail.api.JobLifecycle;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.model.Version;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.wire.HeartbeatMessages.TaskReport;
import io.violetrail.wire.HeartbeatMessages.TaskState;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand.CommandType;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Writes the replies that renew workers' leases. No other class renews them.
 *
 * <p>Once the entity is active, a reply that renews a lease also stops every reported task whose
 * job is finished or cancelled. The worker applies the whole reply or none of it. The lease is
 * therefore never renewed for a task that this owner knows to be over, whether the controller's own
 * lease is valid or uncertain.
 *
 * <p>Called on the event loop's thread; has no state.
 */
public final class LeaseRenewal {
  /**
   * Maximum number of commands in a reply, apart from stops; keeps it below the protocol's limit of
   * 64 KiB. A stop is shorter than the room that {@link io.violetrail.model.ReportSize} reserves
   * for its task in a report, so the stops of all tasks placed on a machine fit into a reply too.
   */
  static final int MAX_COMMANDS = 400;

  private final Membership membership;
  private final JobLifecycle jobLifecycle;
  private final EvidenceLog evidence;

  /** Creates a renewal that takes finished and cancelled jobs from {@code jobLifecycle}. */
  public LeaseRenewal(Membership membership, JobLifecycle jobLifecycle, EvidenceLog evidence) {
    this.membership = membership;
    this.jobLifecycle = jobLifecycle;
    this.evidence = evidence;
  }

  /**
   * Returns the reply that renews the worker's lease and carries the commands.
   *
   * <p>While an owner is still loading its entity's rows, it does not know which jobs are finished
   * or cancelled. Until it has loaded them, it renews the lease of a worker with tasks only as long
   * as {@link Membership#mayRenewWhileLoading} allows. After that, the worker is kept reporting
   * here without renewal, and its lease runs down.
   *
   * @param token the fencing token under which the lease is renewed
   * @param commands sent after the stops of finished and cancelled jobs; beyond {@link
   *     #MAX_COMMANDS} in all, commands other than stops are left out. A launch that is left out is
   *     treated as lost once the next report does not show its task
   */
  HeartbeatReply renew(
      OwnedEntity entity, Version token, WorkerReport report, List<WorkerCommand> commands) {
    if (!entity.isActive()) {
      return report.holdsTasks() && !membership.mayRenewWhileLoading(entity)
          ? HeartbeatReply.withoutRenewal(report)
          : HeartbeatReply.leaseRenewed(token, List.of());
    }
    Set<WorkerCommand> orderedCommands = new LinkedHashSet<>();
    for (TaskReport task : report.tasks()) {
      if (task.state() != TaskState.EXITED
          && jobLifecycle.isFinishedOrCancelled(entity, task.taskId().jobId())) {
        orderedCommands.add(WorkerCommands.stopAtOnce(task));
      }
    }
    for (WorkerCommand command : commands) {
      if (command.type() == CommandType.STOP || orderedCommands.size() < MAX_COMMANDS) {
        orderedCommands.add(command);
      }
    }
    return HeartbeatReply.leaseRenewed(token, List.copyOf(orderedCommands));
  }

  /**
   * Returns the reply to a report of a session whose lease was considered expired, and whose tasks
   * may have been started elsewhere since.
   *
   * <p>Either the report was delayed in the network and its worker no longer waits for the reply,
   * or another controller has renewed the lease. For the second case, the reply renews the lease
   * and stops all reported tasks. The lease of a worker without tasks is not renewed, so that it
   * expires: the machine is used again only in a later session.
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
    evidence.recordReportAfterLeaseExpiry(report.machineId(), report.session(), stops.size());
    return renew(entity, token, report, stops);
  }
}
