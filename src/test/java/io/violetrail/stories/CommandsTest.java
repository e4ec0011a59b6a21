package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.Workers;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Machines that reach no controller while commands reach them, machines that hang with commands
 * waiting, and old reports that reach every controller as a new leader begins.
 */
class CommandsTest extends Story {
  CommandsTest() {
    super(6);
  }

  // Workers can't open connections to any controller, while direct commands still reach them.

  @Test
  void aCancelledTaskOnAMuteMachineGoesByCommandBeforeItsLeaseEnds() {
    world.workers = new Workers(1, 25, 45, 4, 40);
    world.up();
    user.submit("c0", User.job("job-1", 1));
    FakeWorker w = runs("job-1/0");
    w.runs.put("job-1/0", 500.0);
    world.run(2);
    w.outboundCut = true;
    // Silent by then; the first command, sent when it was called off, is lost.
    world.run(6);
    world.network.cut(w.id);
    assertEquals("cancelled", user.abort("c1", "job-1"));
    world.run(1);
    world.network.mend(w.id);
    world.run(3);
    assertFalse(w.has("job-1/0"), "by a command that was repeated");
    assertEquals(0, w.sessionsLost(), "its lease still runs");
  }

  @Test
  void muteMachinesTasksStartElsewhereOnEvidenceAloneAndTheMachineIsUsedAgain() {
    world.cloud.capacity = 1;
    world.up();
    user.submit("c0", User.job("job-1", 2));
    FakeWorker w = runs("job-1/0");
    w.runs.put("job-1/0", 60.0);
    world.run(2);
    w.outboundCut = true;
    double from = world.now();
    FakeWorker other = world.cloud.given("plain", "b");
    world.until(40, () -> other.has("job-1/0"));
    assertTrue(world.now() - from > world.workers.leaseS(), "not before its lease is over");
    w.outboundCut = false;
    world.run(8);
    for (int i = 2; i < 6; i++) {
      user.submit("c0", User.job("job-" + i, 4));
    }
    world.until(60, () -> w.active() > 0 || !world.cloud.workers.containsKey(w.id));
    assertEquals(0, world.checker.startsAfterCancellation);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void manyMuteMachinesThroughCancellationsAndChangesOfLeader(long seed) {
    world(seed);
    world.up();
    world.cloud.runS = 40;
    Random random = new Random(seed);
    for (int i = 0; i < 12; i++) {
      String id = "job-" + i;
      String at = World.name(i % 3);
      world.until(20, () -> user.submit(at, User.job(id, 4)) / 100 == 2);
    }
    world.run(8);
    world.cloud.workers.values().forEach(w -> w.outboundCut = random.nextInt(3) > 0);
    for (int i = 0; i < 12; i += 3) {
      abort("c1", "job-" + i);
      world.run(0.5);
    }
    world.kill("c0");
    world.run(3 * random.nextInt(6));
    for (int i = 1; i < 12; i += 3) {
      abort("c2", "job-" + i);
      world.run(0.5);
    }
    world.start("c0");
    world.run(10);
    world.cloud.workers.values().forEach(w -> w.outboundCut = false);
    world.checker.troublesOver();
    for (int i = 0; i < 12; i++) {
      String id = "job-" + i;
      world.until(300, () -> user.poll("c2", id).matches("done|cancelled"));
    }
  }

  // Starts after a confirmed cancellation: counted by the operators, though cancel_s allows them.

  @Test
  void fewTasksStartAfterTheirJobsCancellationWasConfirmed() {
    // Their images are still being fetched when the user is told.
    world.up();
    world.cloud.fetchS = 2;
    world.cloud.capacity = 6;
    for (int i = 0; i < 10; i++) {
      String id = "job-" + i;
      user.submit(World.name(i % 3), User.job(id, 4));
      world.run(3.7);
      user.abort(World.name((i + 1) % 3), id);
      world.run(0.2 * i);
    }
    world.run(5);
    assertEquals(0, world.checker.startsAfterCancellation, "of " + world.launches.size());
    assertTrue(world.launches.size() > 0);
  }

  // A machine hangs while commands wait for it, and then goes on.

  @ParameterizedTest
  @ValueSource(doubles = {2, 5, 9, 12, 20})
  void aCancelledTaskOfAMachineThatHangsIsGoneInTimeAndNothingElseStops(double hangs) {
    world.up();
    world.cloud.capacity = 1;
    user.submit("c0", User.job("job-1", 2));
    user.submit("c0", User.job("job-2", 2));
    FakeWorker w = runs("job-1/1");
    runs("job-2/1");
    w.runs.put("job-1/0", 300.0);
    w.runs.put("job-1/1", 300.0);
    world.run(2);
    w.hang(hangs);
    abort("c1", "job-1");
    world.run(hangs / 2);
    world.kill("c0");
    world.run(world.workers.cancelS());
    assertEquals(List.of(), world.cloud.running("job-1/0"));
    world.start("c0");
    world.until(200, () -> user.poll("c0", "job-2").equals("done"));
    assertEquals("cancelled", user.poll("c1", "job-1"));
  }

  // An old report reaches every controller just as a new leader begins.

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void oldReportsReachEveryControllerAsANewLeaderBegins(long seed) {
    world(seed);
    world.up();
    Random random = new Random(seed * 7);
    for (int i = 0; i < 9; i++) {
      String id = "job-" + i;
      String at = World.name(i % 3);
      world.until(20, () -> user.submit(at, User.job(id, 3)) / 100 == 2);
    }
    for (int round = 0; round < 5; round++) {
      world.run(6 + 6 * random.nextDouble());
      List<FakeWorker> all = List.copyOf(world.cloud.everUp);
      String ends = World.name(random.nextInt(3));
      world.kill(ends);
      boolean quick = random.nextBoolean();
      if (quick) {
        world.run(0.5);
        world.start(ends);
      }
      // To whoever leads by then, within the moments in which it begins.
      int former = Integer.parseInt(ends.substring(1));
      world.until(15, () -> owner(ends) != former || world.nodes.containsKey(ends));
      for (int i = 0; i < 3; i++) {
        for (FakeWorker w : all) {
          if (w.reportsSent() > 0) {
            int which = random.nextInt(w.reportsSent());
            String to = World.name(i);
            world.at(random.nextDouble(), () -> w.repeat(which, to));
          }
        }
      }
      world.run(3);
      if (!world.nodes.containsKey(ends)) {
        world.start(ends);
      }
    }
    world.checker.troublesOver();
    for (int i = 0; i < 9; i++) {
      String id = "job-" + i;
      world.until(200, () -> user.poll("c1", id).equals("done"));
    }
  }

  @Test
  void oldReportsOfReturnedMachinesLeaveNothingBehind() {
    world.up();
    world.cloud.runS = 3;
    for (int i = 0; i < 6; i++) {
      user.submit(World.name(i % 3), User.job("job-" + i, 6).put("guess_s", 3.0));
    }
    world.until(30, () -> world.cloud.workers.size() >= 3);
    world.until(200, () -> world.cloud.workers.isEmpty());
    final List<FakeWorker> gone = List.copyOf(world.cloud.everUp);
    for (int i = 0; i < 3; i++) {
      world.kill(World.name(i));
    }
    world.run(1);
    startThoseThatEnded();
    world.run(3);
    for (FakeWorker w : gone) {
      for (int i = 0; i < 3; i++) {
        w.repeat(Math.max(0, w.reportsSent() - 3), World.name(i));
      }
    }
    world.run(2);
    user.submit("c0", User.job("job-9", 2).put("guess_s", 3.0));
    world.until(40, () -> user.poll("c0", "job-9").equals("done"));
    world.run(120);
    for (String key : world.state.keys("c/block/")) {
      assertEquals(0, world.state.value(key).size(), key);
    }
    assertEquals(0, world.state.keys("c/machine/").size());
  }

  @Test
  void aHeldReportDoesNotBringAReturnedMachineBackWhileItsRecordStands() {
    world.up();
    user.submit("c0", User.job("job-1", 1));
    FakeWorker w = runs("job-1/0");
    w.runs.put("job-1/0", 300.0);
    world.run(2);
    world.network.hold(m -> m.startsWith(w.id + " "));
    var machines = world.nodes.get("c0").membership().own().machines();
    world.until(60, () -> machines.keySet().stream().noneMatch(m -> m.value().equals(w.id)));
    // Just returned: the removal of its record is not stored yet.
    assertTrue(world.state.value("c/block/c0/0").has(w.id));
    world.network.release();
    world.run(0.1);
    assertTrue(machines.keySet().stream().noneMatch(m -> m.value().equals(w.id)));
    world.until(80, () -> user.poll("c0", "job-1").equals("done"));
  }
}
