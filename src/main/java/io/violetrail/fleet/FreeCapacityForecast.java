package io.violetrail.fleet;

import io.violetrail.model.JobShape;
import io.violetrail.model.Resources;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.TaskPlacement;

/**
 * Predicts what a machine that is up will have free by the time that another of its type would have
 * booted. A plain computation on the runtime estimates, used by {@link ScaleOut} on the event
 * loop's thread.
 */
final class FreeCapacityForecast {
  /**
   * Tasks of a job that one place is to run one after the other; estimates are too rough for more.
   */
  static final double MAX_SEQUENTIAL_TASKS = 4;

  private final RuntimeEstimates runtimeEstimates;

  FreeCapacityForecast(RuntimeEstimates runtimeEstimates) {
    this.runtimeEstimates = runtimeEstimates;
  }

  /** What the machine will have free by the time that another of its type would be up. */
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
   * What may start there after those, one task after the other like what runs there now, before
   * another machine would be up. Without it, dear machines were rented for short tasks, and had
   * nothing to do when they came up.
   */
  Resources sequentialCapacity(Machine machine, double nowSeconds) {
    Resources capacity = Resources.NONE;
    for (TaskPlacement placement : machine.placements().values()) {
      double secondsLeft = machine.type().bootSeconds() - remainingSeconds(placement, nowSeconds);
      int rounds =
          (int) (secondsLeft / runtimeEstimates.expectedRuntimeSeconds(placement.job().spec()));
      if (secondsLeft > 0 && rounds > 0 && placement.job().spec().shape() == JobShape.ARRAY) {
        capacity =
            capacity.plus(
                placement
                    .job()
                    .spec()
                    .taskResources()
                    .times((int) Math.min(MAX_SEQUENTIAL_TASKS, rounds)));
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
