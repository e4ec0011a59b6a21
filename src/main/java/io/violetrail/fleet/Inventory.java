package io.violetrail.fleet;

import io.violetrail.cloud.CloudClient;
import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.wire.CloudWire;
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
public final class Inventory {
  private static final Logger LOG = LoggerFactory.getLogger(Inventory.class);
  private static final double EVERY_S = 45;

  private final Settings settings;
  private final Loop loop;
  private final Directory directory;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final EntityMachines entityMachines;
  private final CloudClient cloud;

  /** When each machine without a record was first listed. */
  private final Map<MachineId, Double> unknownSinceS = new HashMap<>();

  private double atS = Double.NEGATIVE_INFINITY;
  private boolean reading;

  /** Lists the cloud's machines and returns what the directory has no record of. */
  public Inventory(
      Settings settings,
      Loop loop,
      Directory directory,
      Membership membership,
      MachineTypes machineTypes,
      EntityMachines entityMachines,
      CloudClient cloud) {
    this.settings = settings;
    this.loop = loop;
    this.directory = directory;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.entityMachines = entityMachines;
    this.cloud = cloud;
  }

  /** One controller reads for all: the list is long, and calls are few. */
  private boolean mine() {
    for (ControllerId c : settings.controllers()) {
      if (directory.isAlive(c)) {
        return c.equals(settings.self());
      }
    }
    return false;
  }

  void tick(double now) {
    if (!reading && now - atS > EVERY_S && mine() && cloud.mayCall()) {
      reading = true;
      atS = now;
      page("", new HashSet<>());
    }
  }

  private void page(String after, Set<MachineId> listed) {
    Futures.logFailure(
        cloud
            .list(after)
            .whenComplete(
                (page, failure) -> {
                  if (failure != null) {
                    reading = false;
                    return;
                  }
                  listed.addAll(page.machines());
                  if (page.more()) {
                    loop.after(1, () -> page(page.last(), listed));
                  } else {
                    reading = false;
                    judge(listed, loop.seconds());
                  }
                }),
        "list the cloud's machines");
  }

  private void judge(Set<MachineId> listed, double now) {
    unknownSinceS.keySet().retainAll(listed);
    List<MachineId> out = new ArrayList<>();
    for (MachineId id : listed) {
      if (directory.machine(id) != null || entityMachines.wasReturned(id)) {
        unknownSinceS.remove(id);
      } else if (now - unknownSinceS.computeIfAbsent(id, x -> now) > patienceS()) {
        out.add(id);
      }
    }
    if (out.isEmpty() || !membership.valid() || !cloud.mayCall()) {
      return;
    }
    List<MachineId> batch = out.subList(0, Math.min(out.size(), CloudWire.MAX_RETURN));
    LOG.info("returning machines that nobody has recorded: {}", batch);
    Futures.logFailure(cloud.giveBack(batch), "return orphaned machines");
  }

  /**
   * A rental may be under way, its answer lost and repeated; the list lags by up to twice its lag.
   */
  private double patienceS() {
    double boot = machineTypes.all().stream().mapToDouble(MachineType::bootS).max().orElse(60);
    return 3 * boot + 2 * settings.cloudLimits().listLagS() + 20;
  }
}
