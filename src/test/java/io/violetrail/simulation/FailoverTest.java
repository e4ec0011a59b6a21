package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests leaders that crash and restart in any order and together with other faults, and a steady
 * stream of tiny jobs.
 */
class FailoverTest extends SimulationTestBase {
  FailoverTest() {
    super(12);
  }

  private void awaitAllFinished(double timeoutSeconds, List<String> jobs) {
    double deadlineSeconds = simulation.nowSeconds() + timeoutSeconds;
    for (String id : jobs) {
      simulation.runUntil(
          Math.max(1, deadlineSeconds - simulation.nowSeconds()),
          () -> user.pollStatus("c1", id).matches("done|cancelled"));
    }
  }

  // New machines boot within two seconds and get work at once while writes lag, and the leader
  // crashes.

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void newMachinesGetWorkWhileWritesLagAndTheLeaderFails(long seed) {
    resetSimulation(seed);
    Random random = new Random(seed * 5);
    simulation.teams().put("blue", new Team("blue", 0, 0, 18, 0));
    simulation.cloud().setBootSeconds(n -> 0.3 + 1.6 * random.nextDouble());
    simulation.cloud().setRentalReplyDelaySeconds(random.nextInt(3));
    simulation.startAllControllers();
    for (int i = 0; i < 3; i++) {
      simulation
          .stateService()
          .lateTransactionShare()
          .put(ClusterSimulation.controllerName(i), 0.3);
    }
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      ObjectNode job =
          SimulatedUser.jobRequest("job-" + i, 4).put("crew", i % 2 == 0 ? "blue" : "red");
      int status = user.submit(ClusterSimulation.controllerName(i % 3), job);
      if (status / 100 == 2) {
        jobs.add("job-" + i);
      }
    }
    simulation.runFor(1 + 2 * random.nextDouble());
    for (int round = 0; round < 3; round++) {
      String leader = ClusterSimulation.controllerName(random.nextInt(3));
      simulation.killController(leader);
      simulation.runFor(2 + 6 * random.nextDouble());
      startStoppedControllers();
      simulation.runFor(3 * random.nextDouble());
    }
    simulation.stateService().lateTransactionShare().clear();
    simulation.runFor(15);
    simulation.checker().faultsEnded();
    awaitAllFinished(250, jobs);
  }

  // All controllers are down for longer than lease_s.

  @ParameterizedTest
  @ValueSource(doubles = {11, 20, 45})
  void jobsFinishAfterAllControllersWereDownPastTheLease(double downSeconds) {
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(30);
    final List<String> jobs = submitAccepted(6, 3);
    simulation.runFor(10);
    cancelWithoutWaiting("c1", "job-1");
    simulation.runFor(0.3);
    for (int i = 0; i < 3; i++) {
      simulation.killController(ClusterSimulation.controllerName(i));
    }
    simulation.runFor(downSeconds);
    startStoppedControllers();
    final double restartedAtSeconds = simulation.nowSeconds();
    simulation.runFor(4);
    simulation.checker().faultsEnded();
    simulation.runUntil(20, () -> user.submit("c0", SimulatedUser.jobRequest("job-9", 1)) == 201);
    awaitAllFinished(120, jobs);
    awaitAllFinished(60, List.of("job-9"));
    assertTrue(simulation.nowSeconds() - restartedAtSeconds < 150);
  }

  // The leader changes ten times in two minutes, also during an outage of the state service.

  @ParameterizedTest
  @CsvSource({"1, false", "2, false", "3, false", "4, true", "5, true", "6, true"})
  void jobsFinishThroughTenFailoversInTwoMinutes(long seed, boolean outage) {
    resetSimulation(seed);
    Random random = new Random(seed);
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(40);
    final List<String> jobs = submitAccepted(9, 3);
    simulation.runFor(8);
    // One machine is unreachable throughout, and the cloud terminates nothing. All owners therefore
    // wait for evidence that the machine's tasks have ended; a new owner must not restart that
    // wait.
    FakeWorker partitionedWorker = simulation.cloud().workers().values().iterator().next();
    simulation.networkFaults().partitionHost(partitionedWorker.id());
    simulation.cloud().setUnavailable(true);
    double startedAtSeconds = simulation.nowSeconds();
    for (int change = 0; change < 10; change++) {
      String name = ClusterSimulation.controllerName(random.nextInt(3));
      simulation.killController(name);
      if (outage && change == 4) {
        simulation.stateService().setOutage(true);
      }
      simulation.runFor(3 + 5 * random.nextDouble());
      startStoppedControllers();
      simulation.runFor(2 + 2 * random.nextDouble());
      if (outage && change == 6) {
        simulation.stateService().setOutage(false);
      }
    }
    assertTrue(simulation.nowSeconds() - startedAtSeconds < 130);
    simulation.checker().faultsEnded();
    simulation.runFor(70);
    // Long after the last change of leader, but before the machine and the cloud recover.
    for (String id : jobs) {
      assertTrue(
          user.pollStatus("c1", id).matches("done|running"),
          id + " is " + user.pollStatus("c1", id));
    }
    simulation.cloud().setUnavailable(false);
    simulation.networkFaults().healHost(partitionedWorker.id());
    awaitAllFinished(250, jobs);
  }

  // A zone with workers and a controller is partitioned for longer than lease_s.

  @ParameterizedTest
  @CsvSource({"1, 12", "2, 25", "3, 45", "4, 70"})
  void jobsFinishAfterZonePartitionPastTheLease(long seed, double partitionSeconds) {
    resetSimulation(seed);
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(50);
    final List<String> jobs = submitAccepted(9, 3);
    simulation.runFor(10);
    var workersInside =
        simulation.cloud().workers().values().stream()
            .filter(w -> "a".equals(w.zone()))
            .map(w -> w.id())
            .collect(Collectors.toSet());
    // Messages between the zone and the rest are held back, and delivered in order afterwards.
    simulation
        .networkFaults()
        .holdMessages(
            message -> {
              String[] parts = message.split(" ", 0);
              boolean fromInside = parts[0].equals("c0") || workersInside.contains(parts[0]);
              boolean toInside = parts[1].equals("c0") || workersInside.contains(parts[1]);
              return fromInside != toInside && !parts[0].equals("user");
            });
    simulation.runFor(partitionSeconds * 0.4);
    for (int i = 0; i < 6; i++) {
      cancelWithoutWaiting(ClusterSimulation.controllerName(1 + i % 2), "job-" + i);
    }
    simulation.runFor(partitionSeconds * 0.6);
    simulation.networkFaults().releaseHeldMessages();
    simulation.runFor(8);
    simulation.checker().faultsEnded();
    awaitAllFinished(250, jobs);
  }

  // One-task jobs arrive at four a second for minutes, and a quarter of them are cancelled.

  @Test
  void steadyStreamOfTinyJobsCostsFewWritesAndAllFinish() {
    // The smallest settings allow 25 writes a second. The assertions use counts, never elapsed
    // time.
    simulation.setStateLimits(new StateStoreLimits(60, 25, 8192, 24));
    simulation.cloud().setCapacity(60);
    simulation.cloud().setTaskDurationSeconds(6);
    simulation.startAllControllers();
    final int writesBefore = simulation.stateService().writeCount();
    int[] refusedCount = {0};
    int jobCount = 4 * 120;
    for (int i = 0; i < jobCount; i++) {
      ObjectNode job = SimulatedUser.jobRequest("job-" + i, 1).put("guess_s", 6.0);
      String controller = ClusterSimulation.controllerName(i % 3);
      boolean cancel = i % 4 == 3;
      simulation
          .callController("user", controller, "POST", "/work", Cbor.encode(job))
          .thenAccept(
              reply -> {
                refusedCount[0] += reply.status() == 201 ? 0 : 1;
                if (cancel) {
                  String canceller =
                      ClusterSimulation.controllerName(simulation.random().nextInt(3));
                  String id = job.get("name_id").asText();
                  simulation.runAfter(2, () -> cancelWithoutWaiting(canceller, id));
                  simulation.runAfter(4, () -> cancelWithoutWaiting(canceller, id));
                }
              });
      simulation.runFor(0.25);
    }
    simulation.checker().faultsEnded();
    simulation.runFor(30);
    assertTrue(
        refusedCount[0] <= jobCount / 50,
        refusedCount[0] + " of " + jobCount + " jobs were not accepted at the first attempt");
    double writesPerJob =
        (simulation.stateService().writeCount() - writesBefore) / (double) jobCount;
    assertTrue(writesPerJob < 3.5, writesPerJob + " writes per job");
    int unfinished = 0;
    for (int i = 0; i < jobCount; i++) {
      String status = user.pollStatus(ClusterSimulation.controllerName(i % 3), "job-" + i);
      unfinished += status.matches("done|cancelled|404") ? 0 : 1;
      simulation.runFor(0.02);
    }
    assertEquals(0, unfinished, "each job has ended and is reported as such");
    assertTrue(simulation.checker().startsAfterCancellation() <= 2);
  }

  // The cloud answers no requests for a while.

  @Test
  void controllersStartedDuringCloudOutageKnowTheMachineTypes() {
    // The types were fetched before the controller had a lease to write under, and were therefore
    // stored only minutes later.
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 2).put("guess_s", 60.0));
    simulation.runFor(10);
    simulation.cloud().setUnavailable(true);
    for (int i = 0; i < 3; i++) {
      simulation.killController(ClusterSimulation.controllerName(i));
    }
    simulation.runFor(1);
    startStoppedControllers();
    simulation.runUntil(10, () -> user.submit("c0", SimulatedUser.jobRequest("job-2", 1)) == 201);
    awaitAllFinished(60, List.of("job-1", "job-2"));
  }

  @Test
  void idleMachinesThatCannotBeReturnedAreReused() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 2));
    awaitAllFinished(60, List.of("job-1"));
    simulation.cloud().setUnavailable(true);
    // Long enough for the machines to exceed their idle time, while the cloud does not take them
    // back.
    simulation.runFor(120);
    user.submit("c0", SimulatedUser.jobRequest("job-2", 2));
    awaitAllFinished(40, List.of("job-2"));
    simulation.cloud().setUnavailable(false);
  }
}
