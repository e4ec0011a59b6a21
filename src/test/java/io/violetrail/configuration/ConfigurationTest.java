package io.violetrail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Options;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.net.HttpClient;
import io.violetrail.ownership.StateSchema;
import io.violetrail.simulation.SimulationTestBase;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Changes of the configuration while controllers, the network and the state service fail. */
class ConfigurationTest extends SimulationTestBase {
  private ConfigurationInvariantChecker checker;

  ConfigurationTest() {
    super(1);
  }

  private void startWithLimit(long seed, double limit) {
    resetSimulation(seed);
    simulation.setOptions(
        new Options(
            null,
            Options.DEFAULTS.maxIdleSeconds(),
            Options.DEFAULTS.placementSampleSize(),
            null,
            null,
            false,
            true));
    simulation.teams().put("red", new Team("red", 0, 0, limit, Double.POSITIVE_INFINITY));
    simulation.cloud().setTaskDurationSeconds(8);
    checker = new ConfigurationInvariantChecker(simulation);
    simulation.startAllControllers();
  }

  private static ObjectNode teamNode(String name, double limit) {
    return Cbor.newMap().put("name", name).put("cpus_max", limit);
  }

  private static ObjectNode changeRequest(
      long expectedRevision, String request, ObjectNode... teams) {
    ObjectNode message = Cbor.newMap().put("expected", expectedRevision).put("request", request);
    message.put("who", "operator").put("why", "a test");
    message.putArray("teams").addAll(List.of(teams));
    return message;
  }

  private CompletableFuture<HttpClient.ClientResponse> post(
      String controller, String path, ObjectNode body) {
    return simulation.sendRequest(
        "operator",
        -1,
        ClusterSimulation.apiAddress(controller),
        "POST",
        path,
        KubernetesJson.toBytes(body),
        10);
  }

  private HttpClient.ClientResponse await(CompletableFuture<HttpClient.ClientResponse> reply) {
    simulation.runUntil(15, reply::isDone);
    return reply.isCompletedExceptionally()
        ? new HttpClient.ClientResponse(0, new byte[0])
        : reply.join();
  }

  private HttpClient.ClientResponse applyChange(String controller, ObjectNode change) {
    return await(post(controller, "/config", change));
  }

  private JsonNode getJson(String controller, String path) throws Exception {
    HttpClient.ClientResponse reply =
        await(
            simulation.sendRequest(
                "operator", -1, ClusterSimulation.apiAddress(controller), "GET", path, null, 10));
    assertEquals(200, reply.status());
    return KubernetesJson.parse(reply.body());
  }

  private void awaitInForce(long revision) {
    simulation.runUntil(
        ConfigurationFollower.MAX_STALENESS_SECONDS,
        () ->
            simulation.controllers().values().stream()
                .allMatch(
                    controller ->
                        controller.configuration().revision() == revision
                            && controller.configuration().isFresh()));
  }

  private long runningTaskCount() {
    return simulation.cloud().workers().values().stream()
        .mapToLong(FakeWorker::activeTaskCount)
        .sum();
  }

  private double quotaShareSum(String team) {
    double sum = 0;
    for (JsonNode share :
        simulation.stateService().findValue(StateSchema.QUOTA_SHARE_PREFIX + team)) {
      sum += share.get(0).asDouble();
    }
    return sum;
  }

