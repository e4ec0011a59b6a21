package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.OpenJobIndex.FinishedJobSegment;
import io.violetrail.api.OpenJobIndex.OpenJobEntry;
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
import io.violetrail.wire.Cbor;
import io.violetrail.wire.JobMessages;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The beginnings and ends of a held entity's jobs in the state service.
 *
 * <p>A job costs one row of its own, {@code job/<id>}, which claims its id, names its entity and
 * the page on which its end will stand, and never changes. What it is to run stands in one of the
 * entity's sheets with other open jobs, and its end on that page with other ends. Sheets and pages
 * are written by the entity's owner alone, so whatever begins and ends within a moment costs a
 * write or two beside the claims: with four writes a job, a few hundred tiny jobs a minute were
 * more than the state service takes. A job whose end stands on its page is over, whatever a sheet
 * says.
 */
public final class JobStore {
  private static final double BATCHING_DELAY_SECONDS = 0.01;
  private static final double RETRY_SECONDS = 0.15;

  /**
   * A transaction may write so many rows even if that is more than a second's worth: three jobs
   * that share a sheet, and a page. With a seventh of a small budget each held one job and a sheet,
   * so that jobs cost more changes just when these were short. With eight rows the machines'
   * records waited too long behind submissions where a second's worth is three.
   */
  private static final int MIN_WRITES_PER_TRANSACTION = 5;

  /**
   * Beginnings go first, but ends that have waited for so long do: they share a page, so they are
   * cheap. Left behind without end, ended jobs were told as running and kept their entries on the
   * sheets while submissions used up the budget.
   */
  private static final double MAX_END_WAIT_SECONDS = 1;

  /** Rows that are not claims in one transaction, which keeps it below the protocol's 64 KiB. */
  private static final int MAX_SEGMENT_ROWS = 4;

  /** Rows of jobs' own in one transaction, for the same reason. */
  private static final int MAX_CO_WRITTEN_BYTES = 20 * 1024;

  private final EventLoop loop;
  private final StateStore store;
  private final StateStoreLimits limits;
  private final Membership membership;
  private final OwnedEntity entity;
  private final OpenJobIndex openJobs;
  private final ArrayDeque<JobWrite> queuedWrites = new ArrayDeque<>();
  private final Map<JobId, JobWrite> pendingSubmissions = new HashMap<>();
  private final CoalescingTimer nextWrite;
  private boolean writeInFlight;

  /** A job that begins ({@code spec}) or ends ({@code end}). */
  private static final class JobWrite {
    final JobId id;
    final JobSpec spec;
    final long arrivedAtMillis;
    final String endText;

    /** A row that begins with the job; null if there is none. */
    final CoWrittenRow coWrittenRow;

    final CompletableFuture<Boolean> completion = new CompletableFuture<>();
    final double queuedAtSeconds;
    boolean coWrittenRowConflict;
    long revision;

