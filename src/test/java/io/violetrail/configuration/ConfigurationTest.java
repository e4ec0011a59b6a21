package io.violetrail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Options;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import io.violetrail.net.Http;
import io.violetrail.ownership.Rows;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubeJson;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The configuration changes while controllers, the network and the state service fail. */
class ConfigurationTest {
  private World world;
  private User user;
  private ConfigurationChecker checker;

  private void up(long seed, double limit) {
    world = new World(3, seed);
    world.options =
        new Options(
            null, Options.DEFAULTS.idleS(), Options.DEFAULTS.sample(), null, null, false, true);
    world.teams.put("red", new Team("red", 0, 0, limit, Double.POSITIVE_INFINITY));
    world.cloud.runS = 8;
    user = new User(world);
    checker = new ConfigurationChecker(world);
    world.up();
  }

  @AfterEach
  void noRuleIsBroken() {
    if (world != null) {
      assertEquals(List.of(), world.broken);
    }
  }

  private static ObjectNode team(String name, double limit) {
    return Cbor.map().put("name", name).put("cpus_max", limit);
  }

  private static ObjectNode change(long expected, String request, ObjectNode... teams) {
    ObjectNode m = Cbor.map().put("expected", expected).put("request", request);
    m.put("who", "operator").put("why", "a test");
    m.putArray("teams").addAll(List.of(teams));
    return m;
  }

  private CompletableFuture<Http.Reply> post(String node, String path, ObjectNode body) {
    return world.call("operator", -1, World.api(node), "POST", path, KubeJson.bytes(body), 10);
  }

  private Http.Reply await(CompletableFuture<Http.Reply> reply) {
    world.until(15, reply::isDone);
    return reply.isCompletedExceptionally() ? new Http.Reply(0, new byte[0]) : reply.join();
  }

  private Http.Reply apply(String node, ObjectNode change) {
    return await(post(node, "/config", change));
  }

  private JsonNode get(String node, String path) throws Exception {
    Http.Reply reply = await(world.call("operator", -1, World.api(node), "GET", path, null, 10));
    assertEquals(200, reply.status());
    return KubeJson.parse(reply.body());
  }

  private void untilAllGoBy(long revision) {
    world.until(
        ConfigurationFollower.IN_FORCE_S,
        () ->
            world.nodes.values().stream()
                .allMatch(
                    n -> n.configuration().revision() == revision && n.configuration().fresh()));
  }

  private long running() {
    return world.cloud.workers.values().stream().mapToLong(FakeWorker::active).sum();
  }

  private double sliceSum(String team) {
    double sum = 0;
    for (JsonNode slice : world.state.value(Rows.SLICE + team)) {
      sum += slice.get(0).asDouble();
    }
    return sum;
  }

  @Test
  void aChangeIsInForceEverywhereWithinTheBound() throws Exception {
    up(1, 30);
    assertEquals(200, apply("c0", change(0, "r1", team("red", 30), team("blue", 8))).status());
    untilAllGoBy(1);
    assertEquals(201, user.submit("c1", User.job("job-1", 1).put("crew", "blue")));
    world.until(30, () -> world.checker.ended("job-1/0"));
    JsonNode status = get("c2", "/config/status");
    assertEquals(3, status.get("controllers").size());
    for (JsonNode s : status.get("controllers")) {
      assertEquals(1, s.get("revision").asInt());
      assertTrue(s.get("fresh").asBoolean());
    }
    JsonNode ready =
        Cbor.parse(await(world.call("lb", -1, World.api("c0"), "GET", "/ready", null, 5)).body());
    assertEquals(1, ready.at("/configuration/revision").asInt());
  }

  @Test
  void withoutAStoredConfigurationTheFileIsInForce() throws Exception {
    up(2, 30);
    assertEquals(201, user.submit("c0", User.job("job-1", 3)));
    world.until(30, () -> world.checker.ended("job-1/2"));
    assertEquals(0, get("c0", "/config").get("revision").asInt());
    assertEquals(0, get("c0", "/config/history").get("revisions").size());
  }

