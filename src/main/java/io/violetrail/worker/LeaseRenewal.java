package io.violetrail.worker;

import io.violetrail.api.Jobs;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.model.Version;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Timing;
import io.violetrail.wire.HeartbeatMessages.Command;
import io.violetrail.wire.HeartbeatMessages.Command.Verb;
import io.violetrail.wire.HeartbeatMessages.State;
import io.violetrail.wire.HeartbeatMessages.TaskReport;
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
  private final Jobs jobs;
  private final EvidenceLog evidence;

  /** Halts what the jobs say is over. */
  public LeaseRenewal(Membership membership, Jobs jobs, EvidenceLog evidence) {
    this.membership = membership;
    this.jobs = jobs;
    this.evidence = evidence;
  }

  /**
   * An answer that renews the worker's lease and carries the commands.
   *
   * <p>An owner that has not read its entity's rows yet knows no ends. Then only workers without
   * tasks are sure of their lease; the others are for {@link Timing#unknowingS} at most, and stay
   * here while theirs run on.
   */
  HeartbeatReply renew(
      OwnedEntity entity, Version token, WorkerReport report, List<Command> commands) {
    if (!entity.active()) {
      return report.holdsTasks() && !membership.mayRenewUnknowing(entity)
          ? HeartbeatReply.stay(report)
          : HeartbeatReply.renewed(token, List.of());
    }
    Set<Command> all = new LinkedHashSet<>();
    for (TaskReport task : report.pieces()) {
      if (task.state() != State.EXITED && jobs.over(entity, task.task().job())) {
        all.add(new Command(Verb.HALT, task.task(), task.attempt(), 0));
      }
    }
    all.addAll(commands);
    return HeartbeatReply.renewed(
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
      return HeartbeatReply.stay(report);
    }
    List<Command> halts =
        report.pieces().stream()
            .filter(task -> task.state() != State.EXITED)
            .map(task -> new Command(Verb.HALT, task.task(), task.attempt(), 0))
            .toList();
    evidence.leaseOutlived(report.machine(), report.session(), halts.size());
    return renew(entity, token, report, halts);
  }
}
