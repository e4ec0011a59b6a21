package io.violetrail.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.model.Amounts;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Priority;
import io.violetrail.model.Shape;
import io.violetrail.scheduling.InTime.Due;
import java.util.List;
import org.junit.jupiter.api.Test;

class InTimeTest {
  private static Due due(int id, double dueS, double workS) {
    JobSpec spec =
        new JobSpec(
            new JobId("job-" + id),
            "plain",
            "red",
            Shape.ARRAY,
            Priority.values()[2],
            10,
            new Amounts(1, 0, 1),
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
            dueS);
    return new Due(new Job(spec, 0, id, false), dueS, workS, 1);
  }

  private static List<String> order(Due... jobs) {
    return InTime.order(List.of(jobs), 0).stream().map(d -> d.job().spec().id().value()).toList();
  }

  @Test
  void whatFitsGoesByDueTimes() {
    assertEquals(
        List.of("job-2", "job-3", "job-1"), order(due(1, 60, 20), due(2, 20, 10), due(3, 40, 20)));
  }

  @Test
  void theLargestMakesWayWhereNotAllFit() {
    // By due times alone, job-1 takes until 50 and all three are late.
    assertEquals(
        List.of("job-2", "job-3", "job-1"), order(due(1, 30, 29), due(2, 35, 10), due(3, 40, 10)));
  }

  @Test
  void whatIsLostComesLastTheSmallestFirst() {
    assertEquals(
        List.of("job-3", "job-2", "job-1"),
        order(
            due(1, Double.POSITIVE_INFINITY, 9),
            due(2, Double.POSITIVE_INFINITY, 5),
            due(3, 40, 10)));
  }
}
