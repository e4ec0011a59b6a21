package io.violetrail.worker;

import io.violetrail.evidence.HeartbeatReplyKind;
import io.violetrail.model.Version;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;

/** The newest report of one worker that has arrived here, and how it was last replied to. */
final class LastHeartbeat {
  private long session;
  private long sequence;
  private Version tokenSeen = Version.NONE;
  private HeartbeatReplyKind replyKind;
  private Version replyToken = Version.NONE;
  private double sameReplySinceSeconds;
  private double lastRepliedAtSeconds;

  LastHeartbeat(WorkerReport first) {
    accept(first);
  }

  boolean isOlderThan(WorkerReport report) {
    return report.isNewerThan(session, sequence);
  }

  /** The report takes the place of the one before. */
  void accept(WorkerReport report) {
    session = report.session();
    sequence = report.sequence();
    tokenSeen = report.fencingToken();
  }

  /** The worker's session, also called agent epoch. */
  long session() {
    return session;
  }

  /** The highest fencing token that the worker had seen when it sent the report. */
  Version tokenSeen() {
    return tokenSeen;
  }

  /**
   * Whether the worker was replied to in the same way before, and not so long ago that it must have
   * reported elsewhere meanwhile.
   */
  boolean isSameReply(HeartbeatReply reply, double nowSeconds, double absenceSeconds) {
    return replyKind == reply.kind()
        && replyToken.equals(reply.token())
        && nowSeconds - lastRepliedAtSeconds <= absenceSeconds;
  }

  /** A reply of another kind or token than before is sent. */
  void changeReply(HeartbeatReply reply, double nowSeconds) {
    replyKind = reply.kind();
    replyToken = reply.token();
    sameReplySinceSeconds = nowSeconds;
  }

  /** Any reply is sent. */
  void repliedAt(double nowSeconds) {
    lastRepliedAtSeconds = nowSeconds;
  }

  /** The last reply as a field of a line of the evidence log. */
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
