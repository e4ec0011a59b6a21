package io.violetrail.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that each due time has exactly one run in spite of failures, and that the simulation
 * detects missing and duplicate runs.
 */
class ScheduleYearSimulationTest {
  @Test
  void everyDueTimeRunsOnceInSimulatedMonthWithFaults() {
    for (long seed = 1; seed <= 3; seed++) {
      ScheduleYearSimulation simulation = new ScheduleYearSimulation(seed, 24, 35).run();
      assertTrue(
          simulation.claimTimesByJobId.size() > 100,
          "runs: " + simulation.claimTimesByJobId.size());
      assertEquals(List.of(), simulation.findProblems(), "seed " + seed);
      assertTrue(simulation.reportCount > 3, "reports: " + simulation.reportCount);
      assertTrue(simulation.withdrawnCount > 0, "no report was withdrawn");
    }
  }

  @Test
  void simulationDetectsDuplicateAndMissingRuns() {
    ScheduleYearSimulation simulation = new ScheduleYearSimulation(9, 6, 20).run();
    assertEquals(List.of(), simulation.findProblems());
    String anyRun = simulation.claimTimesByJobId.keySet().iterator().next();
    long claimedAt = simulation.claimTimesByJobId.remove(anyRun);
    assertTrue(
        simulation.findProblems().stream().anyMatch(problem -> problem.contains("has no run")));
    simulation.claimTimesByJobId.put(anyRun, claimedAt);
    assertEquals(List.of(), simulation.findProblems());
    for (var entry : simulation.rows.entrySet()) {
      if (entry.getKey().startsWith(ScheduleRow.KEY_PREFIX)
          && !entry.getValue().value().path("past").isEmpty()) {
        ArrayNode past = (ArrayNode) entry.getValue().value().get("past");
        past.add(past.get(0));
      }
    }
    assertTrue(
        simulation.findProblems().stream().anyMatch(problem -> problem.contains("records 2 runs")));
  }
}
