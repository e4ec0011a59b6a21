package io.violetrail.tools.scale;

import io.violetrail.fakes.ClusterSimulation;

/** Where each host of a deployment is. */
final class HostZones {
  private final ClusterSimulation simulation;

  HostZones(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  boolean isController(String host) {
    return host.charAt(0) == 'c' && Character.isDigit(host.charAt(host.length() - 1));
  }

  /**
   * Controllers stand in the regions in turn, workers in their zones; the services and the users
   * are in the first zone.
   */
  String zoneOf(String host) {
    var worker = simulation.cloud().workers().get(host);
    if (worker != null) {
      return worker.zone();
    }
    if (!isController(host)) {
      return LoadShape.zoneName(0);
    }
    int number = Integer.parseInt(host.substring(1));
    int zonesPerRegion = LoadShape.ZONES / LoadShape.REGIONS;
    int region = number % LoadShape.REGIONS;
    return LoadShape.zoneName(
        region * zonesPerRegion + number / LoadShape.REGIONS % zonesPerRegion);
  }

  String regionOf(String host) {
    return LoadShape.regionOf(zoneOf(host));
  }
}
