package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Best-effort and other tasks are preempted for jobs that take precedence, and best-effort tasks do
 * not keep machines rented.
 */
class PreemptionTest extends SimulationTestBase {
  PreemptionTest() {
    super(11);
  }

  private void createBestEffortTeam() {
    simulation.teams().put("guests", simulation.teams().get("red"));
    simulation.teams().put("red", new Team("red", 100, 0, Double.POSITIVE_INFINITY, 1e9));
  }

  private static ObjectNode bestEffortJob(String id, int tasks) {
    return SimulatedUser.jobRequest(id, tasks)
        .put("crew", "guests")
        .put("urgency", "low")
        .put("loaners", true);
  }

  private FakeWorker startWithOneFullMachine() {
    simulation.cloud().setCapacity(0);
    simulation.cloud().setTaskDurationSeconds(30);
    simulation.startAllControllers();
    FakeWorker worker = simulation.cloud().addRunningMachine("plain", "a");
    simulation.runFor(4);
    user.submit("c0", SimulatedUser.jobRequest("job-1", 8));
    simulation.runUntil(10, () -> worker.activeTaskCount() == 8);
    simulation.runFor(2);
    return worker;
  }

  @Test
  void bestEffortJobsRunOnSpotMachinesAndHoldNoOnDemandOnes() {
    createBestEffortTeam();
    simulation.cloud().setCapacity(6);
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 16));
    simulation.runUntil(20, () -> launchCount() >= 16);
    user.submit("c0", bestEffortJob("job-2", 400).put("loaners", false));
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
    simulation.runUntil(20, () -> simulation.cloud().workersRunning("job-2/0").size() == 1);
    assertEquals(2, rentedMachineCount(), "no on-demand machine is rented for the best-effort job");
    simulation.runUntil(120, () -> simulation.cloud().workers().isEmpty());
    user.submit("c0", bestEffortJob("job-3", 4));
    simulation.runUntil(120, () -> user.pollStatus("c0", "job-3").equals("done"));
  }

  @Test
  void bestEffortJobsArePreemptedForPeersJob() {
    createBestEffortTeam();
    simulation.cloud().setCapacity(0);
    simulation.startAllControllers();
    for (int i = 0; i < 3; i++) {
      simulation.cloud().addRunningMachine("plain", "a");
    }
    simulation.runFor(4);
    user.submit("c0", bestEffortJob("job-1", 400));
    user.submit("c1", bestEffortJob("job-2", 400));
    user.submit("c2", bestEffortJob("job-3", 400));
    simulation.runUntil(20, () -> launchCount() >= 24);
    user.submit("c0", SimulatedUser.jobRequest("job-4", 24));
    simulation.runUntil(12, () -> simulation.cloud().workersRunning("job-4/23").size() == 1);
  }

  @Test
  void acceleratorMachinesAreNotKeptForBestEffortJobs() {
    createBestEffortTeam();
    simulation
        .cloud()
        .machineTypes()
        .add(new MachineType("dear", new Resources(16, 2, 64), 50, 1, 10, 3, 3, List.of("a")));
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1).put("gpus", 1.0));
    user.submit("c0", bestEffortJob("job-2", 200).put("loaners", false));
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
    simulation.runUntil(40, () -> simulation.cloud().workers().isEmpty());
  }

  @Test
  void urgentJobPreemptsBeforeTheNextReport() {
    // Guards against a stop command that waits for the worker's next report, for up to one report
    // interval.
    FakeWorker worker = startWithOneFullMachine();
    simulation.networkFaults().holdMessages(message -> message.startsWith(worker.id() + " "));
    user.submit(
        "c0", SimulatedUser.jobRequest("job-2", 1).put("urgency", "high").put("cores", 8.0));
    simulation.runFor(0.5);
    assertEquals(0, worker.activeTaskCount());
    simulation.networkFaults().releaseHeldMessages();
    simulation.runUntil(4, () -> worker.runsTask("job-2/0"));
  }

  @Test
  void lateStopCommandStopsNoOtherTask() {
    FakeWorker worker = startWithOneFullMachine();
    simulation.networkFaults().holdMessages(message -> message.contains("/orders"));
    user.submit(
        "c0", SimulatedUser.jobRequest("job-2", 1).put("urgency", "high").put("cores", 8.0));
    simulation.runUntil(8, () -> worker.runsTask("job-2/0"));
    simulation.runUntil(60, () -> worker.runsTask("job-1/7"));
    assertTrue(simulation.networkFaults().heldMessageCount() > 0);
    int countBefore = worker.activeTaskCount();
    simulation.networkFaults().releaseHeldMessages();
    assertEquals(countBefore, worker.activeTaskCount());
  }
}
