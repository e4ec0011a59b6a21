package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.StateLimits;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Leaders that end and come back, in any order and with other troubles; tiny jobs meanwhile. */
class FailoverTest extends Story {
  FailoverTest() {
    super(12);
  }

  private void allEnd(double within, List<String> jobs) {
    double until = world.now() + within;
    for (String id : jobs) {
      world.until(
          Math.max(1, until - world.now()), () -> user.poll("c1", id).matches("done|cancelled"));
    }
  }

  // New machines are up within two seconds and get work at once while writes lag, and the leader
  // ends.

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void newMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds(long seed) {
    world(seed);
    Random random = new Random(seed * 5);
    world.teams.put("blue", new Team("blue", 0, 0, 18, 0));
    world.cloud.boots = n -> 0.3 + 1.6 * random.nextDouble();
    world.cloud.answerS = random.nextInt(3);
    world.up();
    for (int i = 0; i < 3; i++) {
      world.state.lateShare.put(World.name(i), 0.3);
    }
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      ObjectNode job = User.job("job-" + i, 4).put("crew", i % 2 == 0 ? "blue" : "red");
      int status = user.submit(World.name(i % 3), job);
      if (status / 100 == 2) {
        jobs.add("job-" + i);
      }
    }
    world.run(1 + 2 * random.nextDouble());
    for (int round = 0; round < 3; round++) {
      String leader = World.name(random.nextInt(3));
      world.kill(leader);
      world.run(2 + 6 * random.nextDouble());
      startThoseThatEnded();
      world.run(3 * random.nextDouble());
    }
    world.state.lateShare.clear();
    world.run(15);
    world.checker.troublesOver();
    allEnd(250, jobs);
  }

  // All controllers are away for longer than lease_s.

  @ParameterizedTest
  @ValueSource(doubles = {11, 20, 45})
  void allControllersAreAwayForLongerThanALease(double away) {
    world.up();
    world.cloud.runS = 30;
    final List<String> jobs = accepted(6, 3);
    world.run(10);
    abort("c1", "job-1");
    world.run(0.3);
    for (int i = 0; i < 3; i++) {
      world.kill(World.name(i));
    }
    world.run(away);
    startThoseThatEnded();
    final double back = world.now();
    world.run(4);
    world.checker.troublesOver();
    world.until(20, () -> user.submit("c0", User.job("job-9", 1)) == 201);
    allEnd(120, jobs);
    allEnd(60, List.of("job-9"));
    assertTrue(world.now() - back < 150);
  }

  // Leaders change ten times in two minutes, also inside an outage.

  @ParameterizedTest
  @CsvSource({"1, false", "2, false", "3, false", "4, true", "5, true", "6, true"})
  void leadersChangeTenTimesInTwoMinutes(long seed, boolean outage) {
    world(seed);
    Random random = new Random(seed);
    world.up();
    world.cloud.runS = 40;
    final List<String> jobs = accepted(9, 3);
    world.run(8);
    // One machine can't be reached all the while, and the cloud takes nothing back: what it may
    // hold is the evidence that all owners wait for, and none may wait for it anew.
    FakeWorker away = world.cloud.workers.values().iterator().next();
    world.network.cut(away.id);
    world.cloud.down = true;
    double began = world.now();
    for (int change = 0; change < 10; change++) {
      String name = World.name(random.nextInt(3));
      world.kill(name);
      if (outage && change == 4) {
        world.state.outage(true);
      }
      world.run(3 + 5 * random.nextDouble());
      startThoseThatEnded();
      world.run(2 + 2 * random.nextDouble());
      if (outage && change == 6) {
        world.state.outage(false);
      }
    }
    assertTrue(world.now() - began < 130);
    world.checker.troublesOver();
    world.run(70);
    // Long after the last change, and before the machine and the cloud are back.
    for (String id : jobs) {
      assertTrue(user.poll("c1", id).matches("done|running"), id + " is " + user.poll("c1", id));
    }
    world.cloud.down = false;
    world.network.mend(away.id);
    allEnd(250, jobs);
  }

  // A zone with workers and a controller is cut off for longer than lease_s.

  @ParameterizedTest
  @CsvSource({"1, 12", "2, 25", "3, 45", "4, 70"})
  void aZoneWithAControllerIsCutOffForLongerThanALease(long seed, double cutS) {
    world(seed);
    world.up();
    world.cloud.runS = 50;
    final List<String> jobs = accepted(9, 3);
    world.run(10);
    var inside =
        world.cloud.workers.values().stream()
            .filter(w -> "a".equals(w.zone()))
            .map(w -> w.id)
            .collect(Collectors.toSet());
    // Packets between inside and outside are held back, and delivered in order afterwards.
    world.network.hold(
        m -> {
          String[] part = m.split(" ", 0);
          boolean from = part[0].equals("c0") || inside.contains(part[0]);
          boolean to = part[1].equals("c0") || inside.contains(part[1]);
          return from != to && !part[0].equals("user");
        });
    world.run(cutS * 0.4);
    for (int i = 0; i < 6; i++) {
      abort(World.name(1 + i % 2), "job-" + i);
    }
    world.run(cutS * 0.6);
    world.network.release();
    world.run(8);
    world.checker.troublesOver();
    allEnd(250, jobs);
  }

  // One-task jobs come four a second for minutes, a quarter of them cancelled.

  @Test
  void oneTaskJobsFourASecondForMinutesAQuarterOfThemCancelled() {
    // The smallest settings: 25 changes a second. Judged by counts, never by elapsed time.
    world.stateLimits = new StateLimits(60, 25, 8192, 24);
    world.cloud.capacity = 60;
    world.cloud.runS = 6;
    world.up();
    final int before = world.state.writes;
    int[] refused = {0};
    int jobs = 4 * 120;
    for (int i = 0; i < jobs; i++) {
      ObjectNode job = User.job("job-" + i, 1).put("guess_s", 6.0);
      String at = World.name(i % 3);
      boolean cancel = i % 4 == 3;
      world
          .ask("user", at, "POST", "/work", Cbor.bytes(job))
          .thenAccept(
              r -> {
                refused[0] += r.status() == 201 ? 0 : 1;
                if (cancel) {
                  String by = World.name(world.random.nextInt(3));
                  String id = job.get("name_id").asText();
                  world.at(2, () -> abort(by, id));
                  world.at(4, () -> abort(by, id));
                }
              });
      world.run(0.25);
    }
    world.checker.troublesOver();
    world.run(30);
    assertTrue(refused[0] <= jobs / 50, refused[0] + " of " + jobs + " were not taken at once");
    double perJob = (world.state.writes - before) / (double) jobs;
    assertTrue(perJob < 3.5, perJob + " writes a job");
    int open = 0;
    for (int i = 0; i < jobs; i++) {
      String end = user.poll(World.name(i % 3), "job-" + i);
      open += end.matches("done|cancelled|404") ? 0 : 1;
      world.run(0.02);
    }
    assertEquals(0, open, "all are over and told so");
    assertTrue(world.checker.startsAfterCancellation <= 2);
  }

  // The cloud answers nothing for a while.

  @Test
  void controllersThatStartWhileTheCloudIsAwayKnowTheMachineTypes() {
    // Told before there was a lease to write under, the types were stored minutes later.
    world.up();
    user.submit("c0", User.job("job-1", 2).put("guess_s", 60.0));
    world.run(10);
    world.cloud.down = true;
    for (int i = 0; i < 3; i++) {
      world.kill(World.name(i));
    }
    world.run(1);
    startThoseThatEnded();
    world.until(10, () -> user.submit("c0", User.job("job-2", 1)) == 201);
    allEnd(60, List.of("job-1", "job-2"));
  }

  @Test
  void idleMachinesThatTheCloudDoesNotTakeBackAreUsed() {
    world.up();
    user.submit("c0", User.job("job-1", 2));
    allEnd(60, List.of("job-1"));
    world.cloud.down = true;
    // Long enough that they are idle for too long, and the cloud says no.
    world.run(120);
    user.submit("c0", User.job("job-2", 2));
    allEnd(40, List.of("job-2"));
    world.cloud.down = false;
  }
}
