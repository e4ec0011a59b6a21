package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A controller that needs more than its write budget borrows what its peers do not use. */
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

  /** Submits a burst to one controller; returns the seconds until all of its jobs are accepted. */
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
    // The controller's own share is a fifth of 0.9 times the budget, about 2 writes per second. The
    // claims alone are 12 writes.
    double ownWritesPerSecond = WRITES_PER_SECOND * 0.9 / 5;
    double elapsedSeconds = submitBurstAt("c0");
    assertTrue(
        elapsedSeconds < BURST_SIZE / ownWritesPerSecond,
        "took "
            + elapsedSeconds
            + " s, with its own share alone it takes "
            + BURST_SIZE / ownWritesPerSecond);
    assertEquals(
        0,
        simulation.stateService().overLimitCount(),
        "all controllers together stay within the limit");
    assertEquals(List.of(), simulation.violations());
  }

  /**
   * Submissions exhaust the write budget of seven controllers. Even so, queries report jobs that
   * have finished as done.
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
    assertTrue(reportedDone >= 38, reportedDone + " of 40 jobs are reported done");
    assertEquals(List.of(), simulation.violations());
  }

  @Test
  void withoutPeersOnlyTheOwnBudgetShareIsUsed() {
    startWithWriteLimit();
    simulation.networkFaults().refuseConnections(message -> message.endsWith(" POST /peer"));
    double ownWritesPerSecond = WRITES_PER_SECOND * 0.9 / 5;
    double elapsedSeconds = submitBurstAt("c0");
    assertTrue(
        elapsedSeconds > 0.8 * BURST_SIZE / ownWritesPerSecond, "took " + elapsedSeconds + " s");
    assertEquals(0, simulation.stateService().overLimitCount());
    assertEquals(List.of(), simulation.violations());
  }
}