    JobWrite(
        JobId id,
        JobSpec spec,
        long arrivedAtMillis,
        String endText,
        CoWrittenRow coWrittenRow,
        double queuedAtSeconds) {
      this.queuedAtSeconds = queuedAtSeconds;
      this.id = id;
      this.spec = spec;
      this.arrivedAtMillis = arrivedAtMillis;
      this.endText = endText;
      this.coWrittenRow = coWrittenRow;
    }
  }

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
    this.nextWrite = new CoalescingTimer(loop, this::writeNextBatch);
    this.openJobs = new OpenJobIndex(entity, limits.maxValueBytes());
  }

  /** The end of a job as it stands on a page; null if none stands there. */
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

  /** Jobs that wait to be stored. */
  int pendingSubmissionCount() {
    return pendingSubmissions.size();
  }

  /** Stores a new job and the row that begins with it, unless one of them is there already. */
  CompletableFuture<JobLifecycle.StoreResult> storeSubmission(
      JobSpec spec, long arrivedAtMillis, CoWrittenRow coWrittenRow) {
    JobWrite pendingWrite = pendingSubmissions.get(spec.id());
    if (pendingWrite != null) {
      return pendingWrite.completion.thenApply(
          stored -> new JobLifecycle.StoreResult(false, false, 0));
    }
    JobWrite write =
        new JobWrite(spec.id(), spec, arrivedAtMillis, null, coWrittenRow, loop.monotonicSeconds());
    pendingSubmissions.put(write.id, write);
    Futures.logFailure(
        write.completion.whenComplete(
            (stored, failure) -> pendingSubmissions.remove(write.id, write)),
        "forget a stored submission");
    return enqueue(write)
        .thenApply(
            stored ->
                new JobLifecycle.StoreResult(stored, write.coWrittenRowConflict, write.revision));
  }

  /** Stores the end of an open job; fails if the entity has moved. */
  CompletableFuture<Boolean> storeEnd(JobId id, JobStatus status, int doneCount) {
    return enqueue(
        new JobWrite(id, null, 0, status.name() + " " + doneCount, null, loop.monotonicSeconds()));
  }

  private CompletableFuture<Boolean> enqueue(JobWrite write) {
    queuedWrites.add(write);
    scheduleWrite(BATCHING_DELAY_SECONDS);
    return write.completion;
  }

  private void scheduleWrite(double delaySeconds) {
    if (!writeInFlight && !queuedWrites.isEmpty()) {
      nextWrite.schedule(delaySeconds);
    }
  }

  private void writeNextBatch() {
    if (writeInFlight || queuedWrites.isEmpty()) {
      return;
    }
    writeInFlight = true;
    TransactionDraft[] draftHolder = new TransactionDraft[1];
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
                  TransactionDraft draft = draftHolder[0];
                  if (draft == null) {
                    scheduleWrite(RETRY_SECONDS);
                  } else if (failure != null) {
                    draft.includedWrites.forEach(
                        e ->
                            e.completion.completeExceptionally(
                                RequestFailedException.from(failure)));
                    scheduleWrite(BATCHING_DELAY_SECONDS);
                  } else if (outcome.applied()) {
                    draft.handleApplied(outcome.revision());
                    scheduleWrite(BATCHING_DELAY_SECONDS);
                  } else {
                    handleRefused(draft, outcome);
                  }
                }),
        "write jobs");
  }

  /** What one transaction is to write. Nothing of it counts before it is applied. */
  private final class TransactionDraft {
    final Transaction transaction = entity.fencedTransaction();
    final List<JobWrite> includedWrites = new ArrayList<>();
    final Map<JobId, OpenJobEntry> newEntries = new LinkedHashMap<>();
    final Set<JobId> endedJobs = new HashSet<>();
    final Map<OpenJobSegment, Map<JobId, OpenJobEntry>> openSegmentContents = new LinkedHashMap<>();
    final Map<FinishedJobSegment, Map<JobId, String>> finishedSegmentContents =
        new LinkedHashMap<>();
    private int claimRowCount;
    private int coWrittenBytes;

    /**
     * A second's worth of writes at most: machines' records are not to wait for longer than that.
     */
    private final int maxWrites =
        (int)
            Math.min(
                limits.maxTransactionOperations(),
                Math.max(MIN_WRITES_PER_TRANSACTION, store.writesPerSecond()));

    private boolean isFull() {
      int writes = claimRowCount + openSegmentContents.size() + finishedSegmentContents.size();
      return writes + 2 > maxWrites
          || openSegmentContents.size() + finishedSegmentContents.size() >= MAX_SEGMENT_ROWS;
    }

    /** False if the transaction is full. */
    boolean tryAdd(JobWrite write) {
      int sizeBytes = write.coWrittenRow == null ? 0 : write.coWrittenRow.sizeBytes();
      boolean exceedsCoWrittenBytes =
          coWrittenBytes > 0 && coWrittenBytes + sizeBytes > MAX_CO_WRITTEN_BYTES;
      if (isFull() || (sizeBytes > 0 && exceedsCoWrittenBytes)) {
        return false;
      }
      if (write.spec != null) {
        coWrittenBytes += sizeBytes;
        addSubmission(write);
      } else {
        OpenJobEntry job = openJobs.findOpenEntry(write.id);
        if (job == null) {
          // Its end stands already. Whoever waits may have more to store, so is told afterwards.
          loop.execute(() -> write.completion.complete(true));
          return true;
        }
        endedJobs.add(write.id);
        finishedSegmentContents
            .computeIfAbsent(job.finishedSegment(), p -> new LinkedHashMap<>(p.ends))
            .put(write.id, write.endText);
      }
      includedWrites.add(write);
      return true;
    }

    private void addSubmission(JobWrite write) {
      ArrayNode value = Cbor.newMap().arrayNode();
      FinishedJobSegment finishedSegment = openJobs.assignFinishedSegment();
      value.add(finishedSegment.name).add(write.arrivedAtMillis);
      JobMessages.appendSpec(write.spec, value);
      int charCount = OpenJobIndex.countChars(value);
      OpenJobSegment openSegment =
          openJobs.findOpenSegmentWithSpace(charCount, openSegmentContents);
      OpenJobEntry job = new OpenJobEntry(write.id, openSegment, finishedSegment, value, charCount);
      openSegmentContents
          .computeIfAbsent(openSegment, s -> new LinkedHashMap<>(s.jobs))
          .put(write.id, job);
      newEntries.put(write.id, job);
      claimRowCount++;
      transaction
          .ifRevision(StateSchema.jobKey(write.id), 0)
          .put(
              StateSchema.jobKey(write.id),
              JobLookup.toClaimRow(entity.id(), write.spec).put("page", finishedSegment.name));
      if (write.coWrittenRow != null) {
        claimRowCount++;
        transaction
            .ifRevision(write.coWrittenRow.key(), write.coWrittenRow.expectedRevision())
            .put(write.coWrittenRow.key(), write.coWrittenRow.value());
      }
    }

    Transaction buildTransaction() {
      openSegmentContents.forEach(
          (openSegment, jobs) -> {
            jobs.keySet().removeAll(endedJobs);
            ObjectNode value = Cbor.newMap();
            jobs.values().forEach(j -> value.set(j.id().value(), j.value()));
            String key = StateSchema.openJobSegmentKey(entity.id(), openSegment.number);
            transaction.ifRevision(key, openSegment.revision).put(key, value);
          });
      finishedSegmentContents.forEach(
          (finishedSegment, ends) -> {
            ObjectNode value = Cbor.newMap();
            ends.forEach((id, end) -> value.put(id.value(), end));
            String key = StateSchema.finishedJobSegmentKey(entity.id(), finishedSegment.name);
            transaction.ifRevision(key, finishedSegment.revision).put(key, value);
          });
      return transaction;
    }

    void handleApplied(long revision) {
      openSegmentContents.forEach((openSegment, jobs) -> openSegment.revision = revision);
      finishedSegmentContents.forEach(
          (finishedSegment, ends) -> {
            finishedSegment.revision = revision;
            finishedSegment.ends.putAll(ends);
          });
      newEntries.values().forEach(openJobs::addOpenEntry);
      endedJobs.forEach(openJobs::removeOpenEntry);
      includedWrites.forEach(
          write -> {
            write.revision = revision;
            write.completion.complete(true);
          });
    }
  }

  private TransactionDraft draftTransaction() {
    if (entity.phase() == OwnedEntity.Phase.LOST) {
      failQueuedWrites();
      return null;
    }
    TransactionDraft draft = new TransactionDraft();
    ArrayDeque<JobWrite> deferred = new ArrayDeque<>();
    // Users wait for beginnings; an end has until its user's next question.
    boolean submissionsFirst = !isAnyEndOverdue();
    for (boolean submissions : new boolean[] {submissionsFirst, !submissionsFirst}) {
      for (JobWrite write : queuedWrites) {
        if ((write.spec != null) == submissions && !draft.tryAdd(write)) {
          deferred.add(write);
        }
      }
    }
    queuedWrites.clear();
    queuedWrites.addAll(deferred);
    return draft.includedWrites.isEmpty() ? null : draft;
  }

  private boolean isAnyEndOverdue() {
    double nowSeconds = loop.monotonicSeconds();
    for (JobWrite write : queuedWrites) {
      if (write.spec == null && nowSeconds - write.queuedAtSeconds > MAX_END_WAIT_SECONDS) {
        return true;
      }
    }
    return false;
  }

  private void failQueuedWrites() {
    List<JobWrite> failedWrites = List.copyOf(queuedWrites);
    queuedWrites.clear();
    failedWrites.forEach(
        e -> e.completion.completeExceptionally(new EntityMovedException(entity.id())));
  }

  /**
   * The entity has moved, ids were taken, or an earlier try that seemed lost has been applied: then
   * the rows tell what of it is done.
   */
  private void handleRefused(TransactionDraft draft, TransactionOutcome outcome) {
    if (outcome.failedKeys().contains(StateSchema.entityKey(entity.id()))) {
      draft.includedWrites.forEach(
          e -> e.completion.completeExceptionally(new EntityMovedException(entity.id())));
      failQueuedWrites();
      membership.relist();
      return;
    }
    List<OpenJobSegment> conflictingOpenSegments =
        draft.openSegmentContents.keySet().stream()
            .filter(
                s ->
                    outcome
                        .failedKeys()
                        .contains(StateSchema.openJobSegmentKey(entity.id(), s.number)))
            .toList();
    List<FinishedJobSegment> conflictingFinishedSegments =
        draft.finishedSegmentContents.keySet().stream()
            .filter(
                p ->
                    outcome
                        .failedKeys()
                        .contains(StateSchema.finishedJobSegmentKey(entity.id(), p.name)))
            .toList();
    if (!conflictingOpenSegments.isEmpty() || !conflictingFinishedSegments.isEmpty()) {
      writeInFlight = true;
      rereadSegments(draft, conflictingOpenSegments, conflictingFinishedSegments);
      return;
    }
    List<JobWrite> unsettled = new ArrayList<>();
    for (JobWrite write : draft.includedWrites) {
      write.coWrittenRowConflict =
          write.coWrittenRow != null && outcome.failedKeys().contains(write.coWrittenRow.key());
      if (write.spec != null
          && (write.coWrittenRowConflict
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
      TransactionDraft draft,
      List<OpenJobSegment> conflictingOpenSegments,
      List<FinishedJobSegment> conflictingFinishedSegments) {
    List<CompletableFuture<Entry>> reads = new ArrayList<>();
    conflictingOpenSegments.forEach(
        s -> reads.add(store.get(StateSchema.openJobSegmentKey(entity.id(), s.number))));
    conflictingFinishedSegments.forEach(
        p -> reads.add(store.get(StateSchema.finishedJobSegmentKey(entity.id(), p.name))));
    Futures.logFailure(
        CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
            .whenComplete(
                (nothing, failure) -> {
                  if (failure != null) {
                    loop.schedule(
                        0.5,
                        () ->
                            rereadSegments(
                                draft, conflictingOpenSegments, conflictingFinishedSegments));
                    return;
                  }
                  writeInFlight = false;
                  for (int i = 0; i < conflictingOpenSegments.size(); i++) {
                    openJobs.replaceOpenSegment(
                        conflictingOpenSegments.get(i),
                        reads.get(i).join(),
                        draft.newEntries::containsKey);
                  }
                  for (int i = 0; i < conflictingFinishedSegments.size(); i++) {
                    openJobs.replaceFinishedSegment(
                        conflictingFinishedSegments.get(i),
                        reads.get(conflictingOpenSegments.size() + i).join());
                  }
                  settleFromRows(draft);
                }),
        "read jobs again");
  }

  private void settleFromRows(TransactionDraft draft) {
    List<JobWrite> unsettled = new ArrayList<>();
    for (JobWrite write : draft.includedWrites) {
      boolean done = (write.spec != null) == (openJobs.findOpenEntry(write.id) != null);
      if (done) {
        write.completion.complete(true);
      } else {
        unsettled.add(write);
      }
    }
    requeue(unsettled);
  }

  /** Takes over what a former owner left on the sheets listed; the jobs that are still open. */
  CompletableFuture<List<StoredJob>> load(List<Entry> openSegmentRows) {
    Map<String, CompletableFuture<Entry>> reads = new HashMap<>();
    OpenJobIndex.finishedSegmentNamesIn(openSegmentRows)
        .forEach(
            n -> reads.put(n, store.getUrgent(StateSchema.finishedJobSegmentKey(entity.id(), n))));
    return CompletableFuture.allOf(reads.values().toArray(CompletableFuture[]::new))
        .thenApply(
            nothing -> {
              reads.forEach((name, read) -> openJobs.loadFinishedSegment(name, read.join()));
              openSegmentRows.forEach(openJobs::loadOpenSegment);
              return openJobs.allStoredJobs();
            });
  }

  /** The job if it is open at this entity; null if it is not. */
  StoredJob findStoredJob(JobId id) {
    return openJobs.findStoredJob(id);
  }

  /** An open job as it was stored. */
  public record StoredJob(JobSpec spec, long arrivedAtMillis) {}
}
