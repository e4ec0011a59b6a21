package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.ControllerId;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests controllers that find an entity's row that names them although they do not own the entity:
 * after their process was restarted, or after they have given the entity up on a peer's word.
 */
class RestartedOwnerTest extends SimulationTestBase {
  /** A task of this size occupies a whole machine. */
  private static final double WHOLE_MACHINE_CPUS = 8;

  /** Seeds that violated an invariant before owners got a version for each of their processes. */
  private static final long[] FORMERLY_FAILING_SEEDS = {6, 19, 53, 57, 96, 97, 138, 183, 190, 195};

  private static final long DEFAULT_SEED_COUNT = 5;

  /** How many of a worker's latest reports may arrive again. */
  private static final int MAX_REPORT_AGE = 10;

  private static final int JOB_COUNT = 12;

  private final List<String> acceptedJobs = new ArrayList<>();

  RestartedOwnerTest() {
    super(41);
  }

  private void submitWholeMachineJob(String id) {
    assertEquals(
        201,
        user.submit(
            "c0",
            SimulatedUser.jobRequest(id, 1).put("cores", WHOLE_MACHINE_CPUS).put("guess_s", 60.0)));
  }

  /** Cuts c0 off from its workers, and returns the controller to which c0 hands its entity over. */
  private String awaitHandoverFromC0() {
    simulation.networkFaults().cutOffFromWorkers("c0");
    simulation.runUntil(15, () -> ownerIndexOf("c0") != 0);
    String newOwner = ClusterSimulation.controllerName(ownerIndexOf("c0"));
    simulation.runUntil(
        10,
        () ->
            simulation.cloud().workers().values().stream()
                .allMatch(worker -> newOwner.equals(worker.controller())));
    return newOwner;
  }

  // Guards against ran_twice: a restarted owner trusted reports sent under its former process.
  @Test
  void restartedOwnerIgnoresReportsSentUnderItsFormerProcess() {
    simulation.cloud().setCapacity(2);
    simulation.cloud().setTaskDurationSeconds(300);
    simulation.startAllControllers();
    submitWholeMachineJob("job-1");
    submitWholeMachineJob("job-2");
    FakeWorker first = awaitRunning("job-1/0");
    final FakeWorker second = awaitRunning("job-2/0");
    submitWholeMachineJob("job-3");
    final String owner = awaitHandoverFromC0();
    simulation.runFor(2);
    final int reportOfJob1 = first.sentReportCount() - 1;

    // The new owner starts the waiting task in the room that the first job has left.
    first.endTaskNow("job-1/0");
    assertEquals(first, awaitRunning("job-3/0"));
    second.endTaskNow("job-2/0");
    simulation.runFor(3);

    final long versionBefore = versionOf("c0");
    simulation.killController(owner);
    first.setOutboundCut(true);
    simulation.runFor(0.5);
    simulation.startController(owner);
    simulation.runUntil(5, () -> user.send(owner, "GET", "/ready", null).status() == 200);
    first.resendReport(reportOfJob1, owner);
    simulation.runFor(4);
    first.setOutboundCut(false);
    simulation.runFor(10);

    assertEquals(List.of(first), simulation.cloud().workersRunning("job-3/0"));
    assertEquals(3, launchCount(), "each task is started once");
    assertTrue(versionOf("c0") > versionBefore, "each process owns under a version of its own");
  }

