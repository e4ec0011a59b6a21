package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A controller with more to write than its part of the budget is lent what its peers have left. */
class BudgetLendingTest extends SimulationTestBase {
  private static final int BURST_SIZE = 12;
  private static final double WRITES_PER_SECOND = 12;

  private int acceptedCount;

  BudgetLendingTest() {
    super(5, 3);
  }

  private void startWithWriteLimit() {
    simulation.setStateLimits(new StateStoreLimits(200, WRITES_PER_SECOND, 8192, 24));
    simulation.stateService().setEnforcesLimits(true);
    simulation.startAllControllers();
    simulation.runFor(10);
  }

  /** Submits a burst at one controller; returns how long it takes until all of it is accepted. */
  private double submitBurstAt(String controller) {
    double startedAtSeconds = simulation.nowSeconds();
    for (int i = 0; i < BURST_SIZE; i++) {
      submitUntilAccepted(controller, "job-" + i);
    }
    simulation.runUntil(60, () -> acceptedCount == BURST_SIZE);
    return simulation.nowSeconds() - startedAtSeconds;
  }

  private void submitUntilAccepted(String controller, String id) {
    simulation
        .callController(
            "user", controller, "POST", "/work", Cbor.encode(SimulatedUser.jobRequest(id, 1)))
        .whenComplete(
            (reply, failure) -> {
              if (failure == null && reply.status() < 300) {
                acceptedCount++;
              } else {
                simulation.runAfter(1, () -> submitUntilAccepted(controller, id));
              }
            });
  }

  @Test
  void burstAtOneControllerBorrowsUnusedBudgetOfPeers() {
    startWithWriteLimit();
    // Its own part is a fifth of 0.9 times the budget: some 2 changes a second, for 12 claims
    // alone.
    double ownWritesPerSecond = WRITES_PER_SECOND * 0.9 / 5;
    double elapsedSeconds = submitBurstAt("c0");
    assertTrue(
        elapsedSeconds < BURST_SIZE / ownWritesPerSecond,
        "took " + elapsedSeconds + " s, its own part allows " + BURST_SIZE / ownWritesPerSecond);
    assertEquals(
        0, simulation.stateService().overLimitCount(), "together they stay within the limit");
    assertEquals(List.of(), simulation.violations());
  }

  /**
   * While submissions use up what seven controllers may write, jobs that have ended are told so.
   */
  @Test
  void jobOutcomesAreWrittenWhileSubmissionsExhaustTheBudget() {
    resetSimulation(7, 5);
    simulation.setStateLimits(new StateStoreLimits(400, 30, 8192, 24));
    simulation.stateService().setEnforcesLimits(true);
    simulation.cloud().setTaskDurationSeconds(1);
    simulation.cloud().setCapacity(40);
    simulation.startAllControllers();
    for (int i = 0; i < 40; i++) {
      simulation.cloud().addRunningMachine("plain", "a");
    }
    simulation.runFor(30);
    for (int i = 0; i < 40; i++) {
      assertEquals(
          201,
          user.submit(
              ClusterSimulation.controllerName(i % 7),
              SimulatedUser.jobRequest("job-9" + (1000 + i), 1)));
      simulation.runFor(0.1);
    }
    for (int i = 0; i < 600; i++) {
      byte[] job = Cbor.encode(SimulatedUser.jobRequest("job-" + i, 1));
      String controller = ClusterSimulation.controllerName(i % 7);
      simulation.runAfter(
          0.05 * i, () -> simulation.callController("user", controller, "POST", "/work", job));
    }
    simulation.runFor(20);
    int reportedDone = 0;
    for (int i = 0; i < 40; i++) {
      reportedDone +=
          user.pollStatus(ClusterSimulation.controllerName(i % 7), "job-9" + (1000 + i))
                  .equals("done")
              ? 1
              : 0;
    }
    assertTrue(reportedDone >= 38, reportedDone + " of 40 are told");
    assertEquals(List.of(), simulation.violations());
  }

  @Test
  void withoutPeersOnlyTheOwnBudgetShareIsUsed() {
    startWithWriteLimit();
    simulation.networkFaults().refuseConnections(m -> m.endsWith(" POST /peer"));
    double ownWritesPerSecond = WRITES_PER_SECOND * 0.9 / 5;
    double elapsedSeconds = submitBurstAt("c0");
    assertTrue(
        elapsedSeconds > 0.8 * BURST_SIZE / ownWritesPerSecond, "took " + elapsedSeconds + " s");
    assertEquals(0, simulation.stateService().overLimitCount());
    assertEquals(List.of(), simulation.violations());
  }
}
