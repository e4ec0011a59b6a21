package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.controller.Controller;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Failover of 1,000 machines to the last controller, and leases of frozen or unreachable
 * controllers.
 */
class FleetFailoverTest extends SimulationTestBase {
  private static final int MACHINE_COUNT = 1_000;

  FleetFailoverTest() {
    super(11);
  }

  private List<String> submitBatches(int jobCount, int taskCount) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < jobCount; i++) {
      String id = "job-" + taskCount + i;
      ids.add(id);
      String controller =
          simulation.controllers().containsKey(ClusterSimulation.controllerName(i % 3))
              ? ClusterSimulation.controllerName(i % 3)
              : "c2";
      simulation.callController(
          "user",
          controller,
          "POST",
          "/work",
          Cbor.encode(SimulatedUser.jobRequest(id, taskCount)));
    }
    return ids;
  }

  private long machinesExamined() {
    return simulation.controllers().values().stream()
        .mapToLong(controller -> controller.machinesExamined())
        .sum();
  }

  @Test
  void lastControllerServesOneThousandMachinesAfterFailover() {
    simulation.setStateLimits(new StateStoreLimits(500, 60, 8192, 24));
    simulation.cloud().setCapacity(MACHINE_COUNT);
    simulation.startAllControllers();
    for (int i = 0; i < MACHINE_COUNT; i++) {
      simulation.cloud().addRunningMachine("plain", i % 2 == 0 ? "a" : "b");
    }
    simulation.runFor(30);
    final List<String> firstJobs = submitBatches(6, 1_500);
    simulation.runFor(4);
    final int writesBefore = simulation.stateService().writeCount();
    simulation.killController("c0");
    simulation.killController("c1");
    // Every worker receives a valid term before its lease expires, even if not all jobs and
    // machines have been reconciled by then.
    simulation.runUntil(
        30, () -> simulation.controllers().get("c2").membership().ownedEntities().size() == 3);
    simulation.runFor(20);
    long expiredLeases =
        simulation.cloud().workers().values().stream()
            .mapToLong(FakeWorker::expiredLeaseCount)
            .sum();
    assertEquals(0, expiredLeases, "expired worker leases");
    Controller lastController = simulation.controllers().get("c2");
    assertTrue(
        lastController.membership().ownedEntities().stream().allMatch(entity -> entity.isActive()),
        "all entities are active");
    // A failover writes one ownership change per entity and nothing per machine.
    int writesOfFailover = simulation.stateService().writeCount() - writesBefore;
    assertTrue(
        writesOfFailover < MACHINE_COUNT / 4,
        "writes of the failover and of job progress: " + writesOfFailover);
    long examinedBefore = machinesExamined();
    List<String> secondJobs = submitBatches(4, 1_500);
    for (String id : secondJobs) {
      simulation.runUntil(200, () -> user.pollStatus("c2", id).equals("done"));
    }
    for (String id : firstJobs) {
      simulation.runUntil(200, () -> user.pollStatus("c2", id).equals("done"));
    }
    long examinedPerTask = (machinesExamined() - examinedBefore) / (4 * 1_500);
    assertTrue(examinedPerTask < 25, "machines examined per task: " + examinedPerTask);
  }

  /**
   * Freezes a controller for longer than its lease, at moments spread across its renewals, launches
   * and writes. It resumes in mid-step, with all messages and timers that queued up meanwhile.
   */
  @Test
  void controllerFrozenPastItsLeaseActsOnNoStaleDecision() {
    for (int step = 0; step < 25; step++) {
      ClusterSimulation frozenSimulation = new ClusterSimulation(3, 31 + step);
      frozenSimulation.cloud().setCapacity(12);
      frozenSimulation.startAllControllers();
      SimulatedUser frozenUser = new SimulatedUser(frozenSimulation);
      for (int i = 0; i < 6; i++) {
        frozenUser.submit(
            ClusterSimulation.controllerName(i % 3), SimulatedUser.jobRequest("job-" + i, 20));
      }
      frozenSimulation.runFor(4 + 0.13 * step);
      var frozenController = frozenSimulation.controllers().get("c0");
      final var versionBefore = frozenController.membership().findHomeEntity().row().version();
      // Messages that c0 has written but not sent leave only as it resumes, and arrive too late.
      frozenSimulation
          .networkFaults()
          .holdMessages(
              message -> message.startsWith("c0 state POST /txn") || message.startsWith("c0 vm-"));
      frozenSimulation.runFor(0.02);
      frozenSimulation.freezeController("c0", 25);
      frozenSimulation.runFor(25 - 0.05);
      frozenSimulation.networkFaults().releaseHeldMessages();
      frozenSimulation.runFor(0.3);
      // c0 detects its lease expiry at once, before it acts on any message that queued up.
      assertTrue(
          frozenController.membership().findHomeEntity() == null
              || frozenController
                      .membership()
                      .findHomeEntity()
                      .row()
                      .version()
                      .compareTo(versionBefore)
                  > 0,
          "the controller still acts under its old version");
      for (int i = 0; i < 6; i++) {
        String id = "job-" + i;
        frozenSimulation.runUntil(300, () -> frozenUser.pollStatus("c1", id).equals("done"));
      }
      assertEquals(List.of(), frozenSimulation.violations(), "step " + step);
    }
  }

  @Test
  void unreachablePeersCauseNoFailoverWhileTheirLeasesHold() {
    simulation.startAllControllers();
    simulation.cloud().setCapacity(20);
    user.submit("c0", SimulatedUser.jobRequest("job-1", 40));
    final var rows =
        simulation.controllers().get("c1").membership().ownedEntities().stream()
            .map(entity -> entity.row())
            .toList();
    simulation.networkFaults().holdMessages(message -> message.matches("c[0-2] c[0-2] .*"));
    simulation.runFor(60);
    simulation.networkFaults().releaseHeldMessages();
    assertEquals(
        rows,
        simulation.controllers().get("c1").membership().ownedEntities().stream()
            .map(entity -> entity.row())
            .toList(),
        "no entity changes its owner");
    simulation.runUntil(120, () -> user.pollStatus("c2", "job-1").equals("done"));
  }
}
