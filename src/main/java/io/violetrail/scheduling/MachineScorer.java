package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.fleet.Prices;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Resources;

/**
 * Scores machines for a task: lower is better. Little is left over, no accelerators stay idle, the
 * price is low, and the image is there.
 *
 * <p>Part of {@link BinPacker}, used on the event loop's thread; has no state.
 */
final class MachineScorer {
  /** Weight of the price, relative to that of the cores left over. */
  private static final double PRICE_WEIGHT = 0.6;

  /** Weight of a machine's idle time, below those of price and images. */
  private static final double IDLENESS_WEIGHT = 0.3;

  /** The idle time at which all of {@link #IDLENESS_WEIGHT} is added. */
  private static final double FULL_IDLENESS_SECONDS = 60;

  /** The duration of an image fetch at which all of its own weight is added. */
  private static final double FULL_FETCH_SECONDS = 20;

  /** Weight of a fetch that takes all of the time within which the job is to start. */
  private static final double URGENT_FETCH_WEIGHT = 1.5;

  private final ServiceLevelObjectives objectives;

  MachineScorer(ServiceLevelObjectives objectives) {
    this.objectives = objectives;
  }

  double score(Job job, Machine machine, Prices prices, double nowSeconds) {
    JobSpec spec = job.spec();
    Resources capacity = machine.type().capacity();
    Resources remaining = machine.freeCapacity().minus(spec.taskResources());
    double score =
        remaining.cpus() / capacity.cpus()
            + PRICE_WEIGHT
                * prices.priceRatio(spec, machine.type(), machine.row().spot(), Integer.MAX_VALUE);
    if (capacity.gpus() > 0) {
      score += spec.taskResources().gpus() > 0 ? remaining.gpus() / capacity.gpus() : 1;
    }
    if (machine.isEmpty()) {
      // The machine that became idle last is best. With a random choice, each of many idle machines
      // would be used again just before its scale-in.
      score +=
          IDLENESS_WEIGHT
              * Math.min(1, (nowSeconds - machine.idleSinceSeconds()) / FULL_IDLENESS_SECONDS);
    }
    if (!machine.hasImage(spec.image())) {
      double fetchSeconds = spec.imageGb() / machine.type().fetchGbPerSecond();
      score +=
          Math.min(1, fetchSeconds / FULL_FETCH_SECONDS)
              + URGENT_FETCH_WEIGHT
                  * Math.min(1, fetchSeconds / objectives.startObjectiveSeconds(spec));
    }
    return score;
  }
}
