package io.violetrail.worker;

import io.violetrail.evidence.HeartbeatReplyKind;
import io.violetrail.model.Version;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;

/** The newest report that this controller has received from a worker, and its last reply to it. */
final class LastHeartbeat {
  private long session;
  private long sequence;
  private Version tokenSeen = Version.NONE;
  private HeartbeatReplyKind replyKind;
  private Version replyToken = Version.NONE;
  private double sameReplySinceSeconds;
  private double lastRepliedAtSeconds;

  LastHeartbeat(WorkerReport firstReport) {
    replaceReport(firstReport);
  }

  boolean isOlderThan(WorkerReport report) {
    return report.isNewerThan(session, sequence);
  }

  /** Replaces the previous report. */
  void replaceReport(WorkerReport report) {
    session = report.session();
    sequence = report.sequence();
    tokenSeen = report.fencingToken();
  }

  /** The worker's session, also called its agent epoch. */
  long session() {
    return session;
  }

  /** The highest fencing token that the worker had seen when it sent the report. */
  Version tokenSeen() {
    return tokenSeen;
  }

  /**
   * Returns whether the worker's last reply was of the same kind and carried the same token.
   *
   * @param absenceSeconds if the last reply is longer ago than this, the worker is assumed to have
   *     reported to another controller meanwhile, and the result is false
   */
  boolean isSameReply(HeartbeatReply reply, double nowSeconds, double absenceSeconds) {
    return replyKind == reply.kind()
        && replyToken.equals(reply.token())
        && nowSeconds - lastRepliedAtSeconds <= absenceSeconds;
  }

  /** Records that a reply with another kind or token than the last one is sent. */
  void recordChangedReply(HeartbeatReply reply, double nowSeconds) {
    replyKind = reply.kind();
    replyToken = reply.token();
    sameReplySinceSeconds = nowSeconds;
  }

  /** Records when a reply is sent, whether or not it differs from the last one. */
  void recordReplyTime(double nowSeconds) {
    lastRepliedAtSeconds = nowSeconds;
  }

  /** Formats the last reply as a field of a line in the evidence log. */
  String describeLastReply(double nowSeconds) {
    return replyKind == null
        ? "none"
        : "%s,token:%s,for_s:%.1f,last_s_ago:%.1f"
            .formatted(
                replyKind,
                replyToken,
                lastRepliedAtSeconds - sameReplySinceSeconds,
                nowSeconds - lastRepliedAtSeconds);
  }
}
