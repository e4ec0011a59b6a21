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
final class DeadlineSelection {
  /**
   * A job with what is left of it.
   *
   * @param deadlineAtSeconds infinite if it cannot be in time any more
   * @param workSeconds seconds that the whole room for its kind needs for it
   * @param runtimeSeconds the least that it takes
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
