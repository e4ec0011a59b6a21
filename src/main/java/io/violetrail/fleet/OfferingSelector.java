package io.violetrail.fleet;

import io.violetrail.model.MachineType;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.ZoneAllowance;
import java.util.Collection;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the cheapest offering for tasks out of those that suit them and are not sold out. Has no
 * side effects.
 */
final class OfferingSelector {
  /** Shorter runtime estimates are too uncertain to derive the boot time's share of the cost. */
  private static final double MIN_RUNTIME_SECONDS = 30;

  /** The largest fraction added to an offering's cost, to prefer one of equally cheap offerings. */
  private static final double TIE_BREAK_FRACTION = 0.01;

  private final Collection<MachineType> types;
  private final AcceleratorPolicy acceleratorPolicy;
  private final boolean acceleratorsWanted;
  private final Prices prices;
  private final Predicate<MachineOffering> isSoldOut;
  private final ToDoubleFunction<Job> maxPriceRatioOf;
  private final int tieBreakSeed;

  /**
   * Creates a selector for the offerings of the given types.
   *
   * @param acceleratorsWanted whether a job with accelerators was pending recently; then machines
   *     with accelerators are not rented for other jobs that could run elsewhere, as placement
   *     keeps these off them too
   * @param maxPriceRatioOf the most that a job's task may cost, as a multiple of the cheapest
   *     on-demand price
   * @param tieBreakSeed decides which of equally cheap offerings is preferred
   */
  OfferingSelector(
      Collection<MachineType> types,
      boolean acceleratorsWanted,
      Prices prices,
      Predicate<MachineOffering> isSoldOut,
      ToDoubleFunction<Job> maxPriceRatioOf,
      int tieBreakSeed) {
    this.types = types;
    this.acceleratorPolicy = new AcceleratorPolicy(types);
    this.acceleratorsWanted = acceleratorsWanted;
    this.prices = prices;
    this.isSoldOut = isSoldOut;
    this.maxPriceRatioOf = maxPriceRatioOf;
    this.tieBreakSeed = tieBreakSeed;
  }

  /**
   * Finds the cheapest offering for a job's tasks.
   *
   * @param allowance the zones in which the tasks may start, and how many of them
   * @return null if every offering is unsuitable, sold out or too expensive
   */
  MachineOffering findCheapest(Job job, int taskCount, ZoneAllowance allowance) {
    MachineOffering best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    double maxPriceRatio = maxPriceRatioOf.applyAsDouble(job);
    for (MachineType type : types) {
      if (type.capacity().countFitting(job.spec().taskResources()) == 0
          || !suitsAcceleratorNeed(job, allowance, type)) {
        continue;
      }
      for (String zone : type.zones()) {
        int zoneTaskCount = Math.min(taskCount, allowance.remaining(zone));
        if (zoneTaskCount == 0) {
          continue;
        }
        for (boolean spot : new boolean[] {true, false}) {
          MachineOffering offering = new MachineOffering(type.name(), zone, spot);
          if (!isEligible(job, allowance, type, offering, zoneTaskCount, maxPriceRatio)) {
            continue;
          }
          double cost = costPerTask(job, offering, zoneTaskCount);
          if (cost < bestCost) {
            bestCost = cost;
            best = offering;
          }
        }
      }
    }
    return best;
  }

  private boolean isEligible(
      Job job,
      ZoneAllowance allowance,
      MachineType type,
      MachineOffering offering,
      int taskCount,
      double maxPriceRatio) {
    return job.spec().allowsMachine(offering.type(), offering.zone(), offering.spot())
        && !isSoldOut.test(offering)
        && prices.isWorthwhile(
            job.spec(), allowance::allows, type, offering.spot(), taskCount, maxPriceRatio);
  }

  /**
   * Returns whether a machine of the type may be used for the job's next tasks, given its
   * accelerators. Without this rule, expensive machines with accelerators were rented for jobs that
   * had waited long and were then not placed there; that was one in seven hours of a day's cost.
   */
  boolean suitsAcceleratorNeed(Job job, ZoneAllowance allowance, MachineType type) {
    return !acceleratorsWanted || acceleratorPolicy.suits(job.spec(), allowance::allows, type);
  }

  /** Returns the hourly price per task, raised for the time of boot and image fetch. */
  double costPerTask(Job job, MachineOffering offering, int taskCount) {
    MachineType type = typeOf(offering);
    double runSeconds = Math.max(MIN_RUNTIME_SECONDS, job.spec().estimatedRuntimeSeconds());
    double timeFactor =
        (runSeconds + type.bootSeconds() + job.spec().imageGb() / type.fetchGbPerSecond())
            / runSeconds;
    return type.priceFor(offering.spot())
        * timeFactor
        / Prices.tasksPerMachine(job.spec().taskResources(), type, taskCount)
        * (1 + TIE_BREAK_FRACTION * tieBreak(offering));
  }

  MachineType typeOf(MachineOffering offering) {
    for (MachineType type : types) {
      if (type.name().equals(offering.type())) {
        return type;
      }
    }
    throw new IllegalStateException(
        "unknown machine type "
            + offering.type()
            + ", expected one of "
            + types.stream().map(MachineType::name).toList());
  }

  /**
   * Returns a number between 0 and 1 that orders equally cheap offerings. The order lasts as long
   * as the seed, so that requests concentrate on one offering.
   */
  private double tieBreak(MachineOffering offering) {
    return (Objects.hash(offering, tieBreakSeed) & 0xffff) / 65536.0;
  }
}
