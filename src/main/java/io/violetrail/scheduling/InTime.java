package io.violetrail.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Orders jobs that are due so that as many as possible are in time: by due times, but where they do
 * not all fit, the largest make way. By due times alone, an overload spent itself on jobs that were
 * late in the end, and one after the other became late (after Moore and Hodgson).
 */
final class InTime {
  /**
   * A job with what is left of it.
   *
   * @param dueS infinite if it cannot be in time any more
   * @param workS seconds that the whole room for its kind needs for it
   * @param runS the least that it takes
   */
  record Due(Job job, double dueS, double workS, double runS) {}

  private InTime() {}

  /** The jobs in the order in which they are to be placed. */
  static List<Due> order(List<Due> jobs, double now) {
    List<Due> byDue = new ArrayList<>(jobs);
    byDue.sort(Comparator.comparingDouble(Due::dueS).thenComparingDouble(d -> d.job().arrivedS()));
    PriorityQueue<Due> largest =
        new PriorityQueue<>(Comparator.comparingDouble(Due::workS).reversed());
    List<Due> late = new ArrayList<>();
    double busy = 0;
    for (Due d : byDue) {
      if (Double.isInfinite(d.dueS())) {
        late.add(d);
        continue;
      }
      largest.add(d);
      busy += d.workS();
      if (now + Math.max(busy, d.runS()) > d.dueS()) {
        Due out = largest.remove();
        busy -= out.workS();
        late.add(out);
      }
    }
    List<Due> order = new ArrayList<>(byDue);
    order.removeAll(late);
    late.sort(
        Comparator.comparing((Due d) -> Double.isInfinite(d.dueS()))
            .thenComparingDouble(Due::workS)
            .thenComparingDouble(d -> d.job().arrivedS()));
    order.addAll(late);
    return order;
  }
}
