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
 * Tests that an owner's conclusion from a worker's silence holds whatever other controllers reply
 * to that worker meanwhile, and however the worker treats a reply without a fencing token.
 */
class WorkerLeaseTest extends SimulationTestBase {
  private static final int TASK_COUNT = 32;
  private static final String LONG_JOB = "job-1";
  private static final String SHORT_JOB = "job-2";
  private static final double LONG_TASK_SECONDS = 300;
  private static final double SHORT_TASK_SECONDS = 5;

  /** The worker settings of the deployment that had the incident of 2026-12. */
  private static final WorkerTiming INCIDENT_SETTINGS = new WorkerTiming(2.5, 16, 50, 6, 36);

  WorkerLeaseTest() {
    super(1);
  }

  /**
   * Starts long tasks of an entity that has never moved, and returns the workers that run them.
   * Half of the entity's machines are idle again, so a task that is given up elsewhere starts there
   * at once.
   */
  private List<FakeWorker> startLongJobOnC0(MissingTokenBehavior tokenBehavior, long seed) {
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
    List<FakeWorker> partitionedWorkers = startLongJobOnC0(tokenBehavior, seed).subList(0, 2);
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

  /**
   * Reproduces the incident of 2026-12, in which the third controller's replies renewed the leases
   * of such workers.
   */
  @ParameterizedTest
  @ValueSource(longs = {3, 4, 5})
  void noTaskRunsTwiceIfPartitionedWorkersTreatNoTokenAsLowest(long seed) {
    assertTasksRestartOnlyAfterLeaseExpiry(MissingTokenBehavior.TREAT_AS_LOWEST, seed);
  }

  /**
   * Covers a rolling upgrade from the release that issued version 0. Two workers reach only a
   * controller that still runs that release, and its replies renew their leases. The cloud
   * terminates nothing, so elapsed time is the only evidence that tasks have ended.
   */
  @ParameterizedTest
  @ValueSource(longs = {3, 4, 5})
  void noTaskRunsTwiceDuringRollingUpgrade(long seed) {
    List<FakeWorker> partitionedWorkers =
        startLongJobOnC0(MissingTokenBehavior.TREAT_AS_LOWEST, seed).subList(0, 2);
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
