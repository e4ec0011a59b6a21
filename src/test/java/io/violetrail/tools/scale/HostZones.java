package io.violetrail.tools.scale;

import io.violetrail.fakes.ClusterSimulation;

/** The zone and region of each host of a deployment. */
final class HostZones {
  private final ClusterSimulation simulation;

  HostZones(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  boolean isController(String host) {
    return host.charAt(0) == 'c' && Character.isDigit(host.charAt(host.length() - 1));
  }

  /**
   * Returns the zone of a host. Controllers are assigned to the regions in turn; workers are in the
   * zones of their machines; the state service, the cloud and the users are in the first zone.
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
