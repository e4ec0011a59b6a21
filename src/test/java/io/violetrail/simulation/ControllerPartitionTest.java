package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests controllers that are partitioned from their workers or refused by the state service. */
class ControllerPartitionTest extends SimulationTestBase {
  ControllerPartitionTest() {
    super(11);
  }

  @Test
  void controllerPartitionedFromItsWorkersHandsItsEntityOver() {
    // Recorded failure: the controller kept renewing its own lease, peers transferred machines to
    // it, and all of its machines lost their leases.
    simulation.cloud().setTaskDurationSeconds(60);
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 24).put("guess_s", 60.0));
    simulation.runUntil(20, () -> launchCount() == 24);
    simulation.runFor(2);
    simulation.networkFaults().cutOffFromWorkers("c0");
    simulation.runUntil(7, () -> ownerIndexOf("c0") != 0);
    simulation.runFor(20);
    assertTrue(ownerIndexOf("c0") != 0, "the entity must not return while no worker reaches c0");
    assertEquals(503, user.send("c0", "GET", "/ready", null).status());
    assertEquals(24, launchCount(), "all tasks keep running");
    simulation.networkFaults().releaseHeldMessages();
    simulation.runUntil(10, () -> ownerIndexOf("c0") == 0);
    simulation.runUntil(90, () -> user.pollStatus("c0", "job-1").equals("done"));
    assertEquals(24, launchCount());
  }

  @Test
  void controllerKeepsItsEntityWhileOneWorkerStillReports() {
    // Missing heartbeats are no evidence of a partition while one worker still answers.
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 24).put("guess_s", 60.0));
    simulation.runUntil(20, () -> launchCount() == 24);
    simulation.runFor(2);
    List<FakeWorker> workers = List.copyOf(simulation.cloud().workers().values());
    workers
        .subList(1, workers.size())
        .forEach(w -> simulation.networkFaults().partitionHost(w.id()));
    simulation.runFor(9);
    assertEquals(0, ownerIndexOf("c0"));
  }

  @Test
  void controllerRejectedByTheStateServiceFailsOverAndReturns() {
    simulation.cloud().setTaskDurationSeconds(60);
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 16).put("guess_s", 60.0));
    simulation.runUntil(20, () -> launchCount() == 16);
    simulation.stateService().refusedControllers().add("c0");
    simulation.runUntil(10, () -> ownerIndexOf("c0") != 0);
    simulation.runFor(10);
    assertEquals(503, user.send("c0", "GET", "/ready", null).status());
    assertEquals(503, user.submit("c0", SimulatedUser.jobRequest("job-2", 1)));
    assertEquals(16, launchCount());
    simulation.stateService().refusedControllers().clear();
    simulation.runUntil(15, () -> ownerIndexOf("c0") == 0);
    simulation.runUntil(90, () -> user.pollStatus("c0", "job-1").equals("done"));
    assertEquals(16, launchCount(), "all tasks kept running");
  }
}
