package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Settings.Workers;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The keep-alive grace period of owners whose lease is uncertain: one is refused by the state
 * service, its successor confirms cancellations, then the state service is down for everybody for
 * longer than {@code cancel_s}, while workers go on reporting. The tasks must be gone in time all
 * the same, however long or short {@code cancel_s} is beside the workers' lease.
 */
class KeepAliveGraceTest {
  private World world;
  private User user;

  static Stream<Workers> deployments() {
    return Stream.of(
        new Workers(1, 10, 45, 4, 40),
        new Workers(2.5, 16, 50, 6, 36),
        new Workers(3, 17.5, 50, 6, 37.5),
        new Workers(4, 22, 45, 4, 52),
        new Workers(3, 17.5, 50, 6, 30));
  }

  private FakeWorker begin(Workers workers) {
    world = new World(3, 7);
    user = new User(world);
    world.workers = workers;
    world.cloud.runS = 500;
    world.up();
    world.until(10, () -> user.submit("c0", User.job("job-1", 2).put("guess_s", 500.0)) == 201);
    world.until(60, () -> world.cloud.running("job-1/0").size() == 1);
    return world.cloud.running("job-1/0").get(0);
  }

  /** Through whom the cancellation goes; the entity has moved there. */
  private String successor() {
    world.until(
        world.workers.leaseS(),
        () -> world.state.value("c/entity/c0").get("version").asLong() % 10 != 0);
    String name = World.name((int) (world.state.value("c/entity/c0").get("version").asLong() % 10));
    world.until(10, () -> world.nodes.get(name).membership().holdings().size() == 2);
    world.until(10, () -> "cancelled".equals(user.abort(name, "job-1")));
    return name;
  }

  private void outageBeyondCancelS() {
    world.state.outage(true);
    world.run(world.workers.cancelS() * 1.6);
    assertEquals(List.of(), world.broken);
    assertEquals(List.of(), world.cloud.running("job-1/0"));
    world.state.outage(false);
    world.network.rejoin();
    world.state.refusedFor.clear();
  }

  @AfterEach
  void noRuleIsBroken() {
    world.run(30);
    assertEquals(List.of(), world.broken);
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void theOldLeaderIsCutFromStateAndPeersAndKeepsItsWorkersUntilAnOutage(Workers workers) {
    begin(workers);
    world.network.isolate("c0");
    successor();
    outageBeyondCancelS();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void workersComeToTheSuccessorOnlyWhenItIsInDoubtItself(Workers workers) {
    begin(workers);
    world.network.isolate("c0");
    double cutAt = world.now();
    successor();
    // So late that the old leader's grace ends well within the outage, and the successor's later.
    world.run(Math.max(0, world.workers.leaseS() - (world.now() - cutAt)));
    outageBeyondCancelS();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void theOldLeaderIsRefusedAloneAndToldOfTheMove(Workers workers) {
    begin(workers);
    world.state.refusedFor.add("c0");
    successor();
    outageBeyondCancelS();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void anOwnerConfirmsToAUserJustBeforeTheOutageAndItsWorkersHearNothingMeanwhile(Workers workers) {
    FakeWorker w = begin(workers);
    world.run(2 * workers.reportS());
    world.network.cut(w.id);
    assertEquals("cancelled", user.abort("c0", "job-1"));
    world.state.outage(true);
    world.run(workers.leaseS() * 0.8);
    assertTrue(world.cloud.workers.containsKey(w.id));
    // It comes back within its lease, to an owner in doubt.
    world.network.mend(w.id);
    world.run(2.5 * workers.reportS() + 5);
    assertFalse(w.has("job-1/0"), "the owner in doubt has it halted");
    outageBeyondCancelS();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void aSuccessorOfASuccessorKnowsWhatTheFirstOneConfirmed(Workers workers) {
    begin(workers);
    world.network.isolate("c0");
    String first = successor();
    world.kill(first);
    String second = first.equals("c1") ? "c2" : "c1";
    world.until(
        workers.leaseS(), () -> world.nodes.get(second).membership().holdings().size() == 3);
    outageBeyondCancelS();
  }

  @ParameterizedTest
  @MethodSource("deployments")
  void aNewOwnerThatCannotReadItsRowsYetKeepsNobodyTooLong(Workers workers) {
    FakeWorker w = begin(workers);
    world.run(2 * workers.reportS());
    world.network.cut(w.id);
    assertEquals("cancelled", user.abort("c0", "job-1"));
    world.kill("c0");
    // The rows cannot be read for as long as it takes, while renewals and moves go through.
    world.network.hold(m -> m.contains("GET /keys?under=open/c0"));
    world.run(workers.leaseS() * 0.75);
    world.network.mend(w.id);
    world.run(workers.cancelS());
    assertEquals(List.of(), world.broken);
    world.network.release();
  }

  @ParameterizedTest
  @ValueSource(doubles = {8, 10, 12, 14, 16, 18, 20, 22})
  void theFirstOwnersGraceIsNotFollowedByAnotherOneOfAThirdThatStillReads(double later) {
    Workers workers = new Workers(3, 17.5, 50, 6, 37.5);
    begin(workers);
    world.network.isolate("c0");
    String first = successor();
    world.run(later);
    world.kill(first);
    final String second = first.equals("c1") ? "c2" : "c1";
    world.network.hold(m -> m.contains("GET /keys?under=open/c0"));
    world.run(workers.cancelS() * 2);
    assertEquals(List.of(), world.broken);
    assertTrue(world.nodes.get(second).membership().holdings().size() > 1);
    world.network.rejoin();
    world.network.release();
  }
}
