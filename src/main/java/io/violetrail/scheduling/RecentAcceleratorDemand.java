package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
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

  private record Demand(JobSpec latestJob, double seenAtSeconds) {
    boolean isRecent(double nowSeconds) {
      return nowSeconds - seenAtSeconds < RECENT_SECONDS;
    }
  }

  private final Map<String, Demand> demandByJobClass = new HashMap<>();

  /** Records that the job is pending, if it needs accelerators. */
  void record(JobSpec job, double nowSeconds) {
    if (job.taskResources().gpus() > 0) {
      demandByJobClass.put(job.jobClass(), new Demand(job, nowSeconds));
    }
  }

  boolean hasRecentDemand(double nowSeconds) {
    return demandByJobClass.values().stream().anyMatch(demand -> demand.isRecent(nowSeconds));
  }

  /**
   * Returns whether fewer tasks of some recent job class would fit on the machine if only {@code
   * freeAfter} were free there. Classes that may not use the machine do not count.
   */
  boolean reducesAcceleratorSlots(Machine machine, Resources freeAfter, double nowSeconds) {
    for (Demand demand : demandByJobClass.values()) {
      Resources taskResources = demand.latestJob().taskResources();
      if (demand.isRecent(nowSeconds)
          && machine.isAllowedFor(demand.latestJob())
          && freeAfter.countFitting(taskResources)
              < machine.freeCapacity().countFitting(taskResources)) {
        return true;
      }
    }
    return false;
  }
}
