package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.violetrail.model.JobId;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import io.violetrail.wire.JobMessages;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An index of an owned entity's open jobs, and of its open-job and finished-job segments as of
 * their last write or read. Used by the entity's {@link JobStore} on the event loop's thread. The
 * index is kept in memory only; after a crash, the next owner builds its own from the stored rows.
 */
final class OpenJobIndex {
  private static final Logger LOG = LoggerFactory.getLogger(OpenJobIndex.class);

  /** The fraction of a value's size limit up to which an open-job segment is filled. */
  private static final double MAX_FILL_FRACTION = 0.75;

  /** Characters that an entry's name and punctuation take in addition to its description. */
  private static final int ENTRY_OVERHEAD_CHARS = 40;

  private final OwnedEntity entity;
  private final int maxChars;
  private final int jobsPerFinishedSegment;
  private final List<OpenJobSegment> openSegments = new ArrayList<>();
  private final Map<String, FinishedJobSegment> finishedSegmentsByName = new HashMap<>();
  private final Map<JobId, OpenJobEntry> openEntries = new HashMap<>();
  private FinishedJobSegment currentFinishedSegment;
  private int finishedSegmentCount;

  /**
   * An open job as its open-job segment contains it.
   *
   * @param packedEntry the stored array: the finished-job segment's name, the arrival time and the
   *     packed specification
   * @param charCount the estimated size of the entry in the segment
   */
  record OpenJobEntry(
      JobId id,
      OpenJobSegment openSegment,
      FinishedJobSegment finishedSegment,
      ArrayNode packedEntry,
      int charCount) {}

  static final class OpenJobSegment {
    final int number;
    long revision;
    final Map<JobId, OpenJobEntry> entriesByJob = new LinkedHashMap<>();

    OpenJobSegment(int number) {
      this.number = number;
    }
  }

  static final class FinishedJobSegment {
    final String name;
    long revision;
    private int assignedJobCount;
    private int openJobCount;
    final Map<JobId, String> encodedEndsByJob = new LinkedHashMap<>();

    FinishedJobSegment(String name) {
      this.name = name;
    }
  }

  OpenJobIndex(OwnedEntity entity, int maxValueBytes) {
    this.entity = entity;
    this.maxChars = (int) (maxValueBytes * MAX_FILL_FRACTION);
    this.jobsPerFinishedSegment = Math.max(1, maxChars / ENTRY_OVERHEAD_CHARS);
  }

  static int countChars(ArrayNode packedEntry) {
    return packedEntry.toString().length() + ENTRY_OVERHEAD_CHARS;
  }

  private static int countChars(Map<JobId, OpenJobEntry> entries) {
    return entries.values().stream().mapToInt(OpenJobEntry::charCount).sum();
  }

  /** Returns the entry of an open job, or null if the job is not open at this entity. */
  OpenJobEntry findOpenEntry(JobId id) {
    return openEntries.get(id);
  }

  /**
   * Returns an open-job segment with space for {@code charCount} more characters. An empty segment
   * is used even if the entry exceeds the fill limit; if no segment has space, a new one is added.
   *
   * @param plannedContents the contents that a transaction is to write, for the segments that it
   *     changes
   */
  OpenJobSegment findOpenSegmentWithSpace(
      int charCount, Map<OpenJobSegment, Map<JobId, OpenJobEntry>> plannedContents) {
    for (OpenJobSegment openSegment : openSegments) {
      int usedChars =
          countChars(plannedContents.getOrDefault(openSegment, openSegment.entriesByJob));
      if (usedChars == 0 || usedChars + charCount <= maxChars) {
        return openSegment;
      }
    }
    return getOrAddOpenSegment(openSegments.size());
  }

  private OpenJobSegment getOrAddOpenSegment(int number) {
    while (openSegments.size() <= number) {
      openSegments.add(new OpenJobSegment(openSegments.size()));
    }
    return openSegments.get(number);
  }

  /**
   * Assigns a finished-job segment to a job that is being submitted. A new segment's name was never
   * used before, because it contains the version of this ownership.
   */
  FinishedJobSegment assignFinishedSegment() {
    if (currentFinishedSegment == null
        || currentFinishedSegment.assignedJobCount >= jobsPerFinishedSegment) {
      currentFinishedSegment =
          new FinishedJobSegment(entity.row().version() + "-" + ++finishedSegmentCount);
      finishedSegmentsByName.put(currentFinishedSegment.name, currentFinishedSegment);
    }
    currentFinishedSegment.assignedJobCount++;
    return currentFinishedSegment;
  }

