package io.violetrail.kubernetes;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * What to change of a Deployment's replicas next. A plain decision on what is seen of them, made
 * anew each time, so it does not matter who made the one before.
 */
final class Rollout {
  private Rollout() {}

  /**
   * One replica.
   *
   * @param current of the template as it is now
   * @param ready it runs
   * @param ending it is being cancelled, and may still be on a machine
   */
  record Replica(long number, boolean current, boolean ready, boolean ending) {}

  /** How many to begin, and which to end. */
  record Plan(int begin, Set<Long> end) {}

  /**
   * Creates the limits within which replicas are replaced.
   *
   * @param surge how many more than wanted there may be, ending ones counted
   * @param unavailable how many fewer than wanted may be ready
   * @param recreate all former replicas end before a new one begins
   */
  static Plan plan(
      int wanted, List<Replica> replicas, int surge, int unavailable, boolean recreate) {
    Set<Long> end = new TreeSet<>();
    List<Replica> live = replicas.stream().filter(r -> !r.ending()).toList();
    int ready = (int) live.stream().filter(Replica::ready).count();
    int current = (int) live.stream().filter(Replica::current).count();
    int former = live.size() - current;

    // Too many of the right ones: those that do not run yet go first.
    int excess = current - wanted;
    for (boolean running : new boolean[] {false, true}) {
      for (Replica r : live) {
        if (excess > 0 && r.current() && r.ready() == running) {
          end.add(r.number());
          excess--;
          current--;
          ready -= running ? 1 : 0;
        }
      }
    }
    // Former ones: those that do not run are no loss; of the others as many as may be missing.
    for (boolean running : new boolean[] {false, true}) {
      for (Replica r : live) {
        boolean may = recreate || !running || ready - 1 >= wanted - unavailable;
        if (!r.current() && r.ready() == running && may) {
          end.add(r.number());
          ready -= running ? 1 : 0;
        }
      }
    }
    int begin = wanted - current;
    if (recreate) {
      // Also what is ending must be gone.
      boolean over = former == 0 && live.size() == replicas.size();
      begin = over ? begin : 0;
    } else {
      begin = Math.min(begin, wanted + surge - replicas.size());
    }
    return new Plan(Math.max(0, begin), end);
  }
}
