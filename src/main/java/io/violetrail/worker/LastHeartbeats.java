package io.violetrail.worker;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.model.MachineId;
import io.violetrail.net.EventLoop;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.Optional;

/**
 * The newest report of each worker that has arrived here, of whichever entity, and how it was last
 * replied to.
 *
 * <p>The network may deliver a copy of an older report at any later time. Nothing follows from such
 * a copy, not even that its worker is alive: it must neither replace a report whose reply is
 * delayed in a long poll nor mark a silent machine as heard.
 *
 * <p>Called by {@link HeartbeatHandler} on the event loop's thread. Lost with the process: the
 * first report of each worker is accepted then, whatever its age; {@link OwnedMachineHeartbeat}
 * judges that by sessions and tokens.
 */
public final class LastHeartbeats {
  /** Twice as many as the machines of a large deployment; a forgotten worker counts as new. */
  private static final int MAX_WORKERS = 8_000;

  /** Without a report for so many intervals the worker reported elsewhere meanwhile. */
  private static final double ABSENCE_INTERVALS = 3;

  private static final double ABSENCE_SLACK_SECONDS = 1;

  private final EventLoop loop;
  private final EvidenceLog evidence;
  private final double absenceSeconds;
  private final Cache<MachineId, LastHeartbeat> heartbeatByWorker =
      CacheBuilder.newBuilder().maximumSize(MAX_WORKERS).build();

  /** Counts and logs replies in the evidence log. */
  public LastHeartbeats(EventLoop loop, EvidenceLog evidence, double heartbeatIntervalSeconds) {
    this.loop = loop;
    this.evidence = evidence;
    this.absenceSeconds = ABSENCE_INTERVALS * heartbeatIntervalSeconds + ABSENCE_SLACK_SECONDS;
  }

  /** Records the report if it is newer than all before it of its worker; empty if it is not. */
  Optional<LastHeartbeat> acceptIfNewer(WorkerReport report) {
    LastHeartbeat lastHeartbeat = heartbeatByWorker.getIfPresent(report.machineId());
    if (lastHeartbeat == null) {
      lastHeartbeat = new LastHeartbeat(report);
      heartbeatByWorker.put(report.machineId(), lastHeartbeat);
      return Optional.of(lastHeartbeat);
    }
    if (!lastHeartbeat.isOlderThan(report)) {
      return Optional.empty();
    }
    lastHeartbeat.accept(report);
    return Optional.of(lastHeartbeat);
  }

  /** Counts a reply, and logs it if the worker was replied to otherwise before. */
  void recordReply(MachineId workerId, LastHeartbeat lastHeartbeat, HeartbeatReply reply) {
    evidence.countReply(reply.kind());
    double nowSeconds = loop.monotonicSeconds();
    if (!lastHeartbeat.isSameReply(reply, nowSeconds, absenceSeconds)) {
      evidence.logReplyChange(
          workerId,
          lastHeartbeat.session(),
          lastHeartbeat.tokenSeen(),
          reply.kind(),
          reply.token(),
          lastHeartbeat.describeLastReply(nowSeconds));
      lastHeartbeat.changeReply(reply, nowSeconds);
    }
    lastHeartbeat.repliedAt(nowSeconds);
  }
}
