package io.violetrail.fleet;

import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tells whether further machines for a job can be rented in a zone, whatever their price. Has no
 * state of its own; used on the event loop's thread.
 */
public final class ZoneSupply {
  private final MachineTypes machineTypes;
  private final SoldOutOfferings soldOutOfferings;

  /** Creates a supply of the known machine types without those that are sold out. */
  public ZoneSupply(MachineTypes machineTypes, SoldOutOfferings soldOutOfferings) {
    this.machineTypes = machineTypes;
    this.soldOutOfferings = soldOutOfferings;
  }

  /** Returns the zones in which any machine type is offered. */
  public Set<String> zones() {
    Set<String> zones = new TreeSet<>();
    machineTypes.all().forEach(type -> zones.addAll(type.zones()));
    return zones;
  }

  /** Returns whether an offering in the zone suits the job and is not known to be sold out. */
  public boolean canRent(JobSpec job, String zone) {
    for (MachineType type : machineTypes.all()) {
      if (type.zones().contains(zone)
          && job.taskResources().fitsIn(type.capacity())
          && (canRent(job, new MachineOffering(type.name(), zone, false))
              || canRent(job, new MachineOffering(type.name(), zone, true)))) {
        return true;
      }
    }
    return false;
  }

  private boolean canRent(JobSpec job, MachineOffering offering) {
    return job.allowsMachine(offering.type(), offering.zone(), offering.spot())
        && !soldOutOfferings.contains(offering);
  }
}
