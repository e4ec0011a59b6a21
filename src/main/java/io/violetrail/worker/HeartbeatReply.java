package io.violetrail.worker;

import io.violetrail.evidence.HeartbeatReplyKind;
import io.violetrail.model.Version;
import io.violetrail.net.RequestHandler.HttpAnswer;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.List;

/**
 * A reply to a worker's heartbeat. Only {@link #leaseRenewed} renews the worker's lease, and it
 * cannot be made without a fencing token.
 *
 * @param token the fencing token that the reply carries; {@link Version#NONE} if it renews nothing
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
   * Keeps a worker reporting here while its lease runs on. The reply carries a token lower than the
   * worker's, which renews nothing. No token is lower than that of a worker that has seen none: if
   * it has tasks, which only releases that issued version 0 can have started there, it is refused
   * and tries the next controller.
   */
  static HeartbeatReply withoutRenewal(WorkerReport report) {
    return report.fencingToken().equals(Version.NONE) && report.holdsTasks()
        ? refused("no owner is known")
        : new HeartbeatReply(
            HeartbeatReplyKind.STAY,
            Version.NONE,
            HttpAnswer.of(200, HeartbeatMessages.nonRenewingReply()));
  }

  /**
   * Sends a worker to another controller.
   *
   * @param owner the controller's name; null if the worker is to try the next one that it knows
   */
  static HeartbeatReply redirected(String owner) {
    return new HeartbeatReply(
        HeartbeatReplyKind.SENT_ELSEWHERE,
        Version.NONE,
        HttpAnswer.of(421, HeartbeatMessages.redirectReply(owner)));
  }

  /** Gives no answer for now: the worker tries the next controller. */
  static HeartbeatReply refused(String reason) {
    return new HeartbeatReply(
        HeartbeatReplyKind.REFUSED, Version.NONE, HttpAnswer.unavailable(reason));
  }
}
