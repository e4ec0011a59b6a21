package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.api.OpenJobIndex.FinishedJobSegment;
import io.violetrail.api.OpenJobIndex.OpenJobSegment;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.errors.EntityMovedException;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.net.CoalescingTimer;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Stores the submissions and ends of an owned entity's jobs in the state service.
 *
 * <p>Each job has one row of its own, the claim row {@code job/<id>}. It claims the job's id, names
 * its entity and its finished-job segment, and never changes. The job's description is stored with
 * other open jobs in one of the entity's open-job segments, and its end is stored with other ends
 * in its finished-job segment. Only the entity's owner writes segments, so all jobs that start or
 * end at about the same time cost one or two writes in addition to the claim rows. With four writes
 * per job, a few hundred small jobs per minute exceeded the state service's budget. A job whose end
 * is stored has ended, even if an open-job segment still lists it.
 *
 * <p>Called on the event loop's thread. A crash loses only writes that have not been confirmed to
 * any caller; the next owner {@linkplain #load loads} the segments.
 */
public final class JobStore {
  private static final double BATCHING_DELAY_SECONDS = 0.01;
  private static final double RETRY_SECONDS = 0.15;
  private static final double REREAD_RETRY_SECONDS = 0.5;

  /**
   * The minimum row limit of a transaction, which applies even if it exceeds one second of the
   * write budget. Five rows are the claim rows of three jobs, the open-job segment that they share,
   * and a finished-job segment. A limit of a seventh of a small budget left room for only one job
   * and its segment, so a job cost the most writes when writes were scarcest. With eight rows,
   * machine records waited too long behind submissions on a budget of three writes per second.
   */
  private static final int MIN_WRITES_PER_TRANSACTION = 5;

  /**
   * The time after which waiting ends are written before submissions, which otherwise go first.
   * Ends are cheap because they share a segment. Without this bound, for as long as submissions
   * used up the budget, ended jobs were reported as running and kept their space in the open-job
   * segments.
   */
  private static final double MAX_END_WAIT_SECONDS = 1;

  private final EventLoop loop;
  private final StateStore store;
  private final StateStoreLimits limits;
  private final Membership membership;
  private final OwnedEntity entity;
  private final OpenJobIndex openJobs;
  private final ArrayDeque<JobWrite> queuedWrites = new ArrayDeque<>();
  private final Map<JobId, JobWrite> pendingSubmissions = new HashMap<>();
  private final CoalescingTimer writeTimer;
  private boolean writeInFlight;

  JobStore(
      EventLoop loop,
      StateStore store,
      StateStoreLimits limits,
      Membership membership,
      OwnedEntity entity) {
    this.loop = loop;
    this.store = store;
    this.limits = limits;
    this.membership = membership;
    this.entity = entity;
    this.writeTimer = new CoalescingTimer(loop, this::writeNextBatch);
    this.openJobs = new OpenJobIndex(entity, limits.maxValueBytes());
  }

  /**
   * Returns the end of a job as stored in its finished-job segment, or null if the segment does not
   * contain it.
   */
  static JobView parseEnd(JobId id, JsonNode finishedSegmentRow) {
    String text = finishedSegmentRow == null ? "" : finishedSegmentRow.path(id.value()).asText();
    int separatorIndex = text.indexOf(' ');
    return separatorIndex < 0
        ? null
        : new JobView(
            id.value(),
            JobStatus.valueOf(text.substring(0, separatorIndex)),
            Integer.parseInt(text.substring(separatorIndex + 1)),
            0);
  }

  /** Returns the number of submissions that are waiting to be stored. */
  int pendingSubmissionCount() {
    return pendingSubmissions.size();
  }

  /** Returns whether the job's submission waits to be stored or has no known outcome yet. */
  boolean isSubmissionPending(JobId id) {
    return pendingSubmissions.containsKey(id);
  }

  /**
   * Stores a new job and its co-written row, unless the job's id is taken or the co-written row is
   * not at its expected revision.
   */
  CompletableFuture<JobLifecycle.StoreResult> storeSubmission(
      JobSpec spec, long arrivedAtMillis, CoWrittenRow coWrittenRow) {
    JobWrite pendingWrite = pendingSubmissions.get(spec.id());
    if (pendingWrite != null) {
      return pendingWrite.completion.thenApply(
          stored -> new JobLifecycle.StoreResult(false, false, 0));
    }
    JobWrite write =
        JobWrite.submission(spec, arrivedAtMillis, coWrittenRow, loop.monotonicSeconds());
    pendingSubmissions.put(write.id, write);
    Futures.logFailure(
        write.completion.whenComplete(
            (stored, failure) -> pendingSubmissions.remove(write.id, write)),
        "remove a pending submission");
    return enqueue(write)
        .thenApply(
            stored ->
                new JobLifecycle.StoreResult(
                    stored, write.hasCoWrittenRowConflict(), write.revision()));
  }

  /** Stores the end of an open job. The future fails if the entity has moved to another owner. */
  CompletableFuture<Boolean> storeEnd(JobId id, JobStatus status, int doneCount) {
    return enqueue(JobWrite.end(id, status.name() + " " + doneCount, loop.monotonicSeconds()));
  }

  private CompletableFuture<Boolean> enqueue(JobWrite write) {
    queuedWrites.add(write);
    scheduleWrite(BATCHING_DELAY_SECONDS);
    return write.completion;
  }

  private void scheduleWrite(double delaySeconds) {
    if (!writeInFlight && !queuedWrites.isEmpty()) {
      writeTimer.schedule(delaySeconds);
    }
  }

  private void writeNextBatch() {
    if (writeInFlight || queuedWrites.isEmpty()) {
      return;
    }
    writeInFlight = true;
    JobTransactionDraft[] draftHolder = new JobTransactionDraft[1];
    Futures.logFailure(
        store
            .commitDeferredForUser(
                () ->
                    (draftHolder[0] = draftTransaction()) == null
                        ? null
                        : draftHolder[0].buildTransaction())
            .whenComplete(
                (outcome, failure) -> {
                  writeInFlight = false;
                  JobTransactionDraft draft = draftHolder[0];
                  if (draft == null) {
                    scheduleWrite(RETRY_SECONDS);
                  } else if (failure != null) {
                    draft
                        .includedWrites()
                        .forEach(
                            write ->
                                write.completion.completeExceptionally(
                                    RequestFailedException.from(failure)));
                    scheduleWrite(BATCHING_DELAY_SECONDS);
                  } else if (outcome.applied()) {
                    draft.handleApplied(outcome.revision());
                    scheduleWrite(BATCHING_DELAY_SECONDS);
                  } else {
                    handleRefused(draft, outcome);
                  }
                }),
        "write a batch of jobs");
  }

  private JobTransactionDraft draftTransaction() {
    if (entity.phase() == OwnedEntity.Phase.LOST) {
      failQueuedWrites();
      return null;
    }
    JobTransactionDraft draft =
        new JobTransactionDraft(loop, entity, openJobs, maxWritesPerTransaction());
    ArrayDeque<JobWrite> deferred = new ArrayDeque<>();
    // Users wait for the answer to a submission, whereas an end is only seen with the next poll.
    boolean submissionsFirst = !isAnyEndOverdue();
    for (boolean submissions : new boolean[] {submissionsFirst, !submissionsFirst}) {
      for (JobWrite write : queuedWrites) {
        if (write.isSubmission() == submissions && !draft.tryAdd(write)) {
          deferred.add(write);
        }
      }
    }
    queuedWrites.clear();
    queuedWrites.addAll(deferred);
    return draft.isEmpty() ? null : draft;
  }

  /**
   * Returns how many rows a transaction may write: at most one second of the write budget, so that
   * machine records do not wait longer than that behind jobs, but no fewer than {@link
   * #MIN_WRITES_PER_TRANSACTION}. The state service's limit on operations always applies.
   */
  private int maxWritesPerTransaction() {
    return (int)
        Math.min(
            limits.maxTransactionOperations(),
            Math.max(MIN_WRITES_PER_TRANSACTION, store.writesPerSecond()));
  }

  private boolean isAnyEndOverdue() {
    double nowSeconds = loop.monotonicSeconds();
    for (JobWrite write : queuedWrites) {
      if (!write.isSubmission() && nowSeconds - write.queuedAtSeconds > MAX_END_WAIT_SECONDS) {
        return true;
      }
    }
    return false;
  }

  private void failQueuedWrites() {
    List<JobWrite> failedWrites = List.copyOf(queuedWrites);
    queuedWrites.clear();
    failedWrites.forEach(
        write -> write.completion.completeExceptionally(new EntityMovedException(entity.id())));
  }

  /**
   * Handles a transaction whose conditions failed: the entity has moved, ids or co-written rows
   * conflict, or an earlier attempt that seemed lost was applied. In the last case the segments are
   * read again to find out which writes are done.
   */
  private void handleRefused(JobTransactionDraft draft, TransactionOutcome outcome) {
    if (outcome.failedKeys().contains(StateSchema.entityKey(entity.id()))) {
      draft
          .includedWrites()
          .forEach(
              write ->
                  write.completion.completeExceptionally(new EntityMovedException(entity.id())));
      failQueuedWrites();
      membership.relist();
      return;
    }
    List<OpenJobSegment> conflictingOpenSegments = draft.openSegmentsAmong(outcome.failedKeys());
    List<FinishedJobSegment> conflictingFinishedSegments =
        draft.finishedSegmentsAmong(outcome.failedKeys());
    if (!conflictingOpenSegments.isEmpty() || !conflictingFinishedSegments.isEmpty()) {
      writeInFlight = true;
      rereadSegments(draft, conflictingOpenSegments, conflictingFinishedSegments);
      return;
    }
    List<JobWrite> unsettled = new ArrayList<>();
    for (JobWrite write : draft.includedWrites()) {
      write.recordCoWrittenRowConflict(
          write.coWrittenRow != null && outcome.failedKeys().contains(write.coWrittenRow.key()));
      if (write.isSubmission()
          && (write.hasCoWrittenRowConflict()
              || outcome.failedKeys().contains(StateSchema.jobKey(write.id)))) {
        write.completion.complete(false);
      } else {
        unsettled.add(write);
      }
    }
    requeue(unsettled);
  }

  private void requeue(List<JobWrite> unsettled) {
    for (int i = unsettled.size() - 1; i >= 0; i--) {
      queuedWrites.addFirst(unsettled.get(i));
    }
    scheduleWrite(BATCHING_DELAY_SECONDS);
  }

  private void rereadSegments(
      JobTransactionDraft draft,
      List<OpenJobSegment> conflictingOpenSegments,
      List<FinishedJobSegment> conflictingFinishedSegments) {
    List<CompletableFuture<Entry>> reads = new ArrayList<>();
    conflictingOpenSegments.forEach(
        segment ->
            reads.add(store.get(StateSchema.openJobSegmentKey(entity.id(), segment.number))));
    conflictingFinishedSegments.forEach(
        segment ->
            reads.add(store.get(StateSchema.finishedJobSegmentKey(entity.id(), segment.name))));
    Futures.logFailure(
        CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
            .whenComplete(
                (ignored, failure) -> {
                  if (failure != null) {
                    loop.schedule(
                        REREAD_RETRY_SECONDS,
                        () ->
                            rereadSegments(
                                draft, conflictingOpenSegments, conflictingFinishedSegments));
                    return;
                  }
                  writeInFlight = false;
                  for (int i = 0; i < conflictingOpenSegments.size(); i++) {
                    openJobs.replaceOpenSegment(
                        conflictingOpenSegments.get(i), reads.get(i).join(), draft::opensJob);
                  }
                  for (int i = 0; i < conflictingFinishedSegments.size(); i++) {
                    openJobs.replaceFinishedSegment(
                        conflictingFinishedSegments.get(i),
                        reads.get(conflictingOpenSegments.size() + i).join());
                  }
                  settleFromRows(draft);
                }),
        "reread job segments");
  }

  private void settleFromRows(JobTransactionDraft draft) {
    List<JobWrite> unsettled = new ArrayList<>();
    for (JobWrite write : draft.includedWrites()) {
      boolean applied = write.isSubmission() == (openJobs.findOpenEntry(write.id) != null);
      if (applied) {
        write.completion.complete(true);
      } else {
        unsettled.add(write);
      }
    }
    requeue(unsettled);
  }

  /**
   * Loads the segments that a previous owner has written, and returns the jobs that are still open.
   */
  CompletableFuture<List<StoredJob>> load(List<Entry> openSegmentRows) {
    Map<String, CompletableFuture<Entry>> reads = new HashMap<>();
    OpenJobIndex.finishedSegmentNamesIn(openSegmentRows)
        .forEach(
            name ->
                reads.put(
                    name, store.getUrgent(StateSchema.finishedJobSegmentKey(entity.id(), name))));
    return CompletableFuture.allOf(reads.values().toArray(CompletableFuture[]::new))
        .thenApply(
            ignored -> {
              reads.forEach((name, read) -> openJobs.loadFinishedSegment(name, read.join()));
              openSegmentRows.forEach(openJobs::loadOpenSegment);
              return openJobs.allStoredJobs();
            });
  }

  /**
   * Returns the job as it was stored, or null if it is not open at this entity or its stored
   * description cannot be parsed.
   */
  StoredJob findStoredJob(JobId id) {
    return openJobs.findStoredJob(id);
  }
}
