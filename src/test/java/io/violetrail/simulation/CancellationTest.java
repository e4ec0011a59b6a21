package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that cancelled jobs stop in time and stay cancelled. */
class CancellationTest extends SimulationTestBase {
  CancellationTest() {
    super(2);
  }

  @Test
  void cancelledJobStopsAndStaysCancelledThroughFailover() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 4));
    FakeWorker worker = awaitRunning("job-1/0");
    assertEquals("cancelled", user.cancel("c1", "job-1"));
    simulation.runFor(4);
    assertFalse(worker.runsTask("job-1/0"));
    assertEquals("cancelled", user.pollStatus("c2", "job-1"));
    simulation.killController("c0");
    simulation.runFor(8);
    assertEquals("cancelled", user.pollStatus("c2", "job-1"));
    assertEquals(200, user.submit("c2", SimulatedUser.jobRequest("job-1", 4)));
  }

  @Test
  void cancelledTaskOnPartitionedMachineIsGoneInTime() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask().put("job-1/0", 500.0);
    simulation.networkFaults().partitionHost(worker.id());
    assertEquals("cancelled", user.cancel("c0", "job-1"));
    simulation.runFor(simulation.workerSettings().cancelTimeoutSeconds() - 2);
    assertEquals(List.of(), simulation.cloud().workersRunning("job-1/0"));
  }

  @Test
  void endedReplicaIsRestartedUntilItsJobIsCancelled() {
    simulation.startAllControllers();
    user.submit(
        "c0", SimulatedUser.jobRequest("job-1", 1).put("shape", "daemon").put("guess_s", 0.0));
    simulation.runUntil(90, () -> launchCount() >= 2);
    simulation.runUntil(5, () -> user.pollStatus("c1", "job-1").equals("running"));
    assertEquals("cancelled", user.cancel("c1", "job-1"));
    simulation.runFor(4);
    assertEquals(List.of(), simulation.cloud().workersRunning("job-1/0"));
  }
}
