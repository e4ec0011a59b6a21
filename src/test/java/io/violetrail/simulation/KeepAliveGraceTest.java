package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.WorkerTiming;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the keep-alive grace period of owners whose lease is uncertain. The state service refuses
 * one owner, its successor confirms cancellations, and then the state service is down for all
 * controllers for longer than {@code cancel_s}, while workers keep reporting. The cancelled tasks
 * must still end in time, whatever the ratio of {@code cancel_s} to the workers' lease.
 */
class KeepAliveGraceTest extends SimulationTestBase {
  KeepAliveGraceTest() {
    super(7);
  }

  static Stream<WorkerTiming> deployments() {
    return Stream.of(
        new WorkerTiming(1, 10, 45, 4, 40),
        new WorkerTiming(2.5, 16, 50, 6, 36),
        new WorkerTiming(3, 17.5, 50, 6, 37.5),
        new WorkerTiming(4, 22, 45, 4, 52),
        new WorkerTiming(3, 17.5, 50, 6, 30));
  }

  private FakeWorker startWithRunningJob(WorkerTiming workers) {
    simulation.setWorkerSettings(workers);
    simulation.cloud().setTaskDurationSeconds(500);
    simulation.startAllControllers();
    simulation.runUntil(
        10,
        () -> user.submit("c0", SimulatedUser.jobRequest("job-1", 2).put("guess_s", 500.0)) == 201);
    simulation.runUntil(60, () -> simulation.cloud().workersRunning("job-1/0").size() == 1);
    return simulation.cloud().workersRunning("job-1/0").get(0);
  }

  /** Waits for the failover and cancels the job at the new owner, whose name is returned. */
  private String cancelThroughSuccessor() {
    simulation.runUntil(simulation.workerSettings().leaseSeconds(), () -> ownerIndexOf("c0") != 0);
    String name = ClusterSimulation.controllerName(ownerIndexOf("c0"));
    simulation.runUntil(
        10, () -> simulation.controllers().get(name).membership().ownedEntities().size() == 2);
    simulation.runUntil(10, () -> "cancelled".equals(user.cancel(name, "job-1")));
    return name;
  }

  private void runStateOutageBeyondCancellationDeadline() {
    simulation.stateService().setOutage(true);
    simulation.runFor(simulation.workerSettings().cancelTimeoutSeconds() * 1.6);
    assertEquals(List.of(), simulation.violations());
    assertEquals(List.of(), simulation.cloud().workersRunning("job-1/0"));
    simulation.stateService().setOutage(false);
    simulation.networkFaults().healLinks();
    simulation.stateService().refusedControllers().clear();
  }

  @AfterEach
  @Override
  protected void assertNoViolations() {
    simulation.runFor(30);
    super.assertNoViolations();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void cancelledTasksEndWhenTheIsolatedOldLeaderKeepsItsWorkers(WorkerTiming workers) {
    startWithRunningJob(workers);
    simulation.networkFaults().isolateFromStateAndPeers("c0");
    cancelThroughSuccessor();
    runStateOutageBeyondCancellationDeadline();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void cancelledTasksEndWhenWorkersReachTheSuccessorDuringItsUncertainLease(WorkerTiming workers) {
    startWithRunningJob(workers);
    simulation.networkFaults().isolateFromStateAndPeers("c0");
    double isolatedAtSeconds = simulation.nowSeconds();
    cancelThroughSuccessor();
    // The outage starts so late that the former leader's grace period ends well within it, and the
    // successor's grace period ends later.
    simulation.runFor(
        Math.max(
            0,
            simulation.workerSettings().leaseSeconds()
                - (simulation.nowSeconds() - isolatedAtSeconds)));
    runStateOutageBeyondCancellationDeadline();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void cancelledTasksEndWhenTheStateServiceRejectsOnlyTheOldLeader(WorkerTiming workers) {
    startWithRunningJob(workers);
    simulation.stateService().refusedControllers().add("c0");
    cancelThroughSuccessor();
    runStateOutageBeyondCancellationDeadline();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void cancelledTasksEndWhenTheOutageFollowsTheConfirmation(WorkerTiming workers) {
    FakeWorker worker = startWithRunningJob(workers);
    simulation.runFor(2 * workers.heartbeatIntervalSeconds());
    simulation.networkFaults().partitionHost(worker.id());
    assertEquals("cancelled", user.cancel("c0", "job-1"));
    simulation.stateService().setOutage(true);
    simulation.runFor(workers.leaseSeconds() * 0.8);
    assertTrue(simulation.cloud().workers().containsKey(worker.id()));
    // The machine becomes reachable again within its lease, while the owner's lease is uncertain.
    simulation.networkFaults().healHost(worker.id());
    simulation.runFor(2.5 * workers.heartbeatIntervalSeconds() + 5);
    assertFalse(
        worker.runsTask("job-1/0"),
        "an owner whose lease is uncertain must still stop the cancelled task");
    runStateOutageBeyondCancellationDeadline();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void cancelledTasksEndWhenTheSuccessorFailsToo(WorkerTiming workers) {
    startWithRunningJob(workers);
    simulation.networkFaults().isolateFromStateAndPeers("c0");
    String firstSuccessor = cancelThroughSuccessor();
    simulation.killController(firstSuccessor);
    String secondSuccessor = firstSuccessor.equals("c1") ? "c2" : "c1";
    simulation.runUntil(
        workers.leaseSeconds(),
        () ->
            simulation.controllers().get(secondSuccessor).membership().ownedEntities().size() == 3);
    runStateOutageBeyondCancellationDeadline();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void cancelledTasksEndWhileTheNewOwnerCannotReadItsRows(WorkerTiming workers) {
    FakeWorker worker = startWithRunningJob(workers);
    simulation.runFor(2 * workers.heartbeatIntervalSeconds());
    simulation.networkFaults().partitionHost(worker.id());
    assertEquals("cancelled", user.cancel("c0", "job-1"));
    simulation.killController("c0");
    // Reads of the entity's rows are held, while lease renewals and ownership changes succeed.
    simulation.networkFaults().holdMessages(message -> message.contains("GET /keys?under=open/c0"));
    simulation.runFor(workers.leaseSeconds() * 0.75);
    simulation.networkFaults().healHost(worker.id());
    simulation.runFor(workers.cancelTimeoutSeconds());
    assertEquals(List.of(), simulation.violations());
    simulation.networkFaults().releaseHeldMessages();
  }

  @ParameterizedTest
  @ValueSource(doubles = {8, 10, 12, 14, 16, 18, 20, 22})
  void gracePeriodIsNotGrantedAgainByThirdOwner(double delaySeconds) {
    WorkerTiming workers = new WorkerTiming(3, 17.5, 50, 6, 37.5);
    startWithRunningJob(workers);
    simulation.networkFaults().isolateFromStateAndPeers("c0");
    String firstSuccessor = cancelThroughSuccessor();
    simulation.runFor(delaySeconds);
    simulation.killController(firstSuccessor);
    final String secondSuccessor = firstSuccessor.equals("c1") ? "c2" : "c1";
    simulation.networkFaults().holdMessages(message -> message.contains("GET /keys?under=open/c0"));
    simulation.runFor(workers.cancelTimeoutSeconds() * 2);
    assertEquals(List.of(), simulation.violations());
    assertTrue(
        simulation.controllers().get(secondSuccessor).membership().ownedEntities().size() > 1);
    simulation.networkFaults().healLinks();
    simulation.networkFaults().releaseHeldMessages();
  }
}
