package io.violetrail.fleet;

import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/**
 * Computes what a task costs on a machine, compared with the cheapest machine type for it. Based on
 * the hourly prices of the given machine types.
 */
public final class Prices {
  private final Collection<MachineType> types;

  public Prices(Collection<MachineType> types) {
    this.types = types;
  }

  /**
   * Returns the hourly price of each task if as many of {@code taskCount} tasks as fit share a
   * machine.
   */
  private static double pricePerTask(
      Resources task, MachineType type, boolean spot, int taskCount) {
    return type.priceFor(spot) / tasksPerMachine(task, type, taskCount);
  }

  /** Returns how many of {@code taskCount} tasks fit on a machine of the type; at least 1. */
  static int tasksPerMachine(Resources task, MachineType type, int taskCount) {
    return Math.max(1, Math.min(type.capacity().countFitting(task), taskCount));
  }

  /**
   * Returns a task's price on the type as a multiple of the cheapest on-demand price, whatever the
   * job's other tasks.
   */
  public double priceRatio(JobSpec job, MachineType type, boolean spot, int taskCount) {
    return priceRatio(
        job.taskResources(), job.machineTypes(), job::allowsZone, type, spot, taskCount);
  }

  /**
   * Returns a task's price on the type as a multiple of the cheapest on-demand price, out of the
   * types that are allowed and offered in an allowed zone. Types that are offered only elsewhere
   * must not count: a task that may run in a zone with dear types alone would wait for a price that
   * it cannot get.
   *
   * @param allowedTypes the allowed types; null for any
   */
  public double priceRatio(
      Resources task,
      List<String> allowedTypes,
      Predicate<String> allowsZone,
      MachineType type,
      boolean spot,
      int taskCount) {
    double cheapest = Double.POSITIVE_INFINITY;
    for (MachineType candidate : types) {
      if (candidate.capacity().countFitting(task) > 0
          && (allowedTypes == null || allowedTypes.contains(candidate.name()))
          && candidate.isOfferedIn(allowsZone)) {
        cheapest = Math.min(cheapest, pricePerTask(task, candidate, false, taskCount));
      }
    }
    return pricePerTask(task, type, spot, taskCount) / cheapest;
  }

  /**
   * Returns whether the job's tasks may use a machine of the type, given the maximum price of a
   * task as a multiple of the cheapest on-demand price. An expensive machine is worthwhile only if
   * enough of the {@code taskCount} tasks share it.
   */
  public boolean isWorthwhile(
      JobSpec job, MachineType type, boolean spot, int taskCount, double maxPriceRatio) {
    return isWorthwhile(job, job::allowsZone, type, spot, taskCount, maxPriceRatio);
  }

  /**
   * Returns the same for the job's next tasks.
   *
   * @param allowsZone the zones in which they may start
   */
  public boolean isWorthwhile(
      JobSpec job,
      Predicate<String> allowsZone,
      MachineType type,
      boolean spot,
      int taskCount,
      double maxPriceRatio) {
    return priceRatio(job.taskResources(), job.machineTypes(), allowsZone, type, spot, taskCount)
        <= maxPriceRatio;
  }

  /**
   * Returns how long a machine may be idle. The higher the hourly price, the shorter the time, down
   * to a tenth of {@code configuredIdleSeconds}.
   */
  public double maxIdleSeconds(MachineType type, boolean spot, double configuredIdleSeconds) {
    double cheapest =
        types.stream().mapToDouble(MachineType::onDemandPrice).min().orElse(type.onDemandPrice());
    return Math.max(
        configuredIdleSeconds / 10,
        Math.min(configuredIdleSeconds, configuredIdleSeconds * cheapest / type.priceFor(spot)));
  }
}
