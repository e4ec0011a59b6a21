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
  public double priceFor(boolean spot) {
    return spot ? spotPrice : onDemandPrice;
  }
}
