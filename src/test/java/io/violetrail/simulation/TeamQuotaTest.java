package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
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

/** Team quotas hold, and no task waits while its team's quota and a machine have room for it. */
class TeamQuotaTest extends SimulationTestBase {
  TeamQuotaTest() {
    super(8);
  }

  private void addTeam(String name, double cpuLimit) {
    simulation.teams().put(name, new Team(name, 0, 0, cpuLimit, 0));
  }

  private static MachineType machineType(String name) {
    return new MachineType(name, new Resources(32, 0, 128), 50, 1, 1, 0.3, 3, List.of("a", "b"));
  }

  private static ObjectNode blueTeamJob(String id, int tasks, double cores) {
    return SimulatedUser.jobRequest(id, tasks).put("crew", "blue").put("cores", cores);
  }

  private void submitUntilAccepted(String controller, ObjectNode job) {
    simulation.runUntil(20, () -> user.submit(controller, job) / 100 == 2);
  }

  private void awaitFinished(double timeoutSeconds, String id) {
    simulation.runUntil(timeoutSeconds, () -> user.pollStatus("c1", id).matches("done|cancelled"));
  }

  // Every team is at its limit while jobs are cancelled whose machines are partitioned or hang, and
  // leaders fail. Some machines do not answer, and with cloudUnavailable the cloud takes no machine
  // back for a while.

  @ParameterizedTest
  @CsvSource({
    "1, false",
    "2, false",
    "3, false",
    "4, false",
    "5, true",
    "6, true",
    "7, true",
    "8, true"
  })
  void quotasHoldThroughCancellationsAndFailovers(long seed, boolean cloudUnavailable) {
    resetSimulation(seed);
    Random random = new Random(seed * 3);
    addTeam("blue", 12);
    addTeam("green", 9);
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(25);
    for (int i = 0; i < 12; i++) {
      String team = i % 2 == 0 ? "blue" : "green";
      submitUntilAccepted(
          ClusterSimulation.controllerName(i % 3),
          SimulatedUser.jobRequest("job-" + i, 4).put("crew", team));
    }
    simulation.runFor(12);
    for (int round = 0; round < 4; round++) {
      simulation.cloud().setUnavailable(cloudUnavailable && round < 3);
      for (FakeWorker worker : List.copyOf(simulation.cloud().workers().values())) {
        switch (random.nextInt(4)) {
          case 0 -> simulation.networkFaults().partitionHost(worker.id());
          case 1 -> worker.hangFor(3 + 12 * random.nextDouble());
          default -> {
            // no other fault
          }
        }
      }
      for (int k = 0; k < 2; k++) {
        String id = "job-" + random.nextInt(12);
        String cancellingController = ClusterSimulation.controllerName(random.nextInt(3));
        cancelWithoutWaiting(cancellingController, id);
      }
      String leader = ClusterSimulation.controllerName(random.nextInt(3));
      simulation.runFor(random.nextDouble());
      simulation.killController(leader);
      simulation.runFor(3 + 6 * random.nextDouble());
      List.copyOf(simulation.cloud().workers().values())
          .forEach(w -> simulation.networkFaults().healHost(w.id()));
      simulation.startController(leader);
      simulation.runFor(6 * random.nextDouble());
    }
    simulation.checker().faultsEnded();
    for (int i = 0; i < 12; i++) {
      awaitFinished(300, "job-" + i);
    }
    assertEquals(List.of(), simulation.checker().findUnderservedGroups());
  }

  @Test
  void quotaHeldForSilentMachinesIsReleasedOnEvidence() {
    addTeam("blue", 12);
    simulation.startAllControllers();
    for (int i = 0; i < 4; i++) {
      simulation.cloud().addRunningMachine("plain", "a");
    }
    simulation.runFor(4);
    submitUntilAccepted("c0", blueTeamJob("job-1", 4, 1));
    simulation.runUntil(20, () -> simulation.cloud().workersRunning("job-1/3").size() == 1);
    FakeWorker worker = simulation.cloud().workersRunning("job-1/3").get(0);
    worker.durationSecondsByTask().replaceAll((task, s) -> 500.0);
    simulation.runFor(2);
    simulation.networkFaults().partitionHost(worker.id());
    simulation.cloud().setUnavailable(true);
    simulation.killController("c0");
    simulation.runFor(8);
    submitUntilAccepted("c1", blueTeamJob("job-2", 4, 1));
    double submittedAtSeconds = simulation.nowSeconds();
    simulation.runUntil(80, () -> simulation.cloud().workersRunning("job-2/3").size() == 1);
    assertTrue(simulation.nowSeconds() - submittedAtSeconds < 60);
    simulation.cloud().setUnavailable(false);
    simulation.startController("c0");
  }

  // Quota shares: each entity starts with a third of each team's limit.

  @Test
  void taskLargerThanOneQuotaShareIsRun() {
    // Guards against peers that transfer quota in whole tasks only: no peer's third of the limit
    // has room for one.
    addTeam("blue", 24);
    simulation.cloud().machineTypes().clear();
    simulation.cloud().machineTypes().add(machineType("wide"));
    simulation.startAllControllers();
    simulation.checker().faultsEnded();
    submitUntilAccepted("c0", blueTeamJob("job-1", 2, 10));
    awaitFinished(90, "job-1");
  }

  @ParameterizedTest
  @CsvSource({"8, 3.0", "7, 3.0", "3, 7.0", "24, 1.0"})
  void gangNeedingTheWholeQuotaIsRun(int tasks, double cores) {
    // Guards against peers that transfer quota in whole tasks only: the gang lacks the remainder
    // that each entity keeps.
    addTeam("blue", 24);
    simulation.startAllControllers();
    simulation.checker().faultsEnded();
    submitUntilAccepted("c1", blueTeamJob("job-1", tasks, cores).put("shape", "ensemble"));
    awaitFinished(120, "job-1");
  }

