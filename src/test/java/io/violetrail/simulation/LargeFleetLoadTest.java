package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.controller.Controller;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Faults that appeared when deployments grew to hundreds of machines on the same small controllers.
 */
class LargeFleetLoadTest extends SimulationTestBase {

  LargeFleetLoadTest() {
    super(7);
  }

  private void submitWithoutWaiting(int number, ObjectNode job) {
    simulation.callController(
        "user", ClusterSimulation.controllerName(number % 3), "POST", "/work", Cbor.encode(job));
  }

  private static ObjectNode gangJob(String id, int tasks) {
    return SimulatedUser.jobRequest(id, tasks)
        .put("shape", "ensemble")
        .put("cores", 8.0)
        .put("one_zone", true);
  }

  @Test
  void schedulingCostIsBoundedWithHundredsOfMachines() {
    simulation.cloud().setCapacity(300);
    simulation.setStateLimits(new StateStoreLimits(250, 50, 8192, 24));
    simulation.startAllControllers();
    List<String> jobs = new ArrayList<>();
    int tasks = 0;
    for (int i = 0; i < 80; i++) {
      String id = "job-" + i;
      jobs.add(id);
      ObjectNode job = i % 4 == 0 ? gangJob(id, 1 + i % 6) : SimulatedUser.jobRequest(id, 60);
      tasks += job.get("pieces").asInt();
      int number = i;
      simulation.runAfter(i * 0.25, () -> submitWithoutWaiting(number, job));
    }
    final int writesBefore = simulation.stateService().writeCount();
    simulation.runFor(25);
    for (String id : jobs) {
      simulation.runUntil(300, () -> user.pollStatus("c1", id).equals("done"));
    }
    int machines =
        simulation.cloud().machinesByRequest().values().stream().mapToInt(List::size).sum();
    assertTrue(machines > 100, "machines " + machines);
    long machinesExamined =
        simulation.controllers().values().stream()
            .mapToLong(controller -> controller.machinesExamined())
            .sum();
    // Examining all machines for each task would amount to about 400,000.
    assertTrue(
        machinesExamined < 25L * tasks,
        "examined " + machinesExamined + " machines for " + tasks + " tasks");
    // Four writes per job and two per machine. One write per step and job in progress would be
    // twice as many.
    int writeCount = simulation.stateService().writeCount() - writesBefore;
    assertTrue(
        writeCount < 4 * jobs.size() + 2 * machines,
        "writes " + writeCount + " machines " + machines);
  }

  @Test
  void failbackDoesNotWaitBehindSubmissions() {
    // On a simulated day, two of three controllers stayed idle for a whole burst of submissions.
    simulation.setStateLimits(new StateStoreLimits(100, 9, 8192, 12));
    simulation.startAllControllers();
    simulation.killController("c0");
    simulation.runFor(8);
    for (int i = 0; i < 400; i++) {
      int number = i;
      simulation.runAfter(
          i * 0.1,
          () -> submitWithoutWaiting(1 + number % 2, SimulatedUser.jobRequest("job-" + number, 2)));
    }
    simulation.runFor(5);
    simulation.startController("c0");
    simulation.runUntil(
        10, () -> simulation.controllers().get("c0").membership().findHomeEntity() != null);
  }

  @Test
  void newMachinesAreUsedWhileSubmissionsExhaustTheWriteBudget() {
    // Guards against a write of many machine records that never finds enough budget at once.
    simulation.setStateLimits(new StateStoreLimits(100, 9, 8192, 12));
    simulation.cloud().setCapacity(60);
    simulation.startAllControllers();
    for (int i = 0; i < 600; i++) {
      int number = i;
      simulation.runAfter(
          i * 0.1,
          () -> submitWithoutWaiting(number, SimulatedUser.jobRequest("job-" + number, 4)));
    }
    simulation.runUntil(
        40,
        () ->
            simulation.cloud().workers().values().stream().filter(w -> w.launchCount() > 0).count()
                > 20);
  }

  @Test
  void overloadedControllerRejectsSubmissionsAtOnce() {
    simulation.setStateLimits(new StateStoreLimits(100, 9, 8192, 12));
    simulation.startAllControllers();
    List<Integer> rejectedAfterSeconds = new ArrayList<>();
    double startedAtSeconds = simulation.nowSeconds();
    for (int i = 0; i < 60; i++) {
      simulation
          .callController(
              "user", "c0", "POST", "/work", Cbor.encode(SimulatedUser.jobRequest("job-" + i, 1)))
          .thenAccept(
              reply -> {
                if (reply.status() == 503) {
                  rejectedAfterSeconds.add(
                      (int) Math.ceil(simulation.nowSeconds() - startedAtSeconds));
                }
              });
    }
    simulation.runFor(6);
    assertTrue(rejectedAfterSeconds.size() > 20, "rejected " + rejectedAfterSeconds.size());
    assertTrue(
        rejectedAfterSeconds.stream().allMatch(s -> s <= 1),
        "rejected after " + rejectedAfterSeconds + " s");
  }

