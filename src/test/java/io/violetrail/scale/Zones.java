package io.violetrail.scale;

import io.violetrail.fakes.World;

/** Where each host of a deployment is. */
final class Zones {
  private final World world;

  Zones(World world) {
    this.world = world;
  }

  boolean isController(String host) {
    return host.charAt(0) == 'c' && Character.isDigit(host.charAt(host.length() - 1));
  }

  /**
   * Controllers stand in the regions in turn, workers in their zones; the services and the users
   * are in the first zone.
   */
  String of(String host) {
    var worker = world.cloud.workers.get(host);
    if (worker != null) {
      return worker.zone();
    }
    if (!isController(host)) {
      return LoadShape.zone(0);
    }
    int number = Integer.parseInt(host.substring(1));
    int zonesPerRegion = LoadShape.ZONES / LoadShape.REGIONS;
    int region = number % LoadShape.REGIONS;
    return LoadShape.zone(region * zonesPerRegion + number / LoadShape.REGIONS % zonesPerRegion);
  }

  String region(String host) {
    return LoadShape.regionOf(of(host));
  }
}
