package io.violetrail.fleet;

import io.violetrail.model.JobShape;
import io.violetrail.model.Resources;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.TaskPlacement;

/**
 * Predicts the free capacity of a running machine at the time at which another of its type would
 * have booted. Computed from the runtime estimates without side effects; used by {@link ScaleOut}
 * on the event loop's thread.
 */
final class FreeCapacityForecast {
  /**
   * The most tasks of a job planned one after the other in the same capacity; the runtime estimates
   * are too rough for more.
   */
  static final double MAX_SEQUENTIAL_TASKS = 4;

  private final RuntimeEstimates runtimeEstimates;

  FreeCapacityForecast(RuntimeEstimates runtimeEstimates) {
    this.runtimeEstimates = runtimeEstimates;
  }

  /** Returns what the machine will have free by the time that another of its type has booted. */
  Resources freeAtBootTime(Machine machine, double nowSeconds) {
    Resources capacity = machine.freeCapacity();
    for (TaskPlacement placement : machine.placements().values()) {
      if (remainingSeconds(placement, nowSeconds) < machine.type().bootSeconds()) {
        capacity = capacity.plus(placement.job().spec().taskResources());
      }
    }
    return capacity;
  }

  /**
   * Returns the additional capacity for further array tasks that could run on the machine, one
   * after the other, before another machine has booted. Each task is assumed to run as long as the
   * running task before it. Without this capacity, expensive machines were rented for short tasks
   * and had nothing to do once they had booted.
   */
  Resources sequentialCapacity(Machine machine, double nowSeconds) {
    Resources capacity = Resources.NONE;
    for (TaskPlacement placement : machine.placements().values()) {
      double secondsLeft = machine.type().bootSeconds() - remainingSeconds(placement, nowSeconds);
      int sequentialTasks =
          (int) (secondsLeft / runtimeEstimates.expectedRuntimeSeconds(placement.job().spec()));
      if (secondsLeft > 0
          && sequentialTasks > 0
          && placement.job().spec().shape() == JobShape.ARRAY) {
        capacity =
            capacity.plus(
                placement
                    .job()
                    .spec()
                    .taskResources()
                    .times((int) Math.min(MAX_SEQUENTIAL_TASKS, sequentialTasks)));
      }
    }
    return capacity;
  }

  private double remainingSeconds(TaskPlacement placement, double nowSeconds) {
    double startedAtSeconds =
        placement.runningSinceSeconds() > 0
            ? placement.runningSinceSeconds()
            : nowSeconds
                + placement.job().spec().imageGb() / placement.machine().type().fetchGbPerSecond();
    return Math.max(
        0,
        startedAtSeconds
            + runtimeEstimates.expectedRuntimeSeconds(placement.job().spec())
            - nowSeconds);
  }
}
