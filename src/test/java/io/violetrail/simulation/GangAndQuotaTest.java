package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import org.junit.jupiter.api.Test;

/** Gangs start and run as a whole and team quotas hold, also through failover. */
class GangAndQuotaTest extends SimulationTestBase {
  GangAndQuotaTest() {
    super(2);
  }

  @Test
  void gangStartsAllOrNothing() {
    simulation.cloud().setCapacity(1);
    simulation.startAllControllers();
    user.submit(
        "c0", SimulatedUser.jobRequest("job-1", 3).put("shape", "ensemble").put("cores", 4.0));
    simulation.runFor(20);
    assertEquals(0, launchCount());
    simulation.cloud().setCapacity(4);
    simulation.runUntil(
        60,
        () ->
            simulation.cloud().workersRunning("job-1/2").size() == 1
                && simulation.cloud().workersRunning("job-1/0").size() == 1);
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
  }

  @Test
  void oneZoneGangStaysInOneZone() {
    simulation.startAllControllers();
    user.submit(
        "c0",
        SimulatedUser.jobRequest("job-1", 2)
            .put("shape", "ensemble")
            .put("cores", 8.0)
            .put("one_zone", true));
    simulation.runUntil(90, () -> user.pollStatus("c0", "job-1").equals("done"));
  }

  @Test
  void gangIsCompletedWhenMachineIsLostBeforeItReportsItsTaskAsDone() {
    // Guards against a gang that waits for room for all of its tasks although some are done.
    simulation.cloud().setTaskDurationSeconds(1_000);
    simulation.startAllControllers();
    user.submit(
        "c0",
        SimulatedUser.jobRequest("job-1", 3)
            .put("shape", "ensemble")
            .put("cores", 8.0)
            .put("one_zone", true));
    final FakeWorker first = awaitRunning("job-1/0");
    final FakeWorker second = awaitRunning("job-1/1");
    final FakeWorker lost = awaitRunning("job-1/2");
    simulation.runFor(2);
    first.endTaskNow("job-1/0");
    second.endTaskNow("job-1/1");
    simulation.cloud().takeBack(lost);
    simulation.runUntil(60, () -> simulation.cloud().workersRunning("job-1/2").size() == 1);
  }

  @Test
  void gangKeepsRunningThroughFailoverAndFailback() {
    resetSimulation(11);
    // In a recorded run, gangs of six ran five times. They restarted after each change of owner,
    // since the new owner saw their tasks one machine at a time and took the missing ones for lost.
    simulation.cloud().setTaskDurationSeconds(90);
    simulation.startAllControllers();
    user.submit(
        "c0", SimulatedUser.jobRequest("job-1", 5).put("shape", "ensemble").put("cores", 8.0));
    simulation.runUntil(30, () -> launchCount() == 5);
    simulation.runFor(2);
    simulation.killController("c0");
    simulation.runUntil(10, () -> ownerIndexOf("c0") != 0);
    simulation.runFor(15);
    simulation.startController("c0");
    simulation.runUntil(10, () -> ownerIndexOf("c0") == 0);
    simulation.runUntil(120, () -> user.pollStatus("c0", "job-1").equals("done"));
    assertEquals(5, launchCount());
  }

  @Test
  void teamQuotaHoldsThroughFailover() {
    simulation.teams().put("blue", new Team("blue", 0, 0, 6, 0));
    simulation.startAllControllers();
    for (int i = 0; i < 3; i++) {
      user.submit(
          ClusterSimulation.controllerName(i),
          SimulatedUser.jobRequest("job-" + i, 10).put("crew", "blue"));
    }
    int mostRunning = 0;
    for (int step = 0; step < 60; step++) {
      if (step == 8) {
        simulation.killController("c1");
      }
      simulation.runFor(1);
      mostRunning =
          Math.max(
              mostRunning,
              simulation.cloud().workers().values().stream()
                  .mapToInt(FakeWorker::activeTaskCount)
                  .sum());
    }
    assertTrue(mostRunning <= 6, "used " + mostRunning);
    assertTrue(mostRunning >= 4, "the quota shares are used");
  }

  @Test
  void quotaShareIsNotPassedBackAndForth() {
    resetSimulation(11);
    // On a small simulated day, two entities passed one quota share to each other every second.
    simulation.teams().put("blue", new Team("blue", 0, 0, 24, 0));
    simulation.cloud().setCapacity(0);
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 24).put("crew", "blue").put("gpus", 0.0));
    simulation.runFor(1);
    ObjectNode urgentGang =
        SimulatedUser.jobRequest("job-2", 3).put("crew", "blue").put("shape", "ensemble");
    user.submit("c1", urgentGang.put("cores", 8.0).put("urgency", "high"));
    simulation.runFor(4);
    simulation.cloud().setUnavailable(true);
    int countBefore = simulation.stateService().writeCount();
    simulation.runFor(30);
    assertTrue(
        simulation.stateService().writeCount() - countBefore < 10,
        "writes " + (simulation.stateService().writeCount() - countBefore));
  }
}