  @Test
  void changeIsInForceEverywhereWithinTheBound() throws Exception {
    startWithLimit(1, 30);
    assertEquals(
        200,
        applyChange("c0", changeRequest(0, "r1", teamNode("red", 30), teamNode("blue", 8)))
            .status());
    awaitInForce(1);
    assertEquals(201, user.submit("c1", SimulatedUser.jobRequest("job-1", 1).put("crew", "blue")));
    simulation.runUntil(30, () -> simulation.checker().isTaskDone("job-1/0"));
    JsonNode status = getJson("c2", "/config/status");
    assertEquals(3, status.get("controllers").size());
    for (JsonNode controllerStatus : status.get("controllers")) {
      assertEquals(1, controllerStatus.get("revision").asInt());
      assertTrue(controllerStatus.get("fresh").asBoolean());
    }
    JsonNode ready =
        Cbor.parse(
            await(
                    simulation.sendRequest(
                        "lb", -1, ClusterSimulation.apiAddress("c0"), "GET", "/ready", null, 5))
                .body());
    assertEquals(1, ready.at("/configuration/revision").asInt());
  }

  @Test
  void settingsFileAppliesWithoutStoredConfiguration() throws Exception {
    startWithLimit(2, 30);
    assertEquals(201, user.submit("c0", SimulatedUser.jobRequest("job-1", 3)));
    simulation.runUntil(30, () -> simulation.checker().isTaskDone("job-1/2"));
    assertEquals(0, getJson("c0", "/config").get("revision").asInt());
    assertEquals(0, getJson("c0", "/config/history").get("revisions").size());
  }

  @Test
  void loweredLimitLetsRunningTasksEndAndStartsNoneAboveIt() {
    startWithLimit(3, 24);
    for (int i = 0; i < 3; i++) {
      assertEquals(
          201,
          user.submit(
              ClusterSimulation.controllerName(i), SimulatedUser.jobRequest("job-" + i, 40)));
    }
    simulation.runUntil(40, () -> runningTaskCount() >= 24);
    assertEquals(200, applyChange("c1", changeRequest(0, "r1", teamNode("red", 6))).status());
    awaitInForce(1);
    simulation.runUntil(40, () -> quotaShareSum("red") <= 6.001);
    simulation.runFor(ConfigurationFollower.MAX_STALENESS_SECONDS + 1);
    for (int i = 0; i < 40; i++) {
      simulation.runFor(0.5);
      assertTrue(runningTaskCount() <= 6, "running " + runningTaskCount());
    }
    assertEquals(200, applyChange("c2", changeRequest(1, "r2", teamNode("red", 60))).status());
    simulation.runUntil(
        120,
        () ->
            simulation.checker().isTaskDone("job-0/39")
                && simulation.checker().isTaskDone("job-2/39"));
  }

  @Test
  void raisedLimitIsUsed() {
    startWithLimit(4, 3);
    assertEquals(201, user.submit("c0", SimulatedUser.jobRequest("job-1", 30)));
    simulation.runFor(15);
    assertTrue(runningTaskCount() <= 3);
    assertEquals(200, applyChange("c0", changeRequest(0, "r1", teamNode("red", 30))).status());
    simulation.runUntil(30, () -> runningTaskCount() > 20);
  }

  @Test
  void limitCanBeAddedAndRemoved() {
    startWithLimit(5, Double.POSITIVE_INFINITY);
    for (int i = 0; i < 3; i++) {
      assertEquals(
          201,
          user.submit(
              ClusterSimulation.controllerName(i), SimulatedUser.jobRequest("job-" + i, 60)));
    }
    simulation.runUntil(40, () -> runningTaskCount() > 30);
    assertEquals(200, applyChange("c1", changeRequest(0, "r1", teamNode("red", 9))).status());
    simulation.runFor(30);
    assertTrue(runningTaskCount() <= 9, "running " + runningTaskCount());
    assertTrue(runningTaskCount() > 0);
    assertEquals(200, applyChange("c1", changeRequest(1, "r2", teamNode("red", 0))).status());
    for (int i = 3; i < 6; i++) {
      assertEquals(
          201,
          user.submit(
              ClusterSimulation.controllerName(i - 3), SimulatedUser.jobRequest("job-" + i, 60)));
    }
    simulation.runUntil(60, () -> runningTaskCount() > 30);
  }