  @Test
  void machineIsRecordedByOneEntityOnly() {
    simulation.startAllControllers();
    ObjectNode report =
        Cbor.newMap()
            .put("host", "vm-900000")
            .put("endpoint", "x:1")
            .put("hosttype", "plain")
            .put("yard", "a")
            .put("loaners", false)
            .put("tenure", 1)
            .put("tick", 1)
            .put("baton", 0);
    report.putArray("pieces");
    simulation.networkFaults().holdMessages(message -> message.startsWith("c0 state POST /txn"));
    simulation.callController("vm-900000", "c0", "POST", "/agent/beat", Cbor.encode(report));
    simulation.runUntil(3, () -> simulation.networkFaults().heldMessageCount() > 0);
    var secondReply =
        simulation.callController("vm-900000", "c1", "POST", "/agent/beat", Cbor.encode(report));
    simulation.runUntil(3, secondReply::isDone);
    assertEquals(200, secondReply.join().status());
    simulation.networkFaults().releaseHeldMessages();
    simulation.runFor(3);
    long recordCount =
        simulation.stateService().keysWithPrefix("c/block/").stream()
            .filter(key -> simulation.stateService().findValue(key).has("vm-900000"))
            .count();
    assertEquals(1, recordCount);
    for (Controller controller : simulation.controllers().values()) {
      assertEquals(
          "c1",
          controller
                  .clusterView()
                  .machineRowsOf(controller.membership().findHomeEntity().id())
                  .isEmpty()
              ? "c1"
              : controller.settings().self().value());
    }
  }

  @Test
  void waitingUrgentGangsDoNotBlockMachineTransfersForOtherJobs() {
    // Guards against gangs that fill the list of requested resources, so that entities with free
    // machines for arrays keep them.
    simulation.cloud().setCapacity(0);
    simulation
        .cloud()
        .machineTypes()
        .add(new MachineType("big", new Resources(64, 0, 256), 50, 1, 8, 3, 3, List.of("a")));
    simulation.startAllControllers();
    for (int i = 0; i < 6; i++) {
      simulation.cloud().addRunningMachine("plain", "a");
    }
    simulation.runFor(4);
    for (int i = 0; i < 8; i++) {
      ObjectNode largeMachineJob = gangJob("job-" + i, 2).put("urgency", "high").put("cores", 64.0);
      largeMachineJob.putArray("hosttypes").add("big");
      user.submit("c0", largeMachineJob);
    }
    user.submit("c0", SimulatedUser.jobRequest("job-9", 48));
    simulation.runFor(8);
    assertEquals(
        48,
        simulation.cloud().workers().values().stream().mapToInt(w -> w.activeTaskCount()).sum());
  }

  @Test
  void smallTasksDoNotKeepAnExpensiveMachineRented() {
    // A quarter of a day's cost went to machines with accelerators that ran a few small tasks each.
    simulation.cloud().setCapacity(0);
    simulation
        .cloud()
        .machineTypes()
        .add(new MachineType("dear", new Resources(16, 2, 64), 50, 1, 10, 3, 3, List.of("a")));
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-2", 400));
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1).put("gpus", 1.0));
    simulation.runFor(60);
    FakeWorker expensiveWorker = simulation.cloud().addRunningMachine("dear", "a");
    simulation.runUntil(20, () -> expensiveWorker.runsTask("job-1/0"));
    simulation.runUntil(60, () -> !simulation.cloud().workers().containsKey(expensiveWorker.id()));
  }

  @Test
  void machineRecordsSurviveRestartOfAllControllers() {
    simulation.cloud().setCapacity(150);
    simulation.startAllControllers();
    for (int i = 0; i < 20; i++) {
      submitWithoutWaiting(i, SimulatedUser.jobRequest("job-" + i, 60));
    }
    simulation.runFor(12);
    int launchedBefore =
        simulation.cloud().workers().values().stream().mapToInt(w -> w.launchCount()).sum();
    assertTrue(launchedBefore > 600, "launched " + launchedBefore);
    for (int i = 0; i < 3; i++) {
      simulation.killController(ClusterSimulation.controllerName(i));
    }
    simulation.runFor(4);
    for (int i = 0; i < 3; i++) {
      simulation.startController(ClusterSimulation.controllerName(i));
    }
    for (int i = 0; i < 20; i++) {
      String id = "job-" + i;
      simulation.runUntil(120, () -> user.pollStatus("c2", id).equals("done"));
    }
    int launchedInAll =
        simulation.cloud().workers().values().stream().mapToInt(w -> w.launchCount()).sum();
    assertTrue(launchedInAll <= 20 * 60, "no task runs twice");
  }
}
