package io.violetrail.fleet;

import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
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

  /**
   * Estimates are often too low by half and more. So a task that is beyond its estimate is expected
   * to end at any moment, until it has exceeded it by as much again or by this.
   */
  private static final double MAX_OVERRUN_SECONDS = 60;

  private final RuntimeEstimates runtimeEstimates;

  FreeCapacityForecast(RuntimeEstimates runtimeEstimates) {
    this.runtimeEstimates = runtimeEstimates;
  }

  /**
   * Returns what the machine will have free by the time that another of its type has booted. A task
   * without a known end counts as staying: if its room counted as about to be free, no machine
   * would be rented for tasks that wait for it.
   */
  Resources freeAtBootTime(Machine machine, double nowSeconds) {
    Resources capacity = machine.freeCapacity();
    for (TaskPlacement placement : machine.placements().values()) {
      if (!placement.isExitReported()
          && remainingSeconds(placement, nowSeconds) < machine.type().bootSeconds()) {
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
      if (!placement.isExitReported()
          && secondsLeft > 0
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

  /**
   * Returns how long the task is expected to stay on its machine. Infinite if nothing is known
   * about its end: it belongs to a service, or its job has no estimate. A task far beyond its
   * estimate is expected to stay for as long again as it is too late.
   */
  private double remainingSeconds(TaskPlacement placement, double nowSeconds) {
    if (placement.isStopRequested()) {
      return placement.stopGraceSeconds();
    }
    JobSpec job = placement.job().spec();
    if (!runtimeEstimates.hasExpectedRuntime(job)) {
      return Double.POSITIVE_INFINITY;
    }
    double startedAtSeconds =
        placement.runningSinceSeconds() > 0
            ? placement.runningSinceSeconds()
            : nowSeconds + job.imageGb() / placement.machine().type().fetchGbPerSecond();
    double expectedSeconds = runtimeEstimates.expectedRuntimeSeconds(job);
    double overrunSeconds = nowSeconds - (startedAtSeconds + expectedSeconds);
    return overrunSeconds <= 0
        ? -overrunSeconds
        : Math.max(0, overrunSeconds - Math.min(expectedSeconds, MAX_OVERRUN_SECONDS));
  }
}
