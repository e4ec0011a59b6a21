package io.violetrail.model;

import java.util.List;

/** A type that the cloud rents. */
public record MachineType(
    String name,
    Amounts size,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
