package io.violetrail.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Orders pending jobs so that as many as possible meet their deadlines (after the Moore-Hodgson
 * algorithm). Jobs are ordered by deadline; where not all of them can meet it, the jobs with the
 * most work are deferred. If the jobs were ordered by deadline alone, an overloaded entity would
 * spend its capacity on jobs that miss their deadlines nevertheless, and each of them would make
 * the next job late too.
 *
 * <p>Has no state.
 */
final class DeadlineSelection {
  /**
   * A pending job and its remaining work.
   *
   * @param deadlineAtSeconds the next deadline that the job can meet, in seconds of the monotonic
   *     clock; infinite if there is none
   * @param workSeconds how long the remaining work takes if all capacity that is available to the
   *     job works on it
   * @param runtimeSeconds how long one task takes, which bounds the completion time from below
   *     however much capacity there is
   */
  record PendingJob(Job job, double deadlineAtSeconds, double workSeconds, double runtimeSeconds) {}

  private DeadlineSelection() {}

  /** Returns the jobs in the order in which they are to be placed. */
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
