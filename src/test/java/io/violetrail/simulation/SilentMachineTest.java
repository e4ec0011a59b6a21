package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tasks of a machine that stopped reporting restart only on evidence that they have ended. */
class SilentMachineTest extends SimulationTestBase {
  SilentMachineTest() {
    super(2);
  }

  @Test
  void taskOfSilentMachineRestartsOnlyAfterItsLeaseExpired() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask().put("job-1/0", 100.0);
    final double partitionedAtSeconds = simulation.nowSeconds();
    simulation.networkFaults().partitionHost(worker.id());
    simulation.runFor(9);
    assertEquals(List.of(worker), simulation.cloud().workersRunning("job-1/0"));
    simulation.runUntil(
        60,
        () ->
            simulation.cloud().workersRunning("job-1/0").stream()
                .anyMatch(other -> other != worker));
    assertTrue(
        simulation.nowSeconds() - partitionedAtSeconds
            > simulation.workerSettings().leaseSeconds());
  }

  @Test
  void reportDelayedPastItsLeaseIsIgnored() {
    // On a simulated day, such a report named a task that had long been restarted elsewhere.
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    simulation.networkFaults().holdMessages(message -> message.startsWith(worker.id() + " "));
    simulation.runFor(14);
    simulation.runUntil(
        40,
        () ->
            simulation.cloud().workersRunning("job-1/0").stream()
                .anyMatch(other -> other != worker));
    assertTrue(simulation.networkFaults().heldMessageCount() > 0);
    simulation.networkFaults().releaseHeldMessages();
    simulation.runUntil(80, () -> user.pollStatus("c0", "job-1").equals("done"));
  }

  @Test
  void failoverRestartsSilentMachinesTaskOnlyOnEvidence() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    simulation.networkFaults().partitionHost(worker.id());
    simulation.cloud().setUnavailable(true);
    simulation.killController("c0");
    simulation.runFor(8);
    assertEquals(List.of(worker), simulation.cloud().workersRunning("job-1/0"));
    simulation.cloud().setUnavailable(false);
    simulation.networkFaults().healHost(worker.id());
    simulation.runUntil(90, () -> user.pollStatus("c1", "job-1").equals("done"));
  }
}
