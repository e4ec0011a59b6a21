package io.violetrail.worker;

import io.violetrail.api.JobLifecycle;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.model.Version;
import io.violetrail.ownership.LeaseTiming;
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
 * Renews workers' leases, which is done here and nowhere else: with the same answer a worker is
 * told to halt what its report shows of jobs that are over. It takes both or neither, so no lease
 * is kept for a task whose end this owner knows, whether its own lease stands or is in doubt.
 */
public final class LeaseRenewal {
  /** Keeps an answer below the protocol's 64 KiB. */
  static final int MAX_COMMANDS = 400;

  private final Membership membership;
  private final JobLifecycle jobLifecycle;
  private final EvidenceLog evidence;

  /** Halts what the jobs say is over. */
  public LeaseRenewal(Membership membership, JobLifecycle jobLifecycle, EvidenceLog evidence) {
    this.membership = membership;
    this.jobLifecycle = jobLifecycle;
    this.evidence = evidence;
  }

  /**
   * An answer that renews the worker's lease and carries the commands.
   *
   * <p>An owner that has not read its entity's rows yet knows no ends. Then only workers without
   * tasks are sure of their lease; the others are for {@link LeaseTiming#unknowingS} at most, and
   * stay here while theirs run on.
   */
  HeartbeatReply renew(
      OwnedEntity entity, Version token, WorkerReport report, List<WorkerCommand> commands) {
    if (!entity.isActive()) {
      return report.holdsTasks() && !membership.mayRenewWhileLoading(entity)
          ? HeartbeatReply.withoutRenewal(report)
          : HeartbeatReply.leaseRenewed(token, List.of());
    }
    Set<WorkerCommand> all = new LinkedHashSet<>();
    for (TaskReport task : report.tasks()) {
      if (task.state() != TaskState.EXITED
          && jobLifecycle.isFinishedOrCancelled(entity, task.taskId().jobId())) {
        all.add(new WorkerCommand(CommandType.STOP, task.taskId(), task.attempt(), 0));
      }
    }
    all.addAll(commands);
    return HeartbeatReply.leaseRenewed(
        token, List.copyOf(all).subList(0, Math.min(MAX_COMMANDS, all.size())));
  }

  /**
   * Answers a report in a session whose lease was counted as over: its tasks may have started
   * elsewhere. It was held back, and its answer is nobody's, or another controller has kept the
   * lease: then all of its tasks are halted by the same answer that renews. Once it has none its
   * lease is left to run out, since the machine is used again in a later session only.
   */
  HeartbeatReply haltExpiredSession(OwnedEntity entity, Version token, WorkerReport report) {
    if (!report.holdsTasks()) {
      return HeartbeatReply.withoutRenewal(report);
    }
    List<WorkerCommand> halts =
        report.tasks().stream()
            .filter(task -> task.state() != TaskState.EXITED)
            .map(task -> new WorkerCommand(CommandType.STOP, task.taskId(), task.attempt(), 0))
            .toList();
    evidence.recordOutlivedLease(report.machineId(), report.session(), halts.size());
    return renew(entity, token, report, halts);
  }
}
