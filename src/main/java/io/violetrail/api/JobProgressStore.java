package io.violetrail.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.model.JobId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema;
import io.violetrail.scheduling.Job;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stores which tasks of an owned entity's open jobs are done. Each row contains task ranges of many
 * jobs, so that a hundred jobs in progress cost the state service's budget a few writes instead of
 * a hundred.
 *
 * <p>Called on the event loop's thread. After a crash, the next owner {@linkplain #restore
 * restores} the flushed progress; workers report later progress again with their heartbeats.
 */
final class JobProgressStore {
  /** The minimum time between two writes of a row, so that one write stores many done tasks. */
  private static final double FLUSH_INTERVAL_SECONDS = 3;

  /**
   * The fraction of a value's size limit up to which a row is filled; the map's own bytes are
   * extra.
   */
  private static final double MAX_FILL_FRACTION = 0.7;

  /** Characters that a range's name and punctuation take in addition to its encoded bits. */
  private static final int ENTRY_OVERHEAD_CHARS = 40;

  private final EventLoop loop;
  private final StateStore store;
  private final Membership membership;
  private final OwnedEntity entity;
  private final int tasksPerRange;
  private final int maxChars;
  private final List<ProgressRow> rows = new ArrayList<>();
  private final Map<String, ProgressRow> rowByRangeName = new HashMap<>();

  /** A stored row and the task ranges in it. */
  private static final class ProgressRow {
    final int number;
    long revision;
    int charCount;
    boolean dirty;
    boolean writeInFlight;
    double flushedAtSeconds;
    final Map<String, TaskRange> rangesByName = new HashMap<>();

    ProgressRow(int number) {
      this.number = number;
    }
  }

  /** The tasks of a job from {@code fromIndex} (inclusive) to {@code toIndex} (exclusive). */
  private record TaskRange(Job job, int fromIndex, int toIndex) {
    String name() {
      return job.spec().id() + "/" + fromIndex;
    }

    int charCount() {
      return ENTRY_OVERHEAD_CHARS + ((toIndex - fromIndex + 7) / 8 + 2) / 3 * 4;
    }
  }

  JobProgressStore(
      EventLoop loop,
      StateStore store,
      StateStoreLimits limits,
      Membership membership,
      OwnedEntity entity) {
    this.loop = loop;
    this.store = store;
    this.membership = membership;
    this.entity = entity;
    this.maxChars = (int) (limits.maxValueBytes() * MAX_FILL_FRACTION);
    // A base64 character encodes six tasks, and a range takes at most half of a value.
    this.tasksPerRange = Math.min(16_384, limits.maxValueBytes() / 2 * 6);
  }

  /**
   * Marks the rows of the job's tasks that are done but not stored as dirty; a later flush writes
   * them.
   */
  void markChanged(Job job) {
    for (int fromIndex = 0; fromIndex < job.spec().taskCount(); fromIndex += tasksPerRange) {
      TaskRange range =
          new TaskRange(
              job, fromIndex, Math.min(job.spec().taskCount(), fromIndex + tasksPerRange));
      if (!job.doneNotStored(range.fromIndex(), range.toIndex()).isEmpty()) {
        rowByRangeName.computeIfAbsent(range.name(), name -> assignRow(range)).dirty = true;
      }
    }
  }

  private ProgressRow assignRow(TaskRange range) {
    ProgressRow row = null;
    for (ProgressRow candidate : rows) {
      if (row == null && candidate.charCount + range.charCount() <= maxChars) {
        row = candidate;
      }
    }
    if (row == null) {
      row = new ProgressRow(rows.size());
      rows.add(row);
    }
    addRange(row, range);
    return row;
  }

  private static void addRange(ProgressRow row, TaskRange range) {
    if (row.rangesByName.put(range.name(), range) == null) {
      row.charCount += range.charCount();
    }
  }

