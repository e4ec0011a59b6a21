package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.Workers;
import io.violetrail.fakes.AbsentToken;
import io.violetrail.fakes.EarlierProgram;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.User;
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
class WorkerLeaseTest extends Story {
  private static final int TASKS = 32;
  private static final String LONG_JOB = "job-1";
  private static final String SHORT_JOB = "job-2";
  private static final double LONG_S = 300;
  private static final double SHORT_S = 5;

  /** The workers' settings of the deployment that had the incident. */
  private static final Workers INCIDENT = new Workers(2.5, 16, 50, 6, 36);

  WorkerLeaseTest() {
    super(1);
  }

  /**
   * Long tasks of an entity that has never moved run on its machines, of which half are idle again:
   * a task that is given up somewhere starts there at once.
   */
  private List<FakeWorker> busyWorkersOfC0(AbsentToken reading, long seed) {
    world(seed);
    world.absentToken = reading;
    world.workers = INCIDENT;
    world.cloud.runS = LONG_S;
    world.onWorker =
        worker -> {
          for (int i = 0; i < TASKS; i++) {
            worker.runs.put(SHORT_JOB + "/" + i, SHORT_S);
          }
        };
    world.up();
    user.submit("c0", User.job(LONG_JOB, TASKS).put("guess_s", LONG_S));
    user.submit("c0", User.job(SHORT_JOB, TASKS).put("guess_s", SHORT_S));
    world.until(60, () -> user.poll("c0", SHORT_JOB).equals("done"));
    runs(LONG_JOB + "/" + (TASKS - 1));
    return world.cloud.workers.values().stream().filter(w -> w.active() > 0).toList();
  }

  private void tasksStartElsewhereOnceTheyAreGone(AbsentToken reading, long seed) {
    List<FakeWorker> cutOff = busyWorkersOfC0(reading, seed).subList(0, 2);
    world.network.cutLinks(cutOff, "c0");
    world.run(4 * world.workers.leaseS());
    for (int i = 0; i < TASKS; i++) {
      assertFalse(cutOff.contains(runs(LONG_JOB + "/" + i)));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {3, 4, 5})
  void workersCutFromTheirOwnerAloneThatDropAnswersWithoutToken(long seed) {
    tasksStartElsewhereOnceTheyAreGone(AbsentToken.DROPPED, seed);
  }

  /** The incident of 2026-12: the third controller's answers kept the leases of such workers. */
  @ParameterizedTest
  @ValueSource(longs = {3, 4, 5})
  void workersCutFromTheirOwnerAloneThatTakeNoTokenForTheLowest(long seed) {
    tasksStartElsewhereOnceTheyAreGone(AbsentToken.READ_AS_LOWEST, seed);
  }

  /**
   * A rolling restart from the program that gave out version 0. Two workers reach only a controller
   * that still runs it, whose answers keep their leases; the cloud takes nothing back, so there is
   * no other evidence than time.
   */
  @ParameterizedTest
  @ValueSource(longs = {3, 4, 5})
  void noTaskRunsTwiceWhileOldAndNewControllersStandSideBySide(long seed) {
    List<FakeWorker> cutOff = busyWorkersOfC0(AbsentToken.READ_AS_LOWEST, seed).subList(0, 2);
    List.of("c0", "c1", "c2").forEach(world::kill);
    EarlierProgram earlier = new EarlierProgram(world);
    earlier.rewind();
    earlier.start("c1", "c0", cutOff);
    earlier.start("c2", "c0", cutOff);
    world.cloud.down = true;
    world.network.cutLinks(cutOff, "c0");
    world.run(1);
    world.start("c0");
    world.run(3 * world.workers.leaseS());
    assertTrue(world.state.value("c/entity/c0").get("version").asLong() >= Version.INCREMENT);
    assertTrue(cutOff.stream().allMatch(w -> w.sessionsLost() == 0 && w.active() > 0));
    for (String next : List.of("c1", "c2")) {
      earlier.stop(next);
      world.start(next);
      world.run(world.workers.leaseS());
    }
    world.run(2 * world.workers.leaseS());
    for (int i = 0; i < TASKS; i++) {
      assertFalse(cutOff.contains(runs(LONG_JOB + "/" + i)));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 2})
  void aRowHandedOverByAnEarlierProgramIsRewrittenBeforeItIsHeld(int to) {
    new EarlierProgram(world).handedOver("c1", to);
    world.up();
    user.submit("c1", User.job(SHORT_JOB, 4));
    runs(SHORT_JOB + "/3");
    assertTrue(world.state.value("c/entity/c1").get("version").asLong() >= Version.INCREMENT);
    world.until(60, () -> user.poll("c1", SHORT_JOB).equals("done"));
  }

  @Test
  void theMetricsSayWhoAnsweredAndWhatAllowedTheStarts() {
    tasksStartElsewhereOnceTheyAreGone(AbsentToken.READ_AS_LOWEST, 3);
    assertTrue(metric("c1", "heartbeat.replies kind=stay") > 0);
    assertTrue(metric("c0", "heartbeat.replies kind=renewed") > 0);
    assertEquals(2 * TASKS / 4.0, metric("c0", "starts.elsewhere proof=lease_over"));
    assertEquals(0, metric("c0", "leases.outlived"));
    assertTrue(metric("c0", "lease.remaining.s") > 0);
  }

  private double metric(String controller, String name) {
    byte[] text = user.send(controller, "GET", "/metrics", null).body();
    return new String(text, StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.startsWith("violetrail." + name + " "))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .findFirst()
        .orElseThrow();
  }
}
