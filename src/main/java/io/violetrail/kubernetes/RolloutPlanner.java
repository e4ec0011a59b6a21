package io.violetrail.kubernetes;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Plans which replicas of a Deployment to start and to stop next. Each plan is made anew from the
 * observed replicas alone, so it does not matter which controller made the previous one.
 */
final class RolloutPlanner {
  private RolloutPlanner() {}

  /**
   * An observed replica.
   *
   * @param upToDate whether it has the current template
   * @param ready whether it runs
   * @param stopping whether it is being cancelled; it may still be on a machine
   */
  record Replica(long number, boolean upToDate, boolean ready, boolean stopping) {}

  /** How many replicas to start, and the numbers of those to stop. */
  record Plan(int startCount, Set<Long> stopNumbers) {}

  /**
   * Returns the next step towards {@code desired} replicas of the current template.
   *
   * @param maxSurge how many replicas more than desired may exist, including stopping ones
   * @param maxUnavailable how many replicas fewer than desired may be ready
   * @param recreate whether all outdated replicas must have ended before a new one starts
   */
  static Plan plan(
      int desired, List<Replica> replicas, int maxSurge, int maxUnavailable, boolean recreate) {
    Set<Long> stopNumbers = new TreeSet<>();
    List<Replica> activeReplicas = replicas.stream().filter(r -> !r.stopping()).toList();
    int readyCount = (int) activeReplicas.stream().filter(Replica::ready).count();
    int upToDateCount = (int) activeReplicas.stream().filter(Replica::upToDate).count();
    int outdatedCount = activeReplicas.size() - upToDateCount;

    // Stops excess up-to-date replicas; those that do not run yet are stopped first.
    int excess = upToDateCount - desired;
    for (boolean ready : new boolean[] {false, true}) {
      for (Replica replica : activeReplicas) {
        if (excess > 0 && replica.upToDate() && replica.ready() == ready) {
          stopNumbers.add(replica.number());
          excess--;
          upToDateCount--;
          readyCount -= ready ? 1 : 0;
        }
      }
    }
    // Stops outdated replicas: all that do not run, which costs no capacity, and as many running
    // ones as maxUnavailable allows.
    for (boolean ready : new boolean[] {false, true}) {
      for (Replica replica : activeReplicas) {
        boolean mayStop = recreate || !ready || readyCount - 1 >= desired - maxUnavailable;
        if (!replica.upToDate() && replica.ready() == ready && mayStop) {
          stopNumbers.add(replica.number());
          readyCount -= ready ? 1 : 0;
        }
      }
    }
    int startCount = desired - upToDateCount;
    if (recreate) {
      // Stopping replicas must have ended, too.
      boolean allStopped = outdatedCount == 0 && activeReplicas.size() == replicas.size();
      startCount = allStopped ? startCount : 0;
    } else {
      startCount = Math.min(startCount, desired + maxSurge - replicas.size());
    }
    return new Plan(Math.max(0, startCount), stopNumbers);
  }
}
