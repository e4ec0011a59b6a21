package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.MachineId;
import org.junit.jupiter.api.Test;

/** Worker heartbeats are answered early when there is work, and ignored from returned machines. */
class WorkerReportingTest extends SimulationTestBase {
  WorkerReportingTest() {
    super(11);
  }

  @Test
  void idleWorkersGetWorkBeforeTheirNextReport() {
    // Without an early answer, a gang waits until the last of its machines sends its next report.
    simulation.cloud().setCapacity(0);
    simulation.startAllControllers();
    for (int i = 0; i < 3; i++) {
      simulation.cloud().addRunningMachine("plain", "a");
    }
    simulation.runFor(8);
    user.submit(
        "c0", SimulatedUser.jobRequest("job-1", 3).put("shape", "ensemble").put("cores", 8.0));
    user.submit(
        "c1", SimulatedUser.jobRequest("job-2", 3).put("shape", "ensemble").put("cores", 8.0));
    user.submit(
        "c2", SimulatedUser.jobRequest("job-3", 3).put("shape", "ensemble").put("cores", 8.0));
    simulation.runFor(2.2);
    assertEquals(3, launchCount(), "one of the gangs has all three machines");
  }

  @Test
  void longPolledReportIsAnsweredWithinTheLease() {
    simulation.cloud().setCapacity(0);
    simulation.startAllControllers();
    FakeWorker worker = simulation.cloud().addRunningMachine("plain", "a");
    simulation.runFor(60);
    assertEquals(0, worker.expiredLeaseCount(), "the worker's lease never expired");
  }

  @Test
  void lateReportOfReturnedMachineCreatesNoRecord() {
    // In a recorded run, twenty machines that no longer existed were added to an entity and then
    // fell silent again.
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    simulation.runUntil(20, () -> launchCount() == 1);
    simulation.runFor(1);
    FakeWorker worker = simulation.cloud().workersRunning("job-1/0").get(0);
    simulation.networkFaults().holdMessages(message -> message.startsWith(worker.id() + " "));
    simulation.runUntil(60, () -> !simulation.cloud().workers().containsKey(worker.id()));
    simulation.runFor(1);
    simulation.networkFaults().releaseHeldMessages();
    simulation.runFor(2);
    for (int i = 0; i < 3; i++) {
      assertTrue(
          simulation
                  .controllers()
                  .get("c" + i)
                  .clusterView()
                  .findMachineRow(new MachineId(worker.id()))
              == null);
    }
  }
}
