package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;

/**
 * Gives each test its own simulated cluster, and checks after each test that no invariant was
 * violated, see {@link ClusterSimulation#violations}.
 */
public abstract class SimulationTestBase {
  private static final int CONTROLLER_COUNT = 3;

  protected ClusterSimulation simulation;
  protected SimulatedUser user;

  protected SimulationTestBase(long seed) {
    this(CONTROLLER_COUNT, seed);
  }

  protected SimulationTestBase(int controllerCount, long seed) {
    resetSimulation(controllerCount, seed);
  }

  /** Replaces the cluster with a new one of three controllers, none of them started. */
  protected final void resetSimulation(long seed) {
    resetSimulation(CONTROLLER_COUNT, seed);
  }

  protected final void resetSimulation(int controllerCount, long seed) {
    simulation = new ClusterSimulation(controllerCount, seed);
    user = new SimulatedUser(simulation);
  }

  @AfterEach
  protected void assertNoViolations() {
    assertEquals(List.of(), simulation.violations());
  }

  protected FakeWorker awaitRunning(String task) {
    simulation.runUntil(60, () -> simulation.cloud().workersRunning(task).size() == 1);
    return simulation.cloud().workersRunning(task).get(0);
  }

  protected long versionOf(String entity) {
    return simulation.stateService().findValue("c/entity/" + entity).get("version").asLong();
  }

  /** Returns the index of the controller that owns the entity: the last digit of its version. */
  protected int ownerIndexOf(String entity) {
    return (int) (versionOf(entity) % 10);
  }

  /** Returns how many tasks the workers that still exist have started. */
  protected int launchCount() {
    return simulation.cloud().workers().values().stream()
        .mapToInt(worker -> worker.launchCount())
        .sum();
  }

  protected int rentedMachineCount() {
    return simulation.cloud().machinesByRequest().values().stream().mapToInt(List::size).sum();
  }

  /** Submits jobs to the three controllers in turn until each is accepted; returns their ids. */
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

  /** Requests a cancellation without waiting for the answer. */
  protected void cancelWithoutWaiting(String controller, String id) {
    simulation.callController(
        "user", controller, "POST", "/work/" + id + "/abort", Cbor.encode(Cbor.newMap()));
  }

  protected void startStoppedControllers() {
    for (int i = 0; i < 3; i++) {
      if (!simulation.controllers().containsKey(ClusterSimulation.controllerName(i))) {
        simulation.startController(ClusterSimulation.controllerName(i));
      }
    }
  }
}
