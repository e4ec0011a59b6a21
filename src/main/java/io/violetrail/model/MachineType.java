package io.violetrail.model;

import java.util.List;
import java.util.function.Predicate;

/**
 * A type of machine that the cloud offers. Prices are per hour. The capacity includes the room for
 * tasks in a worker's report, which is the same for all types.
 *
 * @param bootSeconds the usual time from the scale-out request until the worker reports
 * @param zones the zones in which the type is offered
 */
public record MachineType(
    String name,
    Resources capacity,
    double imageCacheGb,
    double fetchGbPerSecond,
    double onDemandPrice,
    double spotPrice,
    double bootSeconds,
    List<String> zones) {
  /** Sets the room for tasks in a worker's report. */
  public MachineType {
    capacity = capacity.withReportBytes(ReportSize.bytesForTasks());
  }

  /** Returns whether the type is offered in one of the allowed zones. */
  public boolean isOfferedIn(Predicate<String> allowsZone) {
    for (String zone : zones) {
      if (allowsZone.test(zone)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the price per hour of a spot machine or of an on-demand machine. */
  public double priceFor(boolean spot) {
    return spot ? spotPrice : onDemandPrice;
  }

  /**
   * Returns whether a task may use this type without leaving accelerators idle: the type has none,
   * or the task uses some.
   */
  public boolean avoidsIdleAccelerators(Resources task) {
    return capacity.gpus() == 0 || task.gpus() > 0;
  }
}
