package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Version;
import java.util.List;
import org.junit.jupiter.api.Test;

class FaultToleranceTest extends SimulationTestBase {
  FaultToleranceTest() {
    super(2);
  }

  private long versionOf(String entity) {
    return simulation.stateService.findValue("c/entity/" + entity).get("version").asLong();
  }

  @Test
  void failoverAfterLeaseExpiryKeepsTasksRunning() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 3));
    FakeWorker worker = awaitRunning("job-1/0");
    final int launchedBefore = worker.launchCount;
    simulation.killController("c0");
    simulation.runFor(9);
    assertTrue(worker.runsTask("job-1/0"), "the worker's lease outlived its controller");
    assertEquals(launchedBefore, worker.launchCount);
    assertTrue(versionOf("c0") % 10 != 0);
    simulation.runUntil(60, () -> user.pollStatus("c1", "job-1").equals("done"));
  }

  @Test
  void secondFailureRightAfterFailoverRestartsNoTask() {
    // Seen on a simulated day: all 150 tasks of a fleet ended with their workers' leases.
    simulation.cloud.taskDurationSeconds = 100;
    simulation.startAllControllers();
    for (int i = 0; i < 6; i++) {
      user.submit("c" + i % 2, SimulatedUser.jobRequest("job-" + i, 8).put("guess_s", 100.0));
    }
    simulation.runFor(10);
    int launchedBefore =
        simulation.cloud.workers.values().stream().mapToInt(worker -> worker.launchCount).sum();
    assertEquals(48, launchedBefore);
    simulation.killController("c0");
    simulation.killController("c1");
    simulation.runUntil(7, () -> versionOf("c0") % 10 == 2 && versionOf("c1") % 10 == 2);
    simulation.runFor(2.1);
    simulation.killController("c2");
    simulation.runFor(5.5);
    startStoppedControllers();
    simulation.runFor(60);
    int launchedNow =
        simulation.cloud.workers.values().stream().mapToInt(worker -> worker.launchCount).sum();
    assertEquals(launchedBefore, launchedNow, "nothing was started again");
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
  void quickRestartTakesTheEntityUnderANewVersion() {
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
  void ownerWithUncertainLeaseLaunchesNothingAndKeepsWorkersAlive() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    simulation.stateService.setOutage(true);
    simulation.runFor(15);
    assertTrue(worker.runsTask("job-1/0"));
    int launchedBefore =
        simulation.cloud.workers.values().stream().mapToInt(other -> other.launchCount).sum();
    assertEquals(503, user.submit("c0", SimulatedUser.jobRequest("job-2", 1)));
    simulation.runFor(3);
    assertEquals(
        launchedBefore,
        simulation.cloud.workers.values().stream().mapToInt(other -> other.launchCount).sum());
    simulation.stateService.setOutage(false);
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
  }

  @Test
  void isolatedOwnerGivesUpAfterItsGracePeriod() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    awaitRunning("job-1/0");
    // Cut off from the state service and its peers, but not from its workers.
    simulation.stateService.refusedControllers.add("c0");
    simulation.networkFaults.holdMessages(
        m -> (m.startsWith("c0 c") && m.contains("/peer")) || m.contains(" c0 POST /peer"));
    simulation.runFor(45);
    assertNull(simulation.controllers.get("c0").membership().findHomeEntity());
  }

  @Test
  void taskOfASilentMachineRestartsOnlyAfterItsLeaseExpired() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask.put("job-1/0", 100.0);
    final double partitionedAtSeconds = simulation.nowSeconds();
    simulation.networkFaults.partitionHost(worker.id);
    simulation.runFor(9);
    assertEquals(List.of(worker), simulation.cloud.workersRunning("job-1/0"));
    simulation.runUntil(
        60,
        () ->
            simulation.cloud.workersRunning("job-1/0").stream().anyMatch(other -> other != worker));
    assertTrue(
        simulation.nowSeconds() - partitionedAtSeconds > simulation.workerSettings.leaseSeconds());
  }

  @Test
  void reportDelayedPastItsLeaseIsIgnored() {
    // Seen on a simulated day: the late report named a task that had long been started elsewhere.
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    simulation.networkFaults.holdMessages(m -> m.startsWith(worker.id + " "));
    simulation.runFor(14);
    simulation.runUntil(
        40,
        () ->
            simulation.cloud.workersRunning("job-1/0").stream().anyMatch(other -> other != worker));
    assertTrue(simulation.networkFaults.heldMessageCount() > 0);
    simulation.networkFaults.releaseHeldMessages();
    simulation.runUntil(80, () -> user.pollStatus("c0", "job-1").equals("done"));
  }

  @Test
  void failoverRestartsASilentMachinesTaskOnlyOnEvidence() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    simulation.networkFaults.partitionHost(worker.id);
    simulation.cloud.unavailable = true;
    simulation.killController("c0");
    simulation.runFor(8);
    assertEquals(List.of(worker), simulation.cloud.workersRunning("job-1/0"));
    simulation.cloud.unavailable = false;
    simulation.networkFaults.healHost(worker.id);
    simulation.runUntil(90, () -> user.pollStatus("c1", "job-1").equals("done"));
  }

  @Test
  void lateTransactionOfAFormerOwnerIsFenced() {
    simulation.startAllControllers();
    simulation.networkFaults.holdMessages(m -> m.startsWith("c0 state POST /txn"));
    simulation.callController(
        "user",
        "c0",
        "POST",
        "/work",
        io.violetrail.wire.Cbor.encode(SimulatedUser.jobRequest("job-1", 1)));
    simulation.runFor(1);
    assertTrue(simulation.networkFaults.heldMessageCount() > 0);
    simulation.killController("c0");
    simulation.runFor(8);
    simulation.networkFaults.releaseHeldMessages();
    simulation.runFor(1);
    assertNull(simulation.stateService.findValue("job/job-1"));
    assertEquals("404", user.pollStatus("c1", "job-1"));
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
  void cancelledTaskOnAPartitionedMachineIsGoneInTime() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask.put("job-1/0", 500.0);
    simulation.networkFaults.partitionHost(worker.id);
    assertEquals("cancelled", user.cancel("c0", "job-1"));
    simulation.runFor(simulation.workerSettings.cancelTimeoutSeconds() - 2);
    assertEquals(List.of(), simulation.cloud.workersRunning("job-1/0"));
  }

  @Test
  void openRentalRequestIsRetriedIdempotentlyByTheNextOwner() {
    simulation.startAllControllers();
    simulation.networkFaults.holdMessages(m -> m.startsWith("c0 cloud POST /hosts"));
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    simulation.runUntil(10, () -> simulation.networkFaults.heldMessageCount() > 0);
    simulation.killController("c0");
    simulation.runFor(6);
    simulation.networkFaults.releaseHeldMessages();
    simulation.runUntil(60, () -> user.pollStatus("c1", "job-1").equals("done"));
    assertTrue(
        simulation.cloud.machinesByRequest.keySet().stream()
            .anyMatch(n -> n.startsWith("c0-" + Version.firstOwnedBy(0) + "-")));
    assertEquals(0, simulation.stateService.keysWithPrefix("hire/").size());
  }

  @Test
  void machineFailingEveryTaskIsReturned() {
    simulation.startAllControllers();
    FakeWorker faultyWorker = simulation.cloud.addRunningMachine("plain", "a");
    faultyWorker.failsEveryTask = true;
    simulation.runFor(4);
    for (int i = 1; i <= 4; i++) {
      user.submit("c" + i % 3, SimulatedUser.jobRequest("job-" + i, 4));
    }
    simulation.runUntil(120, () -> !simulation.cloud.workers.containsKey(faultyWorker.id));
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
    FakeWorker orphan = simulation.cloud.addMachineOfForgottenRequest("plain", "a");
    simulation.runFor(30);
    assertTrue(
        simulation.cloud.workers.containsKey(orphan.id), "its request may still be under way");
    simulation.cloud.workers.values().forEach(other -> other.taskDurationSeconds = 400);
    simulation.runUntil(150, () -> !simulation.cloud.workers.containsKey(orphan.id));
  }

  @Test
  void idleMachineIsTransferredToTheEntityThatNeedsIt() {
    simulation.cloud.capacity = 0;
    simulation.startAllControllers();
    final FakeWorker onlyWorker = simulation.cloud.addRunningMachine("plain", "a");
    simulation.runFor(4);
    for (int i = 0; i < 3; i++) {
      user.submit(ClusterSimulation.controllerName(i), SimulatedUser.jobRequest("job-" + i, 8));
    }
    for (int i = 0; i < 3; i++) {
      String id = "job-" + i;
      simulation.runUntil(150, () -> user.pollStatus("c0", id).equals("done"));
    }
    assertEquals(24, onlyWorker.launchCount);
  }

  @Test
  void teamQuotaHoldsThroughFailover() {
    simulation.teams.put("blue", new Team("blue", 0, 0, 6, 0));
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
              simulation.cloud.workers.values().stream()
                  .mapToInt(FakeWorker::activeTaskCount)
                  .sum());
    }
    assertTrue(mostRunning <= 6, "used " + mostRunning);
    assertTrue(mostRunning >= 4, "the slices are used");
  }

  @Test
  void gangStartsAllOrNothing() {
    simulation.cloud.capacity = 1;
    simulation.startAllControllers();
    user.submit(
        "c0", SimulatedUser.jobRequest("job-1", 3).put("shape", "ensemble").put("cores", 4.0));
    simulation.runFor(20);
    assertEquals(
        0, simulation.cloud.workers.values().stream().mapToInt(worker -> worker.launchCount).sum());
    simulation.cloud.capacity = 4;
    simulation.runUntil(
        60,
        () ->
            simulation.cloud.workersRunning("job-1/2").size() == 1
                && simulation.cloud.workersRunning("job-1/0").size() == 1);
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
  void readinessSurvivesAShortStateOutageAndEndsInALongOne() {
    simulation.startAllControllers();
    assertEquals(200, user.send("c0", "GET", "/ready", null).status());
    simulation.stateService.setOutage(true);
    simulation.runFor(8);
    assertEquals(200, user.send("c0", "GET", "/ready", null).status());
    simulation.runFor(40);
    assertEquals(503, user.send("c0", "GET", "/ready", null).status());
    assertEquals(new ControllerId("c0"), simulation.controllers.get("c0").settings().self());
  }

  @Test
  void endedReplicaIsRestartedUntilItsJobIsCancelled() {
    simulation.startAllControllers();
    user.submit(
        "c0", SimulatedUser.jobRequest("job-1", 1).put("shape", "daemon").put("guess_s", 0.0));
    simulation.runUntil(
        90,
        () ->
            simulation.cloud.workers.values().stream().mapToInt(other -> other.launchCount).sum()
                >= 2);
    simulation.runUntil(5, () -> user.pollStatus("c1", "job-1").equals("running"));
    assertEquals("cancelled", user.cancel("c1", "job-1"));
    simulation.runFor(4);
    assertEquals(List.of(), simulation.cloud.workersRunning("job-1/0"));
  }

  @Test
  void entitiesOfOneOwnerShareIdleMachines() {
    simulation.cloud.capacity = 0;
    simulation.startAllControllers();
    final FakeWorker onlyWorker = simulation.cloud.addRunningMachine("plain", "a");
    simulation.runFor(4);
    user.submit("c1", SimulatedUser.jobRequest("job-1", 2));
    simulation.runFor(6);
    for (String stopped : List.of("c1", "c2")) {
      simulation.killController(stopped);
    }
    user.submit("c0", SimulatedUser.jobRequest("job-2", 8));
    simulation.runUntil(150, () -> user.pollStatus("c0", "job-2").equals("done"));
    simulation.runUntil(150, () -> user.pollStatus("c0", "job-1").equals("done"));
    assertTrue(onlyWorker.launchCount >= 10);
  }
}
