package io.violetrail.fleet;

import io.violetrail.model.JobShape;
import io.violetrail.model.Resources;
import io.violetrail.scheduling.Job;

/** The capacity of a running, booting or planned machine, which a {@link ScaleOutPlan} fills. */
final class CapacityBin {
  private final MachineOffering offering;
  private final boolean booting;
  private Resources freeCapacity;
  private Resources sequentialCapacity;

  /**
   * Creates a bin.
   *
   * @param sequentialCapacity additional capacity for an array's tasks, which can run one after the
   *     other
   * @param booting whether the machine is planned, requested or booting, so not running yet
   */
  CapacityBin(
      MachineOffering offering,
      Resources freeCapacity,
      Resources sequentialCapacity,
      boolean booting) {
    this.offering = offering;
    this.freeCapacity = freeCapacity;
    this.sequentialCapacity = sequentialCapacity;
    this.booting = booting;
  }

  MachineOffering offering() {
    return offering;
  }

  boolean isBooting() {
    return booting;
  }

  /** Returns how many of the job's tasks fit at the same time. */
  int freeTaskSlots(Job job) {
    return freeCapacity.countFitting(job.spec().taskResources());
  }

  /** Uses capacity for up to {@code taskCount} of the job's tasks; returns how many have fit. */
  int fill(Job job, int taskCount) {
    Resources task = job.spec().taskResources();
    int placed = Math.min(taskCount, freeCapacity.countFitting(task));
    freeCapacity = freeCapacity.minus(task.times(placed));
    if (placed < taskCount && job.spec().shape() == JobShape.ARRAY) {
      int placedSequentially = Math.min(taskCount - placed, sequentialCapacity.countFitting(task));
      sequentialCapacity = sequentialCapacity.minus(task.times(placedSequentially));
      placed += placedSequentially;
    }
    return placed;
  }
}
