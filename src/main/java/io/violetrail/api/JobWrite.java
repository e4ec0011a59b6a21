package io.violetrail.api;

import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import java.util.concurrent.CompletableFuture;

/**
 * A change of one job that waits for its transaction: a submission ({@code spec} is not null) or an
 * end ({@code endText} is not null).
 */
final class JobWrite {
  final JobId id;
  final JobSpec spec;
  final long arrivedAtMillis;
  final String endText;

  /** A row that is stored together with the submission; null if there is none. */
  final CoWrittenRow coWrittenRow;

  /**
   * Completes with true once the change is stored, and with false if a submission cannot be: its id
   * is taken, or the co-written row conflicts. Fails if the outcome is not known.
   */
  final CompletableFuture<Boolean> completion = new CompletableFuture<>();

  final double queuedAtSeconds;
  private boolean coWrittenRowConflict;
  private long revision;

  private JobWrite(
      JobId id,
      JobSpec spec,
      long arrivedAtMillis,
      String endText,
      CoWrittenRow coWrittenRow,
      double queuedAtSeconds) {
    this.id = id;
    this.spec = spec;
    this.arrivedAtMillis = arrivedAtMillis;
    this.endText = endText;
    this.coWrittenRow = coWrittenRow;
    this.queuedAtSeconds = queuedAtSeconds;
  }

  /** A new job; {@code coWrittenRow} is null if there is none. */
  static JobWrite submission(
      JobSpec spec, long arrivedAtMillis, CoWrittenRow coWrittenRow, double queuedAtSeconds) {
    return new JobWrite(spec.id(), spec, arrivedAtMillis, null, coWrittenRow, queuedAtSeconds);
  }

  /** The end of an open job, as it is to stand in its finished-job segment. */
  static JobWrite end(JobId id, String endText, double queuedAtSeconds) {
    return new JobWrite(id, null, 0, endText, null, queuedAtSeconds);
  }

  boolean isSubmission() {
    return spec != null;
  }

  /** A transaction that includes the change was applied at the revision. */
  void completeApplied(long appliedRevision) {
    revision = appliedRevision;
    completion.complete(true);
  }

  /** Records whether the last refusal of a transaction was due to the co-written row. */
  void recordCoWrittenRowConflict(boolean conflict) {
    coWrittenRowConflict = conflict;
  }

  boolean hasCoWrittenRowConflict() {
    return coWrittenRowConflict;
  }

  /** The revision of the rows; 0 if it is not known. */
  long revision() {
    return revision;
  }
}
