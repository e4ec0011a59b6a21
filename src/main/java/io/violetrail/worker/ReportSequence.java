package io.violetrail.worker;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.model.MachineId;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;

/**
 * The newest report of each worker that was heard here, of whichever entity. The network may bring
 * a copy of an older one at any later time; nothing follows from that, not even that its worker is
 * there: a copy took the place of a report whose answer was kept open, and marked machines as heard
 * that had been silent for long.
 */
final class ReportSequence {
  /** Some thousand machines come and go in a night; one that is forgotten is only heard again. */
  private static final int MOST = 6_000;

  private record Mark(long session, long seq) {}

  private final Cache<MachineId, Mark> marks = CacheBuilder.newBuilder().maximumSize(MOST).build();

  /** Whether this report is newer than all before it; it is the newest one then. */
  boolean take(WorkerReport beat) {
    Mark before = marks.getIfPresent(beat.machine());
    if (before != null && !beat.newerThan(before.session, before.seq)) {
      return false;
    }
    marks.put(beat.machine(), new Mark(beat.session(), beat.seq()));
    return true;
  }
}
