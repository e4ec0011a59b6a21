package io.violetrail.fleet;

import io.violetrail.model.Amounts;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import java.util.Collection;
import java.util.List;

/** What a task costs on a machine, compared with what it costs where it is cheapest. */
public final class Prices {
  private final Collection<MachineType> types;

  public Prices(Collection<MachineType> types) {
    this.types = types;
  }

  /** The hourly price of a type for each of {@code sharers} tasks, or of as many as fit. */
  private static double perTask(Amounts task, MachineType type, boolean spot, int sharers) {
    return type.price(spot) / Math.max(1, Math.min(type.size().count(task), sharers));
  }

  /** That price as a multiple of the cheapest ordinary one. */
  public double ratio(JobSpec job, MachineType type, boolean spot, int sharers) {
    return ratio(job.task(), job.types(), type, spot, sharers);
  }

  /** The same for a task that may use the types named, or any if that is null. */
  public double ratio(
      Amounts task, List<String> allowed, MachineType type, boolean spot, int sharers) {
    double cheapest = Double.POSITIVE_INFINITY;
    for (MachineType t : types) {
      if (t.size().count(task) > 0 && (allowed == null || allowed.contains(t.name()))) {
        cheapest = Math.min(cheapest, perTask(task, t, false, sharers));
      }
    }
    return perTask(task, type, spot, sharers) / cheapest;
  }

  /**
   * Whether tasks worth so many times the cheapest ordinary price may keep a machine of this price
   * for themselves. A dear machine pays only when enough of them share it.
   */
  public boolean worth(JobSpec job, MachineType type, boolean spot, int sharers, double worth) {
    return ratio(job, type, spot, sharers) <= worth;
  }

  /** How long a machine may be idle: the less, the more it costs an hour. */
  public double idleS(MachineType type, boolean spot, double idleS) {
    double cheapest = types.stream().mapToDouble(MachineType::price).min().orElse(type.price());
    return Math.max(idleS / 10, Math.min(idleS, idleS * cheapest / type.price(spot)));
  }
}
