package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.ControllerId;
import io.violetrail.ownership.Membership;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Copies of messages that were delivered and answered before arrive once more: of replies with
 * launches, of reports and of direct commands. The workers check them as the protocol says, by
 * token, session and age. Meanwhile tasks end, fail, are preempted, cancelled and started again,
 * and controllers and machines are back within a second.
 */
class LateCopiesTest extends SimulationTestBase {
  private static final long DEFAULT_SEED_COUNT = 12;

  /** Seeds that failed before a launch counted as settled only when no copy of it can arrive. */
  private static final long[] FORMERLY_FAILING_SEEDS = {19, 32, 48, 71, 76};

  /** How many of a worker's latest messages may arrive again. */
  private static final int MAX_MESSAGE_AGE = 8;

  private static final int ROUNDS = 60;

  private Random random;
  private int jobCount;

  LateCopiesTest() {
    super(1);
  }

  static LongStream seeds() {
    return SoakSeeds.of("late.copies.seeds", DEFAULT_SEED_COUNT, FORMERLY_FAILING_SEEDS);
  }

  // Guards against a launch that is executed again after its task was forgotten or moved.
  @ParameterizedTest
  @MethodSource("seeds")
  void lateCopiesStartNothing(long seed) {
    random = new Random(17 * seed);
    startDeployment(seed);
    for (int round = 0; round < ROUNDS; round++) {
      changeJobs();
      if (random.nextInt(6) == 0) {
        changeOwners();
      }
      deliverCopies();
      simulation.runFor(0.1 + 0.5 * random.nextDouble());
    }
    simulation.runFor(60);
    assertEquals(
        0, simulation.checker().startsAfterCancellation(), "starts after confirmed cancellations");
  }

  // Guards against a launch that is executed again on a machine that has lost its tasks.
  @ParameterizedTest
  @MethodSource("seeds")
  void lateCopiesBreakNoRuleOnMachinesThatRestart(long seed) {
    random = new Random(19 * seed);
    startDeployment(seed);
    for (int round = 0; round < ROUNDS; round++) {
      changeJobs();
      if (random.nextInt(8) == 0) {
        changeOwners();
      }
      if (random.nextInt(4) == 0) {
        restartMachine();
      }
      if (random.nextInt(10) == 0) {
        cutOffMachine();
      }
      deliverCopies();
      simulation.runFor(0.1 + 0.5 * random.nextDouble());
    }
    simulation.runFor(60);
  }

  private FakeWorker startJob(String id, int taskCount) {
    simulation.setReportsOnChange(true);
    simulation.cloud().setTaskDurationSeconds(1_000);
    simulation.startAllControllers();
    // Two machines with room are up, so that the task can start on the other one at once.
    user.submit(
        "c0", SimulatedUser.jobRequest("job-90", 2).put("shape", "daemon").put("apart", true));
    awaitRunning("job-90/0");
    awaitRunning("job-90/1");
    simulation.runFor(2);
    user.submit("c0", SimulatedUser.jobRequest(id, taskCount).put("cores", 6.0));
    return awaitRunning(id + "/0");
  }

  // Guards against a cancelled task that a copy of its launch starts again.
  @Test
  void copyOfLaunchDoesNotStartCancelledTask() {
    final FakeWorker worker = startJob("job-1", 1);
    assertEquals("cancelled", user.cancel("c0", "job-1"));
    simulation.runFor(2);
    assertFalse(worker.runsTask("job-1/0"));
    worker.receiveCopyOfLatestLaunch();
    assertFalse(worker.runsTask("job-1/0"));
  }

  // Guards against a task that a copy of its launch starts again after it has been moved.
  @Test
  void copyOfLaunchDoesNotStartTaskThatRunsElsewhere() {
    final FakeWorker worker = startJob("job-1", 1);
    final int launch = worker.indexOfLatestLaunch();
    ObjectNode urgentJob = SimulatedUser.jobRequest("job-2", 1).put("urgency", "prod");
    user.submit("c0", urgentJob.put("cores", 6.0).put("yard", worker.zone()));
    simulation.runUntil(3, () -> worker.runsTask("job-2/0"));
    simulation.runUntil(20, () -> !simulation.cloud().workersRunning("job-1/0").isEmpty());
    worker.receiveCopyOfReply(launch);
    simulation.runFor(1);
    assertEquals(1, simulation.cloud().workersRunning("job-1/0").size());
    assertFalse(worker.runsTask("job-1/0"), "the task runs on the other machine");
  }

  // Guards against an urgent job that waits until the launch of a preempted task is settled.
  @Test
  void roomOfTaskThatIsPreemptedRightAfterItsLaunchIsFreeAtOnce() {
    simulation.cloud().setCapacity(2);
    startJob("job-1", 2);
    awaitRunning("job-1/1");
    user.submit(
        "c0", SimulatedUser.jobRequest("job-2", 1).put("cores", 6.0).put("urgency", "prod"));
    simulation.runUntil(3, () -> simulation.cloud().workersRunning("job-2/0").size() == 1);
  }

  // Guards against a copy of a launch that a silent machine executes after it has restarted, in a
  // lease that began later than the last one that its owner has renewed.
  @Test
  void copyOfLaunchOnSilentMachineThatRestartedEndsBeforeTaskStartsElsewhere() {
    final FakeWorker worker = startJob("job-1", 1);
    restartSilentlyBesideCopy(worker);
  }

