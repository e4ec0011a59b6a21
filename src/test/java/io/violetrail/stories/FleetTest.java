package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.StateLimits;
import io.violetrail.controller.Controller;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A thousand machines, and one controller that is left to carry them. */
class FleetTest {
  private static final int MACHINES = 1_000;
  private final World world = new World(3, 11);
  private final User user = new User(world);

  @AfterEach
  void noTaskRanTwice() {
    assertEquals(List.of(), world.broken);
  }

  private List<String> batches(int jobs, int tasks) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      String id = "job-" + tasks + i;
      ids.add(id);
      String to = world.nodes.containsKey(World.name(i % 3)) ? World.name(i % 3) : "c2";
      world.ask("user", to, "POST", "/work", Cbor.bytes(User.job(id, tasks)));
    }
    return ids;
  }

  private long looked() {
    return world.nodes.values().stream().mapToLong(n -> n.machinesExamined()).sum();
  }

  @Test
  void oneOwnerCarriesAThousandMachinesAfterTheOthersEnded() {
    world.stateLimits = new StateLimits(500, 60, 8192, 24);
    world.cloud.capacity = MACHINES;
    world.up();
    for (int i = 0; i < MACHINES; i++) {
      world.cloud.given("plain", i % 2 == 0 ? "a" : "b");
    }
    world.run(30);
    final List<String> first = batches(6, 1_500);
    world.run(4);
    final int writesBefore = world.state.writes;
    world.kill("c0");
    world.kill("c1");
    // Every worker hears a valid term within its lease, before all jobs and machines are settled.
    world.until(30, () -> world.nodes.get("c2").membership().holdings().size() == 3);
    world.run(20);
    long lost = world.cloud.workers.values().stream().mapToLong(FakeWorker::sessionsLost).sum();
    assertEquals(0, lost, "leases lost");
    Controller last = world.nodes.get("c2");
    assertTrue(
        last.membership().holdings().stream().allMatch(h -> h.active()), "all entities are served");
    // A takeover is a move for each entity, and nothing for each machine.
    int moves = world.state.writes - writesBefore;
    assertTrue(moves < MACHINES / 4, "writes of the takeover and its progress: " + moves);
    long before = looked();
    List<String> second = batches(4, 1_500);
    for (String id : second) {
      world.until(200, () -> user.poll("c2", id).equals("done"));
    }
    for (String id : first) {
      world.until(200, () -> user.poll("c2", id).equals("done"));
    }
    long perTask = (looked() - before) / (4 * 1_500);
    assertTrue(perTask < 25, "machines looked at for each task: " + perTask);
  }

  /**
   * It stands still for longer than its lease, at moments drawn across its renewals, launches and
   * writes, and goes on in mid-step with all that waited for it.
   */
  @Test
  void aControllerThatStoodStillDoesNothingThatItHadDecided() {
    for (int step = 0; step < 25; step++) {
      World w = new World(3, 31 + step);
      w.cloud.capacity = 12;
      w.up();
      User u = new User(w);
      for (int i = 0; i < 6; i++) {
        u.submit(World.name(i % 3), User.job("job-" + i, 20));
      }
      w.run(4 + 0.13 * step);
      var frozen = w.nodes.get("c0");
      final var before = frozen.membership().own().row().version();
      // What it had written but not sent leaves only when it goes on, and then comes too late.
      w.network.hold(m -> m.startsWith("c0 state POST /txn") || m.startsWith("c0 vm-"));
      w.run(0.02);
      w.freeze("c0", 25);
      w.run(25 - 0.05);
      w.network.release();
      w.run(0.3);
      // It knows at once that its time was over, before anything that waited is acted upon.
      assertTrue(
          frozen.membership().own() == null
              || frozen.membership().own().row().version().compareTo(before) > 0,
          "it still believes in its old version");
      for (int i = 0; i < 6; i++) {
        String id = "job-" + i;
        w.until(300, () -> u.poll("c1", id).equals("done"));
      }
      assertEquals(List.of(), w.broken, "step " + step);
    }
  }

  @Test
  void refusedConnectionsBetweenControllersAreNoDeath() {
    world.up();
    world.cloud.capacity = 20;
    user.submit("c0", User.job("job-1", 40));
    final var rows =
        world.nodes.get("c1").membership().holdings().stream().map(h -> h.row()).toList();
    world.network.hold(m -> m.matches("c[0-2] c[0-2] .*"));
    world.run(60);
    world.network.release();
    assertEquals(
        rows,
        world.nodes.get("c1").membership().holdings().stream().map(h -> h.row()).toList(),
        "nothing moves to and fro");
    world.until(120, () -> user.poll("c2", "job-1").equals("done"));
  }
}
