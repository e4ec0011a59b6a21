package io.violetrail.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each due time has exactly one run, and the simulation finds out when it has not. */
class ScheduleYearSimulationTest {
  @Test
  void everyDueTimeRunsOnceInSimulatedMonthWithFaults() {
    for (long seed = 1; seed <= 3; seed++) {
      ScheduleYearSimulation year = new ScheduleYearSimulation(seed, 24, 35).run();
      assertTrue(year.claims.size() > 100, "runs " + year.claims.size());
      assertEquals(List.of(), year.findProblems(), "seed " + seed);
      assertTrue(year.reportCount > 3, "reports " + year.reportCount);
      assertTrue(year.withdrawnCount > 0, "some are mended");
    }
  }

  @Test
  void simulationDetectsDuplicateAndMissingRuns() {
    ScheduleYearSimulation year = new ScheduleYearSimulation(9, 6, 20).run();
    assertEquals(List.of(), year.findProblems());
    String anyRun = year.claims.keySet().iterator().next();
    long claimedAt = year.claims.remove(anyRun);
    assertTrue(year.findProblems().stream().anyMatch(w -> w.contains("has no run")));
    year.claims.put(anyRun, claimedAt);
    assertEquals(List.of(), year.findProblems());
    for (var entry : year.rows.entrySet()) {
      if (entry.getKey().startsWith(ScheduleRow.KEY_PREFIX)
          && !entry.getValue().value().path("past").isEmpty()) {
        ArrayNode past = (ArrayNode) entry.getValue().value().get("past");
        past.add(past.get(0));
      }
    }
    assertTrue(year.findProblems().stream().anyMatch(w -> w.contains("tells of 2 runs")));
  }
}
