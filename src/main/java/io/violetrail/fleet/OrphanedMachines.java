package io.violetrail.fleet;

import io.violetrail.cloud.CloudClient;
import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.wire.CloudMessages;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Returns machines that the provider charges for but that no entity has recorded. Such machines
 * come from scale-out requests that were carried out late, and never boot: a machine that reports
 * is adopted long before it counts as orphaned. Called by the {@link Autoscaler} on the event
 * loop's thread; after a crash the waiting time starts anew.
 */
public final class OrphanedMachines {
  private static final Logger LOG = LoggerFactory.getLogger(OrphanedMachines.class);
  private static final double SCAN_INTERVAL_SECONDS = 45;

  /** The boot time assumed while no machine type is known. */
  private static final double UNKNOWN_BOOT_SECONDS = 60;

  private final Settings settings;
  private final EventLoop loop;
  private final ClusterView clusterView;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final EntityMachines entityMachines;
  private final CloudClient cloud;

  /** When each machine without a record was first listed, in seconds of the monotonic clock. */
  private final Map<MachineId, Double> unrecordedSinceSeconds = new HashMap<>();

  private double lastScanAtSeconds = Double.NEGATIVE_INFINITY;
  private boolean scanInFlight;

  /** Creates an object for one controller, which scans at the first {@link #scanIfDue}. */
  public OrphanedMachines(
      Settings settings,
      EventLoop loop,
      ClusterView clusterView,
      Membership membership,
      MachineTypes machineTypes,
      EntityMachines entityMachines,
      CloudClient cloud) {
    this.settings = settings;
    this.loop = loop;
    this.clusterView = clusterView;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.entityMachines = entityMachines;
    this.cloud = cloud;
  }

  /**
   * Returns whether this controller scans: it is the first live controller in the settings' order.
   * Only one controller scans, as the list is long and calls to the provider are limited.
   */
  private boolean isScanner() {
    for (ControllerId candidate : settings.controllers()) {
      if (clusterView.isAlive(candidate)) {
        return candidate.equals(settings.self());
      }
    }
    return false;
  }

  /** Starts a scan if this controller is the one that scans and the interval has passed. */
  void scanIfDue(double nowSeconds) {
    if (!scanInFlight
        && nowSeconds - lastScanAtSeconds > SCAN_INTERVAL_SECONDS
        && isScanner()
        && cloud.tryAcquireCall()) {
      scanInFlight = true;
      lastScanAtSeconds = nowSeconds;
      listPage("", new HashSet<>());
    }
  }

  private void listPage(String afterMachine, Set<MachineId> listed) {
    Futures.logFailure(
        cloud
            .listMachines(afterMachine)
            .whenComplete(
                (page, failure) -> {
                  if (failure != null) {
                    scanInFlight = false;
                    return;
                  }
                  listed.addAll(page.machines());
                  if (page.hasMore()) {
                    loop.schedule(1, () -> listPage(page.lastListed(), listed));
                  } else {
                    scanInFlight = false;
                    returnOrphaned(listed, loop.monotonicSeconds());
                  }
                }),
        "list the cloud's machines");
  }

  private void returnOrphaned(Set<MachineId> listed, double nowSeconds) {
    unrecordedSinceSeconds.keySet().retainAll(listed);
    List<MachineId> orphaned = new ArrayList<>();
    for (MachineId machineId : listed) {
      if (clusterView.findMachineRow(machineId) != null || entityMachines.wasReturned(machineId)) {
        unrecordedSinceSeconds.remove(machineId);
      } else if (nowSeconds - unrecordedSinceSeconds.computeIfAbsent(machineId, id -> nowSeconds)
          > orphanedAfterSeconds()) {
        orphaned.add(machineId);
      }
    }
    if (orphaned.isEmpty() || !membership.isLeaseValid() || !cloud.tryAcquireCall()) {
      return;
    }
    List<MachineId> batch =
        orphaned.subList(0, Math.min(orphaned.size(), CloudMessages.MAX_MACHINES_PER_RETURN));
    LOG.info("returning machines without a record in any entity: {}", batch);
    Futures.logFailure(cloud.returnMachines(batch), "return orphaned machines");
  }

  /**
   * Returns how long a machine must be listed without a record before it counts as orphaned.
   * Meanwhile its scale-out request may be in flight, or be repeated after a lost reply, and the
   * list may be out of date by up to twice the configured lag.
   */
  private double orphanedAfterSeconds() {
    double longestBootSeconds = machineTypes.longestBootSeconds().orElse(UNKNOWN_BOOT_SECONDS);
    return 3 * longestBootSeconds + 2 * settings.cloudLimits().listLagSeconds() + 20;
  }
}