  /**
   * Writes the dirty rows whose flush interval has passed, and drops the ranges of finished jobs.
   */
  void flush(double nowSeconds) {
    for (ProgressRow row : rows) {
      for (TaskRange range : List.copyOf(row.rangesByName.values())) {
        if (range.job().phase() == Job.Phase.FINISHED) {
          row.rangesByName.remove(range.name());
          rowByRangeName.remove(range.name());
          row.charCount -= range.charCount();
        }
      }
      if (row.dirty
          && !row.writeInFlight
          && nowSeconds - row.flushedAtSeconds >= FLUSH_INTERVAL_SECONDS) {
        row.flushedAtSeconds = nowSeconds;
        writeRow(row);
      }
    }
  }

  private void writeRow(ProgressRow row) {
    row.writeInFlight = true;
    row.dirty = false;
    String key = StateSchema.progressKey(entity.id(), row.number);
    ObjectNode value = Cbor.newMap();
    Map<TaskRange, BitSet> writtenTasks = new HashMap<>();
    for (TaskRange range : row.rangesByName.values()) {
      BitSet doneTasks = range.job().doneTasks().get(range.fromIndex(), range.toIndex());
      writtenTasks.put(range, doneTasks);
      value.put(range.name(), Base64.getEncoder().encodeToString(doneTasks.toByteArray()));
    }
    // The condition on the revision prevents a delayed write of older progress from overwriting
    // newer progress.
    Futures.logFailure(
        store
            .commitInBackground(
                entity.fencedTransaction().ifRevision(key, row.revision).put(key, value))
            .whenComplete(
                (outcome, failure) -> {
                  row.writeInFlight = false;
                  if (failure != null) {
                    row.dirty = true;
                  } else if (outcome.applied()) {
                    row.revision = outcome.revision();
                    writtenTasks.forEach(
                        (range, doneTasks) ->
                            doneTasks.stream()
                                .forEach(i -> range.job().markStored(range.fromIndex() + i)));
                  } else if (outcome.failedKeys().contains(StateSchema.entityKey(entity.id()))) {
                    membership.relist();
                  } else {
                    rereadRow(row, key);
                  }
                }),
        "write tasks' progress");
  }

  /** Reads the row's revision again, because an earlier write that seemed lost has changed it. */
  private void rereadRow(ProgressRow row, String key) {
    row.writeInFlight = true;
    Futures.logFailure(
        store
            .get(key)
            .whenComplete(
                (entry, failure) -> {
                  if (failure != null) {
                    loop.schedule(1, () -> rereadRow(row, key));
                  } else {
                    row.writeInFlight = false;
                    row.revision = entry.modRevision();
                    row.dirty = true;
                  }
                }),
        "reread tasks' progress");
  }

  /** Restores the progress that a previous owner has stored. */
  void restore(List<Entry> entries) {
    String prefix = StateSchema.progressPrefix(entity.id());
    for (Entry entry : entries) {
      int number = Integer.parseInt(entry.key().substring(prefix.length()));
      while (rows.size() <= number) {
        rows.add(new ProgressRow(rows.size()));
      }
      ProgressRow row = rows.get(number);
      row.revision = entry.modRevision();
      entry
          .value()
          .properties()
          .forEach(field -> restoreRange(row, field.getKey(), field.getValue().asText()));
    }
  }

  private void restoreRange(ProgressRow row, String rangeName, String encodedTasks) {
    int separatorIndex = rangeName.indexOf('/');
    Job job = entity.jobs().get(new JobId(rangeName.substring(0, separatorIndex)));
    int fromIndex = Integer.parseInt(rangeName.substring(separatorIndex + 1));
    if (job == null || fromIndex >= job.spec().taskCount()) {
      return;
    }
    BitSet.valueOf(Base64.getDecoder().decode(encodedTasks)).stream()
        .forEach(
            i -> {
              job.markDone(fromIndex + i);
              job.markStored(fromIndex + i);
            });
    TaskRange range =
        new TaskRange(job, fromIndex, Math.min(job.spec().taskCount(), fromIndex + tasksPerRange));
    addRange(row, range);
    rowByRangeName.put(range.name(), row);
  }
}
