package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.StateLimits;
import io.violetrail.controller.Controller;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import io.violetrail.model.Amounts;
import io.violetrail.model.MachineType;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What bit when deployments grew to hundreds of machines on the same small controllers. */
class GrownTest {
  private final World world = new World(3, 7);
  private final User user = new User(world);

  @AfterEach
  void noTaskRanTwice() {
    assertEquals(List.of(), world.broken);
  }

  private void post(int i, ObjectNode job) {
    world.ask("user", World.name(i % 3), "POST", "/work", Cbor.bytes(job));
  }

  private static ObjectNode gang(String id, int tasks) {
    return User.job(id, tasks).put("shape", "ensemble").put("cores", 8.0).put("one_zone", true);
  }

  @Test
  void hundredsOfMachinesAndThousandsOfTasksTakeBoundedWork() {
    world.cloud.capacity = 300;
    world.stateLimits = new StateLimits(250, 50, 8192, 24);
    world.up();
    List<String> jobs = new ArrayList<>();
    int tasks = 0;
    for (int i = 0; i < 80; i++) {
      String id = "job-" + i;
      jobs.add(id);
      ObjectNode job = i % 4 == 0 ? gang(id, 1 + i % 6) : User.job(id, 60);
      tasks += job.get("pieces").asInt();
      int n = i;
      world.at(i * 0.25, () -> post(n, job));
    }
    final int writesBefore = world.state.writes;
    world.run(25);
    for (String id : jobs) {
      world.until(300, () -> user.poll("c1", id).equals("done"));
    }
    int machines = world.cloud.hires.values().stream().mapToInt(List::size).sum();
    assertTrue(machines > 100, "machines " + machines);
    long looked = world.nodes.values().stream().mapToLong(n -> n.machinesExamined()).sum();
    // A look at all machines for each task would be some 400,000.
    assertTrue(looked < 25L * tasks, "looked at " + looked + " machines for " + tasks + " tasks");
    // Four a job and two a machine; a write for each step and each job in progress were twice that.
    int writes = world.state.writes - writesBefore;
    assertTrue(
        writes < 4 * jobs.size() + 2 * machines, "writes " + writes + " machines " + machines);
  }

  @Test
  void aHandBackDoesNotWaitBehindSubmissions() {
    // Seen on a simulated day: for the whole of a burst two controllers of three stood idle.
    world.stateLimits = new StateLimits(100, 9, 8192, 12);
    world.up();
    world.kill("c0");
    world.run(8);
    for (int i = 0; i < 400; i++) {
      int n = i;
      world.at(i * 0.1, () -> post(1 + n % 2, User.job("job-" + n, 2)));
    }
    world.run(5);
    world.start("c0");
    world.until(10, () -> world.nodes.get("c0").membership().own() != null);
  }

  @Test
  void machinesComeIntoUseWhileSubmissionsTakeAllWrites() {
    // A wide write of machines' records never found its whole need in the budget.
    world.stateLimits = new StateLimits(100, 9, 8192, 12);
    world.cloud.capacity = 60;
    world.up();
    for (int i = 0; i < 600; i++) {
      int n = i;
      world.at(i * 0.1, () -> post(n, User.job("job-" + n, 4)));
    }
    world.until(
        40, () -> world.cloud.workers.values().stream().filter(w -> w.launches > 0).count() > 20);
  }

  @Test
  void anOverloadedControllerTurnsSubmissionsAwayAtOnce() {
    world.stateLimits = new StateLimits(100, 9, 8192, 12);
    world.up();
    List<Integer> at = new ArrayList<>();
    double began = world.now();
    for (int i = 0; i < 60; i++) {
      world
          .ask("user", "c0", "POST", "/work", Cbor.bytes(User.job("job-" + i, 1)))
          .thenAccept(
              r -> {
                if (r.status() == 503) {
                  at.add((int) Math.ceil(world.now() - began));
                }
              });
    }
    world.run(6);
    assertTrue(at.size() > 20, "turned away " + at.size());
    assertTrue(at.stream().allMatch(s -> s <= 1), "after " + at + " s");
  }