  @Test
  void aLoweredLimitLetsWhatRunsEndAndStartsNothingAboveIt() {
    up(3, 24);
    for (int i = 0; i < 3; i++) {
      assertEquals(201, user.submit(World.name(i), User.job("job-" + i, 40)));
    }
    world.until(40, () -> running() >= 24);
    assertEquals(200, apply("c1", change(0, "r1", team("red", 6))).status());
    untilAllGoBy(1);
    world.until(40, () -> sliceSum("red") <= 6.001);
    world.run(ConfigurationFollower.IN_FORCE_S + 1);
    for (int i = 0; i < 40; i++) {
      world.run(0.5);
      assertTrue(running() <= 6, "running " + running());
    }
    assertEquals(200, apply("c2", change(1, "r2", team("red", 60))).status());
    world.until(120, () -> world.checker.ended("job-0/39") && world.checker.ended("job-2/39"));
  }

  @Test
  void aRaisedLimitIsUsed() {
    up(4, 3);
    assertEquals(201, user.submit("c0", User.job("job-1", 30)));
    world.run(15);
    assertTrue(running() <= 3);
    assertEquals(200, apply("c0", change(0, "r1", team("red", 30))).status());
    world.until(30, () -> running() > 20);
  }

  @Test
  void aLimitThatComesAndGoes() {
    up(5, Double.POSITIVE_INFINITY);
    for (int i = 0; i < 3; i++) {
      assertEquals(201, user.submit(World.name(i), User.job("job-" + i, 60)));
    }
    world.until(40, () -> running() > 30);
    assertEquals(200, apply("c1", change(0, "r1", team("red", 9))).status());
    world.run(30);
    assertTrue(running() <= 9, "running " + running());
    assertTrue(running() > 0);
    assertEquals(200, apply("c1", change(1, "r2", team("red", 0))).status());
    for (int i = 3; i < 6; i++) {
      assertEquals(201, user.submit(World.name(i - 3), User.job("job-" + i, 60)));
    }
    world.until(60, () -> running() > 30);
  }

  @Test
  void aTeamThatIsLeftOutFinishesWhatItHas() {
    up(6, 30);
    assertEquals(201, user.submit("c0", User.job("job-1", 4)));
    assertEquals(200, apply("c0", change(0, "r1", team("blue", 8))).status());
    untilAllGoBy(1);
    assertEquals(422, user.submit("c1", User.job("job-2", 1)));
    assertEquals(200, user.submit("c1", User.job("job-1", 4)), "known jobs keep their answers");
    world.until(40, () -> user.poll("c2", "job-1").equals("done"));
    assertEquals(200, apply("c0", change(1, "r2", team("red", 30), team("blue", 8))).status());
    untilAllGoBy(2);
    assertEquals(201, user.submit("c1", User.job("job-3", 1)));
  }

  @Test
  void ofTwoWritersOneIsToldTheNewerRevision() throws Exception {
    up(7, 30);
    var one = post("c0", "/config", change(0, "r1", team("red", 20)));
    var other = post("c1", "/config", change(0, "r2", team("red", 10)));
    List<Http.Reply> replies = List.of(await(one), await(other));
    List<Integer> statuses = replies.stream().map(Http.Reply::status).sorted().toList();
    assertEquals(List.of(200, 409), statuses);
    for (Http.Reply r : replies) {
      assertEquals(1, KubeJson.parse(r.body()).get("revision").asInt());
    }
    assertEquals(409, apply("c2", change(0, "r3", team("red", 5))).status());
    untilAllGoBy(1);
  }

