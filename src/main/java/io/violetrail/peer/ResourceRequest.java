package io.violetrail.peer;

import io.violetrail.model.ControllerId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Resources;
import java.util.List;

/**
 * What an entity lacks for a waiting job: machines for {@code tasks} more tasks, or so much more of
 * the team's limit ({@code slice}, with amounts in all). Types are joined by commas; empty: any.
 * {@code worth}: how many times the cheapest ordinary price a machine may cost for each task.
 * {@code donor}: the only entity that is to give it; empty: any. {@code starving}: the job has
 * waited so long that room is to be made for it; {@code mayEvict}: not even a part of it runs.
 */
public record ResourceRequest(
    boolean slice,
    String job,
    String team,
    double cpus,
    double gpus,
    double memoryGb,
    String types,
    String zone,
    boolean spot,
    int tasks,
    int priority,
    long arrivedMs,
    double worth,
    boolean starving,
    boolean mayEvict,
    String donor) {
  public static ResourceRequest forMachines(
      JobSpec spec, int tasks, long arrivedMs, double worth, boolean starving, boolean mayEvict) {
    return create(false, spec, spec.taskResources(), tasks, arrivedMs, worth, starving, mayEvict);
  }

  /** All that is lacking, whatever part of it is a whole task. */
  public static ResourceRequest forQuotaShare(JobSpec spec, Resources lacking, long arrivedMs) {
    return create(true, spec, lacking, 1, arrivedMs, 0, false, false);
  }

  private static ResourceRequest create(
      boolean slice,
      JobSpec spec,
      Resources amounts,
      int tasks,
      long arrivedMs,
      double worth,
      boolean starving,
      boolean mayEvict) {
    String types = spec.machineTypes() == null ? "" : String.join(",", spec.machineTypes());
    return new ResourceRequest(
        slice,
        spec.id().value(),
        spec.team(),
        amounts.cpus(),
        amounts.gpus(),
        amounts.memoryGb(),
        types,
        spec.zone() == null ? "" : spec.zone(),
        spec.spotAllowed(),
        tasks,
        spec.priority().ordinal(),
        arrivedMs,
        worth,
        starving,
        mayEvict,
        "");
  }

  /** A part of it, to be given by one entity alone. */
  public ResourceRequest fromDonor(ControllerId donorEntity, Resources part) {
    return new ResourceRequest(
        slice,
        job,
        team,
        part.cpus(),
        part.gpus(),
        part.memoryGb(),
        types,
        zone,
        spot,
        tasks,
        priority,
        arrivedMs,
        worth,
        starving,
        mayEvict,
        donorEntity.value());
  }

  /** Whether every entity is asked for all of it. */
  public boolean isForAllDonors() {
    return donor.isEmpty();
  }

  /** Whether the entity is asked. */
  public boolean isForDonor(ControllerId entity) {
    return donor.isEmpty() || donor.equals(entity.value());
  }

  /** The same in one zone alone. */
  public ResourceRequest withZone(String onlyZone) {
    return new ResourceRequest(
        slice, job, team, cpus, gpus, memoryGb, types, onlyZone, spot, tasks, priority, arrivedMs,
        worth, starving, mayEvict, donor);
  }

  public Resources requestedAmounts() {
    return new Resources(cpus, gpus, memoryGb);
  }

  public List<String> allowedTypes() {
    return types.isEmpty() ? null : List.of(types.split(","));
  }

  /**
   * Returns whether the request's constraints admit a machine of this type, zone and pricing model.
   */
  public boolean allowsMachine(String machineType, String machineZone, boolean machineIsSpot) {
    return (types.isEmpty() || allowedTypes().contains(machineType))
        && (zone.isEmpty() || zone.equals(machineZone))
        && (spot || !machineIsSpot);
  }
}
