package io.violetrail.scheduling;

import io.violetrail.model.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * How many more tasks of a job may start in each zone, given its other tasks. This is the only
 * place that applies a job's constraints on zones: the allowed zone, {@code singleZone} and {@code
 * spreadAcrossZones}. Placement, preemption, scale-out and requests for other entities' machines
 * all ask it, so that none of them counts room in a zone that another refuses.
 *
 * <p>An allowance begins with the job's placed tasks. A planner adds the tasks that it plans. Tasks
 * that were told to stop count until they are gone. Not thread-safe, and lost with the process.
 */
public final class ZoneAllowance {
  private final JobSpec spec;

  /** The only zone that is considered, in addition to the job's constraints; null for any. */
  private final String onlyZone;

  /** Placed and planned tasks; zones without any are absent. Empty without zone constraints. */
  private final Map<String, Integer> taskCountByZone;

  private ZoneAllowance(JobSpec spec, String onlyZone, Map<String, Integer> taskCountByZone) {
    this.spec = spec;
    this.onlyZone = onlyZone;
    this.taskCountByZone = taskCountByZone;
  }

  /** Returns the allowance for the job's next tasks, given those that are placed. */
  public static ZoneAllowance of(Job job) {
    return new ZoneAllowance(
        job.spec(), null, dependsOnOtherTasks(job.spec()) ? job.placedCountByZone() : Map.of());
  }

  /** Returns the allowance for a job without any placed tasks. */
  public static ZoneAllowance ofUnplaced(JobSpec spec) {
    return new ZoneAllowance(spec, null, new HashMap<>());
  }

  private static boolean dependsOnOtherTasks(JobSpec spec) {
    return spec.singleZone() || spec.spreadAcrossZones();
  }

  /** Returns a copy, to which tasks can be added without a change to this one. */
  public ZoneAllowance copy() {
    return restrictedTo(onlyZone);
  }

  /** Returns a copy that also excludes all other zones. */
  public ZoneAllowance restrictedTo(String zone) {
    return new ZoneAllowance(spec, zone, new HashMap<>(taskCountByZone));
  }

  /** Returns whether the next task may start in the zone. */
  public boolean allows(String zone) {
    return remaining(zone) > 0;
  }

  /**
   * Returns how many more tasks may start in the zone if none starts in another one; at most the
   * job's number of tasks.
   */
  public int remaining(String zone) {
    if (isExcluded(zone)) {
      return 0;
    }
    return spec.spreadAcrossZones()
        ? Math.max(0, spec.maxTasksPerZone() - taskCountByZone.getOrDefault(zone, 0))
        : spec.taskCount();
  }

  private boolean isExcluded(String zone) {
    return (spec.zone() != null && !spec.zone().equals(zone))
        || (onlyZone != null && !onlyZone.equals(zone))
        || (spec.singleZone() && hasTasksOutside(zone));
  }

  private boolean hasTasksOutside(String zone) {
    return !taskCountByZone.isEmpty()
        && !(taskCountByZone.size() == 1 && taskCountByZone.containsKey(zone));
  }

  /**
   * Returns whether the job needs a single zone and could still choose between several: the
   * specification names none, and no task is placed.
   */
  public boolean mayChooseSingleZone() {
    return spec.singleZone()
        && spec.zone() == null
        && onlyZone == null
        && taskCountByZone.isEmpty();
  }

  /** Records tasks that were placed or planned in the zone. */
  public void add(String zone, int taskCount) {
    if (taskCount > 0 && dependsOnOtherTasks(spec)) {
      taskCountByZone.merge(zone, taskCount, Integer::sum);
    }
  }
}
