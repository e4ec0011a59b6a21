package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;

/** What stories of three controllers have in common. At the end of each no rule is broken. */
abstract class SimulationTestBase {
  protected ClusterSimulation simulation;
  protected SimulatedUser user;

  SimulationTestBase(long seed) {
    resetSimulation(seed);
  }

  protected final void resetSimulation(long seed) {
    simulation = new ClusterSimulation(3, seed);
    user = new SimulatedUser(simulation);
  }

  @AfterEach
  void assertNoViolations() {
    assertEquals(List.of(), simulation.violations);
  }

  protected FakeWorker awaitRunning(String task) {
    simulation.runUntil(60, () -> simulation.cloud.workersRunning(task).size() == 1);
    return simulation.cloud.workersRunning(task).get(0);
  }

  protected int ownerIndexOf(String entity) {
    return (int)
        (simulation.stateService.findValue("c/entity/" + entity).get("version").asLong() % 10);
  }

  /** So many jobs of so many tasks, each taken in by one controller after the other. */
  protected List<String> submitAccepted(int jobCount, int taskCount) {
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < jobCount; i++) {
      String id = "job-" + i;
      String controller = ClusterSimulation.controllerName(i % 3);
      simulation.runUntil(
          20, () -> user.submit(controller, SimulatedUser.jobRequest(id, taskCount)) / 100 == 2);
      jobs.add(id);
    }
    return jobs;
  }

  /** Asks for a cancellation and goes on without the answer. */
  protected void cancelWithoutWaiting(String controller, String id) {
    simulation.callController(
        "user", controller, "POST", "/work/" + id + "/abort", Cbor.encode(Cbor.newMap()));
  }

  protected void startStoppedControllers() {
    for (int i = 0; i < 3; i++) {
      if (!simulation.controllers.containsKey(ClusterSimulation.controllerName(i))) {
        simulation.startController(ClusterSimulation.controllerName(i));
      }
    }
  }
}
