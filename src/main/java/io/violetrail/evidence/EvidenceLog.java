package io.violetrail.evidence;

import io.violetrail.model.MachineId;
import io.violetrail.model.TaskId;
import io.violetrail.model.Version;
import io.violetrail.net.Budget;
import io.violetrail.net.Loop;
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

  private static final double LINES_AT_ONCE = 60;

  private final Loop loop;
  private final Consumer<String> sink;
  private final Budget lines;

  /** By the ordinals of their kinds: one is counted with each report. */
  private final long[] replies = new long[ReplyKind.values().length];

  private final long[] startsElsewhere = new long[GoneProof.values().length];
  private long droppedLines;
  private long droppedSinceLast;
  private long outlivedLeases;

  /** Creates a rate-limited log that passes each finished line to {@code sink}. */
  public EvidenceLog(Loop loop, Consumer<String> sink) {
    this.loop = loop;
    this.sink = sink;
    this.lines = new Budget(LINES_PER_SECOND, LINES_AT_ONCE, loop.seconds());
  }

  /** An answer to a report. */
  public void replied(ReplyKind kind) {
    replies[kind.ordinal()]++;
  }

  /** A worker is answered otherwise than before, or is here for the first time or again. */
  public void replyChanged(
      MachineId worker, long session, Version seen, ReplyKind kind, Version token, String before) {
    write(
        "worker=%s reply=%s token=%s worker_token=%s session=%d before=%s"
            .formatted(worker, kind, token, seen, session, before));
  }

  /**
   * A task is launched that was on a machine before. What its worker itself reported as ended is
   * counted only.
   */
  public void startsElsewhere(TaskId task, long attempt, MachineId machine, Departure from) {
    startsElsewhere[from.proof().ordinal()]++;
    if (from.proof() == GoneProof.REPORTED_ENDED) {
      return;
    }
    double now = loop.seconds();
    write(
        ("task=%s attempt=%d starts_on=%s was_on=%s was_attempt=%d proof=%s"
                + " proof_age_s=%.1f answered_age_s=%.1f")
            .formatted(
                task,
                attempt,
                machine,
                from.machine(),
                from.attempt(),
                from.proof(),
                now - from.atS(),
                now - from.answeredS()));
  }

  /** A report in a session whose lease was counted as over: held back, or somebody renewed it. */
  public void leaseOutlived(MachineId worker, long session, int tasks) {
    outlivedLeases++;
    write(
        "worker=%s session=%d reports after its lease was counted as over tasks_halted=%d"
            .formatted(worker, session, tasks));
  }

  private void write(String line) {
    if (!lines.take(1, loop.seconds())) {
      droppedLines++;
      droppedSinceLast++;
      return;
    }
    sink.accept(droppedSinceLast == 0 ? line : line + " lines_left_out=" + droppedSinceLast);
    droppedSinceLast = 0;
  }

  public long replies(ReplyKind kind) {
    return replies[kind.ordinal()];
  }

  public long startsElsewhere(GoneProof proof) {
    return startsElsewhere[proof.ordinal()];
  }

  public long droppedLines() {
    return droppedLines;
  }

  public long outlivedLeases() {
    return outlivedLeases;
  }
}
