package io.violetrail.evidence;

import io.violetrail.model.MachineId;
import io.violetrail.model.TaskId;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.net.RateLimiter;
import java.util.function.Consumer;

/**
 * The lines and counters from which an operator learns later why a task was started, and who kept
 * which worker's lease. Lines are bounded in rate, counters are complete.
 *
 * <p>Called under the controller's lock; nothing of it survives a restart but the log.
 */
public final class EvidenceLog {
  /** Lines a second, and at once; a controller's log is read by people and costs its processor. */
  private static final double LINES_PER_SECOND = 20;

  private static final double LINE_BURST = 60;

  private final EventLoop loop;
  private final Consumer<String> sink;
  private final RateLimiter lineLimiter;

  /** By the ordinals of their kinds: one is counted with each report. */
  private final long[] replyCounts = new long[HeartbeatReplyKind.values().length];

  private final long[] startElsewhereCounts = new long[TerminationEvidence.values().length];
  private long droppedLineCount;
  private long droppedLinesSinceLastWrite;
  private long outlivedLeaseCount;

  /** Creates a rate-limited log that passes each finished line to {@code sink}. */
  public EvidenceLog(EventLoop loop, Consumer<String> sink) {
    this.loop = loop;
    this.sink = sink;
    this.lineLimiter = new RateLimiter(LINES_PER_SECOND, LINE_BURST, loop.monotonicSeconds());
  }

  /** An answer to a report. */
  public void countReply(HeartbeatReplyKind kind) {
    replyCounts[kind.ordinal()]++;
  }

  /** A worker is answered otherwise than before, or is here for the first time or again. */
  public void logReplyChange(
      MachineId worker,
      long session,
      Version seenToken,
      HeartbeatReplyKind kind,
      Version token,
      String replyBefore) {
    writeLine(
        "worker=%s reply=%s token=%s worker_token=%s session=%d before=%s"
            .formatted(worker, kind, token, seenToken, session, replyBefore));
  }

  /**
   * A task is launched that was on a machine before. What its worker itself reported as ended is
   * counted only.
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
                nowSeconds - departure.lastAnsweredAtSeconds()));
  }

  /** A report in a session whose lease was counted as over: held back, or somebody renewed it. */
  public void recordOutlivedLease(MachineId worker, long session, int haltedTaskCount) {
    outlivedLeaseCount++;
    writeLine(
        "worker=%s session=%d reports after its lease was counted as over tasks_halted=%d"
            .formatted(worker, session, haltedTaskCount));
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

  public long outlivedLeaseCount() {
    return outlivedLeaseCount;
  }
}
