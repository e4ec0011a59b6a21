package io.violetrail.fleet;

import io.violetrail.model.JobShape;
import io.violetrail.model.Resources;
import io.violetrail.scheduling.Job;

/** A machine that is there or coming, as room that a {@link ScaleOutPlan} fills with tasks. */
final class CapacityBin {
  private final MachineOffering offering;
  private final boolean booting;
  private Resources freeCapacity;
  private Resources sequentialCapacity;

  /**
   * Creates a bin.
   *
   * @param sequentialCapacity room for tasks that need not run side by side, one after the other
   * @param booting whether the machine is not up yet
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

  /** How many of the job's tasks fit side by side. */
  int freeTaskSlots(Job job) {
    return freeCapacity.countFitting(job.spec().taskResources());
  }

  /** Takes room for as many of the job's tasks as fit, and returns how many those are. */
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
