package io.violetrail.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.OpenJobIndex.FinishedJobSegment;
import io.violetrail.api.OpenJobIndex.OpenJobEntry;
import io.violetrail.api.OpenJobIndex.OpenJobSegment;
import io.violetrail.model.JobId;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.JobMessages;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one transaction is to write of an entity's jobs. Nothing in the {@link OpenJobIndex} changes
 * before the transaction is applied. Called by the entity's {@link JobStore}.
 */
final class JobTransactionDraft {
  /** Segment rows in one transaction, which keeps it below the protocol's 64 KiB. */
  private static final int MAX_SEGMENT_ROWS = 4;

  /** Bytes of co-written rows in one transaction, for the same reason. */
  private static final int MAX_CO_WRITTEN_BYTES = 20 * 1024;

  private final EventLoop loop;
  private final OwnedEntity entity;
  private final OpenJobIndex openJobs;
  private final int maxWrites;
  private final Transaction transaction;
  private final List<JobWrite> includedWrites = new ArrayList<>();
  private final Map<JobId, OpenJobEntry> newEntries = new LinkedHashMap<>();
  private final Set<JobId> endedJobs = new HashSet<>();
  private final Map<OpenJobSegment, Map<JobId, OpenJobEntry>> openSegmentContents =
      new LinkedHashMap<>();
  private final Map<FinishedJobSegment, Map<JobId, String>> finishedSegmentContents =
      new LinkedHashMap<>();
  private int claimRowCount;
  private int coWrittenBytes;

  /**
   * An empty draft.
   *
   * @param maxWrites rows that it may write beside the condition on the entity's own
   */
  JobTransactionDraft(EventLoop loop, OwnedEntity entity, OpenJobIndex openJobs, int maxWrites) {
    this.loop = loop;
    this.entity = entity;
    this.openJobs = openJobs;
    this.maxWrites = maxWrites;
    this.transaction = entity.fencedTransaction();
  }

  private boolean isFull() {
    int writes = claimRowCount + openSegmentContents.size() + finishedSegmentContents.size();
    return writes + 2 > maxWrites
        || openSegmentContents.size() + finishedSegmentContents.size() >= MAX_SEGMENT_ROWS;
  }

  /** Adds the write; returns false, and adds nothing, if the transaction is full. */
  boolean tryAdd(JobWrite write) {
    int sizeBytes = write.coWrittenRow == null ? 0 : write.coWrittenRow.sizeBytes();
    boolean exceedsCoWrittenBytes =
        coWrittenBytes > 0 && coWrittenBytes + sizeBytes > MAX_CO_WRITTEN_BYTES;
    if (isFull() || (sizeBytes > 0 && exceedsCoWrittenBytes)) {
      return false;
    }
    if (write.isSubmission()) {
      coWrittenBytes += sizeBytes;
      addSubmission(write);
    } else {
      OpenJobEntry job = openJobs.findOpenEntry(write.id);
      if (job == null) {
        // Its end is stored already. The caller's callback may queue further writes, so it runs
        // only after this draft is done.
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
    OpenJobSegment openSegment = openJobs.findOpenSegmentWithSpace(charCount, openSegmentContents);
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

  /** The transaction of all that was added. */
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

  /** Updates the index, and completes the writes, after the transaction was applied. */
  void handleApplied(long revision) {
    openSegmentContents.forEach((openSegment, jobs) -> openSegment.revision = revision);
    finishedSegmentContents.forEach(
        (finishedSegment, ends) -> {
          finishedSegment.revision = revision;
          finishedSegment.ends.putAll(ends);
        });
    newEntries.values().forEach(openJobs::addOpenEntry);
    endedJobs.forEach(openJobs::removeOpenEntry);
    includedWrites.forEach(write -> write.completeApplied(revision));
  }

  boolean isEmpty() {
    return includedWrites.isEmpty();
  }

  /** The writes that were added, in their order. */
  List<JobWrite> includedWrites() {
    return includedWrites;
  }

  /** Whether the draft opens the job. */
  boolean opensJob(JobId id) {
    return newEntries.containsKey(id);
  }

  /** The open-job segments whose conditions are among those that failed. */
  List<OpenJobSegment> openSegmentsAmong(Collection<String> failedKeys) {
    return openSegmentContents.keySet().stream()
        .filter(
            segment ->
                failedKeys.contains(StateSchema.openJobSegmentKey(entity.id(), segment.number)))
        .toList();
  }

  /** The finished-job segments whose conditions are among those that failed. */
  List<FinishedJobSegment> finishedSegmentsAmong(Collection<String> failedKeys) {
    return finishedSegmentContents.keySet().stream()
        .filter(
            segment ->
                failedKeys.contains(StateSchema.finishedJobSegmentKey(entity.id(), segment.name)))
        .toList();
  }
}