  @Test
  void removedTeamFinishesItsJobsAndGetsNoNewOnes() {
    startWithLimit(6, 30);
    assertEquals(201, user.submit("c0", SimulatedUser.jobRequest("job-1", 4)));
    assertEquals(200, applyChange("c0", changeRequest(0, "r1", teamNode("blue", 8))).status());
    awaitInForce(1);
    assertEquals(422, user.submit("c1", SimulatedUser.jobRequest("job-2", 1)));
    assertEquals(
        200,
        user.submit("c1", SimulatedUser.jobRequest("job-1", 4)),
        "a repeated submission of a known job is still accepted");
    simulation.runUntil(40, () -> user.pollStatus("c2", "job-1").equals("done"));
    assertEquals(
        200,
        applyChange("c0", changeRequest(1, "r2", teamNode("red", 30), teamNode("blue", 8)))
            .status());
    awaitInForce(2);
    assertEquals(201, user.submit("c1", SimulatedUser.jobRequest("job-3", 1)));
  }

  @Test
  void concurrentWritersOneSucceedsAndOneGetsConflict() throws Exception {
    startWithLimit(7, 30);
    var firstReply = post("c0", "/config", changeRequest(0, "r1", teamNode("red", 20)));
    var secondReply = post("c1", "/config", changeRequest(0, "r2", teamNode("red", 10)));
    List<HttpClient.ClientResponse> replies = List.of(await(firstReply), await(secondReply));
    List<Integer> statuses =
        replies.stream().map(HttpClient.ClientResponse::status).sorted().toList();
    assertEquals(List.of(200, 409), statuses);
    for (HttpClient.ClientResponse reply : replies) {
      assertEquals(1, KubernetesJson.parse(reply.body()).get("revision").asInt());
    }
    assertEquals(409, applyChange("c2", changeRequest(0, "r3", teamNode("red", 5))).status());
    awaitInForce(1);
  }

  @Test
  void repeatedRequestIsIdempotent() throws Exception {
    startWithLimit(8, 30);
    ObjectNode change = changeRequest(0, "r1", teamNode("red", 20));
    simulation.stateService().lostReplyShare().put("c0", 1.0);
    final var lostReply = post("c0", "/config", change);
    simulation.runFor(6);
    simulation.stateService().lostReplyShare().clear();
    assertEquals(200, applyChange("c1", change).status());
    assertEquals(200, applyChange("c2", change).status());
    int status = await(lostReply).status();
    assertTrue(status == 200 || status == 503, "status " + status);
    assertEquals(1, getJson("c1", "/config/history").get("revisions").size());
    assertEquals(
        422,
        applyChange("c2", changeRequest(1, "r1", teamNode("red", 25))).status(),
        "the same request id with another content");
    assertEquals(1, checker.latestRevision());
  }

  @Test
  void changeAppliedLateIsEitherInForceOrRejected() throws Exception {
    startWithLimit(9, 30);
    simulation.stateService().lateTransactionShare().put("c0", 1.0);
    ObjectNode change = changeRequest(0, "r1", teamNode("red", 20));
    var lateReply = post("c0", "/config", change);
    simulation.runFor(4);
    simulation.stateService().lateTransactionShare().clear();
    int otherStatus = applyChange("c1", changeRequest(0, "r2", teamNode("red", 10))).status();
    await(lateReply);
    simulation.runFor(15);
    JsonNode history = getJson("c2", "/config/history").get("revisions");
    assertEquals(
        otherStatus == 200 ? "r2" : "r1", history.get(history.size() - 1).get("request").asText());
    long first = history.get(history.size() - 1).get("revision").asLong();
    assertEquals(1, first);
    awaitInForce(checker.latestRevision());
  }

