package io.violetrail.fleet;

import io.violetrail.cloud.CloudClient;
import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.net.EventLoop;
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
 * Returns machines that the cloud charges for and that no entity has recorded: those of rental
 * requests carried out late, which never come up. One that reports is adopted long before.
 */
public final class OrphanedMachines {
  private static final Logger LOG = LoggerFactory.getLogger(OrphanedMachines.class);
  private static final double SCAN_INTERVAL_SECONDS = 45;

  private final Settings settings;
  private final EventLoop loop;
  private final ClusterView clusterView;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final EntityMachines entityMachines;
  private final CloudClient cloud;

  /** When each machine without a record was first listed. */
  private final Map<MachineId, Double> unrecordedSinceSeconds = new HashMap<>();

  private double lastScanAtSeconds = Double.NEGATIVE_INFINITY;
  private boolean scanInFlight;

  /** Lists the cloud's machines and returns what the directory has no record of. */
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

  /** One controller reads for all: the list is long, and calls are few. */
  private boolean isScanner() {
    for (ControllerId candidate : settings.controllers()) {
      if (clusterView.isAlive(candidate)) {
        return candidate.equals(settings.self());
      }
    }
    return false;
  }

  void scanIfDue(double nowSeconds) {
    if (!scanInFlight
        && nowSeconds - lastScanAtSeconds > SCAN_INTERVAL_SECONDS
        && isScanner()
        && cloud.tryAcquireCall()) {
      scanInFlight = true;
      lastScanAtSeconds = nowSeconds;
      readPage("", new HashSet<>());
    }
  }

  private void readPage(String after, Set<MachineId> listed) {
    cloud
        .listMachines(after)
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                scanInFlight = false;
                return;
              }
              listed.addAll(page.machines());
              if (page.hasMore()) {
                loop.schedule(1, () -> readPage(page.lastListed(), listed));
              } else {
                scanInFlight = false;
                returnOrphaned(listed, loop.monotonicSeconds());
              }
            });
  }

  private void returnOrphaned(Set<MachineId> listed, double nowSeconds) {
    unrecordedSinceSeconds.keySet().retainAll(listed);
    List<MachineId> orphaned = new ArrayList<>();
    for (MachineId machineId : listed) {
      if (clusterView.findMachineRow(machineId) != null || entityMachines.wasReturned(machineId)) {
        unrecordedSinceSeconds.remove(machineId);
      } else if (nowSeconds - unrecordedSinceSeconds.computeIfAbsent(machineId, x -> nowSeconds)
          > orphanedAfterSeconds()) {
        orphaned.add(machineId);
      }
    }
    if (orphaned.isEmpty() || !membership.isLeaseValid() || !cloud.tryAcquireCall()) {
      return;
    }
    List<MachineId> batch =
        orphaned.subList(0, Math.min(orphaned.size(), CloudMessages.MAX_MACHINES_PER_RETURN));
    LOG.info("returning machines that nobody has recorded: {}", batch);
    cloud.returnMachines(batch);
  }

  /**
   * A rental may be under way, its answer lost and repeated; the list lags by up to twice its lag.
   */
  private double orphanedAfterSeconds() {
    double slowestBootSeconds =
        machineTypes.all().stream().mapToDouble(MachineType::bootSeconds).max().orElse(60);
    return 3 * slowestBootSeconds + 2 * settings.cloudLimits().listLagSeconds() + 20;
  }
}
