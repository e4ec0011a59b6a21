package io.violetrail.model;

import java.util.List;

/** A type that the cloud rents. */
public record MachineType(
    String name,
    Resources capacity,
    double imageCacheGb,
    double fetchGbPerSecond,
    double onDemandPrice,
    double spotPrice,
    double bootSeconds,
    List<String> zones) {
  /** The hourly price, of a spot machine or an on-demand one. */
  public double priceFor(boolean spot) {
    return spot ? spotPrice : onDemandPrice;
  }

  /** Whether a task may take the type without idling accelerators: it uses some, or it has none. */
  public boolean suitsAcceleratorNeed(Resources task) {
    return capacity.gpus() == 0 || task.gpus() > 0;
  }
}
