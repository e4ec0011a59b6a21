package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.model.Version;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What the operators met on bad nights. */
class OperationalIncidentsTest {
  private final ClusterSimulation simulation = new ClusterSimulation(3, 11);
  private final SimulatedUser user = new SimulatedUser(simulation);

  @AfterEach
  void assertNoViolations() {
    assertEquals(List.of(), simulation.violations);
  }

  private int launchCount() {
    return simulation.cloud.workers.values().stream().mapToInt(w -> w.launchCount).sum();
  }

  private long ownerIndexOf(String entity) {
    return simulation.stateService.findValue("c/entity/" + entity).get("version").asLong() % 10;
  }

  private int rentedMachineCount() {
    return simulation.cloud.machinesByRequest.values().stream().mapToInt(List::size).sum();
  }

  private void createGuestTeam() {
    simulation.teams.put("guests", simulation.teams.get("red"));
    simulation.teams.put("red", new Team("red", 100, 0, Double.POSITIVE_INFINITY, 1e9));
  }

  private static ObjectNode guestJob(String id, int tasks) {
    return SimulatedUser.jobRequest(id, tasks)
        .put("crew", "guests")
        .put("urgency", "low")
        .put("loaners", true);
  }

  @Test
  void controllerPartitionedFromItsWorkersHandsItsEntityOver() {
    // Recorded: its lease went on, peers gave it machines, and all of them starved.
    simulation.cloud.taskDurationSeconds = 60;
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 24).put("guess_s", 60.0));
    simulation.runUntil(20, () -> launchCount() == 24);
    simulation.runFor(2);
    simulation.networkFaults.holdMessages(
        m -> m.matches("vm-\\d+ c0 POST /agent/beat.*") || m.matches("c0 vm-\\d+ GET /status.*"));
    simulation.runUntil(7, () -> ownerIndexOf("c0") != 0);
    simulation.runFor(20);
    assertTrue(ownerIndexOf("c0") != 0, "it stays away while it hears nobody");
    assertEquals(503, user.send("c0", "GET", "/ready", null).status());
    assertEquals(24, launchCount(), "all tasks live on");
    simulation.networkFaults.releaseHeldMessages();
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
    List<FakeWorker> workers = List.copyOf(simulation.cloud.workers.values());
    workers.subList(1, workers.size()).forEach(w -> simulation.networkFaults.partitionHost(w.id));
    simulation.runFor(9);
    assertEquals(0, ownerIndexOf("c0"));
  }

  @Test
  void failingJobsDoNotQuarantineHealthyMachines() {
    // Two different jobs that failed on a machine had it drained, wave after wave.
    simulation.cloud.capacity = 4;
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 32));
    simulation.runUntil(20, () -> launchCount() >= 32);
    for (int i = 10; i < 13; i++) {
      simulation.alwaysFailingJobs.add("job-" + i);
      user.submit("c0", SimulatedUser.jobRequest("job-" + i, i % 2 == 0 ? 12 : 1));
    }
    user.submit("c0", SimulatedUser.jobRequest("job-2", 32));
    simulation.runUntil(80, () -> user.pollStatus("c0", "job-2").equals("done"));
    assertEquals(4, rentedMachineCount(), "no machine had to be replaced");
    int countBefore = launchCount();
    simulation.runFor(60);
    assertTrue(launchCount() - countBefore < 40, "probes " + (launchCount() - countBefore));
    assertEquals("queued", user.pollStatus("c1", "job-10"));
    assertEquals("cancelled", user.cancel("c1", "job-10"));
    assertEquals("cancelled", user.pollStatus("c2", "job-10"));
  }

  @Test
  void faultyMachineIsReturnedWhileFailingJobsRun() {
    simulation.startAllControllers();
    FakeWorker faultyWorker = simulation.cloud.addRunningMachine("plain", "a");
    faultyWorker.failsEveryTask = true;
    simulation.runFor(4);
    simulation.alwaysFailingJobs.add("job-9");
    user.submit("c0", SimulatedUser.jobRequest("job-9", 3));
    for (int i = 1; i <= 4; i++) {
      user.submit("c" + i % 3, SimulatedUser.jobRequest("job-" + i, 4));
    }
    simulation.runUntil(120, () -> !simulation.cloud.workers.containsKey(faultyWorker.id));
    simulation.runUntil(90, () -> user.pollStatus("c1", "job-1").equals("done"));
  }

  @Test
  void machinesWithoutBootAreReplacedAndReturned() {
    simulation.cloud.bootSeconds = number -> number % 2 == 0 ? -1 : 3;
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 40));
    simulation.runUntil(100, () -> user.pollStatus("c0", "job-1").equals("done"));
    simulation.runFor(120);
    assertEquals(0, simulation.cloud.workers.size(), "none is paid for any longer");
  }

  @Test
  void slowBootsCauseNoOverprovisioning() {
    simulation.cloud.capacity = 60;
    simulation.cloud.bootSeconds = number -> 27;
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 80));
    simulation.runFor(40);
    assertTrue(rentedMachineCount() <= 10 + 4, "rented " + rentedMachineCount());
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
  }

  @Test
  void machinesReportingBeforeTheirRentalReplyStayWithTheirEntity() {
    simulation.cloud.bootSeconds = number -> 0.2;
    simulation.cloud.rentalReplyDelaySeconds = 1.2;
    simulation.startAllControllers();
    simulation.runFor(10);
    user.submit("c0", SimulatedUser.jobRequest("job-1", 40));
    simulation.runUntil(20, () -> launchCount() == 40);
    assertEquals(5, rentedMachineCount(), "nothing was rented twice");
    assertEquals(
        0,
        simulation.stateService.keysWithPrefix("c/block/c1/").size()
            + simulation.stateService.keysWithPrefix("c/block/c2/").size());
  }

  @Test
  void guestJobsRunOnSpotMachinesAndHoldNoOnDemandOnes() {
    createGuestTeam();
    simulation.cloud.capacity = 6;
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 16));
    simulation.runUntil(20, () -> launchCount() >= 16);
    user.submit("c0", guestJob("job-2", 400).put("loaners", false));
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
    simulation.runUntil(20, () -> simulation.cloud.workersRunning("job-2/0").size() == 1);
    assertEquals(2, rentedMachineCount(), "nothing ordinary is rented for it");
    simulation.runUntil(120, () -> simulation.cloud.workers.isEmpty());
    user.submit("c0", guestJob("job-3", 4));
    simulation.runUntil(120, () -> user.pollStatus("c0", "job-3").equals("done"));
  }

  @Test
  void guestJobsArePreemptedForAPeersJob() {
    createGuestTeam();
    simulation.cloud.capacity = 0;
    simulation.startAllControllers();
    for (int i = 0; i < 3; i++) {
      simulation.cloud.addRunningMachine("plain", "a");
    }
    simulation.runFor(4);
    user.submit("c0", guestJob("job-1", 400));
    user.submit("c1", guestJob("job-2", 400));
    user.submit("c2", guestJob("job-3", 400));
    simulation.runUntil(20, () -> launchCount() >= 24);
    user.submit("c0", SimulatedUser.jobRequest("job-4", 24));
    simulation.runUntil(12, () -> simulation.cloud.workersRunning("job-4/23").size() == 1);
  }

  @Test
  void tinyJobsCostFewWritesEach() {
    // Recorded: with four writes a job, most submissions of such a day were turned away.
    simulation.stateLimits = new StateStoreLimits(200, 25, 8192, 12);
    simulation.startAllControllers();
    List<Integer> statuses = new ArrayList<>();
    final int countBefore = simulation.stateService.writeCount;
    for (int i = 0; i < 240; i++) {
      ObjectNode job = SimulatedUser.jobRequest("job-" + i, 1).put("cores", 0.1);
      int number = i;
      simulation.runAfter(
          i * 0.125,
          () ->
              simulation
                  .callController(
                      "user",
                      ClusterSimulation.controllerName(number % 3),
                      "POST",
                      "/work",
                      Cbor.encode(job))
                  .thenAccept(reply -> statuses.add(reply.status())));
    }
    simulation.runFor(100);
    assertEquals(240, statuses.size());
    assertTrue(statuses.stream().allMatch(s -> s == 201), statuses.toString());
    assertEquals("done", user.pollStatus("c1", "job-239"));
    int writeCount = simulation.stateService.writeCount - countBefore;
    assertTrue(writeCount < 2.5 * 240, "writes " + writeCount);
  }

  @Test
  void jobOutcomesSurviveFailover() {
    simulation.startAllControllers();
    for (int i = 0; i < 30; i++) {
      user.submit("c0", SimulatedUser.jobRequest("job-" + i, 1).put("cores", 0.1));
    }
    user.cancel("c0", "job-29");
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-0").equals("done"));
    user.submit("c0", SimulatedUser.jobRequest("job-30", 1));
    simulation.killController("c0");
    simulation.runUntil(20, () -> ownerIndexOf("c0") != 0);
    simulation.runFor(2);
    assertEquals("done", user.pollStatus("c1", "job-0"));
    assertEquals("cancelled", user.pollStatus("c2", "job-29"));
    simulation.runUntil(90, () -> user.pollStatus("c2", "job-30").equals("done"));
  }

  @Test
  void concurrentStatusQueriesAreCoalesced() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1).put("guess_s", 300.0));
    int[] messageCount = new int[1];
    simulation.networkFaults.holdMessages(
        m -> {
          messageCount[0] += m.contains("/peer") || m.contains("/keys/") ? 1 : 0;
          return false;
        });
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      simulation
          .callController("user", "c1", "GET", "/work/job-1", null)
          .thenAccept(reply -> statuses.add(reply.status()));
    }
    simulation.runFor(1);
    assertEquals(300, statuses.size());
    assertTrue(statuses.stream().allMatch(s -> s == 200), statuses.toString());
    assertTrue(messageCount[0] < 20, "messages " + messageCount[0]);
  }

  @Test
  void queriesForUnknownJobsDoNotStarveSubmissions() {
    simulation.stateLimits = new StateStoreLimits(60, 25, 8192, 12);
    simulation.startAllControllers();
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < 900; i++) {
      int number = i;
      simulation.runAfter(
          i * 0.01,
          () ->
              simulation
                  .callController(
                      "user",
                      ClusterSimulation.controllerName(number % 3),
                      "GET",
                      "/work/job-9" + number,
                      null)
                  .thenAccept(reply -> statuses.add(reply.status())));
    }
    for (int i = 0; i < 9; i++) {
      simulation.runFor(1);
      assertEquals(201, user.submit("c" + i % 3, SimulatedUser.jobRequest("job-" + i, 1)));
    }
    simulation.runFor(3);
    assertEquals(900, statuses.size());
    assertTrue(statuses.contains(404) && statuses.contains(503));
    for (int i = 0; i < 3; i++) {
      assertEquals(i, ownerIndexOf("c" + i), "nobody lost a lease");
    }
  }

  @Test
  void controllerRejectedByTheStateServiceFailsOverAndReturns() {
    simulation.cloud.taskDurationSeconds = 60;
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 16).put("guess_s", 60.0));
    simulation.runUntil(20, () -> launchCount() == 16);
    simulation.stateService.refusedControllers.add("c0");
    simulation.runUntil(10, () -> ownerIndexOf("c0") != 0);
    simulation.runFor(10);
    assertEquals(503, user.send("c0", "GET", "/ready", null).status());
    assertEquals(503, user.submit("c0", SimulatedUser.jobRequest("job-2", 1)));
    assertEquals(16, launchCount());
    simulation.stateService.refusedControllers.clear();
    simulation.runUntil(15, () -> ownerIndexOf("c0") == 0);
    simulation.runUntil(90, () -> user.pollStatus("c0", "job-1").equals("done"));
    assertEquals(16, launchCount(), "all tasks lived on");
  }

  @Test
  void outageOfAllControllersForAMinuteLosesNoJob() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 8));
    user.submit("c1", SimulatedUser.jobRequest("job-2", 8));
    simulation.runUntil(20, () -> launchCount() == 16);
    for (int i = 0; i < 3; i++) {
      simulation.killController(ClusterSimulation.controllerName(i));
    }
    simulation.runFor(70);
    for (int i = 0; i < 3; i++) {
      simulation.startController(ClusterSimulation.controllerName(i));
    }
    simulation.runUntil(60, () -> user.pollStatus("c2", "job-1").equals("done"));
    simulation.runUntil(60, () -> user.pollStatus("c2", "job-2").equals("done"));
    assertFalse(simulation.controllers.get("c0").reachability().isPartitionedFromWorkers());
  }

  @Test
  void acceleratorMachinesAreNotKeptForGuestJobs() {
    createGuestTeam();
    simulation.cloud.machineTypes.add(
        new MachineType("dear", new Resources(16, 2, 64), 50, 1, 10, 3, 3, List.of("a")));
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1).put("gpus", 1.0));
    user.submit("c0", guestJob("job-2", 200).put("loaners", false));
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
    simulation.runUntil(40, () -> simulation.cloud.workers.isEmpty());
  }

  @Test
  void lateReportOfAReturnedMachineCreatesNoRecord() {
    // Recorded: twenty machines that were no more were taken into an entity, and fell silent again.
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    simulation.runUntil(20, () -> launchCount() == 1);
    simulation.runFor(1);
    FakeWorker worker = simulation.cloud.workersRunning("job-1/0").get(0);
    simulation.networkFaults.holdMessages(m -> m.startsWith(worker.id + " "));
    simulation.runUntil(60, () -> !simulation.cloud.workers.containsKey(worker.id));
    simulation.runFor(1);
    simulation.networkFaults.releaseHeldMessages();
    simulation.runFor(2);
    for (int i = 0; i < 3; i++) {
      assertTrue(
          simulation.controllers.get("c" + i).directory().findMachineRow(new MachineId(worker.id))
              == null);
    }
  }

  @Test
  void restartedControllerAnswersQueriesThroughItsPeers() {
    // With a read for each in the budget, 13,000 questions of a simulated day got 503.
    simulation.stateLimits = new StateStoreLimits(60, 60, 8192, 12);
    simulation.cloud.capacity = 0;
    simulation.startAllControllers();
    for (int i = 0; i < 120; i++) {
      user.submit("c0", SimulatedUser.jobRequest("job-" + i, 1));
    }
    simulation.killController("c1");
    simulation.runFor(6);
    simulation.startController("c1");
    simulation.runUntil(
        10, () -> simulation.controllers.get("c1").membership().findHomeEntity() != null);
    simulation.runFor(1);
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < 120; i++) {
      simulation
          .callController("user", "c1", "GET", "/work/job-" + i, null)
          .thenAccept(reply -> statuses.add(reply.status()));
    }
    simulation.runFor(1);
    assertEquals(120, statuses.stream().filter(s -> s == 200).count());
    assertEquals("cancelled", user.cancel("c1", "job-7"));
    assertEquals("cancelled", user.pollStatus("c2", "job-7"));
  }

  private FakeWorker startWithOneFullMachine() {
    simulation.cloud.capacity = 0;
    simulation.cloud.taskDurationSeconds = 30;
    simulation.startAllControllers();
    FakeWorker worker = simulation.cloud.addRunningMachine("plain", "a");
    simulation.runFor(4);
    user.submit("c0", SimulatedUser.jobRequest("job-1", 8));
    simulation.runUntil(10, () -> worker.activeTaskCount() == 8);
    simulation.runFor(2);
    return worker;
  }

  @Test
  void urgentJobPreemptsBeforeTheNextReport() {
    // Up to a report's interval went by before a task heard that it was to make way.
    FakeWorker worker = startWithOneFullMachine();
    simulation.networkFaults.holdMessages(m -> m.startsWith(worker.id + " "));
    user.submit(
        "c0", SimulatedUser.jobRequest("job-2", 1).put("urgency", "high").put("cores", 8.0));
    simulation.runFor(0.5);
    assertEquals(0, worker.activeTaskCount());
    simulation.networkFaults.releaseHeldMessages();
    simulation.runUntil(4, () -> worker.runsTask("job-2/0"));
  }

  @Test
  void lateStopCommandStopsNoOtherTask() {
    FakeWorker worker = startWithOneFullMachine();
    simulation.networkFaults.holdMessages(m -> m.contains("/orders"));
    user.submit(
        "c0", SimulatedUser.jobRequest("job-2", 1).put("urgency", "high").put("cores", 8.0));
    simulation.runUntil(8, () -> worker.runsTask("job-2/0"));
    simulation.runUntil(60, () -> worker.runsTask("job-1/7"));
    assertTrue(simulation.networkFaults.heldMessageCount() > 0);
    int countBefore = worker.activeTaskCount();
    simulation.networkFaults.releaseHeldMessages();
    assertEquals(countBefore, worker.activeTaskCount());
  }

  @Test
  void idleWorkersGetWorkBeforeTheirNextReport() {
    // A gang waited for the slowest of its machines' next reports.
    simulation.cloud.capacity = 0;
    simulation.startAllControllers();
    for (int i = 0; i < 3; i++) {
      simulation.cloud.addRunningMachine("plain", "a");
    }
    simulation.runFor(8);
    user.submit(
        "c0", SimulatedUser.jobRequest("job-1", 3).put("shape", "ensemble").put("cores", 8.0));
    user.submit(
        "c1", SimulatedUser.jobRequest("job-2", 3).put("shape", "ensemble").put("cores", 8.0));
    user.submit(
        "c2", SimulatedUser.jobRequest("job-3", 3).put("shape", "ensemble").put("cores", 8.0));
    simulation.runFor(2.2);
    assertEquals(3, launchCount(), "one of them has its three machines together");
  }

  @Test
  void longPolledReportIsAnsweredWithinTheLease() {
    simulation.cloud.capacity = 0;
    simulation.startAllControllers();
    FakeWorker worker = simulation.cloud.addRunningMachine("plain", "a");
    simulation.runFor(60);
    assertEquals(0, worker.expiredLeaseCount(), "its lease never ended");
  }

  @Test
  void quotaShareIsNotPassedBackAndForth() {
    // Seen on a small simulated day: each second two entities gave one slice to each other.
    simulation.teams.put("blue", new Team("blue", 0, 0, 24, 0));
    simulation.cloud.capacity = 0;
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 24).put("crew", "blue").put("gpus", 0.0));
    simulation.runFor(1);
    ObjectNode urgent =
        SimulatedUser.jobRequest("job-2", 3).put("crew", "blue").put("shape", "ensemble");
    user.submit("c1", urgent.put("cores", 8.0).put("urgency", "high"));
    simulation.runFor(4);
    simulation.cloud.unavailable = true;
    int countBefore = simulation.stateService.writeCount;
    simulation.runFor(30);
    assertTrue(
        simulation.stateService.writeCount - countBefore < 10,
        "writes " + (simulation.stateService.writeCount - countBefore));
  }

  @Test
  void finishedJobStaysFinishedWhenItsOpenJobSegmentIsReread() {
    // A sheet still shows jobs that are over until it is next written.
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
    assertTrue(simulation.stateService.findValue("open/c0/0").has("job-1"));
    simulation.networkFaults.holdMessages(m -> m.startsWith("c0 state POST /txn"));
    simulation.callController(
        "user", "c0", "POST", "/work", Cbor.encode(SimulatedUser.jobRequest("job-2", 1)));
    simulation.runFor(1.8);
    simulation.networkFaults.releaseHeldMessages();
    simulation.runFor(5);
    assertTrue(simulation.stateService.findValue("open/c0/0").has("job-2"));
    assertFalse(simulation.stateService.findValue("open/c0/0").has("job-1"));
    simulation.runUntil(60, () -> user.pollStatus("c1", "job-2").equals("done"));
    assertEquals("done", user.pollStatus("c1", "job-1"));
  }

  @Test
  void urgentJobsMachineIsRentedBeforeAWideArrays() {
    simulation.cloud.machineTypes.add(
        new MachineType("wide", new Resources(8, 1, 32), 50, 1, 1.1, 0.3, 3, List.of("a")));
    simulation.startAllControllers();
    ObjectNode wide = SimulatedUser.jobRequest("job-1", 30).put("gpus", 1.0).put("cores", 8.0);
    simulation.callController("user", "c0", "POST", "/work", Cbor.encode(wide));
    ObjectNode urgent =
        SimulatedUser.jobRequest("job-2", 1).put("urgency", "high").put("cores", 8.0);
    simulation.callController("user", "c0", "POST", "/work", Cbor.encode(urgent));
    simulation.runUntil(
        20,
        () ->
            simulation.cloud.machinesByRequest.containsKey("c0-" + Version.firstOwnedBy(0) + "-2"));
    assertEquals(
        1, simulation.cloud.machinesByRequest.get("c0-" + Version.firstOwnedBy(0) + "-1").size());
  }

  @Test
  void gangKeepsRunningThroughFailoverAndFailback() {
    // Recorded: gangs of six ran five times, anew after each move, since their tasks were seen one
    // machine after the other and the missing ones were taken for lost.
    simulation.cloud.taskDurationSeconds = 90;
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
}
