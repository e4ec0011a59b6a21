package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.Version;
import org.junit.jupiter.api.Test;

/** Tests controllers that crash, one after the other or all at once, and restart. */
class ControllerFailureTest extends SimulationTestBase {
  ControllerFailureTest() {
    super(2);
  }

  @Test
  void failoverAfterLeaseExpiryKeepsTasksRunning() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 3));
    FakeWorker worker = awaitRunning("job-1/0");
    final int launchedBefore = worker.launchCount();
    simulation.killController("c0");
    simulation.runFor(9);
    assertTrue(worker.runsTask("job-1/0"), "the worker's lease outlives the crashed controller");
    assertEquals(launchedBefore, worker.launchCount());
    assertTrue(versionOf("c0") % 10 != 0);
    simulation.runUntil(60, () -> user.pollStatus("c1", "job-1").equals("done"));
  }

  @Test
  void secondFailureRightAfterFailoverRestartsNoTask() {
    // Seen on a simulated day: all 150 tasks of a fleet ended when their workers' leases expired.
    simulation.cloud().setTaskDurationSeconds(100);
    simulation.startAllControllers();
    for (int i = 0; i < 6; i++) {
      user.submit("c" + i % 2, SimulatedUser.jobRequest("job-" + i, 8).put("guess_s", 100.0));
    }
    simulation.runFor(10);
    int launchedBefore = launchCount();
    assertEquals(48, launchedBefore);
    simulation.killController("c0");
    simulation.killController("c1");
    simulation.runUntil(7, () -> versionOf("c0") % 10 == 2 && versionOf("c1") % 10 == 2);
    simulation.runFor(2.1);
    simulation.killController("c2");
    simulation.runFor(5.5);
    startStoppedControllers();
    simulation.runFor(60);
    int launchedNow = launchCount();
    assertEquals(launchedBefore, launchedNow, "no task was started again");
  }

  @Test
  void restartedControllerGetsItsEntityBack() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    awaitRunning("job-1/0");
    simulation.killController("c0");
    simulation.runFor(8);
    long versionAfterFailover = versionOf("c0");
    simulation.startController("c0");
    simulation.runUntil(10, () -> versionOf("c0") % 10 == 0);
    assertTrue(versionOf("c0") > versionAfterFailover);
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
  }

  @Test
  void quickRestartTakesTheEntityUnderNewVersion() {
    simulation.startAllControllers();
    final long versionBefore = versionOf("c1");
    simulation.killController("c1");
    simulation.runFor(1);
    simulation.startController("c1");
    simulation.runFor(2);
    assertEquals(versionBefore + 10, versionOf("c1"));
  }

  @Test
  void simultaneousRestartOfAllControllersLosesNoTask() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 4));
    final FakeWorker worker = awaitRunning("job-1/0");
    for (int i = 0; i < 3; i++) {
      simulation.killController(ClusterSimulation.controllerName(i));
    }
    simulation.runFor(6);
    startStoppedControllers();
    simulation.runFor(3);
    assertTrue(worker.runsTask("job-1/0"));
    simulation.runUntil(60, () -> user.pollStatus("c2", "job-1").equals("done"));
  }

  @Test
  void outageOfAllControllersForOneMinuteLosesNoJob() {
    resetSimulation(11);
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 8));
    user.submit("c1", SimulatedUser.jobRequest("job-2", 8));
    simulation.runUntil(20, () -> launchCount() == 16);
    for (int i = 0; i < 3; i++) {
      simulation.killController(ClusterSimulation.controllerName(i));
    }
    simulation.runFor(70);
    for (int i = 0; i < 3; i++) {
      simulation.startController(ClusterSimulation.controllerName(i));
    }
    simulation.runUntil(60, () -> user.pollStatus("c2", "job-1").equals("done"));
    simulation.runUntil(60, () -> user.pollStatus("c2", "job-2").equals("done"));
    assertFalse(simulation.controllers().get("c0").reachability().isPartitionedFromWorkers());
  }

  @Test
  void openRentalRequestIsRetriedIdempotentlyByTheNextOwner() {
    simulation.startAllControllers();
    simulation.networkFaults().holdMessages(message -> message.startsWith("c0 cloud POST /hosts"));
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    simulation.runUntil(10, () -> simulation.networkFaults().heldMessageCount() > 0);
    simulation.killController("c0");
    simulation.runFor(6);
    simulation.networkFaults().releaseHeldMessages();
    simulation.runUntil(60, () -> user.pollStatus("c1", "job-1").equals("done"));
    assertTrue(
        simulation.cloud().machinesByRequest().keySet().stream()
            .anyMatch(n -> n.startsWith("c0-" + Version.firstOwnedBy(0) + "-")));
    assertEquals(0, simulation.stateService().keysWithPrefix("hire/").size());
  }
}
