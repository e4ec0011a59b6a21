package io.violetrail.worker;

import io.violetrail.evidence.HeartbeatReplyKind;
import io.violetrail.model.Version;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.List;

/**
 * A reply to a worker's heartbeat. Only {@link #leaseRenewed} renews the worker's lease, and it
 * requires a fencing token.
 *
 * @param token the fencing token that the reply carries; {@link Version#NONE} if the reply does not
 *     renew the lease
 */
record HeartbeatReply(HeartbeatReplyKind kind, Version token, HttpResponse answer) {
  /** Returns a reply that renews the worker's lease and carries commands. */
  static HeartbeatReply leaseRenewed(Version token, List<WorkerCommand> commands) {
    return new HeartbeatReply(
        HeartbeatReplyKind.RENEWED,
        token,
        HttpResponse.of(200, HeartbeatMessages.commandReply(token, commands)));
  }

  /**
   * Returns a reply that keeps the worker reporting here without renewing its lease. The reply
   * carries a lower token than the worker has seen, so the worker does not renew its lease.
   *
   * <p>A worker that has seen no token reports {@link Version#NONE}, and no token is lower than
   * that. If such a worker holds tasks, which only releases that issued version 0 can have started,
   * its report is refused and it tries the next controller.
   */
  static HeartbeatReply withoutRenewal(WorkerReport report) {
    return report.fencingToken().equals(Version.NONE) && report.holdsTasks()
        ? refused(
            "the worker holds tasks but has seen no fencing token, and this reply must not renew"
                + " its lease; report to the next controller")
        : new HeartbeatReply(
            HeartbeatReplyKind.STAY,
            Version.NONE,
            HttpResponse.of(200, HeartbeatMessages.nonRenewingReply()));
  }

  /**
   * Returns a reply that sends the worker to another controller.
   *
   * @param owner the name of the controller; null if the worker is to try the next one in its list
   */
  static HeartbeatReply redirected(String owner) {
    return new HeartbeatReply(
        HeartbeatReplyKind.SENT_ELSEWHERE,
        Version.NONE,
        HttpResponse.of(421, HeartbeatMessages.redirectReply(owner)));
  }

  /** Returns an error with status 503, after which the worker tries the next controller. */
  static HeartbeatReply refused(String reason) {
    return new HeartbeatReply(
        HeartbeatReplyKind.REFUSED, Version.NONE, HttpResponse.unavailable(reason));
  }
}