  @Test
  void aRepeatOfARequestChangesNothingMore() throws Exception {
    up(8, 30);
    ObjectNode change = change(0, "r1", team("red", 20));
    world.state.lostAcks.put("c0", 1.0);
    final var lost = post("c0", "/config", change);
    world.run(6);
    world.state.lostAcks.clear();
    assertEquals(200, apply("c1", change).status());
    assertEquals(200, apply("c2", change).status());
    int status = await(lost).status();
    assertTrue(status == 200 || status == 503, "status " + status);
    assertEquals(1, get("c1", "/config/history").get("revisions").size());
    assertEquals(422, apply("c2", change(1, "r1", team("red", 25))).status(), "another content");
    assertEquals(1, checker.revision());
  }

  @Test
  void aChangeCarriedOutLateIsEitherInForceOrNot() throws Exception {
    up(9, 30);
    world.state.lateShare.put("c0", 1.0);
    ObjectNode change = change(0, "r1", team("red", 20));
    var late = post("c0", "/config", change);
    world.run(4);
    world.state.lateShare.clear();
    int other = apply("c1", change(0, "r2", team("red", 10))).status();
    await(late);
    world.run(15);
    JsonNode history = get("c2", "/config/history").get("revisions");
    assertEquals(
        other == 200 ? "r2" : "r1", history.get(history.size() - 1).get("request").asText());
    long first = history.get(history.size() - 1).get("revision").asLong();
    assertEquals(1, first);
    untilAllGoBy(checker.revision());
  }

  @Test
  void aControllerThatTheStateServiceRefusesStartsNothing() {
    up(10, 30);
    world.state.refusedFor.add("c1");
    world.run(ConfigurationFollower.STALE_S + 0.1);
    assertFalse(world.nodes.get("c1").configuration().fresh());
    assertEquals(200, apply("c0", change(0, "r1", team("red", 6))).status());
    world.run(10);
    assertEquals(0, world.nodes.get("c1").configuration().revision());
    world.state.refusedFor.clear();
    world.until(10, () -> world.nodes.get("c1").configuration().revision() == 1);
    untilAllGoBy(1);
  }

  @Test
  void aFrozenControllerStartsNothingByWhatItKnew() {
    up(11, 24);
    world.freeze("c0", 12);
    assertEquals(200, apply("c1", change(0, "r1", team("red", 3))).status());
    for (int i = 0; i < 3; i++) {
      int number = i;
      world.at(
          0.1,
          () ->
              world.ask(
                  "user",
                  World.name(number),
                  "POST",
                  "/work",
                  Cbor.bytes(User.job("job-" + number, 20))));
    }
    world.run(10);
    assertFalse(world.nodes.get("c0").configuration().fresh());
    world.run(30);
    assertTrue(running() <= 3);
    untilAllGoBy(1);
  }

  @Test
  void aControllerThatDoesNotFollowItStartsNothing() {
    up(12, 30);
    assertEquals(200, apply("c0", change(0, "r1", team("red", 6))).status());
    untilAllGoBy(1);
    world.kill("c2");
    world.options = Options.DEFAULTS;
    world.start("c2");
    world.run(15);
    assertFalse(world.nodes.get("c2").configuration().fresh());
  }

  @Test
  void aRollbackIsANewRevision() throws Exception {
    up(13, 30);
    assertEquals(200, apply("c0", change(0, "r1", team("red", 20))).status());
    assertEquals(200, apply("c0", change(1, "r2", team("red", 10))).status());
    ObjectNode back = change(2, "r3").put("to", 1);
    back.remove("teams");
    assertEquals(200, await(post("c1", "/config/rollback", back)).status());
    untilAllGoBy(3);
    assertEquals(20, get("c2", "/config").at("/teams/0/cpus_max").asDouble());
    ObjectNode unknown = change(3, "r4").put("to", 99);
    unknown.remove("teams");
    assertEquals(422, await(post("c1", "/config/rollback", unknown)).status());
  }

