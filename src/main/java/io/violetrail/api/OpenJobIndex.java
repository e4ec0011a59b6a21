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
 * The open-job and finished-job segments of an owned entity, as of their last write or read, and
 * the open jobs in them. Called by the entity's {@link JobStore} on the event loop's thread; the
 * rows survive a crash, and the next owner builds its index from them.
 */
final class OpenJobIndex {
  private static final Logger LOG = LoggerFactory.getLogger(OpenJobIndex.class);

  /** Part of a value's size limit that a segment is filled to. */
  private static final double MAX_FILL_FRACTION = 0.75;

  /** Characters that an entry's name and punctuation take beside its description. */
  private static final int ENTRY_OVERHEAD_CHARS = 40;

  private final OwnedEntity entity;
  private final int maxChars;
  private final int jobsPerFinishedSegment;
  private final List<OpenJobSegment> openSegments = new ArrayList<>();
  private final Map<String, FinishedJobSegment> finishedSegmentsByName = new HashMap<>();
  private final Map<JobId, OpenJobEntry> openEntries = new HashMap<>();
  private FinishedJobSegment currentFinishedSegment;
  private int finishedSegmentCount;

  /** An open job as its open-job segment contains it. */
  record OpenJobEntry(
      JobId id,
      OpenJobSegment openSegment,
      FinishedJobSegment finishedSegment,
      ArrayNode value,
      int charCount) {}

  static final class OpenJobSegment {
    final int number;
    long revision;
    final Map<JobId, OpenJobEntry> jobs = new LinkedHashMap<>();

    OpenJobSegment(int number) {
      this.number = number;
    }
  }

  static final class FinishedJobSegment {
    final String name;
    long revision;
    private int assignedJobCount;
    private int openJobCount;
    final Map<JobId, String> ends = new LinkedHashMap<>();

    FinishedJobSegment(String name) {
      this.name = name;
    }
  }

  OpenJobIndex(OwnedEntity entity, int maxValueBytes) {
    this.entity = entity;
    this.maxChars = (int) (maxValueBytes * MAX_FILL_FRACTION);
    this.jobsPerFinishedSegment = Math.max(1, maxChars / ENTRY_OVERHEAD_CHARS);
  }

  static int countChars(ArrayNode value) {
    return value.toString().length() + ENTRY_OVERHEAD_CHARS;
  }

  private static int countChars(Map<JobId, OpenJobEntry> jobs) {
    return jobs.values().stream().mapToInt(OpenJobEntry::charCount).sum();
  }

  /** The entry of an open job; null if it is not open here. */
  OpenJobEntry findOpenEntry(JobId id) {
    return openEntries.get(id);
  }

  /** An open-job segment with room for so many more, given the contents planned for some. */
  OpenJobSegment findOpenSegmentWithSpace(
      int charCount, Map<OpenJobSegment, Map<JobId, OpenJobEntry>> plannedContents) {
    for (OpenJobSegment openSegment : openSegments) {
      int usedChars = countChars(plannedContents.getOrDefault(openSegment, openSegment.jobs));
      if (usedChars == 0 || usedChars + charCount <= maxChars) {
        return openSegment;
      }
    }
    return openSegment(openSegments.size());
  }

  private OpenJobSegment openSegment(int number) {
    while (openSegments.size() <= number) {
      openSegments.add(new OpenJobSegment(openSegments.size()));
    }
    return openSegments.get(number);
  }

  /**
   * The finished-job segment for the end of a job that is submitted now. A new one gets a name that
   * was never used before: it contains the version of this ownership.
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

  /** Adds a job whose open-job segment is stored with it. */
  void addOpenEntry(OpenJobEntry job) {
    job.openSegment().jobs.put(job.id(), job);
    if (openEntries.put(job.id(), job) == null) {
      job.finishedSegment().openJobCount++;
    }
  }

  /** Removes a job that has ended; its space is free from the segment's next write on. */
  void removeOpenEntry(JobId id) {
    OpenJobEntry job = openEntries.remove(id);
    if (job != null) {
      job.openSegment().jobs.remove(id);
      // A finished-job segment that no open job refers to is never written again.
      if (--job.finishedSegment().openJobCount == 0
          && job.finishedSegment() != currentFinishedSegment) {
        finishedSegmentsByName.remove(job.finishedSegment().name);
      }
    }
  }

  /** Adds the ends of a finished-job segment as it was read. */
  void replaceFinishedSegment(FinishedJobSegment finishedSegment, Entry entry) {
    finishedSegment.revision = entry.modRevision();
    if (entry.value() != null) {
      entry
          .value()
          .properties()
          .forEach(
              jobField ->
                  finishedSegment.ends.put(
                      new JobId(jobField.getKey()), jobField.getValue().asText()));
    }
    finishedSegment.ends.keySet().forEach(this::removeOpenEntry);
  }

  /**
   * Replaces an open-job segment by what was read. Of jobs not known before, only those that {@code
   * isOpen} accepts are open: the others have ended since the segment was last written.
   */
  void replaceOpenSegment(OpenJobSegment openSegment, Entry entry, Predicate<JobId> isOpen) {
    openSegment.revision = entry.modRevision();
    Map<JobId, OpenJobEntry> previousEntries = new HashMap<>(openSegment.jobs);
    openSegment.jobs.clear();
    JsonNode value = entry.value() == null ? Cbor.newMap() : entry.value();
    value
        .properties()
        .forEach(
            jobField -> {
              JobId id = new JobId(jobField.getKey());
              ArrayNode packedEntry = (ArrayNode) jobField.getValue();
              OpenJobEntry knownEntry = previousEntries.get(id);
              if (knownEntry != null) {
                openSegment.jobs.put(id, knownEntry);
              } else if (isOpen.test(id)) {
                FinishedJobSegment finishedSegment =
                    finishedSegmentsByName.computeIfAbsent(
                        packedEntry.path(0).asText(), FinishedJobSegment::new);
                if (!finishedSegment.ends.containsKey(id)) {
                  addOpenEntry(
                      new OpenJobEntry(
                          id, openSegment, finishedSegment, packedEntry, countChars(packedEntry)));
                }
              }
            });
  }

  /** The names of the finished-job segments that the open-job segments refer to. */
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
        openSegment(Integer.parseInt(entry.key().substring(prefix.length()))), entry, id -> true);
  }

  List<StoredJob> allStoredJobs() {
    return openEntries.keySet().stream().map(this::findStoredJob).filter(Objects::nonNull).toList();
  }

  /** An open job as it was stored; null if it is not open here, or cannot be read. */
  StoredJob findStoredJob(JobId id) {
    OpenJobEntry job = openEntries.get(id);
    try {
      return job == null
          ? null
          : new StoredJob(
              JobMessages.parsePackedSpec(id, job.value(), 2), job.value().path(1).asLong());
    } catch (MalformedMessageException exception) {
      LOG.error("job {} cannot be read: {}", id, exception.getMessage());
      return null;
    }
  }
}