  /** Adds a job after its open-job segment was stored with the job in it. */
  void addOpenEntry(OpenJobEntry entry) {
    entry.openSegment().entriesByJob.put(entry.id(), entry);
    if (openEntries.put(entry.id(), entry) == null) {
      entry.finishedSegment().openJobCount++;
    }
  }

  /**
   * Removes a job that has ended. Its space in the stored segment is freed by the segment's next
   * write.
   */
  void removeOpenEntry(JobId id) {
    OpenJobEntry entry = openEntries.remove(id);
    if (entry != null) {
      entry.openSegment().entriesByJob.remove(id);
      // A finished-job segment is not written again once no open job refers to it.
      if (--entry.finishedSegment().openJobCount == 0
          && entry.finishedSegment() != currentFinishedSegment) {
        finishedSegmentsByName.remove(entry.finishedSegment().name);
      }
    }
  }

  /**
   * Adds the ends in a finished-job segment that was read, and removes their jobs from the open
   * jobs.
   */
  void replaceFinishedSegment(FinishedJobSegment finishedSegment, Entry entry) {
    finishedSegment.revision = entry.modRevision();
    if (entry.value() != null) {
      entry
          .value()
          .properties()
          .forEach(
              jobField ->
                  finishedSegment.encodedEndsByJob.put(
                      new JobId(jobField.getKey()), jobField.getValue().asText()));
    }
    finishedSegment.encodedEndsByJob.keySet().forEach(this::removeOpenEntry);
  }

  /**
   * Replaces the contents of an open-job segment with those that were read. Among the jobs that
   * were not in the segment before, only those that {@code isOpen} accepts are open: the others
   * have ended since the segment was last written.
   */
  void replaceOpenSegment(OpenJobSegment openSegment, Entry entry, Predicate<JobId> isOpen) {
    openSegment.revision = entry.modRevision();
    Map<JobId, OpenJobEntry> previousEntries = new HashMap<>(openSegment.entriesByJob);
    openSegment.entriesByJob.clear();
    JsonNode value = entry.value() == null ? Cbor.newMap() : entry.value();
    value
        .properties()
        .forEach(
            jobField -> {
              JobId id = new JobId(jobField.getKey());
              ArrayNode packedEntry = (ArrayNode) jobField.getValue();
              OpenJobEntry knownEntry = previousEntries.get(id);
              if (knownEntry != null) {
                openSegment.entriesByJob.put(id, knownEntry);
              } else if (isOpen.test(id)) {
                FinishedJobSegment finishedSegment =
                    finishedSegmentsByName.computeIfAbsent(
                        packedEntry.path(0).asText(), FinishedJobSegment::new);
                if (!finishedSegment.encodedEndsByJob.containsKey(id)) {
                  addOpenEntry(
                      new OpenJobEntry(
                          id, openSegment, finishedSegment, packedEntry, countChars(packedEntry)));
                }
              }
            });
  }

  /** Returns the names of the finished-job segments that the open-job segments refer to. */
  static Set<String> finishedSegmentNamesIn(List<Entry> openSegmentRows) {
    Set<String> names = new HashSet<>();
    for (Entry entry : openSegmentRows) {
      entry
          .value()
          .elements()
          .forEachRemaining(packedEntry -> names.add(packedEntry.path(0).asText()));
    }
    return names;
  }

  void loadFinishedSegment(String name, Entry entry) {
    replaceFinishedSegment(
        finishedSegmentsByName.computeIfAbsent(name, FinishedJobSegment::new), entry);
  }

  void loadOpenSegment(Entry entry) {
    String prefix = StateSchema.openJobPrefix(entity.id());
    replaceOpenSegment(
        getOrAddOpenSegment(Integer.parseInt(entry.key().substring(prefix.length()))),
        entry,
        id -> true);
  }

  List<StoredJob> allStoredJobs() {
    return openEntries.keySet().stream().map(this::findStoredJob).filter(Objects::nonNull).toList();
  }

  /**
   * Returns an open job as it was stored, or null if it is not open at this entity or its stored
   * description cannot be parsed.
   */
  StoredJob findStoredJob(JobId id) {
    OpenJobEntry entry = openEntries.get(id);
    try {
      return entry == null
          ? null
          : new StoredJob(
              JobMessages.parsePackedSpec(id, entry.packedEntry(), 2),
              entry.packedEntry().path(1).asLong());
    } catch (MalformedMessageException exception) {
      LOG.error(
          "stored description of open job {} cannot be parsed: {}", id, exception.getMessage());
      return null;
    }
  }
}
