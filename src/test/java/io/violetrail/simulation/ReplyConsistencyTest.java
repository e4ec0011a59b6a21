package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that no answer about a job, from any controller, is older than an answer that was received
 * before the request was sent. The faults are lost commit replies, rapid polling, cancellations
 * that race the end of a job, and entities that move between controllers.
 */
class ReplyConsistencyTest extends SimulationTestBase {
  ReplyConsistencyTest() {
    super(5);
  }

  private static ObjectNode shortJob(String id) {
    return SimulatedUser.jobRequest(id, 1).put("guess_s", 2.0);
  }

  // A transaction is applied but its reply is lost, and other controllers read what it wrote.

  @ParameterizedTest
  @CsvSource({"true, c0", "true, c2", "false, c0", "false, c2"})
  void outcomeWhoseCommitReplyIsLostIsNotContradictedByItsOwner(
      boolean cancelled, String queriedController) {
    // The owner reported "running" from memory after another controller had read "cancelled" or
    // "done".
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(cancelled ? 60 : 6);
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    awaitRunning("job-1/0");
    simulation.runFor(2);
    simulation.stateService().lostReplyShare().put("c0", 1.0);
    // c1 cannot query the owner, and reads the stored rows itself.
    simulation.networkFaults().refuseConnections(message -> message.startsWith("c1 c0 "));
    if (cancelled) {
      simulation.runUntil(10, () -> user.cancel("c1", "job-1").equals("503"));
      simulation.callController(
          "user", "c0", "POST", "/work/job-1/abort", Cbor.encode(Cbor.newMap()));
    }
    String outcome = cancelled ? "cancelled" : "done";
    simulation.runUntil(20, () -> user.pollStatus("c1", "job-1").equals(outcome));
    for (int i = 0; i < 10; i++) {
      assertNotEquals("running", user.pollStatus(queriedController, "job-1"));
    }
    assertEquals(
        outcome,
        user.pollStatus(queriedController, "job-1"),
        "the stored outcome is reported while the owner's commit is still undecided");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void repliesStayConsistentWhenCommitRepliesAreLostAtRandom(long seed) {
    resetSimulation(seed);
    simulation.startAllControllers();
    Random random = new Random(seed * 13);
    simulation.cloud().setTaskDurationSeconds(3);
    for (int i = 0; i < 3; i++) {
      simulation.stateService().lostReplyShare().put(ClusterSimulation.controllerName(i), 0.25);
    }
    for (int step = 0; step < 40; step++) {
      ObjectNode job = shortJob("job-" + step);
      String controller = ClusterSimulation.controllerName(random.nextInt(3));
      simulation
          .callController("user", controller, "POST", "/work", Cbor.encode(job))
          .thenAccept(r -> user.pollAndResubmitEverywhere(job, random.nextInt(4) == 0));
      String earlierJob = "job-" + random.nextInt(step + 1);
      byte[] emptyBody = Cbor.encode(Cbor.newMap());
      if (random.nextInt(3) == 0) {
        simulation
            .callController(
                "user",
                ClusterSimulation.controllerName(random.nextInt(3)),
                "POST",
                "/work/" + earlierJob + "/abort",
                emptyBody)
            .thenAccept(r -> user.pollAndResubmitEverywhere(shortJob(earlierJob), true));
      }
      if (step == 20) {
        simulation.killController("c1");
      } else if (step == 30) {
        simulation.startController("c1");
      }
      simulation.runFor(0.2 + random.nextDouble());
    }
    simulation.stateService().lostReplyShare().clear();
    simulation.checker().faultsEnded();
    for (int step = 0; step < 40; step++) {
      String id = "job-" + step;
      simulation.runUntil(150, () -> user.pollStatus("c0", id).matches("done|cancelled|404"));
      String outcome = user.pollStatus("c0", id);
      assertEquals(outcome, user.pollStatus("c1", id));
      assertEquals(outcome, user.pollStatus("c2", id));
    }
  }

  @Test
  void submissionWhoseCommitReplyIsLostIsKnownEverywhereOnceReported() {
    simulation.startAllControllers();
    simulation.stateService().lostReplyShare().put("c0", 1.0);
    ObjectNode job = SimulatedUser.jobRequest("job-1", 1);
    simulation.callController("user", "c0", "POST", "/work", Cbor.encode(job));
    simulation.runUntil(5, () -> user.pollStatus("c1", "job-1").equals("queued"));
    for (int i = 0; i < 3; i++) {
      assertEquals("queued", user.pollStatus(ClusterSimulation.controllerName(i), "job-1"));
      int status = user.submit(ClusterSimulation.controllerName(i), job);
      assertTrue(status == 200 || status == 503, "a repeated submission got status " + status);
    }
    assertNotEquals("404", user.cancel("c2", "job-1"));
    simulation.stateService().lostReplyShare().clear();
    simulation.runUntil(90, () -> user.pollStatus("c0", "job-1").equals("done"));
  }

  // A cancellation, query or repeated submission races the end of a job's last task, without any
  // fault.

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void cancellationRacingTheLastTasksEndHasOneOutcome(long seed) {
    resetSimulation(seed);
    simulation.startAllControllers();
    Random random = new Random(seed);
    simulation.cloud().setTaskDurationSeconds(4);
    for (int i = 0; i < 12; i++) {
      ObjectNode job = shortJob("job-" + i);
      String id = "job-" + i;
      String controller = ClusterSimulation.controllerName(i % 3);
      simulation.runUntil(10, () -> user.submit(controller, job) / 100 == 2);
      awaitRunning(id + "/0");
      simulation.runUntil(20, () -> simulation.checker().isTaskDone(id + "/0"));
      // The delay varies, so that the report of the task's end is in flight, has just arrived, is
      // being stored, or is stored.
      double delaySeconds = 0.08 * random.nextDouble();
      String canceller = ClusterSimulation.controllerName(random.nextInt(3));
      simulation.runAfter(delaySeconds, () -> cancelWithoutWaiting(canceller, id));
      simulation.runAfter(delaySeconds, () -> user.pollAndResubmitEverywhere(job, false));
      simulation.runUntil(10, () -> user.pollStatus(canceller, id).matches("done|cancelled"));
      user.pollAndResubmitEverywhere(job, true);
      simulation.runFor(1);
    }
  }

  // Rapid polling without a fault, with a slow state service, with c0 partitioned from its peers,
  // with c0's lease uncertain, or after a failover of c0's entity.

  @ParameterizedTest
  @ValueSource(strings = {"well", "slow", "cut", "doubt", "moved"})
  void repliesStayConsistentUnderRapidPolling(String fault) {
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(3);
    for (int i = 0; i < 15; i++) {
      ObjectNode job = shortJob("job-" + i);
      String id = "job-" + i;
      String controller = ClusterSimulation.controllerName(i % 3);
      if (i == 3) {
        switch (fault) {
          case "slow" -> simulation.stateService().setReplyDelaySeconds(0.3);
          case "cut" ->
              simulation
                  .networkFaults()
                  .refuseConnections(message -> message.matches("c[12] c0 .*|c0 c[12] .*"));
          case "doubt" -> simulation.stateService().refusedControllers().add("c0");
          case "moved" -> simulation.killController("c0");
          default -> {
            // The value "well" injects no fault.
          }
        }
      }
      if (i == 8 && fault.equals("moved")) {
        simulation.startController("c0");
      }
      simulation.runUntil(
          40,
          () ->
              user.submit(ClusterSimulation.controllerName(simulation.random().nextInt(3)), job)
                      / 100
                  == 2);
      user.pollAndResubmitEverywhere(job, i % 5 == 0);
      simulation.runFor(0.5);
      if (i % 3 == 1) {
        // Sends a single request, whatever its answer; it is not retried.
        user.cancel(controller, id);
        user.pollAndResubmitEverywhere(job, true);
      }
      simulation.runFor(0.5);
    }
    simulation.stateService().setReplyDelaySeconds(0);
    simulation.stateService().refusedControllers().clear();
    simulation.networkFaults().healLinks();
    simulation.networkFaults().refuseConnections(message -> false);
    if (!simulation.controllers().containsKey("c0")) {
      simulation.startController("c0");
    }
    simulation.checker().faultsEnded();
    for (int i = 0; i < 15; i++) {
      String id = "job-" + i;
      simulation.runUntil(100, () -> user.pollStatus("c1", id).matches("done|cancelled"));
      user.pollAndResubmitEverywhere(shortJob(id), true);
      simulation.runFor(0.5);
    }
  }

  // Jobs are cancelled in the seconds in which an entity moves to another controller.

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.005, 0.02, 0.05, 0.3, 1, 3})
  void cancellationsHoldDuringAnEntityHandover(double delaySeconds) {
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(60);
    List<String> jobs = submitJobs(12);
    var controller = simulation.controllers().get("c0");
    controller
        .membership()
        .handOver(controller.membership().findHomeEntity(), new ControllerId("c1"));
    simulation.runFor(delaySeconds);
    cancelEverywhereAndVerify(jobs);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.005, 0.3, 3, 4, 4.3, 5, 6})
  void cancellationsHoldDuringFailover(double delaySeconds) {
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(60);
    List<String> jobs = submitJobs(12);
    for (String id : jobs) {
      // The former owner starts the cancellation and may store it, but confirms it to no user.
      cancelWithoutWaiting("c0", id);
    }
    simulation.runFor(0.012);
    simulation.killController("c0");
    simulation.runFor(delaySeconds);
    cancelEverywhereAndVerify(jobs);
    simulation.startController("c0");
    simulation.runFor(8);
    cancelEverywhereAndVerify(jobs);
  }

  @Test
  void cancellationsHoldWhenHandoverIsRejected() {
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(60);
    List<String> jobs = submitJobs(6);
    var controller = simulation.controllers().get("c0");
    simulation.networkFaults().holdMessages(message -> message.startsWith("c0 state POST /txn"));
    controller
        .membership()
        .handOver(controller.membership().findHomeEntity(), new ControllerId("c1"));
    for (String id : jobs) {
      cancelWithoutWaiting("c0", id);
    }
    simulation.runFor(0.2);
    // The handover's target restarts before the transaction arrives. Its liveness row is then a new
    // one, so the transaction is rejected.
    simulation.killController("c1");
    simulation.runFor(0.2);
    simulation.startController("c1");
    simulation.runUntil(10, () -> simulation.controllers().get("c1").membership().isLeaseValid());
    simulation.networkFaults().releaseHeldMessages();
    cancelEverywhereAndVerify(jobs);
  }

  private List<String> submitJobs(int jobCount) {
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < jobCount; i++) {
      String id = "job-" + i;
      simulation.runUntil(10, () -> user.submit("c0", SimulatedUser.jobRequest(id, 2)) / 100 == 2);
      jobs.add(id);
    }
    simulation.runUntil(30, () -> simulation.cloud().workersRunning("job-1/0").size() == 1);
    return jobs;
  }

  /**
   * Cancels the jobs through random controllers until each cancellation is confirmed, as retrying
   * users do, and polls their states rapidly meanwhile.
   */
  private void cancelEverywhereAndVerify(List<String> jobs) {
    List<String> unconfirmedJobs = new ArrayList<>(jobs);
    double startedAtSeconds = simulation.nowSeconds();
    while (!unconfirmedJobs.isEmpty() && simulation.nowSeconds() - startedAtSeconds < 25) {
      for (String id : List.copyOf(unconfirmedJobs)) {
        String controller = ClusterSimulation.controllerName(simulation.random().nextInt(3));
        byte[] emptyBody = Cbor.encode(Cbor.newMap());
        simulation
            .callController("user", controller, "POST", "/work/" + id + "/abort", emptyBody)
            .thenAccept(
                reply -> {
                  if (reply.status() == 200) {
                    unconfirmedJobs.remove(id);
                    user.pollAndResubmitEverywhere(SimulatedUser.jobRequest(id, 2), true);
                  }
                });
      }
      simulation.runFor(1);
    }
    assertEquals(List.of(), unconfirmedJobs, "each cancellation must be confirmed within 25 s");
    simulation.runFor(simulation.workerSettings().cancelTimeoutSeconds() + 1);
    for (String id : jobs) {
      assertEquals(List.of(), simulation.cloud().workersRunning(id + "/0"));
    }
  }

  // Invalid submissions in these situations.

  @Test
  void resubmissionOfAnAcceptedJobIsNeverRejectedWhateverItsContent() {
    simulation.startAllControllers();
    for (int i = 0; i < 3; i++) {
      user.submit("c0", SimulatedUser.jobRequest("job-" + i, 1));
    }
    user.cancel("c0", "job-1");
    simulation.runUntil(90, () -> user.pollStatus("c0", "job-2").equals("done"));
    simulation.killController("c2");
    simulation.runFor(1);
    simulation.startController("c2");
    simulation.runUntil(20, () -> user.submit("c2", SimulatedUser.jobRequest("job-9", 1)) == 201);
    // The restarted controller has no record of the jobs in memory. Each job reaches it first by an
    // invalid repeat of its submission.
    int rotation = 0;
    for (String controller : List.of("c2", "c0", "c1")) {
      for (int i = 0; i < 3; i++) {
        List<ObjectNode> variants = invalidVariants("job-" + i);
        for (int k = 0; k < variants.size(); k++) {
          ObjectNode repeat = variants.get((k + rotation) % variants.size());
          assertEquals(200, user.submit(controller, repeat), controller + " " + repeat);
        }
        rotation++;
      }
    }
  }

  private static List<ObjectNode> invalidVariants(String id) {
    ObjectNode incompleteJob = SimulatedUser.jobRequest(id, 1);
    incompleteJob.remove("bundle");
    return List.of(
        SimulatedUser.jobRequest(id, -3),
        SimulatedUser.jobRequest(id, 1).put("crew", "nobody"),
        incompleteJob,
        SimulatedUser.jobRequest(id, 1).put("cores", 99.0));
  }

  @Test
  void incompleteOrUnplaceableJobsAreRejectedWithoutWrites() {
    simulation.cloud().machineTypes().clear();
    simulation.cloud().machineTypes().add(machineType("small", 4, "a"));
    simulation.cloud().machineTypes().add(machineType("large", 16, "b"));
    simulation.startAllControllers();
    List<ObjectNode> unplaceableJobs =
        List.of(
            SimulatedUser.jobRequest("job-1", 1).put("cores", 8.0).put("yard", "a"),
            withMachineType(SimulatedUser.jobRequest("job-2", 1).put("cores", 8.0), "small"),
            withMachineType(SimulatedUser.jobRequest("job-3", 1).put("yard", "b"), "small"),
            withMachineType(SimulatedUser.jobRequest("job-4", 1), "huge"),
            SimulatedUser.jobRequest("job-5", 2)
                .put("shape", "ensemble")
                .put("one_zone", true)
                .put("yard", "c"),
            SimulatedUser.jobRequest("job-6", 4)
                .put("shape", "ensemble")
                .put("apart", true)
                .put("yard", "a"),
            SimulatedUser.jobRequest("job-8", 4)
                .put("shape", "daemon")
                .put("apart", true)
                .put("one_zone", true));
    int writesBefore = simulation.stateService().writeCount();
    for (int round = 0; round < 5; round++) {
      for (ObjectNode job : unplaceableJobs) {
        assertEquals(422, user.submit("c" + round % 3, job), job.toString());
      }
    }
    for (String field :
        List.of("jobclass", "bundle", "cores", "guess_s", "one_zone", "pull_gb", "shape")) {
      ObjectNode incompleteJob = SimulatedUser.jobRequest("job-7", 1);
      incompleteJob.remove(field);
      assertEquals(400, user.submit("c1", incompleteJob), field);
    }
    assertEquals(
        writesBefore,
        simulation.stateService().writeCount(),
        "a rejected submission must not write to the state service");
    for (ObjectNode job : unplaceableJobs) {
      assertEquals("404", user.pollStatus("c2", job.get("name_id").asText()));
    }
  }

  private static MachineType machineType(String name, double cpus, String zone) {
    return new MachineType(name, new Resources(cpus, 0, 64), 50, 1, 1, 0.3, 3, List.of(zone));
  }

  private static ObjectNode withMachineType(ObjectNode job, String type) {
    job.putArray("hosttypes").add(type);
    return job;
  }
}
