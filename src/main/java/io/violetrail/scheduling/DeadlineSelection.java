package io.violetrail.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Orders pending jobs so that as many as possible meet their deadlines (after Moore and Hodgson):
 * by deadline, but where not all can meet theirs, those with the most work make way. By deadline
 * alone, an overload would be spent on jobs that are late in the end, and one after the other would
 * be late.
 *
 * <p>Has no state.
 */
final class DeadlineSelection {
  /**
   * A pending job with the work that is left of it.
   *
   * @param deadlineAtSeconds in seconds of the monotonic clock; infinite if it cannot meet any
   * @param workSeconds how long all machines of its kind together would work on it
   * @param runtimeSeconds how long one task takes, a lower bound however much room there is
   */
  record PendingJob(Job job, double deadlineAtSeconds, double workSeconds, double runtimeSeconds) {}

  private DeadlineSelection() {}

  /** The jobs in the order in which they are to be placed. */
  static List<PendingJob> orderByDeadline(List<PendingJob> jobs, double nowSeconds) {
    List<PendingJob> byDeadline = new ArrayList<>(jobs);
    byDeadline.sort(
        Comparator.comparingDouble(PendingJob::deadlineAtSeconds)
            .thenComparingDouble(pendingJob -> pendingJob.job().arrivedAtSeconds()));
    PriorityQueue<PendingJob> selectedByWork =
        new PriorityQueue<>(Comparator.comparingDouble(PendingJob::workSeconds).reversed());
    List<PendingJob> lateJobs = new ArrayList<>();
    double selectedWorkSeconds = 0;
    for (PendingJob pendingJob : byDeadline) {
      if (Double.isInfinite(pendingJob.deadlineAtSeconds())) {
        lateJobs.add(pendingJob);
        continue;
      }
      selectedByWork.add(pendingJob);
      selectedWorkSeconds += pendingJob.workSeconds();
      if (nowSeconds + Math.max(selectedWorkSeconds, pendingJob.runtimeSeconds())
          > pendingJob.deadlineAtSeconds()) {
        PendingJob removed = selectedByWork.remove();
        selectedWorkSeconds -= removed.workSeconds();
        lateJobs.add(removed);
      }
    }
    List<PendingJob> ordered = new ArrayList<>(byDeadline);
    ordered.removeAll(lateJobs);
    lateJobs.sort(
        Comparator.comparing(
                (PendingJob pendingJob) -> Double.isInfinite(pendingJob.deadlineAtSeconds()))
            .thenComparingDouble(PendingJob::workSeconds)
            .thenComparingDouble(pendingJob -> pendingJob.job().arrivedAtSeconds()));
    ordered.addAll(lateJobs);
    return ordered;
  }
}