  // Guards against the same when the entity is handed back right after the launch.
  @Test
  void copyOfLaunchBeforeHandbackEndsBeforeTaskStartsElsewhere() {
    simulation.cloud().setCapacity(2);
    startJob("job-8", 2);
    awaitRunning("job-8/1");
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1).put("cores", 6.0));
    simulation.networkFaults().cutOffFromWorkers("c0");
    simulation.runUntil(15, () -> ownerIndexOf("c0") != 0);
    simulation.runFor(6);
    for (String task : List.of("job-8/0", "job-8/1")) {
      simulation.cloud().workersRunning(task).forEach(worker -> worker.endTaskNow(task));
    }
    FakeWorker worker = awaitRunning("job-1/0");
    Membership owner =
        simulation
            .controllers()
            .get(ClusterSimulation.controllerName(ownerIndexOf("c0")))
            .membership();
    owner.handOver(owner.findOwnedEntity(new ControllerId("c0")), new ControllerId("c0"));
    simulation.networkFaults().releaseHeldMessages();
    restartSilentlyBesideCopy(worker);
  }

  private void restartSilentlyBesideCopy(FakeWorker worker) {
    // Otherwise the machine is returned to the provider, which ends its tasks.
    simulation.cloud().setUnavailable(true);
    worker.setOutboundCut(true);
    simulation.runFor(3.3);
    worker.restart(0.1);
    simulation.runFor(0.2);
    worker.receiveCopyOfLatestLaunch();
    assertTrue(worker.runsTask("job-1/0"), "the copy is accepted");
    simulation.runFor(30);
    assertEquals(1, simulation.cloud().workersRunning("job-1/0").size());
    assertFalse(worker.runsTask("job-1/0"));
  }

  private void startDeployment(long seed) {
    resetSimulation(seed);
    simulation.setReportsOnChange(true);
    simulation.cloud().setCapacity(7);
    simulation.cloud().setImageFetchSeconds(random.nextInt(3) == 0 ? 0.4 : 0);
    simulation.setTaskDurationSeconds(
        average -> random.nextInt(3) == 0 ? 20 : 0.3 + 5 * random.nextDouble());
    simulation.startAllControllers();
    for (int i = 0; i < 4; i++) {
      submitJob();
    }
    simulation.runFor(6);
  }

  private String anyController() {
    return ClusterSimulation.controllerName(random.nextInt(3));
  }

  private List<FakeWorker> workers() {
    return List.copyOf(simulation.cloud().workers().values());
  }

  private void submitJob() {
    String id = "job-" + jobCount++;
    ObjectNode job =
        SimulatedUser.jobRequest(id, 1 + random.nextInt(8))
            .put("shape", List.of("batch", "batch", "ensemble", "daemon").get(random.nextInt(4)))
            .put("urgency", List.of("high", "normal", "low").get(random.nextInt(3)))
            .put("cores", 1.0 + random.nextInt(8));
    user.submit(anyController(), job);
  }

  private void changeJobs() {
    switch (random.nextInt(5)) {
      case 0 -> submitJob();
      case 1 -> cancelWithoutWaiting(anyController(), "job-" + random.nextInt(jobCount));
      case 2 -> {
        String id = "job-" + random.nextInt(jobCount);
        if (!simulation.alwaysFailingJobs().remove(id)) {
          simulation.alwaysFailingJobs().add(id);
        }
      }
      default -> {
        // The jobs go on as they are.
      }
    }
  }

  /** Restarts a controller within a second, or has an entity handed over. */
  private void changeOwners() {
    String controller = anyController();
    if (random.nextBoolean()) {
      simulation.killController(controller);
      double downSeconds = random.nextInt(3) == 0 ? 7 : 0.1 + 0.9 * random.nextDouble();
      simulation.runAfter(downSeconds, () -> simulation.startController(controller));
      simulation.runFor(downSeconds + 0.01);
      return;
    }
    Membership membership = simulation.controllers().get(controller).membership();
    if (membership.isLeaseValid()) {
      ControllerId next = new ControllerId(anyController());
      membership.ownedEntities().stream()
          .filter(entity -> entity.isActive() && !next.value().equals(controller))
          .findFirst()
          .ifPresent(entity -> membership.handOver(entity, next));
    }
  }

  private void restartMachine() {
    List<FakeWorker> workers = workers();
    if (!workers.isEmpty()) {
      workers.get(random.nextInt(workers.size())).restart(0.1 + 0.9 * random.nextDouble());
    }
  }

  /** Loses a machine's reports for a while; copies of replies and direct commands still arrive. */
  private void cutOffMachine() {
    List<FakeWorker> workers = workers();
    if (!workers.isEmpty()) {
      FakeWorker worker = workers.get(random.nextInt(workers.size()));
      worker.setOutboundCut(true);
      simulation.runAfter(1 + 20 * random.nextDouble(), () -> worker.setOutboundCut(false));
    }
  }

  private int oneOfLatest(int count) {
    int oldest = Math.max(0, count - MAX_MESSAGE_AGE);
    return oldest + random.nextInt(count - oldest);
  }

  private void deliverCopies() {
    for (FakeWorker worker : workers()) {
      if (worker.receivedReplyCount() > 0 && random.nextInt(2) == 0) {
        worker.receiveCopyOfReply(oneOfLatest(worker.receivedReplyCount()));
      }
      if (worker.receivedCommandsCount() > 0 && random.nextInt(3) == 0) {
        worker.receiveCopyOfCommands(oneOfLatest(worker.receivedCommandsCount()));
      }
      if (worker.sentReportCount() > 0 && random.nextInt(3) == 0) {
        int report = oneOfLatest(worker.sentReportCount());
        if (random.nextBoolean()) {
          worker.resendReport(report, anyController());
        } else {
          worker.resendReportForReply(report, anyController());
        }
      }
    }
  }
}
