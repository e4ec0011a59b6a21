package io.violetrail.model;

import java.util.List;

/**
 * A type of machine that the cloud rents out; prices are per hour.
 *
 * @param bootSeconds the usual time from the rental request until the worker reports
 * @param zones where the type is offered
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
  /** The hourly price of such a machine. */
  public double priceFor(boolean spot) {
    return spot ? spotPrice : onDemandPrice;
  }

  /** Whether a task may take the type without idling accelerators: it uses some, or it has none. */
  public boolean suitsAcceleratorNeed(Resources task) {
    return capacity.gpus() == 0 || task.gpus() > 0;
  }
}
