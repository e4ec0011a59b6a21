package io.violetrail.ownership;

import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.scheduling.TaskPlacement;
import java.util.HashMap;
import java.util.Map;

/**
 * What an entity's placements use, kept up to date with each of them rather than summed up for each
 * decision. A placement is counted once, however often it is added.
 *
 * <p>Used by {@link OwnedEntity} on the event loop's thread.
 */
final class PlacementUsage {
  private final Map<String, TeamUsage> usageByTeam = new HashMap<>();

  /** How many tasks of each priority are placed, so that none is looked for in vain. */
  private final int[] placedCountByPriority = new int[Priority.values().length];

  private static final class TeamUsage {
    private Resources total = Resources.NONE;
    private int taskCount;

    private void add(Resources resources, int count) {
      taskCount += count;
      // Without placements the total is exactly zero: rounding errors do not accumulate.
      total = taskCount == 0 ? Resources.NONE : total.plus(resources.times(count));
    }
  }

  /** What the team's placed tasks use. */
  Resources usageOf(String team) {
    TeamUsage usage = usageByTeam.get(team);
    return usage == null ? Resources.NONE : usage.total;
  }

  /** Whether any task of a lower priority is placed. */
  boolean hasTaskBelow(Priority priority) {
    for (int ordinal = priority.ordinal() + 1; ordinal < placedCountByPriority.length; ordinal++) {
      if (placedCountByPriority[ordinal] > 0) {
        return true;
      }
    }
    return false;
  }

  /** Counts a placement, unless it is counted already. */
  void add(TaskPlacement placement) {
    if (!placement.countedAsUsed()) {
      count(placement, 1);
    }
  }

  /** Counts a placement no longer, if it is counted. */
  void subtract(TaskPlacement placement) {
    if (placement.countedAsUsed()) {
      count(placement, -1);
    }
  }

  private void count(TaskPlacement placement, int delta) {
    placement.setCounted(delta > 0);
    placedCountByPriority[placement.job().spec().priority().ordinal()] += delta;
    usageByTeam
        .computeIfAbsent(placement.job().spec().team(), team -> new TeamUsage())
        .add(placement.job().spec().taskResources(), delta);
  }
}