  @Test
  void controllerRejectedByTheStateServiceStartsNothing() {
    startWithLimit(10, 30);
    simulation.stateService().refusedControllers().add("c1");
    simulation.runFor(ConfigurationFollower.MAX_CONFIRMATION_AGE_SECONDS + 0.1);
    assertFalse(simulation.controllers().get("c1").configuration().isFresh());
    assertEquals(200, applyChange("c0", changeRequest(0, "r1", teamNode("red", 6))).status());
    simulation.runFor(10);
    assertEquals(0, simulation.controllers().get("c1").configuration().revision());
    simulation.stateService().refusedControllers().clear();
    simulation.runUntil(
        10, () -> simulation.controllers().get("c1").configuration().revision() == 1);
    awaitInForce(1);
  }

  @Test
  void frozenControllerStartsNothingByStaleLimits() {
    startWithLimit(11, 24);
    simulation.freezeController("c0", 12);
    assertEquals(200, applyChange("c1", changeRequest(0, "r1", teamNode("red", 3))).status());
    for (int i = 0; i < 3; i++) {
      int number = i;
      simulation.runAfter(
          0.1,
          () ->
              simulation.callController(
                  "user",
                  ClusterSimulation.controllerName(number),
                  "POST",
                  "/work",
                  Cbor.encode(SimulatedUser.jobRequest("job-" + number, 20))));
    }
    simulation.runFor(10);
    assertFalse(simulation.controllers().get("c0").configuration().isFresh());
    simulation.runFor(30);
    assertTrue(runningTaskCount() <= 3);
    awaitInForce(1);
  }

  @Test
  void controllerNotFollowingTheConfigurationStartsNothing() {
    startWithLimit(12, 30);
    assertEquals(200, applyChange("c0", changeRequest(0, "r1", teamNode("red", 6))).status());
    awaitInForce(1);
    simulation.killController("c2");
    simulation.setOptions(Options.DEFAULTS);
    simulation.startController("c2");
    simulation.runFor(15);
    assertFalse(simulation.controllers().get("c2").configuration().isFresh());
  }

  @Test
  void rollbackCreatesNewRevision() throws Exception {
    startWithLimit(13, 30);
    assertEquals(200, applyChange("c0", changeRequest(0, "r1", teamNode("red", 20))).status());
    assertEquals(200, applyChange("c0", changeRequest(1, "r2", teamNode("red", 10))).status());
    ObjectNode rollback = changeRequest(2, "r3").put("to", 1);
    rollback.remove("teams");
    assertEquals(200, await(post("c1", "/config/rollback", rollback)).status());
    awaitInForce(3);
    assertEquals(20, getJson("c2", "/config").at("/teams/0/cpus_max").asDouble());
    ObjectNode unknown = changeRequest(3, "r4").put("to", 99);
    unknown.remove("teams");
    assertEquals(422, await(post("c1", "/config/rollback", unknown)).status());
  }

  @Test
  void manyTeamsAreStoredInParts() {
    startWithLimit(14, 30);
    ObjectNode[] teams =
        IntStream.range(0, 270)
            .mapToObj(i -> teamNode("team-%03d".formatted(i), 100 + i).put("cpus", 10.0))
            .toArray(ObjectNode[]::new);
    assertEquals(200, applyChange("c0", changeRequest(0, "r1", teams)).status());
    awaitInForce(1);
    assertTrue(
        simulation.stateService().keysWithPrefix(ConfigurationHead.PART_KEY_PREFIX).size() > 2);
    assertTrue(
        simulation.stateService().largestValueLength() <= simulation.stateLimits().maxValueBytes());
    for (int i = 1; i < 40; i++) {
      teams[0].put("cpus_max", 100.0 + i);
      assertEquals(200, applyChange("c" + i % 3, changeRequest(i, "r-" + i, teams)).status());
    }
    assertTrue(
        simulation.stateService().largestValueLength() <= simulation.stateLimits().maxValueBytes());
    long configWrites = simulation.stateService().writeCountByPurpose().get("config");
    teams[7].put("cpus_max", 55.0);
    assertEquals(200, applyChange("c0", changeRequest(40, "one team", teams)).status());
    assertEquals(
        2,
        simulation.stateService().writeCountByPurpose().get("config") - configWrites,
        "writes one part and the head");
    simulation.runFor(700);
    assertEquals(200, applyChange("c0", changeRequest(41, "last", teams)).status());
    simulation.runFor(5);
    int maxReferencedParts = ConfigurationHead.MAX_REVISIONS * 13;
    assertTrue(
        simulation.stateService().keysWithPrefix(ConfigurationHead.PART_KEY_PREFIX).size()
            <= maxReferencedParts,
        "unreferenced old parts are deleted");
  }

