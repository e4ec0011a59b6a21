package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.WorkerTiming;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.MissingTokenBehavior;
import io.violetrail.fakes.PreviousReleaseControllers;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.Version;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What an owner concludes from a worker's silence holds whatever other controllers answer that
 * worker meanwhile, and whatever the worker makes of an answer without a token.
 */
class WorkerLeaseTest extends SimulationTestBase {
  private static final int TASK_COUNT = 32;
  private static final String LONG_JOB = "job-1";
  private static final String SHORT_JOB = "job-2";
  private static final double LONG_TASK_SECONDS = 300;
  private static final double SHORT_TASK_SECONDS = 5;

  /** The workers' settings of the deployment that had the incident. */
  private static final WorkerTiming INCIDENT_SETTINGS = new WorkerTiming(2.5, 16, 50, 6, 36);

  WorkerLeaseTest() {
    super(1);
  }

  /**
   * Long tasks of an entity that has never moved run on its machines, of which half are idle again:
   * a task that is given up somewhere starts there at once.
   */
  private List<FakeWorker> busyWorkersOfC0(MissingTokenBehavior tokenBehavior, long seed) {
    resetSimulation(seed);
    simulation.setMissingTokenBehavior(tokenBehavior);
    simulation.setWorkerSettings(INCIDENT_SETTINGS);
    simulation.cloud().setTaskDurationSeconds(LONG_TASK_SECONDS);
    simulation.setOnWorkerCreated(
        worker -> {
          for (int i = 0; i < TASK_COUNT; i++) {
            worker.durationSecondsByTask().put(SHORT_JOB + "/" + i, SHORT_TASK_SECONDS);
          }
        });
    simulation.startAllControllers();
    user.submit(
        "c0", SimulatedUser.jobRequest(LONG_JOB, TASK_COUNT).put("guess_s", LONG_TASK_SECONDS));
    user.submit(
        "c0", SimulatedUser.jobRequest(SHORT_JOB, TASK_COUNT).put("guess_s", SHORT_TASK_SECONDS));
    simulation.runUntil(60, () -> user.pollStatus("c0", SHORT_JOB).equals("done"));
    awaitRunning(LONG_JOB + "/" + (TASK_COUNT - 1));
    return simulation.cloud().workers().values().stream()
        .filter(w -> w.activeTaskCount() > 0)
        .toList();
  }

  private void assertTasksRestartOnlyAfterLeaseExpiry(
      MissingTokenBehavior tokenBehavior, long seed) {
    List<FakeWorker> partitionedWorkers = busyWorkersOfC0(tokenBehavior, seed).subList(0, 2);
    simulation.networkFaults().cutLinks(partitionedWorkers, "c0");
    simulation.runFor(4 * simulation.workerSettings().leaseSeconds());
    for (int i = 0; i < TASK_COUNT; i++) {
      assertFalse(partitionedWorkers.contains(awaitRunning(LONG_JOB + "/" + i)));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {3, 4, 5})
  void noTaskRunsTwiceIfPartitionedWorkersDropRepliesWithoutToken(long seed) {
    assertTasksRestartOnlyAfterLeaseExpiry(MissingTokenBehavior.DROP_REPLY, seed);
  }

  /** The incident of 2026-12: the third controller's answers kept the leases of such workers. */
  @ParameterizedTest
  @ValueSource(longs = {3, 4, 5})
  void noTaskRunsTwiceIfPartitionedWorkersTreatNoTokenAsLowest(long seed) {
    assertTasksRestartOnlyAfterLeaseExpiry(MissingTokenBehavior.TREAT_AS_LOWEST, seed);
  }

  /**
   * A rolling restart from the program that gave out version 0. Two workers reach only a controller
   * that still runs it, whose answers keep their leases; the cloud takes nothing back, so there is
   * no other evidence than time.
   */
  @ParameterizedTest
  @ValueSource(longs = {3, 4, 5})
  void noTaskRunsTwiceDuringRollingUpgrade(long seed) {
    List<FakeWorker> partitionedWorkers =
        busyWorkersOfC0(MissingTokenBehavior.TREAT_AS_LOWEST, seed).subList(0, 2);
    List.of("c0", "c1", "c2").forEach(simulation::killController);
    PreviousReleaseControllers previousRelease = new PreviousReleaseControllers(simulation);
    previousRelease.rewriteRowsToFirstVersions();
    previousRelease.startController("c1", "c0", partitionedWorkers);
    previousRelease.startController("c2", "c0", partitionedWorkers);
    simulation.cloud().setUnavailable(true);
    simulation.networkFaults().cutLinks(partitionedWorkers, "c0");
    simulation.runFor(1);
    simulation.startController("c0");
    simulation.runFor(3 * simulation.workerSettings().leaseSeconds());
    assertTrue(
        simulation.stateService().findValue("c/entity/c0").get("version").asLong()
            >= Version.INCREMENT);
    assertTrue(
        partitionedWorkers.stream()
            .allMatch(w -> w.expiredLeaseCount() == 0 && w.activeTaskCount() > 0));
    for (String controller : List.of("c1", "c2")) {
      previousRelease.stopController(controller);
      simulation.startController(controller);
      simulation.runFor(simulation.workerSettings().leaseSeconds());
    }
    simulation.runFor(2 * simulation.workerSettings().leaseSeconds());
    for (int i = 0; i < TASK_COUNT; i++) {
      assertFalse(partitionedWorkers.contains(awaitRunning(LONG_JOB + "/" + i)));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 2})
  void entityRowOfPreviousReleaseIsRewrittenBeforeItIsOwned(int newOwner) {
    new PreviousReleaseControllers(simulation).storeHandedOverEntity("c1", newOwner);
    simulation.startAllControllers();
    user.submit("c1", SimulatedUser.jobRequest(SHORT_JOB, 4));
    awaitRunning(SHORT_JOB + "/3");
    assertTrue(
        simulation.stateService().findValue("c/entity/c1").get("version").asLong()
            >= Version.INCREMENT);
    simulation.runUntil(60, () -> user.pollStatus("c1", SHORT_JOB).equals("done"));
  }

  @Test
  void metricsShowReplyKindsAndEvidenceForRestarts() {
    assertTasksRestartOnlyAfterLeaseExpiry(MissingTokenBehavior.TREAT_AS_LOWEST, 3);
    assertTrue(metricValue("c1", "heartbeat.replies kind=stay") > 0);
    assertTrue(metricValue("c0", "heartbeat.replies kind=renewed") > 0);
    assertEquals(2 * TASK_COUNT / 4.0, metricValue("c0", "starts.elsewhere proof=lease_over"));
    assertEquals(0, metricValue("c0", "leases.outlived"));
    assertTrue(metricValue("c0", "lease.remaining.s") > 0);
  }

  private double metricValue(String controller, String name) {
    byte[] text = user.send(controller, "GET", "/metrics", null).body();
    return new String(text, StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.startsWith("violetrail." + name + " "))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .findFirst()
        .orElseThrow();
  }
}