  // Guards against an owner that acts again under a version that it has given up.
  @Test
  void ownerDoesNotTakeBackAnEntityUnderVersionThatItHasGivenUp() {
    simulation.cloud().setTaskDurationSeconds(300);
    simulation.startAllControllers();
    submitWholeMachineJob("job-1");
    awaitRunning("job-1/0");
    simulation.runFor(2);
    final Membership membership = simulation.controllers().get("c0").membership();
    final ControllerId entity = new ControllerId("c0");

    // c0 has its entity by a handback, as after any failure of its own.
    membership.handOver(membership.findOwnedEntity(entity), new ControllerId("c1"));
    simulation.runUntil(3, () -> ownerIndexOf("c0") == 1);
    simulation.runUntil(10, () -> ownerIndexOf("c0") == 0);
    simulation.runFor(2);
    final long givenUpVersion = versionOf("c0");

    // The handover's reply is lost and c0's watch is late. c0 therefore first hears of the outcome
    // by the new owner's announcement, while its view still has the former row.
    simulation.networkFaults().holdMessages(message -> message.matches("c0 state GET /changes.*"));
    simulation.runFor(21);
    simulation.stateService().lostReplyShare().put("c0", 1.0);
    simulation.stateService().setReplyDelaySeconds(0.4);
    membership.handOver(membership.findOwnedEntity(entity), new ControllerId("c1"));
    simulation.runUntil(3, () -> ownerIndexOf("c0") == 1);
    simulation.runUntil(3, () -> membership.findOwnedEntity(entity) == null);
    for (int step = 0; step < 100; step++) {
      simulation.runFor(0.05);
      OwnedEntity owned = membership.findOwnedEntity(entity);
      assertTrue(
          owned == null || owned.row().version().value() > givenUpVersion,
          "version " + givenUpVersion + " was given up");
    }
  }

  static LongStream seeds() {
    return SoakSeeds.of("restarted.owner.seeds", DEFAULT_SEED_COUNT, FORMERLY_FAILING_SEEDS);
  }

  // Guards against ran_twice and quota: a restarted owner shared a version with its former process.
  @ParameterizedTest
  @MethodSource("seeds")
  void ownersThatRestartBreakNoRule(long seed) {
    final Random random = new Random(seed * 7);
    startWithWaitingJobs(seed, random, false);
    for (int round = 0; round < 4; round++) {
      restartOwnerOfHandedOverEntity(random);
      simulation.runFor(6 + 4 * random.nextDouble());
    }
    awaitAllEnded();
  }

  // Guards against ran_twice after restarts beside gangs, cancellations, failovers and freezes.
  @ParameterizedTest
  @MethodSource("seeds")
  void ownersThatRestartBesideOtherFaultsBreakNoRule(long seed) {
    final Random random = new Random(seed * 11);
    startWithWaitingJobs(seed, random, true);
    for (int round = 0; round < 5; round++) {
      setRandomTransactionFaults(random);
      if (random.nextInt(3) == 0) {
        cancelWithoutWaiting(randomController(random), "job-" + random.nextInt(JOB_COUNT));
      }
      switch (random.nextInt(4)) {
        case 0 -> restartOwnerOfHandedOverEntity(random);
        case 1 ->
            restartBesideLateReports(
                randomController(random), 0.1 + 3 * random.nextDouble(), random);
        case 2 -> restartSuccessor(random);
        default -> restartBesideFrozenPeer(random);
      }
      simulation.runFor(3 + 6 * random.nextDouble());
    }
    simulation.stateService().lostReplyShare().clear();
    simulation.stateService().lateTransactionShare().clear();
    simulation.runFor(15);
    awaitAllEnded();
  }

  private void startWithWaitingJobs(long seed, Random random, boolean withGangs) {
    resetSimulation(seed);
    simulation.teams().put("blue", new Team("blue", 0, 0, 18, 0));
    simulation.cloud().setCapacity(9);
    simulation.setReportsOnChange(true);
    simulation.setTaskDurationSeconds(averageSeconds -> 3 + 12 * random.nextDouble());
    simulation.startAllControllers();
    for (int i = 0; i < JOB_COUNT; i++) {
      boolean gang = withGangs && i % 4 == 3;
      ObjectNode job =
          SimulatedUser.jobRequest("job-" + i, gang ? 4 : 20)
              .put("shape", gang ? "ensemble" : "batch")
              .put("one_zone", gang)
              .put("crew", i % 2 == 0 ? "blue" : "red")
              .put("cores", i % 3 == 0 ? 4.0 : 1.5);
      if (user.submit(ClusterSimulation.controllerName(i % 3), job) == 201) {
        acceptedJobs.add("job-" + i);
      }
    }
    simulation.runFor(8);
  }

  private static String randomController(Random random) {
    return ClusterSimulation.controllerName(random.nextInt(3));
  }

