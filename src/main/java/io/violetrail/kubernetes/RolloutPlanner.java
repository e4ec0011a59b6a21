package io.violetrail.kubernetes;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * What to change of a Deployment's replicas next. A plain decision on what is seen of them, made
 * anew each time, so it does not matter who made the one before.
 */
final class RolloutPlanner {
  private RolloutPlanner() {}

  /**
   * One replica.
   *
   * @param upToDate of the template as it is now
   * @param ready it runs
   * @param stopping it is being cancelled, and may still be on a machine
   */
  record Replica(long number, boolean upToDate, boolean ready, boolean stopping) {}

  /** How many to begin, and which to end. */
  record Plan(int startCount, Set<Long> stopNumbers) {}

  /**
   * Creates the limits within which replicas are replaced.
   *
   * @param maxSurge how many more than wanted there may be, ending ones counted
   * @param maxUnavailable how many fewer than wanted may be ready
   * @param recreate all former replicas end before a new one begins
   */
  static Plan plan(
      int desired, List<Replica> replicas, int maxSurge, int maxUnavailable, boolean recreate) {
    Set<Long> stopNumbers = new TreeSet<>();
    List<Replica> activeReplicas = replicas.stream().filter(r -> !r.stopping()).toList();
    int readyCount = (int) activeReplicas.stream().filter(Replica::ready).count();
    int upToDateCount = (int) activeReplicas.stream().filter(Replica::upToDate).count();
    int outdatedCount = activeReplicas.size() - upToDateCount;

    // Too many of the right ones: those that do not run yet go first.
    int excess = upToDateCount - desired;
    for (boolean running : new boolean[] {false, true}) {
      for (Replica replica : activeReplicas) {
        if (excess > 0 && replica.upToDate() && replica.ready() == running) {
          stopNumbers.add(replica.number());
          excess--;
          upToDateCount--;
          readyCount -= running ? 1 : 0;
        }
      }
    }
    // Former ones: those that do not run are no loss; of the others as many as may be missing.
    for (boolean running : new boolean[] {false, true}) {
      for (Replica replica : activeReplicas) {
        boolean mayStop = recreate || !running || readyCount - 1 >= desired - maxUnavailable;
        if (!replica.upToDate() && replica.ready() == running && mayStop) {
          stopNumbers.add(replica.number());
          readyCount -= running ? 1 : 0;
        }
      }
    }
    int startCount = desired - upToDateCount;
    if (recreate) {
      // Also what is ending must be gone.
      boolean allStopped = outdatedCount == 0 && activeReplicas.size() == replicas.size();
      startCount = allStopped ? startCount : 0;
    } else {
      startCount = Math.min(startCount, desired + maxSurge - replicas.size());
    }
    return new Plan(Math.max(0, startCount), stopNumbers);
  }
}
