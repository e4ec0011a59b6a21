package io.violetrail.peer;

import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobSpec;
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
  public static ResourceRequest machines(
      JobSpec s, int tasks, long arrivedMs, double worth, boolean starving, boolean mayEvict) {
    return of(false, s, s.task(), tasks, arrivedMs, worth, starving, mayEvict);
  }

  /** All that is lacking, whatever part of it is a whole task. */
  public static ResourceRequest slice(JobSpec s, Amounts lacking, long arrivedMs) {
    return of(true, s, lacking, 1, arrivedMs, 0, false, false);
  }

  private static ResourceRequest of(
      boolean slice,
      JobSpec s,
      Amounts what,
      int tasks,
      long arrivedMs,
      double worth,
      boolean starving,
      boolean mayEvict) {
    String types = s.types() == null ? "" : String.join(",", s.types());
    return new ResourceRequest(
        slice,
        s.id().value(),
        s.team(),
        what.cpus(),
        what.gpus(),
        what.memoryGb(),
        types,
        s.zone() == null ? "" : s.zone(),
        s.spot(),
        tasks,
        s.priority().ordinal(),
        arrivedMs,
        worth,
        starving,
        mayEvict,
        "");
  }

  /** A part of it, to be given by one entity alone. */
  public ResourceRequest from(ControllerId entity, Amounts part) {
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
        entity.value());
  }

  /** Whether every entity is asked for all of it. */
  public boolean asksAll() {
    return donor.isEmpty();
  }

  /** Whether the entity is asked. */
  public boolean asks(ControllerId entity) {
    return donor.isEmpty() || donor.equals(entity.value());
  }

  /** The same in one zone alone. */
  public ResourceRequest in(String onlyZone) {
    return new ResourceRequest(
        slice, job, team, cpus, gpus, memoryGb, types, onlyZone, spot, tasks, priority, arrivedMs,
        worth, starving, mayEvict, donor);
  }

  public Amounts task() {
    return new Amounts(cpus, gpus, memoryGb);
  }

  public List<String> typeList() {
    return types.isEmpty() ? null : List.of(types.split(","));
  }

  /**
   * Returns whether the request's constraints admit a machine of this type, zone and pricing model.
   */
  public boolean allows(String type, String inZone, boolean spotMachine) {
    return (types.isEmpty() || typeList().contains(type))
        && (zone.isEmpty() || zone.equals(inZone))
        && (spot || !spotMachine);
  }
}
