package io.violetrail.scheduling;

import io.violetrail.model.JobSpec;
import io.violetrail.model.Resources;
import java.util.HashMap;
import java.util.Map;

/**
 * Job classes with accelerators that were pending here lately, for which work without accelerators
 * leaves room.
 *
 * <p>Part of {@link BinPacker}, used on the event loop's thread; lost with the process and learnt
 * again from the pending jobs.
 */
final class RecentAcceleratorDemand {
  /** No room is left for a job class that was not pending for this long. */
  private static final double RECENT_SECONDS = 600;

  private record Demand(Resources taskResources, double seenAtSeconds) {
    boolean isRecent(double nowSeconds) {
      return nowSeconds - seenAtSeconds < RECENT_SECONDS;
    }
  }

  private final Map<String, Demand> demandByJobClass = new HashMap<>();

  /** A job is pending; nothing happens if it needs no accelerators. */
  void record(JobSpec job, double nowSeconds) {
    if (job.taskResources().gpus() > 0) {
      demandByJobClass.put(job.jobClass(), new Demand(job.taskResources(), nowSeconds));
    }
  }

  boolean isPresent(double nowSeconds) {
    return demandByJobClass.values().stream().anyMatch(demand -> demand.isRecent(nowSeconds));
  }

  /** Whether fewer tasks of some recent job class fit in what remains than in the room before. */
  boolean losesRoom(Resources room, Resources remaining, double nowSeconds) {
    for (Demand demand : demandByJobClass.values()) {
      if (demand.isRecent(nowSeconds)
          && remaining.countFitting(demand.taskResources())
              < room.countFitting(demand.taskResources())) {
        return true;
      }
    }
    return false;
  }
}