  @Test
  void manyTeamsAreStoredInParts() {
    up(14, 30);
    ObjectNode[] teams =
        IntStream.range(0, 270)
            .mapToObj(i -> team("team-%03d".formatted(i), 100 + i).put("cpus", 10.0))
            .toArray(ObjectNode[]::new);
    assertEquals(200, apply("c0", change(0, "r1", teams)).status());
    untilAllGoBy(1);
    assertTrue(world.state.keys(ConfigurationHead.PARTS).size() > 2);
    assertTrue(world.state.largestValue <= world.stateLimits.valueBytes());
    for (int i = 1; i < 40; i++) {
      teams[0].put("cpus_max", 100.0 + i);
      assertEquals(200, apply("c" + i % 3, change(i, "r-" + i, teams)).status());
    }
    assertTrue(world.state.largestValue <= world.stateLimits.valueBytes());
    long configWrites = world.state.writesByUse.get("config");
    teams[7].put("cpus_max", 55.0);
    assertEquals(200, apply("c0", change(40, "one team", teams)).status());
    assertEquals(2, world.state.writesByUse.get("config") - configWrites, "one part and the head");
    world.run(700);
    assertEquals(200, apply("c0", change(41, "last", teams)).status());
    world.run(5);
    int named = ConfigurationHead.KEPT_REVISIONS * 13;
    assertTrue(world.state.keys(ConfigurationHead.PARTS).size() <= named, "old parts are removed");
  }

  @Test
  void whatIsWrongIsNamedAndNothingIsStored() throws Exception {
    up(15, 30);
    ObjectNode wrong =
        change(0, "r1", team("red", 5).put("cpus", 6.0), team("red", 5).put("cpu", 1));
    Http.Reply reply = apply("c0", wrong);
    assertEquals(422, reply.status());
    List<String> paths = new ArrayList<>();
    KubeJson.parse(reply.body()).get("problems").forEach(p -> paths.add(p.get("path").asText()));
    assertEquals(List.of("teams[0].cpus", "teams[1].cpu", "teams[1].name"), paths);
    assertEquals(400, apply("c0", change(0, "", team("red", 5))).status());
    assertEquals(null, world.state.value(Rows.CONFIGURATION));
  }

  /** Changes meet everything that can fail, in any order; the checker and the rules judge. */
  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void changesWhileEverythingFails(long seed) {
    up(seed, 24);
    Random random = new Random(seed);
    for (int step = 0; step < 40; step++) {
      String node = World.name(random.nextInt(3));
      if (step % 2 == 0) {
        byte[] job = Cbor.bytes(User.job("job-" + step, 1 + random.nextInt(12)));
        world.ask("user", node, "POST", "/work", job);
      }
      switch (random.nextInt(8)) {
        case 0, 1, 2 ->
            post(
                node,
                "/config",
                change(checker.revision(), "r" + step, team("red", 2 + random.nextInt(40))));
        case 3 -> world.freeze(node, 1 + random.nextInt(10));
        case 4 -> restart(node, 1 + random.nextInt(8));
        case 5 -> {
          world.state.refusedFor.add(node);
          world.at(1 + random.nextInt(12), () -> world.state.refusedFor.remove(node));
        }
        case 6 -> {
          Map<String, Double> which =
              random.nextBoolean() ? world.state.lostAcks : world.state.lateShare;
          which.put(node, 0.5);
          world.at(4, () -> which.remove(node));
        }
        default -> world.run(1);
      }
      world.run(3 * random.nextDouble());
    }
    world.run(20);
    for (int i = 0; i < 3; i++) {
      assertNotNull(world.nodes.get(World.name(i)));
    }
    untilAllGoBy(checker.revision());
    String request = "the-end";
    assertEquals(
        200,
        apply("c0", change(checker.revision(), request, team("red", 60))).status(),
        "seed " + seed);
    world.checker.troublesOver();
    world.run(100);
  }

  private void restart(String node, double afterS) {
    if (world.nodes.containsKey(node)) {
      world.kill(node);
      world.at(afterS, () -> world.start(node));
    }
  }
}
