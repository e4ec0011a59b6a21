package io.violetrail.ownership;

import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.scheduling.TaskPlacement;
import java.util.HashMap;
import java.util.Map;

/**
 * The resources that an entity's placements use, by team. The totals are updated with each
 * placement instead of being summed up for each decision. A placement is counted only once, even if
 * it is added several times.
 *
 * <p>Used by {@link OwnedEntity} on the event loop's thread.
 */
final class PlacementUsage {
  private final Map<String, TeamUsage> usageByTeam = new HashMap<>();

  /** Placed tasks by priority ordinal, to skip searches for priorities without placed tasks. */
  private final int[] placedCountByPriority = new int[Priority.values().length];

  private int placedCount;

  private static final class TeamUsage {
    private Resources total = Resources.NONE;
    private int taskCount;

    private void add(Resources resources, int count) {
      taskCount += count;
      // Without placements the total is exactly zero: rounding errors do not accumulate.
      total = taskCount == 0 ? Resources.NONE : total.plus(resources.times(count));
    }
  }

  /** Returns the resources that the team's placed tasks use. */
  Resources usageOf(String team) {
    TeamUsage usage = usageByTeam.get(team);
    return usage == null ? Resources.NONE : usage.total;
  }

  /** Returns how many tasks are placed. */
  int placedCount() {
    return placedCount;
  }

  /** Returns whether any placed task has a lower priority than the given one. */
  boolean hasTaskOfLowerPriority(Priority priority) {
    for (int ordinal = priority.ordinal() + 1; ordinal < placedCountByPriority.length; ordinal++) {
      if (placedCountByPriority[ordinal] > 0) {
        return true;
      }
    }
    return false;
  }

  /** Counts a placement unless it is already counted. */
  void add(TaskPlacement placement) {
    if (!placement.countedAsUsed()) {
      count(placement, 1);
    }
  }

  /** Stops counting a placement if it is counted. */
  void subtract(TaskPlacement placement) {
    if (placement.countedAsUsed()) {
      count(placement, -1);
    }
  }

  private void count(TaskPlacement placement, int delta) {
    placement.setCountedAsUsed(delta > 0);
    placedCount += delta;
    placedCountByPriority[placement.job().spec().priority().ordinal()] += delta;
    usageByTeam
        .computeIfAbsent(placement.job().spec().team(), team -> new TeamUsage())
        .add(placement.job().spec().taskResources(), delta);
  }
}
