package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.fleet.MachineOffering;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The pending jobs of a scheduling pass that need accelerators, and on which machines they could
 * run.
 *
 * <p>Part of {@link PlacementConstraints}, used on the event loop's thread; replaced in each pass.
 */
final class PendingAcceleratorJobs {
  private final List<Job> jobs = new ArrayList<>();

  /** The results of {@link #mayUse} in this pass, which depend only on the machine's offering. */
  private final Map<MachineOffering, Boolean> usableByOffering = new HashMap<>();

  void replaceAll(List<Job> pendingJobs) {
    usableByOffering.clear();
    jobs.clear();
    for (Job job : pendingJobs) {
      if (job.spec().taskResources().gpus() > 0) {
        jobs.add(job);
      }
    }
  }

  /** Returns whether one of the jobs may start tasks now and could use a machine like this one. */
  boolean mayUse(Machine machine, double nowSeconds) {
    MachineOffering offering = MachineOffering.of(machine);
    return usableByOffering.computeIfAbsent(offering, k -> isUsable(machine, nowSeconds));
  }

  private boolean isUsable(Machine machine, double nowSeconds) {
    for (Job job : jobs) {
      if (job.startableCount(nowSeconds) > 0
          && machine.isAllowedFor(job.spec())
          && ZoneAllowance.of(job).allows(machine.row().zone())
          && job.spec().taskResources().fitsIn(machine.type().capacity())) {
        return true;
      }
    }
    return false;
  }
}
