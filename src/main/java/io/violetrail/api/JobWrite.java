package io.violetrail.api;

import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import java.util.concurrent.CompletableFuture;

/**
 * A change of one job that is waiting to be stored by a transaction: a submission ({@code spec} is
 * not null) or an end ({@code encodedEnd} is not null).
 */
final class JobWrite {
  final JobId id;
  final JobSpec spec;
  final long arrivedAtMillis;
  final String encodedEnd;

  /** A row that is stored in the same transaction as the submission; null if there is none. */
  final CoWrittenRow coWrittenRow;

  /**
   * Completes with true once the change is stored, and with false if a submission cannot be stored
   * because its id is taken or its co-written row conflicts. Fails if the outcome is unknown or the
   * entity has moved.
   */
  final CompletableFuture<Boolean> completion = new CompletableFuture<>();

  final double queuedAtSeconds;
  private boolean coWrittenRowConflict;
  private long revision;

  private JobWrite(
      JobId id,
      JobSpec spec,
      long arrivedAtMillis,
      String encodedEnd,
      CoWrittenRow coWrittenRow,
      double queuedAtSeconds) {
    this.id = id;
    this.spec = spec;
    this.arrivedAtMillis = arrivedAtMillis;
    this.encodedEnd = encodedEnd;
    this.coWrittenRow = coWrittenRow;
    this.queuedAtSeconds = queuedAtSeconds;
  }

  /** Creates the submission of a new job; {@code coWrittenRow} is null if there is none. */
  static JobWrite submission(
      JobSpec spec, long arrivedAtMillis, CoWrittenRow coWrittenRow, double queuedAtSeconds) {
    return new JobWrite(spec.id(), spec, arrivedAtMillis, null, coWrittenRow, queuedAtSeconds);
  }

  /**
   * Creates the end of an open job; {@code encodedEnd} is the value stored in its finished-job
   * segment.
   */
  static JobWrite end(JobId id, String encodedEnd, double queuedAtSeconds) {
    return new JobWrite(id, null, 0, encodedEnd, null, queuedAtSeconds);
  }

  boolean isSubmission() {
    return spec != null;
  }

  /**
   * Completes this write after a transaction that includes it was applied at the given revision.
   */
  void completeApplied(long appliedRevision) {
    revision = appliedRevision;
    completion.complete(true);
  }

  /**
   * Records whether the condition on the co-written row was among those that failed in the last
   * transaction that was not applied.
   */
  void recordCoWrittenRowConflict(boolean conflict) {
    coWrittenRowConflict = conflict;
  }

  boolean hasCoWrittenRowConflict() {
    return coWrittenRowConflict;
  }

  /** Returns the revision at which the change was stored, or 0 if that is unknown. */
  long revision() {
    return revision;
  }
}
