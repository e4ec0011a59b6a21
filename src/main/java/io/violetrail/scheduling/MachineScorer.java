package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.fleet.Prices;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Resources;

/**
 * Scores machines for a task; a lower score is better. The score favors machines on which the task
 * leaves few resources unused and no accelerators idle, whose price is low, and that have the image
 * cached.
 *
 * <p>Part of {@link BinPacker}, used on the event loop's thread; has no state.
 */
final class MachineScorer {
  /** Weight of the price; the share of cores that remain free has weight 1. */
  private static final double PRICE_WEIGHT = 0.6;

  /** Weight of a machine's idle time, below those of price and images. */
  private static final double IDLENESS_WEIGHT = 0.3;

  /** The idle time from which on the full {@link #IDLENESS_WEIGHT} is added. */
  private static final double FULL_IDLENESS_SECONDS = 60;

  /** The duration of an image fetch from which on its full weight of 1 is added. */
  private static final double FULL_FETCH_SECONDS = 20;

  /** Weight of an image fetch that takes the whole time within which the job should start. */
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
      // Prefers the machine that became idle last. With a random choice, each of many idle machines
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
