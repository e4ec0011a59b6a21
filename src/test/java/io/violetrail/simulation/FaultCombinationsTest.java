package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.ControllerId;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests two faults at once. Each combination that operators have seen violate invariants has one or
 * more tests.
 */
class FaultCombinationsTest extends SimulationTestBase {
  FaultCombinationsTest() {
    super(5);
  }

  private void awaitDone(double timeoutSeconds, String... jobs) {
    for (String job : jobs) {
      simulation.runUntil(
          timeoutSeconds,
          () ->
              simulation.controllers().keySet().stream()
                  .findAny()
                  .map(n -> user.pollStatus(n, job))
                  .orElse("")
                  .equals("done"));
    }
  }

  // A leader is partitioned from the state service and its peers, but not from workers and users.

  @Test
  void isolatedLeadersJobIsCancelledByItsSuccessorAndItsOtherJobRunsOnce() {
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(60);
    user.submit("c0", SimulatedUser.jobRequest("job-1", 2));
    user.submit("c0", SimulatedUser.jobRequest("job-2", 2));
    awaitRunning("job-1/0");
    awaitRunning("job-2/1");
    simulation.networkFaults().isolateFromStateAndPeers("c0");
    simulation.runUntil(10, () -> ownerIndexOf("c0") != 0);
    String successor = ClusterSimulation.controllerName(ownerIndexOf("c0"));
    simulation.runUntil(10, () -> user.cancel(successor, "job-1").equals("cancelled"));
    assertNotEquals(
        "running",
        user.pollStatus("c0", "job-1"),
        "the former leader must not report a state older than the cancellation");
    assertEquals("503", user.pollStatus("c0", "job-2"));
    simulation.runFor(simulation.workerSettings().cancelTimeoutSeconds());
    assertEquals(List.of(), simulation.cloud().workersRunning("job-1/0"));
    simulation.networkFaults().healLinks();
    simulation.runFor(10);
    awaitDone(200, "job-2");
    assertEquals("cancelled", user.pollStatus("c0", "job-1"));
  }

  // A leader and its successor crash while machines with long tasks are unreachable.

  @Test
  void longTaskOnPartitionedMachineRunsOnceThroughTwoFailovers() {
    simulation.teams().put("blue", new Team("blue", 0, 0, 6, 0));
    simulation.startAllControllers();
    simulation.cloud().setCapacity(3);
    user.submit(
        "c0", SimulatedUser.jobRequest("job-1", 6).put("crew", "blue").put("guess_s", 300.0));
    FakeWorker worker = awaitRunning("job-1/0");
    simulation.cloud().workers().values().forEach(other -> other.setTaskDurationSeconds(40));
    for (int i = 0; i < 6; i++) {
      worker.durationSecondsByTask().put("job-1/" + i, 300.0);
    }
    // The unavailable cloud terminates no machine, so elapsed time is the only evidence that tasks
    // have ended.
    simulation.runFor(2);
    simulation.cloud().setUnavailable(true);
    simulation.networkFaults().partitionHost(worker.id());
    simulation.killController("c0");
    simulation.runUntil(10, () -> ownerIndexOf("c0") != 0);
    simulation.killController(ClusterSimulation.controllerName(ownerIndexOf("c0")));
    simulation.runFor(60);
    simulation.cloud().setUnavailable(false);
    simulation.networkFaults().healHost(worker.id());
    simulation.startController("c0");
    awaitDone(400, "job-1");
  }

