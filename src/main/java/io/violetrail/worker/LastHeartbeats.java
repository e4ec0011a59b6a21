package io.violetrail.worker;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.model.MachineId;
import io.violetrail.net.EventLoop;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.Optional;

/**
 * The newest report that this controller has received from each worker, of any entity, and its last
 * reply to that worker.
 *
 * <p>The network may deliver a copy of an older report at any later time. Such a copy must have no
 * effect, since it is not even evidence that its worker is alive. It must neither replace a report
 * whose reply is delayed in a long poll nor mark a silent machine as responsive.
 *
 * <p>Called by {@link HeartbeatHandler} on the event loop's thread. The state is lost with the
 * process. After a restart the first report of each worker is accepted, whatever its age; {@link
 * OwnedMachineHeartbeat} then detects an outdated one by its session and fencing token.
 */
public final class LastHeartbeats {
  /** Twice the number of machines in a large deployment; an evicted worker counts as new. */
  private static final int MAX_WORKERS = 8_000;

  /**
   * Number of heartbeat intervals without a report after which the worker is assumed to have
   * reported to another controller.
   */
  private static final double ABSENCE_INTERVALS = 3;

  private static final double ABSENCE_SLACK_SECONDS = 1;

  private final EventLoop loop;
  private final EvidenceLog evidence;
  private final double absenceSeconds;
  private final Cache<MachineId, LastHeartbeat> heartbeatByWorker =
      CacheBuilder.newBuilder().maximumSize(MAX_WORKERS).build();

  /** Creates an empty record that counts and logs replies through {@code evidence}. */
  public LastHeartbeats(EventLoop loop, EvidenceLog evidence, double heartbeatIntervalSeconds) {
    this.loop = loop;
    this.evidence = evidence;
    this.absenceSeconds = ABSENCE_INTERVALS * heartbeatIntervalSeconds + ABSENCE_SLACK_SECONDS;
  }

  /**
   * Records the report if it is newer than all earlier ones of its worker.
   *
   * @return the worker's updated entry; empty if the report is not newer
   */
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
    lastHeartbeat.replaceReport(report);
    return Optional.of(lastHeartbeat);
  }

  /** Counts a reply, and logs it if it differs from the last reply to the worker. */
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
      lastHeartbeat.recordChangedReply(reply, nowSeconds);
    }
    lastHeartbeat.recordReplyTime(nowSeconds);
  }
}
