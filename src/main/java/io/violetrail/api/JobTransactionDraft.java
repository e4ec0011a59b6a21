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
 * Collects the job writes of an entity that one transaction is to apply. The entries and segment
 * contents in the {@link OpenJobIndex} change only after the transaction was applied. Used by the
 * entity's {@link JobStore}.
 */
final class JobTransactionDraft {
  /**
   * The maximum number of segment rows in one transaction, which keeps it below the protocol's 64
   * KiB.
   */
  private static final int MAX_SEGMENT_ROWS = 4;

  /**
   * The maximum total size of several co-written rows in one transaction, for the same reason. A
   * single larger row is accepted.
   */
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
  private int submissionRowCount;
  private int coWrittenBytes;

  /**
   * Creates an empty draft.
   *
   * @param maxWrites the number of rows that the transaction may write, not counting the condition
   *     on the entity's own row
   */
  JobTransactionDraft(EventLoop loop, OwnedEntity entity, OpenJobIndex openJobs, int maxWrites) {
    this.loop = loop;
    this.entity = entity;
    this.openJobs = openJobs;
    this.maxWrites = maxWrites;
    this.transaction = entity.fencedTransaction();
  }

  private boolean isFull() {
    int writes = submissionRowCount + openSegmentContents.size() + finishedSegmentContents.size();
    return writes + 2 > maxWrites
        || openSegmentContents.size() + finishedSegmentContents.size() >= MAX_SEGMENT_ROWS;
  }

  /**
   * Adds a write unless the transaction is full. An end that is stored already is completed without
   * being added.
   *
   * @return false if the transaction has no room for the write
   */
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
      OpenJobEntry entry = openJobs.findOpenEntry(write.id);
      if (entry == null) {
        // The job's end is stored already. Completing the write may run a callback that queues
        // further writes, so it is done only after this draft is finished.
        loop.execute(() -> write.completion.complete(true));
        return true;
      }
      endedJobs.add(write.id);
      finishedSegmentContents
          .computeIfAbsent(
              entry.finishedSegment(), segment -> new LinkedHashMap<>(segment.encodedEndsByJob))
          .put(write.id, write.encodedEnd);
    }
    includedWrites.add(write);
    return true;
  }

  private void addSubmission(JobWrite write) {
    ArrayNode packedEntry = Cbor.newMap().arrayNode();
    FinishedJobSegment finishedSegment = openJobs.assignFinishedSegment();
    packedEntry.add(finishedSegment.name).add(write.arrivedAtMillis);
    JobMessages.appendSpec(write.spec, packedEntry);
    int charCount = OpenJobIndex.countChars(packedEntry);
    OpenJobSegment openSegment = openJobs.findOpenSegmentWithSpace(charCount, openSegmentContents);
    OpenJobEntry entry =
        new OpenJobEntry(write.id, openSegment, finishedSegment, packedEntry, charCount);
    openSegmentContents
        .computeIfAbsent(openSegment, segment -> new LinkedHashMap<>(segment.entriesByJob))
        .put(write.id, entry);
    newEntries.put(write.id, entry);
    submissionRowCount++;
    transaction
        .ifRevision(StateSchema.jobKey(write.id), 0)
        .put(
            StateSchema.jobKey(write.id),
            JobLookup.toClaimRow(entity.id(), write.spec).put("page", finishedSegment.name));
    if (write.coWrittenRow != null) {
      submissionRowCount++;
      transaction
          .ifRevision(write.coWrittenRow.key(), write.coWrittenRow.expectedRevision())
          .put(write.coWrittenRow.key(), write.coWrittenRow.value());
    }
  }

  /**
   * Adds the changed segments to the transaction and returns it. Called once, after the last write
   * was added.
   */
  Transaction buildTransaction() {
    openSegmentContents.forEach(
        (openSegment, entries) -> {
          entries.keySet().removeAll(endedJobs);
          ObjectNode value = Cbor.newMap();
          entries.values().forEach(entry -> value.set(entry.id().value(), entry.packedEntry()));
          String key = StateSchema.openJobSegmentKey(entity.id(), openSegment.number);
          transaction.ifRevision(key, openSegment.revision).put(key, value);
        });
    finishedSegmentContents.forEach(
        (finishedSegment, encodedEnds) -> {
          ObjectNode value = Cbor.newMap();
          encodedEnds.forEach((id, encodedEnd) -> value.put(id.value(), encodedEnd));
          String key = StateSchema.finishedJobSegmentKey(entity.id(), finishedSegment.name);
          transaction.ifRevision(key, finishedSegment.revision).put(key, value);
        });
    return transaction;
  }

  /** Updates the index and completes the writes after the transaction was applied. */
  void handleApplied(long revision) {
    openSegmentContents.forEach((openSegment, entries) -> openSegment.revision = revision);
    finishedSegmentContents.forEach(
        (finishedSegment, encodedEnds) -> {
          finishedSegment.revision = revision;
          finishedSegment.encodedEndsByJob.putAll(encodedEnds);
        });
    newEntries.values().forEach(openJobs::addOpenEntry);
    endedJobs.forEach(openJobs::removeOpenEntry);
    includedWrites.forEach(write -> write.completeApplied(revision));
  }

  boolean isEmpty() {
    return includedWrites.isEmpty();
  }

  /** Returns the added writes in the order in which they were added. */
  List<JobWrite> includedWrites() {
    return includedWrites;
  }

  /** Returns whether the draft contains the submission of the job. */
  boolean opensJob(JobId id) {
    return newEntries.containsKey(id);
  }

  /** Returns the open-job segments of this draft whose revision conditions failed. */
  List<OpenJobSegment> openSegmentsAmong(Collection<String> failedKeys) {
    return openSegmentContents.keySet().stream()
        .filter(
            segment ->
                failedKeys.contains(StateSchema.openJobSegmentKey(entity.id(), segment.number)))
        .toList();
  }

  /** Returns the finished-job segments of this draft whose revision conditions failed. */
  List<FinishedJobSegment> finishedSegmentsAmong(Collection<String> failedKeys) {
    return finishedSegmentContents.keySet().stream()
        .filter(
            segment ->
                failedKeys.contains(StateSchema.finishedJobSegmentKey(entity.id(), segment.name)))
        .toList();
  }
}
