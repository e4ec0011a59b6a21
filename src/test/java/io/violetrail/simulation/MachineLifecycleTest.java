package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Machines move to the entity that needs them; faulty and orphaned ones return to the cloud. */
class MachineLifecycleTest extends SimulationTestBase {
  MachineLifecycleTest() {
    super(2);
  }

  @Test
  void machineFailingEveryTaskIsReturned() {
    simulation.startAllControllers();
    FakeWorker faultyWorker = simulation.cloud().addRunningMachine("plain", "a");
    faultyWorker.setFailsEveryTask(true);
    simulation.runFor(4);
    for (int i = 1; i <= 4; i++) {
      user.submit("c" + i % 3, SimulatedUser.jobRequest("job-" + i, 4));
    }
    simulation.runUntil(120, () -> !simulation.cloud().workers().containsKey(faultyWorker.id()));
    simulation.runUntil(
        120,
        () ->
            user.pollStatus("c1", "job-1").equals("done")
                && user.pollStatus("c1", "job-4").equals("done"));
  }

  @Test
  void orphanedMachineWithoutReportsIsReturned() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 40).put("guess_s", 200.0));
    awaitRunning("job-1/0");
    FakeWorker orphan = simulation.cloud().addMachineOfForgottenRequest("plain", "a");
    simulation.runFor(30);
    assertTrue(
        simulation.cloud().workers().containsKey(orphan.id()),
        "its rental request may still be in progress");
    simulation.cloud().workers().values().forEach(other -> other.setTaskDurationSeconds(400));
    simulation.runUntil(150, () -> !simulation.cloud().workers().containsKey(orphan.id()));
  }

  @Test
  void idleMachineIsTransferredToTheEntityThatNeedsIt() {
    simulation.cloud().setCapacity(0);
    simulation.startAllControllers();
    final FakeWorker onlyWorker = simulation.cloud().addRunningMachine("plain", "a");
    simulation.runFor(4);
    for (int i = 0; i < 3; i++) {
      user.submit(ClusterSimulation.controllerName(i), SimulatedUser.jobRequest("job-" + i, 8));
    }
    for (int i = 0; i < 3; i++) {
      String id = "job-" + i;
      simulation.runUntil(150, () -> user.pollStatus("c0", id).equals("done"));
    }
    assertEquals(24, onlyWorker.launchCount());
  }

  @Test
  void entitiesOfOneOwnerShareIdleMachines() {
    simulation.cloud().setCapacity(0);
    simulation.startAllControllers();
    final FakeWorker onlyWorker = simulation.cloud().addRunningMachine("plain", "a");
    simulation.runFor(4);
    user.submit("c1", SimulatedUser.jobRequest("job-1", 2));
    simulation.runFor(6);
    for (String stopped : List.of("c1", "c2")) {
      simulation.killController(stopped);
    }
    user.submit("c0", SimulatedUser.jobRequest("job-2", 8));
    simulation.runUntil(150, () -> user.pollStatus("c0", "job-2").equals("done"));
    simulation.runUntil(150, () -> user.pollStatus("c0", "job-1").equals("done"));
    assertTrue(onlyWorker.launchCount() >= 10);
  }
}
