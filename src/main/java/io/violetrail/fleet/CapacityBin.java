package io.violetrail.fleet;

import io.violetrail.model.JobShape;
import io.violetrail.model.Resources;
import io.violetrail.scheduling.Job;

/** The capacity of a running, booting or planned machine, which a {@link ScaleOutPlan} fills. */
final class CapacityBin {
  private final MachineOffering offering;

  /** The running machine; null if it is planned, requested or booting. */
  private final Machine runningMachine;

  private Resources freeCapacity;
  private Resources sequentialCapacity;

  private CapacityBin(
      MachineOffering offering,
      Machine runningMachine,
      Resources freeCapacity,
      Resources sequentialCapacity) {
    this.offering = offering;
    this.runningMachine = runningMachine;
    this.freeCapacity = freeCapacity;
    this.sequentialCapacity = sequentialCapacity;
  }

  /** Creates the bin of a machine that is planned, requested or booting. */
  static CapacityBin ofBooting(MachineOffering offering, Resources capacity) {
    return new CapacityBin(offering, null, capacity, Resources.NONE);
  }

  /**
   * Creates the bin of a running machine.
   *
   * @param sequentialCapacity additional capacity for an array's tasks, which can run one after the
   *     other
   */
  static CapacityBin ofRunning(
      Machine machine, Resources freeCapacity, Resources sequentialCapacity) {
    return new CapacityBin(MachineOffering.of(machine), machine, freeCapacity, sequentialCapacity);
  }

  MachineOffering offering() {
    return offering;
  }

  /** Returns whether the machine is planned, requested or booting, so not running yet. */
  boolean isBooting() {
    return runningMachine == null;
  }

  /** Returns the running machine; null if it is not running yet. */
  Machine runningMachine() {
    return runningMachine;
  }

  /** Returns whether a task of the job fits, now or after another one. */
  boolean hasRoomFor(Job job) {
    Resources task = job.spec().taskResources();
    return task.fitsIn(freeCapacity)
        || (job.spec().shape() == JobShape.ARRAY && task.fitsIn(sequentialCapacity));
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
