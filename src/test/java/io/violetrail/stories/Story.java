package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;

/** What stories of three controllers have in common. At the end of each no rule is broken. */
abstract class Story {
  protected World world;
  protected User user;

  Story(long seed) {
    world(seed);
  }

  protected final void world(long seed) {
    world = new World(3, seed);
    user = new User(world);
  }

  @AfterEach
  void noRuleIsBroken() {
    assertEquals(List.of(), world.broken);
  }

  protected FakeWorker runs(String task) {
    world.until(60, () -> world.cloud.running(task).size() == 1);
    return world.cloud.running(task).get(0);
  }

  protected int owner(String entity) {
    return (int) (world.state.value("c/entity/" + entity).get("version").asLong() % 10);
  }

  /** So many jobs of so many tasks, each taken in by one controller after the other. */
  protected List<String> accepted(int count, int tasks) {
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String id = "job-" + i;
      String at = World.name(i % 3);
      world.until(20, () -> user.submit(at, User.job(id, tasks)) / 100 == 2);
      jobs.add(id);
    }
    return jobs;
  }

  /** Asks for a cancellation and goes on without the answer. */
  protected void abort(String node, String id) {
    world.ask("user", node, "POST", "/work/" + id + "/abort", Cbor.bytes(Cbor.map()));
  }

  protected void startThoseThatEnded() {
    for (int i = 0; i < 3; i++) {
      if (!world.nodes.containsKey(World.name(i))) {
        world.start(World.name(i));
      }
    }
  }
}
