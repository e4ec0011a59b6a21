package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import org.junit.jupiter.api.Test;

/** Task failures are attributed either to the job or to the machine. */
class FailureAttributionTest extends SimulationTestBase {
  FailureAttributionTest() {
    super(11);
  }

  @Test
  void failingJobsDoNotQuarantineHealthyMachines() {
    // Guards against draining a machine because two different jobs failed on it: failing jobs then
    // drain wave after wave of machines.
    simulation.cloud().setCapacity(4);
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 32));
    simulation.runUntil(20, () -> launchCount() >= 32);
    for (int i = 10; i < 13; i++) {
      simulation.alwaysFailingJobs().add("job-" + i);
      user.submit("c0", SimulatedUser.jobRequest("job-" + i, i % 2 == 0 ? 12 : 1));
    }
    user.submit("c0", SimulatedUser.jobRequest("job-2", 32));
    simulation.runUntil(80, () -> user.pollStatus("c0", "job-2").equals("done"));
    assertEquals(4, rentedMachineCount(), "no machine had to be replaced");
    int countBefore = launchCount();
    simulation.runFor(60);
    assertTrue(launchCount() - countBefore < 40, "probe launches " + (launchCount() - countBefore));
    assertEquals("queued", user.pollStatus("c1", "job-10"));
    assertEquals("cancelled", user.cancel("c1", "job-10"));
    assertEquals("cancelled", user.pollStatus("c2", "job-10"));
  }

  @Test
  void faultyMachineIsReturnedWhileFailingJobsRun() {
    simulation.startAllControllers();
    FakeWorker faultyWorker = simulation.cloud().addRunningMachine("plain", "a");
    faultyWorker.setFailsEveryTask(true);
    simulation.runFor(4);
    simulation.alwaysFailingJobs().add("job-9");
    user.submit("c0", SimulatedUser.jobRequest("job-9", 3));
    for (int i = 1; i <= 4; i++) {
      user.submit("c" + i % 3, SimulatedUser.jobRequest("job-" + i, 4));
    }
    simulation.runUntil(120, () -> !simulation.cloud().workers().containsKey(faultyWorker.id()));
    simulation.runUntil(90, () -> user.pollStatus("c1", "job-1").equals("done"));
  }
}
