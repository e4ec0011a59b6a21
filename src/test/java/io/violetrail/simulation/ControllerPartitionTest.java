package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Controllers that are partitioned from their workers, or refused by the state service. */
class ControllerPartitionTest extends SimulationTestBase {
  ControllerPartitionTest() {
    super(11);
  }

  @Test
  void controllerPartitionedFromItsWorkersHandsItsEntityOver() {
    // Recorded: its lease went on, peers gave it machines, and all of them starved.
    simulation.cloud().setTaskDurationSeconds(60);
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 24).put("guess_s", 60.0));
    simulation.runUntil(20, () -> launchCount() == 24);
    simulation.runFor(2);
    simulation
        .networkFaults()
        .holdMessages(
            m ->
                m.matches("vm-\\d+ c0 POST /agent/beat.*")
                    || m.matches("c0 vm-\\d+ GET /status.*"));
    simulation.runUntil(7, () -> ownerIndexOf("c0") != 0);
    simulation.runFor(20);
    assertTrue(ownerIndexOf("c0") != 0, "it stays away while it hears nobody");
    assertEquals(503, user.send("c0", "GET", "/ready", null).status());
    assertEquals(24, launchCount(), "all tasks live on");
    simulation.networkFaults().releaseHeldMessages();
    simulation.runUntil(10, () -> ownerIndexOf("c0") == 0);
    simulation.runUntil(90, () -> user.pollStatus("c0", "job-1").equals("done"));
    assertEquals(24, launchCount());
  }

  @Test
  void controllerKeepsItsEntityWhileOneWorkerStillReports() {
    // Not to hear anything proves nothing while one worker still answers.
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
    assertEquals(16, launchCount(), "all tasks lived on");
  }
}