  /** Lets a share of some controllers' transactions be carried out late or lose their replies. */
  private void setRandomTransactionFaults(Random random) {
    simulation.stateService().lostReplyShare().clear();
    simulation.stateService().lateTransactionShare().clear();
    if (random.nextBoolean()) {
      simulation
          .stateService()
          .lostReplyShare()
          .put(randomController(random), 0.4 * random.nextDouble());
    }
    if (random.nextBoolean()) {
      simulation
          .stateService()
          .lateTransactionShare()
          .put(randomController(random), 0.4 * random.nextDouble());
    }
  }

  /** Ends a controller until a peer has taken its entity over, then restarts that peer. */
  private void restartSuccessor(Random random) {
    int homeIndex = random.nextInt(3);
    String home = ClusterSimulation.controllerName(homeIndex);
    simulation.killController(home);
    for (int step = 0; step < 40 && ownerIndexOf(home) == homeIndex; step++) {
      simulation.runFor(0.25);
    }
    simulation.runFor(8 * random.nextDouble());
    String successor = ClusterSimulation.controllerName(ownerIndexOf(home));
    if (!successor.equals(home)) {
      restartBesideLateReports(successor, 0.1 + 2 * random.nextDouble(), random);
    }
    simulation.startController(home);
  }

  private void restartBesideFrozenPeer(Random random) {
    int index = random.nextInt(3);
    simulation.freezeController(
        ClusterSimulation.controllerName(index), 2 + 8 * random.nextDouble());
    simulation.runFor(6 * random.nextDouble());
    restartBesideLateReports(
        ClusterSimulation.controllerName((index + 1) % 3), 0.1 + 2 * random.nextDouble(), random);
  }

  private void awaitAllEnded() {
    simulation.checker().faultsEnded();
    for (String id : acceptedJobs) {
      simulation.runUntil(300, () -> user.pollStatus("c1", id).matches("done|cancelled"));
    }
  }

  /** Has a controller hand its entity over, and restarts the new owner beside late messages. */
  private void restartOwnerOfHandedOverEntity(Random random) {
    int homeIndex = random.nextInt(3);
    String home = ClusterSimulation.controllerName(homeIndex);
    simulation.networkFaults().cutOffFromWorkers(home);
    for (int step = 0; step < 40 && ownerIndexOf(home) == homeIndex; step++) {
      simulation.runFor(0.5);
    }
    simulation.runFor(4 + 6 * random.nextDouble());
    String owner = ClusterSimulation.controllerName(ownerIndexOf(home));
    if (random.nextBoolean()) {
      simulation.stateService().lateTransactionSeconds().put(owner, 0.5 + 4 * random.nextDouble());
      simulation.runFor(random.nextDouble());
    }
    restartBesideLateReports(owner, 0.2 + 2 * random.nextDouble(), random);
    simulation.networkFaults().releaseHeldMessages();
  }

  /**
   * Restarts a controller while some workers are silent, and lets reports from before arrive at the
   * new process.
   */
  private void restartBesideLateReports(String owner, double downSeconds, Random random) {
    List<FakeWorker> workers = List.copyOf(simulation.cloud().workers().values());
    List<FakeWorker> silentWorkers =
        workers.stream().filter(worker -> random.nextInt(3) > 0).toList();
    simulation.killController(owner);
    simulation.stateService().lateTransactionSeconds().clear();
    silentWorkers.forEach(worker -> worker.setOutboundCut(true));
    simulation.runFor(downSeconds);
    simulation.startController(owner);
    for (int step = 0; step < 12; step++) {
      for (FakeWorker worker : workers) {
        int oldestReport = Math.max(0, worker.sentReportCount() - MAX_REPORT_AGE);
        if (worker.sentReportCount() > 0 && random.nextBoolean()) {
          worker.resendReport(
              oldestReport + random.nextInt(worker.sentReportCount() - oldestReport), owner);
        }
      }
      simulation.runFor(0.25);
    }
    silentWorkers.forEach(worker -> worker.setOutboundCut(false));
  }
}
