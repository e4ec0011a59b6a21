package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.WorkerTiming;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests machines that reach no controller while direct commands reach them, machines that hang
 * while commands wait for them, and old reports that reach every controller while a new leader
 * takes over.
 */
class DirectCommandsTest extends SimulationTestBase {
  DirectCommandsTest() {
    super(6);
  }

  // Workers cannot connect to any controller, while direct commands still reach them.

  @Test
  void directCommandStopsCancelledTaskOnMachineWithoutOutboundTraffic() {
    simulation.setWorkerSettings(new WorkerTiming(1, 25, 45, 4, 40));
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask().put("job-1/0", 500.0);
    simulation.runFor(2);
    worker.setOutboundCut(true);
    // By then the machine counts as silent. The first command, sent at the cancellation, is lost.
    simulation.runFor(6);
    simulation.networkFaults().partitionHost(worker.id());
    assertEquals("cancelled", user.cancel("c1", "job-1"));
    simulation.runFor(1);
    simulation.networkFaults().healHost(worker.id());
    simulation.runFor(3);
    assertFalse(worker.runsTask("job-1/0"), "a resent command must stop the task");
    assertEquals(
        0,
        worker.expiredLeaseCount(),
        "the task must be stopped before the worker's lease expires");
  }

  @Test
  void tasksOfMachineWithoutOutboundTrafficRestartAfterLeaseExpiryAndItIsReused() {
    simulation.cloud().setCapacity(1);
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 2));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask().put("job-1/0", 60.0);
    simulation.runFor(2);
    worker.setOutboundCut(true);
    double cutAtSeconds = simulation.nowSeconds();
    FakeWorker other = simulation.cloud().addRunningMachine("plain", "b");
    simulation.runUntil(40, () -> other.runsTask("job-1/0"));
    assertTrue(
        simulation.nowSeconds() - cutAtSeconds > simulation.workerSettings().leaseSeconds(),
        "the task must not restart before the lease has expired");
    worker.setOutboundCut(false);
    simulation.runFor(8);
    for (int i = 2; i < 6; i++) {
      user.submit("c0", SimulatedUser.jobRequest("job-" + i, 4));
    }
    simulation.runUntil(
        60,
        () ->
            worker.activeTaskCount() > 0 || !simulation.cloud().workers().containsKey(worker.id()));
    assertEquals(0, simulation.checker().startsAfterCancellation());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void cancellationsAndFailoversHoldWithManyMachinesWithoutOutboundTraffic(long seed) {
    resetSimulation(seed);
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(40);
    Random random = new Random(seed);
    for (int i = 0; i < 12; i++) {
      String id = "job-" + i;
      String controller = ClusterSimulation.controllerName(i % 3);
      simulation.runUntil(
          20, () -> user.submit(controller, SimulatedUser.jobRequest(id, 4)) / 100 == 2);
    }
    simulation.runFor(8);
    simulation.cloud().workers().values().forEach(w -> w.setOutboundCut(random.nextInt(3) > 0));
    for (int i = 0; i < 12; i += 3) {
      cancelWithoutWaiting("c1", "job-" + i);
      simulation.runFor(0.5);
    }
    simulation.killController("c0");
    simulation.runFor(3 * random.nextInt(6));
    for (int i = 1; i < 12; i += 3) {
      cancelWithoutWaiting("c2", "job-" + i);
      simulation.runFor(0.5);
    }
    simulation.startController("c0");
    simulation.runFor(10);
    simulation.cloud().workers().values().forEach(w -> w.setOutboundCut(false));
    simulation.checker().faultsEnded();
    for (int i = 0; i < 12; i++) {
      String id = "job-" + i;
      simulation.runUntil(300, () -> user.pollStatus("c2", id).matches("done|cancelled"));
    }
  }

  // Operators count starts after a confirmed cancellation, although cancel_s allows them.

  @Test
  void noTaskStartsAfterItsCancellationWasConfirmed() {
    // Images are still being fetched when the cancellation is confirmed to the user.
    simulation.startAllControllers();
    simulation.cloud().setImageFetchSeconds(2);
    simulation.cloud().setCapacity(6);
    for (int i = 0; i < 10; i++) {
      String id = "job-" + i;
      user.submit(ClusterSimulation.controllerName(i % 3), SimulatedUser.jobRequest(id, 4));
      simulation.runFor(3.7);
      user.cancel(ClusterSimulation.controllerName((i + 1) % 3), id);
      simulation.runFor(0.2 * i);
    }
    simulation.runFor(5);
    assertEquals(
        0,
        simulation.checker().startsAfterCancellation(),
        "starts after a cancellation, of " + simulation.launches().size() + " starts");
    assertTrue(simulation.launches().size() > 0);
  }

  // A machine hangs while commands wait for it, and then resumes.

  @ParameterizedTest
  @ValueSource(doubles = {2, 5, 9, 12, 20})
  void cancelledTaskOnHungMachineEndsInTimeAndNoOtherTaskStops(double hangSeconds) {
    simulation.startAllControllers();
    simulation.cloud().setCapacity(1);
    user.submit("c0", SimulatedUser.jobRequest("job-1", 2));
    user.submit("c0", SimulatedUser.jobRequest("job-2", 2));
    FakeWorker worker = awaitRunning("job-1/1");
    awaitRunning("job-2/1");
    worker.durationSecondsByTask().put("job-1/0", 300.0);
    worker.durationSecondsByTask().put("job-1/1", 300.0);
    simulation.runFor(2);
    worker.hangFor(hangSeconds);
    cancelWithoutWaiting("c1", "job-1");
    simulation.runFor(hangSeconds / 2);
    simulation.killController("c0");
    simulation.runFor(simulation.workerSettings().cancelTimeoutSeconds());
    assertEquals(List.of(), simulation.cloud().workersRunning("job-1/0"));
    simulation.startController("c0");
    simulation.runUntil(200, () -> user.pollStatus("c0", "job-2").equals("done"));
    assertEquals("cancelled", user.pollStatus("c1", "job-1"));
  }

  // Old reports reach every controller just as a new leader takes over.

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void oldReportsDuringFailoverAreHarmless(long seed) {
    resetSimulation(seed);
    simulation.startAllControllers();
    Random random = new Random(seed * 7);
    for (int i = 0; i < 9; i++) {
      String id = "job-" + i;
      String controller = ClusterSimulation.controllerName(i % 3);
      simulation.runUntil(
          20, () -> user.submit(controller, SimulatedUser.jobRequest(id, 3)) / 100 == 2);
    }
    for (int round = 0; round < 5; round++) {
      simulation.runFor(6 + 6 * random.nextDouble());
      List<FakeWorker> workers = List.copyOf(simulation.cloud().allCreatedWorkers());
      String stoppedController = ClusterSimulation.controllerName(random.nextInt(3));
      simulation.killController(stoppedController);
      boolean restartsAtOnce = random.nextBoolean();
      if (restartsAtOnce) {
        simulation.runFor(0.5);
        simulation.startController(stoppedController);
      }
      // Old reports go to every controller, and so to the new leader within the second in which it
      // takes over.
      int formerOwnerIndex = Integer.parseInt(stoppedController.substring(1));
      simulation.runUntil(
          15,
          () ->
              ownerIndexOf(stoppedController) != formerOwnerIndex
                  || simulation.controllers().containsKey(stoppedController));
      for (int i = 0; i < 3; i++) {
        for (FakeWorker worker : workers) {
          if (worker.sentReportCount() > 0) {
            int reportIndex = random.nextInt(worker.sentReportCount());
            String receiver = ClusterSimulation.controllerName(i);
            simulation.runAfter(
                random.nextDouble(), () -> worker.resendReport(reportIndex, receiver));
          }
        }
      }
      simulation.runFor(3);
      if (!simulation.controllers().containsKey(stoppedController)) {
        simulation.startController(stoppedController);
      }
    }
    simulation.checker().faultsEnded();
    for (int i = 0; i < 9; i++) {
      String id = "job-" + i;
      simulation.runUntil(200, () -> user.pollStatus("c1", id).equals("done"));
    }
  }

  @Test
  void oldReportsOfReturnedMachinesLeaveNoRecords() {
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(3);
    for (int i = 0; i < 6; i++) {
      user.submit(
          ClusterSimulation.controllerName(i % 3),
          SimulatedUser.jobRequest("job-" + i, 6).put("guess_s", 3.0));
    }
    simulation.runUntil(30, () -> simulation.cloud().workers().size() >= 3);
    simulation.runUntil(200, () -> simulation.cloud().workers().isEmpty());
    final List<FakeWorker> returnedWorkers = List.copyOf(simulation.cloud().allCreatedWorkers());
    for (int i = 0; i < 3; i++) {
      simulation.killController(ClusterSimulation.controllerName(i));
    }
    simulation.runFor(1);
    startStoppedControllers();
    simulation.runFor(3);
    for (FakeWorker worker : returnedWorkers) {
      for (int i = 0; i < 3; i++) {
        worker.resendReport(
            Math.max(0, worker.sentReportCount() - 3), ClusterSimulation.controllerName(i));
      }
    }
    simulation.runFor(2);
    user.submit("c0", SimulatedUser.jobRequest("job-9", 2).put("guess_s", 3.0));
    simulation.runUntil(40, () -> user.pollStatus("c0", "job-9").equals("done"));
    simulation.runFor(120);
    for (String key : simulation.stateService().keysWithPrefix("c/block/")) {
      assertEquals(0, simulation.stateService().findValue(key).size(), key);
    }
    assertEquals(0, simulation.stateService().keysWithPrefix("c/machine/").size());
  }

  @Test
  void delayedReportDoesNotRestoreReturnedMachine() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask().put("job-1/0", 300.0);
    simulation.runFor(2);
    simulation.networkFaults().holdMessages(message -> message.startsWith(worker.id() + " "));
    var machines = simulation.controllers().get("c0").membership().findHomeEntity().machines();
    simulation.runUntil(
        60, () -> machines.keySet().stream().noneMatch(id -> id.value().equals(worker.id())));
    // The machine has just been returned, and the removal of its record is not stored yet.
    assertTrue(simulation.stateService().findValue("c/block/c0/0").has(worker.id()));
    simulation.networkFaults().releaseHeldMessages();
    simulation.runFor(0.1);
    assertTrue(machines.keySet().stream().noneMatch(id -> id.value().equals(worker.id())));
    simulation.runUntil(80, () -> user.pollStatus("c0", "job-1").equals("done"));
  }
}
