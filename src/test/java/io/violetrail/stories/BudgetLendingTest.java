package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.StateLimits;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import io.violetrail.wire.Cbor;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A controller with more to write than its part of the budget is lent what its peers have left. */
class BudgetLendingTest {
  private static final int BURST = 12;
  private static final double CHANGES_A_SECOND = 12;

  private final World world = new World(5, 3);
  private int accepted;

  private void up() {
    world.stateLimits = new StateLimits(200, CHANGES_A_SECOND, 8192, 24);
    world.state.limited = true;
    world.up();
    world.run(10);
  }

  /** Submits a burst at one controller; returns how long it takes until all of it is accepted. */
  private double burstAt(String controller) {
    double began = world.now();
    for (int i = 0; i < BURST; i++) {
      submit(controller, "job-" + i);
    }
    world.until(60, () -> accepted == BURST);
    return world.now() - began;
  }

  private void submit(String controller, String id) {
    world
        .ask("user", controller, "POST", "/work", Cbor.bytes(User.job(id, 1)))
        .whenComplete(
            (reply, failure) -> {
              if (failure == null && reply.status() < 300) {
                accepted++;
              } else {
                world.at(1, () -> submit(controller, id));
              }
            });
  }

  @Test
  void aBurstAtOneControllerUsesWhatTheOthersHaveLeft() {
    up();
    // Its own part is a fifth of 0.9 times the budget: some 2 changes a second, for 12 claims
    // alone.
    double own = CHANGES_A_SECOND * 0.9 / 5;
    double took = burstAt("c0");
    assertTrue(took < BURST / own, "took " + took + " s, its own part allows " + BURST / own);
    assertEquals(0, world.state.overLimit, "together they stay within the limit");
    assertEquals(List.of(), world.broken);
  }

  /**
   * While submissions use up what seven controllers may write, jobs that have ended are told so.
   */
  @Test
  void endsAreNotLeftBehindBeginnings() {
    World seven = new World(7, 5);
    seven.stateLimits = new StateLimits(400, 30, 8192, 24);
    seven.state.limited = true;
    seven.cloud.runS = 1;
    seven.cloud.capacity = 40;
    seven.up();
    for (int i = 0; i < 40; i++) {
      seven.cloud.given("plain", "a");
    }
    seven.run(30);
    User user = new User(seven);
    for (int i = 0; i < 40; i++) {
      assertEquals(201, user.submit(World.name(i % 7), User.job("job-9" + (1000 + i), 1)));
      seven.run(0.1);
    }
    for (int i = 0; i < 600; i++) {
      byte[] job = Cbor.bytes(User.job("job-" + i, 1));
      String controller = World.name(i % 7);
      seven.at(0.05 * i, () -> seven.ask("user", controller, "POST", "/work", job));
    }
    seven.run(20);
    int told = 0;
    for (int i = 0; i < 40; i++) {
      told += user.poll(World.name(i % 7), "job-9" + (1000 + i)).equals("done") ? 1 : 0;
    }
    assertTrue(told >= 38, told + " of 40 are told");
    assertEquals(List.of(), seven.broken);
  }

  @Test
  void withoutPeersItsOwnPartIsAllThereIs() {
    up();
    world.network.refuse(m -> m.endsWith(" POST /peer"));
    double own = CHANGES_A_SECOND * 0.9 / 5;
    double took = burstAt("c0");
    assertTrue(took > 0.8 * BURST / own, "took " + took + " s");
    assertEquals(0, world.state.overLimit);
    assertEquals(List.of(), world.broken);
  }
}
