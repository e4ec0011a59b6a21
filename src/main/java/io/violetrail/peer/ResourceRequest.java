package io.violetrail.peer;

import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.ReportSize;
import io.violetrail.model.Resources;
import java.util.List;

/**
 * What an entity lacks for a waiting job: machines for more of its tasks, or a larger share of the
 * team's quota.
 *
 * @param slice whether a share of the team's quota is requested, with total amounts; otherwise
 *     machines are requested, with amounts for each task
 * @param types the allowed machine types, joined by commas; empty for any
 * @param zone the only allowed zone; empty for any
 * @param tasks how many more tasks machines are requested for
 * @param worth how many times the cheapest on-demand price a machine may cost for each task
 * @param starving whether the job has waited so long that capacity is to be freed for it
 * @param mayEvict whether not even a part of the job runs, so that tasks may be evicted for it
 * @param donor the only entity that is asked; empty for any
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

  /**
   * Returns a request for all of the lacking quota, regardless of how many whole tasks it is enough
   * for.
   */
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

  /** Returns a request for a part of the amounts, which asks only one entity. */
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

  /** Returns whether every entity is asked for the full amounts. */
  public boolean isForAllDonors() {
    return donor.isEmpty();
  }

  /** Returns whether {@code entity} is asked. */
  public boolean asksDonor(ControllerId entity) {
    return donor.isEmpty() || donor.equals(entity.value());
  }

  /** Returns the same request restricted to one zone. */
  public ResourceRequest withZone(String onlyZone) {
    return new ResourceRequest(
        slice, job, team, cpus, gpus, memoryGb, types, onlyZone, spot, tasks, priority, arrivedMs,
        worth, starving, mayEvict, donor);
  }

  /** Returns whether machines of the zone are requested. */
  public boolean allowsZone(String machineZone) {
    return zone.isEmpty() || zone.equals(machineZone);
  }

  /** Returns the requested part of a quota, or what each task takes of its machine. */
  public Resources requestedAmounts() {
    Resources amounts = new Resources(cpus, gpus, memoryGb);
    return slice ? amounts : amounts.withReportBytes(ReportSize.bytesOfTask(new JobId(job)));
  }

  public List<String> allowedTypes() {
    return types.isEmpty() ? null : List.of(types.split(","));
  }

  /**
   * Returns whether the request's constraints admit a machine of this type, zone and pricing model.
   */
  public boolean allowsMachine(String machineType, String machineZone, boolean machineIsSpot) {
    return (types.isEmpty() || allowedTypes().contains(machineType))
        && allowsZone(machineZone)
        && (spot || !machineIsSpot);
  }
}
