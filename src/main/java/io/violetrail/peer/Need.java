package io.violetrail.peer;

import io.violetrail.model.Amounts;
import io.violetrail.model.JobSpec;
import java.util.List;

/**
 * What an entity lacks for a waiting job: machines for {@code tasks} more tasks, or a larger slice
 * of the team's limit ({@code slice}). Types are joined by commas; empty: any. {@code worth}: how
 * many times the cheapest ordinary price a machine may cost for each task.
 */
public record Need(
    boolean slice,
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
    double worth) {
  public static Need machines(JobSpec s, int tasks, long arrivedMs, double worth) {
    return of(false, s, tasks, arrivedMs, worth);
  }

  public static Need slice(JobSpec s, int tasks, long arrivedMs) {
    return of(true, s, tasks, arrivedMs, 0);
  }

  private static Need of(boolean slice, JobSpec s, int tasks, long arrivedMs, double worth) {
    String types = s.types() == null ? "" : String.join(",", s.types());
    return new Need(
        slice,
        s.team(),
        s.task().cpus(),
        s.task().gpus(),
        s.task().memoryGb(),
        types,
        s.zone() == null ? "" : s.zone(),
        s.spot(),
        tasks,
        s.priority().ordinal(),
        arrivedMs,
        worth);
  }

  /** The same in one zone alone. */
  public Need in(String onlyZone) {
    return new Need(
        slice, team, cpus, gpus, memoryGb, types, onlyZone, spot, tasks, priority, arrivedMs,
        worth);
  }

  public Amounts task() {
    return new Amounts(cpus, gpus, memoryGb);
  }

  public List<String> typeList() {
    return types.isEmpty() ? null : List.of(types.split(","));
  }

  public boolean allows(String type, String inZone, boolean spotMachine) {
    return (types.isEmpty() || typeList().contains(type))
        && (zone.isEmpty() || zone.equals(inZone))
        && (spot || !spotMachine);
  }
}