  @Test
  void invalidChangeIsRejectedByPathAndNotStored() throws Exception {
    startWithLimit(15, 30);
    ObjectNode invalidChange =
        changeRequest(
            0, "r1", teamNode("red", 5).put("cpus", 6.0), teamNode("red", 5).put("cpu", 1));
    HttpClient.ClientResponse reply = applyChange("c0", invalidChange);
    assertEquals(422, reply.status());
    List<String> paths = new ArrayList<>();
    KubernetesJson.parse(reply.body())
        .get("problems")
        .forEach(p -> paths.add(p.get("path").asText()));
    assertEquals(List.of("teams[0].cpus", "teams[1].cpu", "teams[1].name"), paths);
    assertEquals(400, applyChange("c0", changeRequest(0, "", teamNode("red", 5))).status());
    assertEquals(null, simulation.stateService().findValue(StateSchema.CONFIGURATION_KEY));
  }

  /**
   * Changes the configuration while random faults occur in random order. The configuration checker
   * and the simulation's invariant checker report violations.
   */
  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void invariantsHoldWhenChangesMeetRandomFaults(long seed) {
    startWithLimit(seed, 24);
    Random random = new Random(seed);
    for (int step = 0; step < 40; step++) {
      String controller = ClusterSimulation.controllerName(random.nextInt(3));
      if (step % 2 == 0) {
        byte[] job = Cbor.encode(SimulatedUser.jobRequest("job-" + step, 1 + random.nextInt(12)));
        simulation.callController("user", controller, "POST", "/work", job);
      }
      switch (random.nextInt(8)) {
        case 0, 1, 2 ->
            post(
                controller,
                "/config",
                changeRequest(
                    checker.latestRevision(), "r" + step, teamNode("red", 2 + random.nextInt(40))));
        case 3 -> simulation.freezeController(controller, 1 + random.nextInt(10));
        case 4 -> restart(controller, 1 + random.nextInt(8));
        case 5 -> {
          simulation.stateService().refusedControllers().add(controller);
          simulation.runAfter(
              1 + random.nextInt(12),
              () -> simulation.stateService().refusedControllers().remove(controller));
        }
        case 6 -> {
          Map<String, Double> faults =
              random.nextBoolean()
                  ? simulation.stateService().lostReplyShare()
                  : simulation.stateService().lateTransactionShare();
          faults.put(controller, 0.5);
          simulation.runAfter(4, () -> faults.remove(controller));
        }
        default -> simulation.runFor(1);
      }
      simulation.runFor(3 * random.nextDouble());
    }
    simulation.runFor(20);
    for (int i = 0; i < 3; i++) {
      assertNotNull(simulation.controllers().get(ClusterSimulation.controllerName(i)));
    }
    awaitInForce(checker.latestRevision());
    String request = "the-end";
    assertEquals(
        200,
        applyChange("c0", changeRequest(checker.latestRevision(), request, teamNode("red", 60)))
            .status(),
        "seed " + seed);
    simulation.checker().faultsEnded();
    simulation.runFor(100);
  }

  private void restart(String controller, double delaySeconds) {
    if (simulation.controllers().containsKey(controller)) {
      simulation.killController(controller);
      simulation.runAfter(delaySeconds, () -> simulation.startController(controller));
    }
  }
}
