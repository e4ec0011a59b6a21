package io.violetrail.worker;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.evidence.HeartbeatReplyKind;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;

/**
 * The newest report of each worker that was heard here, of whichever entity, and how it was
 * answered last.
 *
 * <p>The network may bring a copy of an older report at any later time; nothing follows from that,
 * not even that its worker is there: a copy took the place of a report whose answer was kept open,
 * and marked machines as heard that had been silent for long.
 */
public final class LastHeartbeats {
  /** Twice as many as the machines of a large deployment; one that is forgotten is heard anew. */
  private static final int MAX_WORKERS = 8_000;

  /** Without a report for so many intervals the worker was elsewhere meanwhile. */
  private static final double ABSENCE_INTERVALS = 3;

  /** One worker, as far as this controller has heard it. */
  static final class LastHeartbeat {
    private long session;
    private long sequence;
    private Version tokenSeen = Version.NONE;
    private HeartbeatReplyKind replyKind;
    private Version replyToken = Version.NONE;
    private double sameReplySinceSeconds;
    private double lastRepliedAtSeconds;
  }

  private final EventLoop loop;
  private final EvidenceLog evidence;
  private final double absenceSeconds;
  private final Cache<MachineId, LastHeartbeat> heartbeatByWorker =
      CacheBuilder.newBuilder().maximumSize(MAX_WORKERS).build();

  /** Counts and logs replies in the evidence log. */
  public LastHeartbeats(EventLoop loop, EvidenceLog evidence, double reportIntervalSeconds) {
    this.loop = loop;
    this.evidence = evidence;
    this.absenceSeconds = ABSENCE_INTERVALS * reportIntervalSeconds + 1;
  }

  /** The worker's contact if this report is newer than all before it; null if it is not. */
  LastHeartbeat acceptIfNewer(WorkerReport report) {
    LastHeartbeat lastHeartbeat = heartbeatByWorker.getIfPresent(report.machineId());
    if (lastHeartbeat == null) {
      lastHeartbeat = new LastHeartbeat();
      heartbeatByWorker.put(report.machineId(), lastHeartbeat);
    } else if (!report.isNewerThan(lastHeartbeat.session, lastHeartbeat.sequence)) {
      return null;
    }
    lastHeartbeat.session = report.session();
    lastHeartbeat.sequence = report.sequence();
    lastHeartbeat.tokenSeen = report.fencingToken();
    return lastHeartbeat;
  }

  /** Counts a reply, and logs it where the worker was answered otherwise before. */
  void recordReply(MachineId workerId, LastHeartbeat lastHeartbeat, HeartbeatReply reply) {
    evidence.countReply(reply.kind());
    double nowSeconds = loop.monotonicSeconds();
    boolean isSameReply =
        lastHeartbeat.replyKind == reply.kind() && lastHeartbeat.replyToken.equals(reply.token());
    if (!isSameReply || nowSeconds - lastHeartbeat.lastRepliedAtSeconds > absenceSeconds) {
      evidence.logReplyChange(
          workerId,
          lastHeartbeat.session,
          lastHeartbeat.tokenSeen,
          reply.kind(),
          reply.token(),
          describePreviousReply(lastHeartbeat, nowSeconds));
      lastHeartbeat.replyKind = reply.kind();
      lastHeartbeat.replyToken = reply.token();
      lastHeartbeat.sameReplySinceSeconds = nowSeconds;
    }
    lastHeartbeat.lastRepliedAtSeconds = nowSeconds;
  }

  private static String describePreviousReply(LastHeartbeat lastHeartbeat, double nowSeconds) {
    return lastHeartbeat.replyKind == null
        ? "none"
        : "%s,token:%s,for_s:%.1f,last_s_ago:%.1f"
            .formatted(
                lastHeartbeat.replyKind,
                lastHeartbeat.replyToken,
                lastHeartbeat.lastRepliedAtSeconds - lastHeartbeat.sameReplySinceSeconds,
                nowSeconds - lastHeartbeat.lastRepliedAtSeconds);
  }
}
