package io.violetrail.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.model.JobId;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.scheduling.DeadlineSelection.PendingJob;
import java.util.List;
import org.junit.jupiter.api.Test;

class DeadlineSelectionTest {
  private static PendingJob pendingJob(int id, double deadlineAtSeconds, double workSeconds) {
    JobSpec spec =
        new JobSpec(
            new JobId("job-" + id),
            "plain",
            "red",
            JobShape.ARRAY,
            Priority.values()[2],
            10,
            new Resources(1, 0, 1),
            "img",
            0.1,
            null,
            null,
            false,
            false,
            false,
            10,
            0,
            0,
            deadlineAtSeconds);
    return new PendingJob(new Job(spec, 0, id, false), deadlineAtSeconds, workSeconds, 1);
  }

  private static List<String> jobIdsInOrder(PendingJob... jobs) {
    return DeadlineSelection.orderByDeadline(List.of(jobs), 0).stream()
        .map(pendingJob -> pendingJob.job().spec().id().value())
        .toList();
  }

  @Test
  void jobsThatAllFitAreOrderedByDeadline() {
    assertEquals(
        List.of("job-2", "job-3", "job-1"),
        jobIdsInOrder(pendingJob(1, 60, 20), pendingJob(2, 20, 10), pendingJob(3, 40, 20)));
  }

  @Test
  void largestJobIsDeferredWhenNotAllFit() {
    // By deadline alone, job-1 would end at 29 (due at 30), job-2 at 39 (due at 35) and job-3 at 49
    // (due at 40), so two jobs would be late. With job-1 deferred, only job-1 is late.
    assertEquals(
        List.of("job-2", "job-3", "job-1"),
        jobIdsInOrder(pendingJob(1, 30, 29), pendingJob(2, 35, 10), pendingJob(3, 40, 10)));
  }

  @Test
  void jobsWithoutReachableDeadlineComeLastSmallestFirst() {
    assertEquals(
        List.of("job-3", "job-2", "job-1"),
        jobIdsInOrder(
            pendingJob(1, Double.POSITIVE_INFINITY, 9),
            pendingJob(2, Double.POSITIVE_INFINITY, 5),
            pendingJob(3, 40, 10)));
  }
}
