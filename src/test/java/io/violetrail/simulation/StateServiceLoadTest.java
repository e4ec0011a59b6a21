package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The load of submissions and queries on the state service, and their replies under its limits. */
class StateServiceLoadTest extends SimulationTestBase {
  StateServiceLoadTest() {
    super(11);
  }

  @Test
  void tinyJobsCostFewWritesEach() {
    // With four writes per job, most submissions of a recorded day of tiny jobs were rejected.
    simulation.setStateLimits(new StateStoreLimits(200, 25, 8192, 12));
    simulation.startAllControllers();
    List<Integer> statuses = new ArrayList<>();
    final int countBefore = simulation.stateService().writeCount();
    for (int i = 0; i < 240; i++) {
      ObjectNode job = SimulatedUser.jobRequest("job-" + i, 1).put("cores", 0.1);
      int number = i;
      simulation.runAfter(
          i * 0.125,
          () ->
              simulation
                  .callController(
                      "user",
                      ClusterSimulation.controllerName(number % 3),
                      "POST",
                      "/work",
                      Cbor.encode(job))
                  .thenAccept(reply -> statuses.add(reply.status())));
    }
    simulation.runFor(100);
    assertEquals(240, statuses.size());
    assertTrue(statuses.stream().allMatch(s -> s == 201), statuses.toString());
    assertEquals("done", user.pollStatus("c1", "job-239"));
    int writeCount = simulation.stateService().writeCount() - countBefore;
    assertTrue(writeCount < 2.5 * 240, "writes " + writeCount);
  }

  @Test
  void concurrentStatusQueriesAreCoalesced() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1).put("guess_s", 300.0));
    int[] messageCount = new int[1];
    simulation
        .networkFaults()
        .holdMessages(
            message -> {
              messageCount[0] += message.contains("/peer") || message.contains("/keys/") ? 1 : 0;
              return false;
            });
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      simulation
          .callController("user", "c1", "GET", "/work/job-1", null)
          .thenAccept(reply -> statuses.add(reply.status()));
    }
    simulation.runFor(1);
    assertEquals(300, statuses.size());
    assertTrue(statuses.stream().allMatch(s -> s == 200), statuses.toString());
    assertTrue(messageCount[0] < 20, "messages " + messageCount[0]);
  }

  @Test
  void queriesForUnknownJobsDoNotStarveSubmissions() {
    simulation.setStateLimits(new StateStoreLimits(60, 25, 8192, 12));
    simulation.startAllControllers();
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < 900; i++) {
      int number = i;
      simulation.runAfter(
          i * 0.01,
          () ->
              simulation
                  .callController(
                      "user",
                      ClusterSimulation.controllerName(number % 3),
                      "GET",
                      "/work/job-9" + number,
                      null)
                  .thenAccept(reply -> statuses.add(reply.status())));
    }
    for (int i = 0; i < 9; i++) {
      simulation.runFor(1);
      assertEquals(201, user.submit("c" + i % 3, SimulatedUser.jobRequest("job-" + i, 1)));
    }
    simulation.runFor(3);
    assertEquals(900, statuses.size());
    assertTrue(statuses.contains(404) && statuses.contains(503));
    for (int i = 0; i < 3; i++) {
      assertEquals(i, ownerIndexOf("c" + i), "no controller lost its lease");
    }
  }

  @Test
  void restartedControllerAnswersQueriesThroughItsPeers() {
    // When each query took a read from the budget, 13,000 queries of a simulated day got 503.
    simulation.setStateLimits(new StateStoreLimits(60, 60, 8192, 12));
    simulation.cloud().setCapacity(0);
    simulation.startAllControllers();
    for (int i = 0; i < 120; i++) {
      user.submit("c0", SimulatedUser.jobRequest("job-" + i, 1));
    }
    simulation.killController("c1");
    simulation.runFor(6);
    simulation.startController("c1");
    simulation.runUntil(
        10, () -> simulation.controllers().get("c1").membership().findHomeEntity() != null);
    simulation.runFor(1);
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < 120; i++) {
      simulation
          .callController("user", "c1", "GET", "/work/job-" + i, null)
          .thenAccept(reply -> statuses.add(reply.status()));
    }
    simulation.runFor(1);
    assertEquals(120, statuses.stream().filter(s -> s == 200).count());
    assertEquals("cancelled", user.cancel("c1", "job-7"));
    assertEquals("cancelled", user.pollStatus("c2", "job-7"));
  }
}
