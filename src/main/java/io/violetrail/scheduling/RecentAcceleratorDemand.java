package io.violetrail.scheduling;

import io.violetrail.model.JobSpec;
import io.violetrail.model.Resources;
import java.util.HashMap;
import java.util.Map;

/**
 * The job classes that need accelerators and of which a job was pending recently. CPU-only tasks
 * leave room for them on accelerator machines.
 *
 * <p>Part of {@link BinPacker}, used on the event loop's thread. Lost with the process and learnt
 * again from the pending jobs.
 */
final class RecentAcceleratorDemand {
  /** Room is left for a class only while a job of it was pending within this time. */
  private static final double RECENT_SECONDS = 600;

  private record Demand(Resources taskResources, double seenAtSeconds) {
    boolean isRecent(double nowSeconds) {
      return nowSeconds - seenAtSeconds < RECENT_SECONDS;
    }
  }

  private final Map<String, Demand> demandByJobClass = new HashMap<>();

  /** Records that the job is pending, if it needs accelerators. */
  void record(JobSpec job, double nowSeconds) {
    if (job.taskResources().gpus() > 0) {
      demandByJobClass.put(job.jobClass(), new Demand(job.taskResources(), nowSeconds));
    }
  }

  boolean hasRecentDemand(double nowSeconds) {
    return demandByJobClass.values().stream().anyMatch(demand -> demand.isRecent(nowSeconds));
  }

  /**
   * Returns whether fewer tasks of some recent job class fit in {@code freeAfter} than in {@code
   * freeBefore}.
   */
  boolean reducesAcceleratorSlots(Resources freeBefore, Resources freeAfter, double nowSeconds) {
    for (Demand demand : demandByJobClass.values()) {
      if (demand.isRecent(nowSeconds)
          && freeAfter.countFitting(demand.taskResources())
              < freeBefore.countFitting(demand.taskResources())) {
        return true;
      }
    }
    return false;
  }
}
