package io.violetrail.fleet;

import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import java.util.Collection;
import java.util.List;

/**
 * What a task costs on a machine, compared with what it costs where it is cheapest. Plain
 * computations on the machine types handed in, whose prices are for an hour.
 */
public final class Prices {
  private final Collection<MachineType> types;

  public Prices(Collection<MachineType> types) {
    this.types = types;
  }

  /** The hourly price of a type for each of {@code sharingTasks} tasks, or of as many as fit. */
  private static double pricePerTask(
      Resources task, MachineType type, boolean spot, int sharingTasks) {
    return type.priceFor(spot) / sharingTasks(task, type, sharingTasks);
  }

  /** How many of {@code taskCount} tasks share a machine of the type; at least 1. */
  static int sharingTasks(Resources task, MachineType type, int taskCount) {
    return Math.max(1, Math.min(type.capacity().countFitting(task), taskCount));
  }

  /** A task's price on the type as a multiple of the cheapest on-demand one. */
  public double priceRatio(JobSpec job, MachineType type, boolean spot, int sharingTasks) {
    return priceRatio(job.taskResources(), job.machineTypes(), type, spot, sharingTasks);
  }

  /** The same for a task that may use the types named, or any if {@code allowedTypes} is null. */
  public double priceRatio(
      Resources task, List<String> allowedTypes, MachineType type, boolean spot, int sharingTasks) {
    double cheapest = Double.POSITIVE_INFINITY;
    for (MachineType candidate : types) {
      if (candidate.capacity().countFitting(task) > 0
          && (allowedTypes == null || allowedTypes.contains(candidate.name()))) {
        cheapest = Math.min(cheapest, pricePerTask(task, candidate, false, sharingTasks));
      }
    }
    return pricePerTask(task, type, spot, sharingTasks) / cheapest;
  }

  /**
   * Whether tasks worth so many times the cheapest on-demand price may keep a machine of this price
   * for themselves. A dear machine pays only when enough of them share it.
   */
  public boolean isWorthwhile(
      JobSpec job, MachineType type, boolean spot, int sharingTasks, double maxPriceRatio) {
    return priceRatio(job, type, spot, sharingTasks) <= maxPriceRatio;
  }

  /** How long a machine may be idle: the less, the more it costs an hour. */
  public double maxIdleSeconds(MachineType type, boolean spot, double configuredIdleSeconds) {
    double cheapest =
        types.stream().mapToDouble(MachineType::onDemandPrice).min().orElse(type.onDemandPrice());
    return Math.max(
        configuredIdleSeconds / 10,
        Math.min(configuredIdleSeconds, configuredIdleSeconds * cheapest / type.priceFor(spot)));
  }
}
