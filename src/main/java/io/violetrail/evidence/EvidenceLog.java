package io.violetrail.evidence;

import io.violetrail.model.MachineId;
import io.violetrail.model.TaskId;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.net.RateLimiter;
import java.util.function.Consumer;

/**
 * Log lines and counters that show an operator afterwards why a task was started, and which
 * controller kept a worker's lease alive. Lines are rate-limited; counters are complete.
 *
 * <p>Must be called while the controller's lock is held, as in every callback of the {@link
 * EventLoop}. The counters are lost in a restart; only the written log lines remain.
 */
public final class EvidenceLog {
  /** Log lines are limited because people read them and because they cost CPU time. */
  private static final double LINES_PER_SECOND = 20;

  private static final double LINE_BURST = 60;

  private final EventLoop loop;
  private final Consumer<String> sink;
  private final RateLimiter lineLimiter;

  /** Indexed by the ordinal of the reply's kind. Every reply to a report is counted. */
  private final long[] replyCounts = new long[HeartbeatReplyKind.values().length];

  private final long[] startElsewhereCounts = new long[TerminationEvidence.values().length];
  private long droppedLineCount;
  private long droppedLinesSinceLastWrite;
  private long reportAfterLeaseExpiryCount;

  /** Creates a rate-limited log that passes each finished line to {@code sink}. */
  public EvidenceLog(EventLoop loop, Consumer<String> sink) {
    this.loop = loop;
    this.sink = sink;
    this.lineLimiter = new RateLimiter(LINES_PER_SECOND, LINE_BURST, loop.monotonicSeconds());
  }

  /** Counts a reply to a worker's report. */
  public void countReply(HeartbeatReplyKind kind) {
    replyCounts[kind.ordinal()]++;
  }

  /**
   * Logs a reply that differs from the previous reply to the same worker, or that is the first
   * reply to a new or returning worker.
   */
  public void logReplyChange(
      MachineId worker,
      long session,
      Version workerToken,
      HeartbeatReplyKind kind,
      Version token,
      String previousReply) {
    writeLine(
        "worker=%s reply=%s token=%s worker_token=%s session=%d before=%s"
            .formatted(worker, kind, token, workerToken, session, previousReply));
  }

  /**
   * Records the launch of a task that was on a machine before. If the worker itself reported that
   * the previous attempt had ended, the launch is only counted and not logged.
   */
  public void recordStartElsewhere(
      TaskId task, long attempt, MachineId machine, TaskDeparture departure) {
    startElsewhereCounts[departure.evidence().ordinal()]++;
    if (departure.evidence() == TerminationEvidence.REPORTED_ENDED) {
      return;
    }
    double nowSeconds = loop.monotonicSeconds();
    writeLine(
        ("task=%s attempt=%d starts_on=%s was_on=%s was_attempt=%d proof=%s"
                + " proof_age_s=%.1f answered_age_s=%.1f")
            .formatted(
                task,
                attempt,
                machine,
                departure.machine(),
                departure.attempt(),
                departure.evidence(),
                nowSeconds - departure.knownAtSeconds(),
                nowSeconds - departure.latestRenewalAtSeconds()));
  }

  /**
   * Records a report in a session whose lease was considered expired. Either the report was delayed
   * in the network, or another controller has renewed the lease.
   */
  public void recordReportAfterLeaseExpiry(MachineId worker, long session, int stoppedTaskCount) {
    reportAfterLeaseExpiryCount++;
    writeLine(
        "worker=%s session=%d reports after its lease was counted as over tasks_halted=%d"
            .formatted(worker, session, stoppedTaskCount));
  }

  private void writeLine(String line) {
    if (!lineLimiter.tryAcquire(1, loop.monotonicSeconds())) {
      droppedLineCount++;
      droppedLinesSinceLastWrite++;
      return;
    }
    sink.accept(
        droppedLinesSinceLastWrite == 0
            ? line
            : line + " lines_left_out=" + droppedLinesSinceLastWrite);
    droppedLinesSinceLastWrite = 0;
  }

  public long replyCount(HeartbeatReplyKind kind) {
    return replyCounts[kind.ordinal()];
  }

  public long startElsewhereCount(TerminationEvidence evidence) {
    return startElsewhereCounts[evidence.ordinal()];
  }

  public long droppedLineCount() {
    return droppedLineCount;
  }

  public long reportAfterLeaseExpiryCount() {
    return reportAfterLeaseExpiryCount;
  }
}