  @Test
  void gangsNeedingTheWholeQuotaRunInTurn() {
    addTeam("blue", 24);
    simulation.startAllControllers();
    simulation.checker().faultsEnded();
    for (int i = 0; i < 3; i++) {
      byte[] job = Cbor.encode(blueTeamJob("job-" + i, 8, 3).put("shape", "ensemble"));
      String controller = ClusterSimulation.controllerName(i);
      // All arrive in the same millisecond, so that none has waited longer than another.
      simulation.callController("user", controller, "POST", "/work", job);
    }
    for (int i = 0; i < 3; i++) {
      awaitFinished(250, "job-" + i);
    }
  }

  @Test
  void unplaceableJobDoesNotBlockTheQuotaForOthers() {
    addTeam("blue", 24);
    simulation.cloud().setCapacity(2);
    simulation.cloud().machineTypes().add(machineType("rare"));
    simulation.cloud().soldOutTypes().add("rare");
    simulation.startAllControllers();
    final FakeWorker machineInUse = simulation.cloud().addRunningMachine("plain", "a");
    simulation.runFor(8);
    simulation.checker().faultsEnded();
    // This job has a higher priority and is older, but its machine type is sold out.
    ObjectNode unplaceableJob = blueTeamJob("job-1", 20, 1).put("urgency", "high");
    unplaceableJob.putArray("hosttypes").add("rare");
    submitUntilAccepted("c1", unplaceableJob);
    submitUntilAccepted("c0", blueTeamJob("job-2", 16, 1));
    awaitFinished(150, "job-2");
    assertTrue(machineInUse.launchCount() > 0);
    user.cancel("c1", "job-1");
  }

  // Machines that a peer holds and does not need.

  @Test
  void jobRunsOnPeersPartlyUsedMachine() {
    simulation.cloud().setCapacity(1);
    simulation.startAllControllers();
    submitUntilAccepted(
        "c0", SimulatedUser.jobRequest("job-1", 2).put("cores", 2.0).put("shape", "daemon"));
    simulation.runUntil(30, () -> simulation.cloud().workersRunning("job-1/1").size() == 1);
    simulation.checker().faultsEnded();
    submitUntilAccepted("c1", SimulatedUser.jobRequest("job-2", 1).put("cores", 4.0));
    awaitFinished(120, "job-2");
    simulation.runUntil(90, () -> user.pollStatus("c0", "job-1").equals("running"));
    user.cancel("c0", "job-1");
  }

  @Test
  void gangRunsOnPeersPartlyUsedMachines() {
    simulation.cloud().setCapacity(4);
    simulation.startAllControllers();
    for (int i = 0; i < 4; i++) {
      submitUntilAccepted(
          "c" + i % 2,
          SimulatedUser.jobRequest("job-" + i, 1)
              .put("cores", 6.0)
              .put("shape", "daemon")
              .put("one_zone", true));
    }
    simulation.runUntil(40, () -> user.pollStatus("c1", "job-3").equals("running"));
    user.cancel("c1", "job-3");
    user.cancel("c1", "job-1");
    simulation.checker().faultsEnded();
    submitUntilAccepted(
        "c2",
        SimulatedUser.jobRequest("job-9", 4)
            .put("cores", 2.0)
            .put("shape", "ensemble")
            .put("one_zone", false));
    awaitFinished(200, "job-9");
    for (int i = 0; i < 3; i++) {
      user.cancel("c0", "job-" + i);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void noJobStarvesAfterOverloadAndMachineLoss(long seed) {
    // Array jobs of all priorities, each bound to one zone, with slow replies of the state service.
    // Some of their machines are lost.
    resetSimulation(seed);
    Random random = new Random(seed);
    addTeam("blue", 20);
    simulation.cloud().setCapacity(6);
    simulation.cloud().setImageFetchSeconds(4);
    simulation.cloud().setTaskDurationSeconds(12);
    simulation.startAllControllers();
    simulation.stateService().setReplyDelaySeconds(0.15);
    List<ObjectNode> jobs = new ArrayList<>();
    for (int i = 0; i < 18; i++) {
      ObjectNode job =
          SimulatedUser.jobRequest("job-" + i, 1 + random.nextInt(10)).put("guess_s", 12.0);
      job.put("urgency", List.of("high", "normal", "low").get(random.nextInt(3)));
      job.put("crew", random.nextBoolean() ? "blue" : "red");
      job.put("yard", List.of("a", "b").get(random.nextInt(2)));
      jobs.add(job);
      List<String> running = List.copyOf(simulation.controllers().keySet());
      submitUntilAccepted(running.get(random.nextInt(running.size())), job);
      if (i % 5 == 4 && !simulation.cloud().workers().isEmpty()) {
        List<FakeWorker> workers = List.copyOf(simulation.cloud().workers().values());
        simulation.networkFaults().partitionHost(workers.get(random.nextInt(workers.size())).id());
      }
      if (i == 9) {
        simulation.killController("c1");
      } else if (i == 13) {
        simulation.startController("c1");
      }
      simulation.runFor(2 * random.nextDouble());
    }
    simulation.runFor(20);
    simulation.stateService().setReplyDelaySeconds(0);
    List.copyOf(simulation.cloud().workers().values())
        .forEach(w -> simulation.networkFaults().healHost(w.id()));
    simulation.checker().faultsEnded();
    simulation.runFor(300);
    List<String> unfinished = new ArrayList<>();
    for (int i = 0; i < 18; i++) {
      if (!user.pollStatus("c1", "job-" + i).equals("done")) {
        unfinished.add(jobs.get(i).toString());
      }
    }
    assertEquals(List.of(), unfinished);
  }
}
