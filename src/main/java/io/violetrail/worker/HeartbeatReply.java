package io.violetrail.worker;

import io.violetrail.evidence.HeartbeatReplyKind;
import io.violetrail.model.Version;
import io.violetrail.net.RequestHandler.HttpAnswer;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.List;

/**
 * An answer to a worker's report. Only {@link #leaseRenewed} can renew the worker's lease, and it
 * cannot be made without a token.
 */
record HeartbeatReply(HeartbeatReplyKind kind, Version token, HttpAnswer answer) {
  /** Renews the lease and carries commands. */
  static HeartbeatReply leaseRenewed(Version token, List<WorkerCommand> commands) {
    return new HeartbeatReply(
        HeartbeatReplyKind.RENEWED,
        token,
        HttpAnswer.of(200, HeartbeatMessages.commandReply(token, commands)));
  }

  /**
   * Lets a worker stay here while its lease runs on. The answer carries a token lower than the
   * worker's. There is none for a worker that has seen no token: with tasks, which only programs
   * that gave out version 0 can have started there, it is refused and tries the next controller.
   */
  static HeartbeatReply withoutRenewal(WorkerReport report) {
    return report.fencingToken().equals(Version.NONE) && report.holdsTasks()
        ? refused("no owner is known")
        : new HeartbeatReply(
            HeartbeatReplyKind.STAY,
            Version.NONE,
            HttpAnswer.of(200, HeartbeatMessages.nonRenewingReply()));
  }

  /** Sends a worker to a controller, or to whichever it tries next if {@code owner} is null. */
  static HeartbeatReply redirected(String owner) {
    return new HeartbeatReply(
        HeartbeatReplyKind.SENT_ELSEWHERE,
        Version.NONE,
        HttpAnswer.of(421, HeartbeatMessages.redirectReply(owner)));
  }

  static HeartbeatReply refused(String reason) {
    return new HeartbeatReply(
        HeartbeatReplyKind.REFUSED, Version.NONE, HttpAnswer.unavailable(reason));
  }
}