  @Test
  void twoEntitiesNeverRecordTheSameMachine() {
    world.up();
    ObjectNode beat =
        Cbor.map()
            .put("host", "vm-900000")
            .put("endpoint", "x:1")
            .put("hosttype", "plain")
            .put("yard", "a")
            .put("loaners", false)
            .put("tenure", 1)
            .put("tick", 1)
            .put("baton", 0);
    beat.putArray("pieces");
    world.network.hold(m -> m.startsWith("c0 state POST /txn"));
    world.ask("vm-900000", "c0", "POST", "/agent/beat", Cbor.bytes(beat));
    world.until(3, () -> world.network.heldBack() > 0);
    var second = world.ask("vm-900000", "c1", "POST", "/agent/beat", Cbor.bytes(beat));
    world.until(3, second::isDone);
    assertEquals(200, second.join().status());
    world.network.release();
    world.run(3);
    long records =
        world.state.keys("c/block/").stream()
            .filter(key -> world.state.value(key).has("vm-900000"))
            .count();
    assertEquals(1, records);
    for (Controller n : world.nodes.values()) {
      assertEquals(
          "c1",
          n.directory().machinesOf(n.membership().own().entity()).isEmpty()
              ? "c1"
              : n.settings().self().value());
    }
  }

  @Test
  void manyUrgentGangsThatWaitDoNotKeepOtherNeedsFromThePeers() {
    // Entities with room for arrays kept it, since gangs filled the list of what was asked for.
    world.cloud.capacity = 0;
    world.cloud.types.add(
        new MachineType("big", new Amounts(64, 0, 256), 50, 1, 8, 3, 3, List.of("a")));
    world.up();
    for (int i = 0; i < 6; i++) {
      world.cloud.given("plain", "a");
    }
    world.run(4);
    for (int i = 0; i < 8; i++) {
      ObjectNode big = gang("job-" + i, 2).put("urgency", "high").put("cores", 64.0);
      big.putArray("hosttypes").add("big");
      user.submit("c0", big);
    }
    user.submit("c0", User.job("job-9", 48));
    world.run(8);
    assertEquals(48, world.cloud.workers.values().stream().mapToInt(w -> w.active()).sum());
  }

  @Test
  void lateSmallTasksDoNotKeepADearMachine() {
    // A quarter of a day's cost went to machines with accelerators that ran a few small tasks each.
    world.cloud.capacity = 0;
    world.cloud.types.add(
        new MachineType("dear", new Amounts(16, 2, 64), 50, 1, 10, 3, 3, List.of("a")));
    world.up();
    user.submit("c0", User.job("job-2", 400));
    user.submit("c0", User.job("job-1", 1).put("gpus", 1.0));
    world.run(60);
    FakeWorker dear = world.cloud.given("dear", "a");
    world.until(20, () -> dear.has("job-1/0"));
    world.until(60, () -> !world.cloud.workers.containsKey(dear.id));
  }

  @Test
  void theBlocksOfAFleetOutliveAllControllers() {
    world.cloud.capacity = 150;
    world.up();
    for (int i = 0; i < 20; i++) {
      post(i, User.job("job-" + i, 60));
    }
    world.run(12);
    int launched = world.cloud.workers.values().stream().mapToInt(w -> w.launches).sum();
    assertTrue(launched > 600, "launched " + launched);
    for (int i = 0; i < 3; i++) {
      world.kill(World.name(i));
    }
    world.run(4);
    for (int i = 0; i < 3; i++) {
      world.start(World.name(i));
    }
    for (int i = 0; i < 20; i++) {
      String id = "job-" + i;
      world.until(120, () -> user.poll("c2", id).equals("done"));
    }
    int all = world.cloud.workers.values().stream().mapToInt(w -> w.launches).sum();
    assertTrue(all <= 20 * 60, "nothing ran again");
  }
}