  @Test
  void taskOnMachineWithoutInboundTrafficRunsUntilLeaseExpiryAfterFailover() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1).put("guess_s", 300.0));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask().put("job-1/0", 300.0);
    simulation.runFor(2);
    worker.setInboundCut(true);
    simulation.killController("c0");
    simulation.runFor(70);
    worker.setInboundCut(false);
    awaitDone(200, "job-1");
  }

  // The state service refuses the leader alone, then all controllers, while users cancel jobs and
  // query their states.

  @Test
  void everyJobQueryIsAnsweredSoonAfterStateServiceOutage() {
    simulation.startAllControllers();
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      String id = "job-" + i;
      if (user.submit(
              ClusterSimulation.controllerName(i % 3), SimulatedUser.jobRequest(id, 1 + i % 3))
          == 201) {
        jobs.add(id);
      }
    }
    simulation.runFor(8);
    simulation.stateService().refusedControllers().add("c0");
    simulation.runFor(5);
    for (int i = 0; i < 30; i += 4) {
      user.cancel("c" + (1 + i % 2), "job-" + i);
    }
    simulation.runFor(6);
    simulation.stateService().setOutage(true);
    for (int i = 1; i < 30; i += 4) {
      user.cancel("c" + i % 3, "job-" + i);
    }
    simulation.runFor(simulation.workerSettings().cancelTimeoutSeconds() + 10);
    simulation.stateService().setOutage(false);
    simulation.stateService().refusedControllers().clear();
    List<String> unresolvedJobs = new ArrayList<>(jobs);
    double startedAtSeconds = simulation.nowSeconds();
    while (!unresolvedJobs.isEmpty() && simulation.nowSeconds() - startedAtSeconds < 75) {
      unresolvedJobs.removeIf(
          id -> user.pollStatus("c" + simulation.random().nextInt(3), id).matches("[a-z]+"));
      simulation.runFor(0.5);
    }
    assertEquals(List.of(), unresolvedJobs);
    jobs.forEach(
        id ->
            simulation.runUntil(
                120, () -> List.of("done", "cancelled").contains(user.pollStatus("c1", id))));
  }

  @Test
  void queryBurstAfterRestartIsAnsweredAtTheRateLimit() {
    // Each lookup needs two reads. The first reads of a burst used up the budget for the second
    // ones, and hardly any query was answered.
    simulation.setStateLimits(new StateStoreLimits(60, 60, 8192, 24));
    simulation.startAllControllers();
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      String id = "job-" + i;
      simulation.runUntil(
          20, () -> user.submit("c0", SimulatedUser.jobRequest(id, 1).put("guess_s", 1.0)) == 201);
      jobs.add(id);
    }
    awaitDone(120, jobs.toArray(String[]::new));
    for (int i = 0; i < 3; i++) {
      simulation.killController(ClusterSimulation.controllerName(i));
    }
    for (int i = 0; i < 3; i++) {
      simulation.startController(ClusterSimulation.controllerName(i));
    }
    simulation.runUntil(30, () -> user.send("c1", "GET", "/ready", null).status() == 200);
    List<String> unansweredJobs = new ArrayList<>(jobs);
    double startedAtSeconds = simulation.nowSeconds();
    while (!unansweredJobs.isEmpty() && simulation.nowSeconds() - startedAtSeconds < 40) {
      // Queries all unanswered jobs at the same moment, repeatedly.
      List<String> queriedJobs = List.copyOf(unansweredJobs);
      for (String id : queriedJobs) {
        simulation
            .callController("user", "c1", "GET", "/work/" + id, null)
            .thenAccept(
                reply -> {
                  if (reply.status() == 200) {
                    unansweredJobs.remove(id);
                  }
                });
      }
      simulation.runFor(0.5);
    }
    assertEquals(List.of(), unansweredJobs);
  }

  @Test
  void slowStateServiceCausesNoFailover() {
    simulation.startAllControllers();
    simulation.stateService().setReplyDelaySeconds(0.4);
    submitAccepted(6, 2);
    user.cancel("c1", "job-0");
    simulation.runFor(20);
    for (int i = 0; i < 3; i++) {
      assertEquals(i, ownerIndexOf(ClusterSimulation.controllerName(i)));
    }
    awaitDone(200, "job-1", "job-2", "job-3", "job-4", "job-5");
  }

  // A command or its reply is delayed for seconds or lost, and the machine then continues.

  @Test
  void delayedStopCommandDoesNotStopNewAttempt() {
    simulation.startAllControllers();
    simulation.cloud().setCapacity(1);
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1).put("cores", 8.0).put("guess_s", 100.0));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask().put("job-1/0", 60.0);
    worker.durationSecondsByTask().put("job-2/0", 3.0);
    simulation.runFor(3);
    simulation.networkFaults().holdMessages(message -> message.contains(" POST /orders"));
    user.submit(
        "c0", SimulatedUser.jobRequest("job-2", 1).put("cores", 8.0).put("urgency", "high"));
    awaitRunning("job-2/0");
    assertTrue(
        simulation.networkFaults().heldMessageCount() > 0,
        "stop commands are also sent directly, outside heartbeat replies");
    awaitRunning("job-1/0");
    simulation.networkFaults().releaseHeldMessages();
    int launchesBefore = worker.launchCount();
    simulation.runFor(3);
    assertTrue(
        worker.runsTask("job-1/0"),
        "the delayed stop names an earlier attempt than the running one");
    assertEquals(launchesBefore, worker.launchCount());
    awaitDone(200, "job-1", "job-2");
  }

  @Test
  void launchCommandsInLostRepliesAreResent() {
    simulation.startAllControllers();
    FakeWorker worker = simulation.cloud().addRunningMachine("plain", "a");
    simulation.runFor(5);
    worker.setInboundCut(true);
    user.submit("c0", SimulatedUser.jobRequest("job-1", 2));
    simulation.runFor(3);
    worker.setInboundCut(false);
    awaitDone(120, "job-1");
  }

  // An old report of a worker arrives after newer ones.

  @Test
  void duplicateOfOldReportDoesNotDisplaceLongPolledReport() {
    simulation.startAllControllers();
    FakeWorker worker = simulation.cloud().addRunningMachine("plain", "a");
    simulation.runFor(12);
    String controller = worker.controller();
    for (int i = 0; i < 40; i++) {
      worker.resendReport(simulation.random().nextInt(worker.sentReportCount()), controller);
      simulation.runFor(0.25);
      assertEquals(
          controller,
          worker.controller(),
          "the worker must not be redirected to another controller");
    }
  }

  @Test
  void duplicateReportsOfPartitionedMachineDoNotDelayTaskRestart() {
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(20);
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask().put("job-1/0", 500.0);
    simulation.runFor(3);
    simulation.cloud().workers().values().forEach(other -> other.setTaskDurationSeconds(5));
    simulation.networkFaults().partitionHost(worker.id());
    double partitionedAtSeconds = simulation.nowSeconds();
    int lastReport = worker.sentReportCount() - 1;
    boolean startedElsewhere = false;
    while (!startedElsewhere && simulation.nowSeconds() - partitionedAtSeconds < 60) {
      simulation.networkFaults().healHost(worker.id());
      worker.resendReport(lastReport, "c0");
      simulation.runFor(0.01);
      simulation.networkFaults().partitionHost(worker.id());
      simulation.runFor(2);
      startedElsewhere =
          simulation.cloud().workersRunning("job-1/0").stream().anyMatch(other -> other != worker);
    }
    assertTrue(startedElsewhere, "the task must start on another machine within 60 s");
    assertTrue(
        simulation.nowSeconds() - partitionedAtSeconds
            < simulation.workerSettings().leaseSeconds() + 15,
        "duplicate reports must not delay the restart");
    assertTrue(
        simulation.nowSeconds() - partitionedAtSeconds > simulation.workerSettings().leaseSeconds(),
        "the task must not restart before the machine's lease has expired");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void duplicateReportsOfAnyAgeAreHarmlessThroughFailovers(long seed) {
    resetSimulation(seed);
    Random random = new Random(seed);
    simulation.startAllControllers();
    List<String> jobs = submitAccepted(12, 3);
    for (int step = 0; step < 160; step++) {
      List<FakeWorker> workers = List.copyOf(simulation.cloud().workers().values());
      for (int i = 0; i < 4 && !workers.isEmpty(); i++) {
        FakeWorker worker = workers.get(random.nextInt(workers.size()));
        if (worker.sentReportCount() > 0) {
          worker.resendReport(
              random.nextInt(worker.sentReportCount()),
              ClusterSimulation.controllerName(random.nextInt(3)));
        }
      }
      String name = ClusterSimulation.controllerName(random.nextInt(3));
      if (step % 20 == 7 && simulation.controllers().size() == 3) {
        simulation.killController(name);
      } else if (step % 20 == 15) {
        startStoppedControllers();
      }
      simulation.runFor(0.5);
    }
    jobs.forEach(id -> awaitDone(200, id));
  }

  // Machines whose reports arrive, while replies and commands to them are lost.

  @Test
  void machineWithoutInboundTrafficGetsFewLaunchesAndIsReusedOnceReachable() {
    // With a single machine, no other machine takes the work, and this one is not idle for long.
    simulation.cloud().setCapacity(1);
    simulation.startAllControllers();
    FakeWorker worker = simulation.cloud().addRunningMachine("plain", "a");
    worker.setTaskDurationSeconds(5);
    simulation.runFor(6);
    worker.setInboundCut(true);
    for (int i = 0; i < 4; i++) {
      assertEquals(
          201,
          user.submit(
              worker.controller(), SimulatedUser.jobRequest("job-" + i, 4).put("guess_s", 5.0)));
    }
    simulation.runFor(25);
    assertTrue(worker.lostLaunchCount() > 0, "launches must have been sent to the machine");
    assertTrue(
        worker.lostLaunchCount() <= 2 * 8,
        "at most the launches of one reply, and of another after the lease has expired");
    assertEquals(0, worker.launchCount());
    worker.setInboundCut(false);
    awaitDone(90, "job-0", "job-1", "job-2", "job-3");
    assertEquals(16, worker.launchCount(), "the machine is used again and starts each task once");
  }

  @Test
  void cancelledTaskOnMachineWithoutInboundTrafficEndsWithItsLease() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask().put("job-1/0", 500.0);
    simulation.runFor(2);
    worker.setInboundCut(true);
    assertEquals("cancelled", user.cancel("c1", "job-1"));
    simulation.runFor(simulation.workerSettings().leaseSeconds() + 6);
    assertEquals(List.of(), simulation.cloud().workersRunning("job-1/0"));
  }

  // The tasks of jobs with two or three tasks end at very different times, across a failover.

  @ParameterizedTest
  @ValueSource(strings = {"batch", "daemon"})
  void tasksEndingAcrossFailoversAreEachCountedOnce(String shape) {
    resetSimulation(9);
    simulation.startAllControllers();
    FakeWorker worker = simulation.cloud().addRunningMachine("plain", "a");
    worker.durationSecondsByTask().put("job-1/0", 5.0);
    worker.durationSecondsByTask().put("job-1/1", 30.0);
    worker.durationSecondsByTask().put("job-1/2", 60.0);
    simulation.cloud().setCapacity(1);
    simulation.runFor(6);
    user.submit(
        "c0", SimulatedUser.jobRequest("job-1", 3).put("shape", shape).put("guess_s", 20.0));
    awaitRunning("job-1/2");
    simulation.runFor(6);
    simulation.killController("c0");
    simulation.runUntil(10, () -> ownerIndexOf("c0") != 0);
    String successor = ClusterSimulation.controllerName(ownerIndexOf("c0"));
    simulation.runFor(25);
    assertEquals("running", user.pollStatus(successor, "job-1"));
    simulation.killController(successor);
    simulation.startController("c0");
    simulation.runFor(20);
    if (shape.equals("daemon")) {
      assertEquals("running", user.pollStatus("c0", "job-1"));
      return;
    }
    awaitDone(60, "job-1");
    assertEquals(3, worker.launchCount(), "each task is started once");
  }

  // Controllers hand entities over and back; all crash and one restarts, also within a second.

  @Test
  void oneControllerRestartedWithinOneSecondServesAllEntities() {
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(60);
    for (int i = 0; i < 3; i++) {
      user.submit(
          ClusterSimulation.controllerName(i),
          SimulatedUser.jobRequest("job-" + i, 2).put("guess_s", 60.0));
    }
    for (int i = 0; i < 3; i++) {
      awaitRunning("job-" + i + "/1");
    }
    simulation.runFor(3);
    final int launchesBefore = simulation.launches().size();
    for (int i = 0; i < 3; i++) {
      simulation.killController(ClusterSimulation.controllerName(i));
    }
    simulation.runFor(0.3);
    simulation.startController("c1");
    simulation.runUntil(
        12, () -> ownerIndexOf("c0") == 1 && ownerIndexOf("c1") == 1 && ownerIndexOf("c2") == 1);
    simulation.runUntil(5, () -> user.submit("c1", SimulatedUser.jobRequest("job-9", 1)) == 201);
    awaitDone(150, "job-0", "job-1", "job-2", "job-9");
    assertEquals(launchesBefore + 1, simulation.launches().size(), "no task was started again");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void rapidControllerRestartsLoseNoJob(long seed) {
    resetSimulation(seed);
    Random random = new Random(seed * 31);
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(30);
    final List<String> jobs = submitAccepted(9, 2);
    for (int step = 0; step < 40; step++) {
      String name = ClusterSimulation.controllerName(random.nextInt(3));
      if (simulation.controllers().containsKey(name)) {
        simulation.killController(name);
      } else {
        simulation.startController(name);
      }
      simulation.runFor(
          random.nextInt(3) == 0 ? 6 * random.nextDouble() : 0.6 * random.nextDouble());
    }
    startStoppedControllers();
    simulation.runUntil(
        40, () -> ownerIndexOf("c0") == 0 && ownerIndexOf("c1") == 1 && ownerIndexOf("c2") == 2);
    jobs.forEach(id -> awaitDone(300, id));
  }

  @Test
  void handoverSoonAfterFailoverStillWaitsForTheFirstOwnersGracePeriod() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1).put("guess_s", 300.0));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask().put("job-1/0", 300.0);
    simulation.runFor(2);
    simulation.cloud().setUnavailable(true);
    // The worker reaches only the isolated owner, which renews the worker's lease during its
    // keep-alive grace period.
    simulation.networkFaults().isolateFromStateAndPeers("c0");
    simulation.runUntil(10, () -> ownerIndexOf("c0") != 0);
    String firstSuccessor = ClusterSimulation.controllerName(ownerIndexOf("c0"));
    String secondSuccessor = firstSuccessor.equals("c1") ? "c2" : "c1";
    var controller = simulation.controllers().get(firstSuccessor);
    var entity = new ControllerId("c0");
    simulation.runUntil(5, () -> controller.membership().findOwnedEntity(entity).isActive());
    controller
        .membership()
        .handOver(
            controller.membership().findOwnedEntity(entity), new ControllerId(secondSuccessor));
    simulation.runUntil(
        5, () -> ownerIndexOf("c0") == Integer.parseInt(secondSuccessor.substring(1)));
    simulation.runFor(60);
    simulation.cloud().setUnavailable(false);
    simulation.networkFaults().healLinks();
    awaitDone(400, "job-1");
  }

  // A transaction gets no answer and is applied late, after newer ones of the same controller.

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void transactionsAppliedLateAreHarmless(long seed) {
    resetSimulation(seed);
    Random random = new Random(seed * 17);
    simulation.startAllControllers();
    List<String> jobs = new ArrayList<>();
    List<String> cancelled = new ArrayList<>();
    for (int step = 0; step < 60; step++) {
      String controller = ClusterSimulation.controllerName(random.nextInt(3));
      if (random.nextInt(3) == 0) {
        simulation
            .stateService()
            .lateTransactionSeconds()
            .put(controller, 2 + 10 * random.nextDouble());
      } else {
        simulation.stateService().lateTransactionSeconds().clear();
      }
      String id = "job-" + step;
      int status =
          user.submit(
              ClusterSimulation.controllerName(random.nextInt(3)),
              SimulatedUser.jobRequest(id, 1 + random.nextInt(3)));
      if (status / 100 == 2) {
        jobs.add(id);
        if (random.nextInt(4) == 0
            && user.cancel(ClusterSimulation.controllerName(random.nextInt(3)), id)
                .equals("cancelled")) {
          cancelled.add(id);
        }
      }
      if (step == 25) {
        simulation.killController("c2");
      } else if (step == 32) {
        simulation.startController("c2");
      }
      simulation.runFor(random.nextDouble());
    }
    simulation.stateService().lateTransactionSeconds().clear();
    simulation.runFor(15);
    assertFalse(jobs.isEmpty());
    jobs.removeAll(cancelled);
    jobs.forEach(
        id -> simulation.runUntil(300, () -> user.pollStatus("c1", id).matches("done|cancelled")));
    cancelled.forEach(
        id -> simulation.runUntil(30, () -> user.pollStatus("c0", id).equals("cancelled")));
  }

  @Test
  void rejectedHandoverDuringSubmissionLosesNoJob() {
    simulation.startAllControllers();
    var controller = simulation.controllers().get("c0");
    final var ownedEntity = controller.membership().findHomeEntity();
    simulation.networkFaults().holdMessages(message -> message.startsWith("c0 state POST /txn"));
    simulation.callController(
        "user", "c0", "POST", "/work", Cbor.encode(SimulatedUser.jobRequest("job-1", 1)));
    simulation.runFor(0.3);
    controller.membership().handOver(ownedEntity, new ControllerId("c1"));
    // The handover's target restarts before the transaction arrives. Its liveness row is then a new
    // one, so the transaction is rejected.
    simulation.killController("c1");
    simulation.runFor(0.2);
    simulation.startController("c1");
    simulation.runUntil(10, () -> simulation.controllers().get("c1").membership().isLeaseValid());
    simulation.networkFaults().releaseHeldMessages();
    awaitDone(120, "job-1");
  }

  // Invalid input in these situations changes nothing.

  private static ObjectNode reportOf(FakeWorker worker) {
    ObjectNode report =
        Cbor.newMap().put("host", worker.id()).put("endpoint", worker.id() + ":9000");
    report.put("hosttype", "plain").put("yard", "a").put("loaners", false);
    report.put("tenure", 1).put("tick", 1_000_000).put("baton", 0);
    report.putArray("pieces");
    return report;
  }

  private static ObjectNode withTask(
      ObjectNode report, String taskId, Object attempt, String status) {
    ObjectNode task = ((ArrayNode) report.get("pieces")).addObject().put("piece", taskId);
    task.set("try", Cbor.newMap().pojoNode(attempt));
    task.put("status", status);
    return report;
  }

  @Test
  void malformedReportsGet400AndChangeNothing() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1).put("guess_s", 60.0));
    FakeWorker worker = awaitRunning("job-1/0");
    worker.durationSecondsByTask().put("job-1/0", 60.0);
    simulation.runFor(3);
    List<ObjectNode> malformedReports =
        List.of(
            reportOf(worker).put("tenure", -1),
            reportOf(worker).put("tick", Long.MAX_VALUE),
            reportOf(worker).put("baton", Long.MAX_VALUE - 3),
            reportOf(worker).put("tick", 1.5),
            reportOf(worker).put("pieces", "all"),
            withTask(reportOf(worker), "job-1/-1", 1, "running"),
            withTask(reportOf(worker), "job-1/99999999999", 1, "running"),
            withTask(reportOf(worker), "job-1/0", -7, "running"),
            withTask(reportOf(worker), "job-1/0", 1, "sleeping"),
            withTask(withTask(reportOf(worker), "job-1/0", 1, "running"), "job-1/0", 1, "ended"));
    for (ObjectNode report : malformedReports) {
      var reply = user.send("c0", "POST", "/agent/beat", Cbor.encode(report));
      assertEquals(400, reply.status(), report.toString());
    }
    assertEquals(400, user.send("c0", "POST", "/agent/beat", new byte[] {1, 2, 3}).status());
    int launchesBefore = simulation.launches().size();
    awaitDone(90, "job-1");
    assertEquals(launchesBefore, simulation.launches().size(), "no task was started again");
  }

  @Test
  void unknownTaskInReportIsStopped() {
    simulation.startAllControllers();
    FakeWorker worker = simulation.cloud().addRunningMachine("plain", "a");
    simulation.runFor(5);
    worker.addUnlaunchedTask("job-404/0");
    simulation.runFor(8);
    assertFalse(worker.runsTask("job-404/0"), "a reported task of no open job is stopped");
    assertEquals("404", user.pollStatus("c0", "job-404"));
  }
}
