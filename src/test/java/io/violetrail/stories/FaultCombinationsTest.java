package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.StateLimits;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import io.violetrail.model.ControllerId;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two faults at once: a test or a few for each combination that operators have seen break rules.
 */
class FaultCombinationsTest extends Story {
  FaultCombinationsTest() {
    super(5);
  }

  private void done(double within, String... jobs) {
    for (String job : jobs) {
      world.until(
          within,
          () ->
              world.nodes.keySet().stream()
                  .findAny()
                  .map(n -> user.poll(n, job))
                  .orElse("")
                  .equals("done"));
    }
  }

  // A leader is cut from the state service and the other controllers, not its workers and users.

  @Test
  void aCutLeadersJobIsCancelledThroughTheNewOneAndItsOtherJobRunsOnce() {
    world.up();
    world.cloud.runS = 60;
    user.submit("c0", User.job("job-1", 2));
    user.submit("c0", User.job("job-2", 2));
    runs("job-1/0");
    runs("job-2/1");
    world.network.isolate("c0");
    world.until(10, () -> owner("c0") != 0);
    String next = World.name(owner("c0"));
    world.until(10, () -> user.abort(next, "job-1").equals("cancelled"));
    assertNotEquals("running", user.poll("c0", "job-1"), "the old leader tells nothing older");
    assertEquals("503", user.poll("c0", "job-2"));
    world.run(world.workers.cancelS());
    assertEquals(List.of(), world.cloud.running("job-1/0"));
    world.network.rejoin();
    world.run(10);
    done(200, "job-2");
    assertEquals("cancelled", user.poll("c0", "job-1"));
  }

  // A leader ends while machines with long tasks cannot be reached; so does the next one.

  @Test
  void twoLeadersEndWhileAMachineWithALongTaskIsSilent() {
    world.teams.put("blue", new Team("blue", 0, 0, 6, 0));
    world.up();
    world.cloud.capacity = 3;
    user.submit("c0", User.job("job-1", 6).put("crew", "blue").put("guess_s", 300.0));
    FakeWorker w = runs("job-1/0");
    world.cloud.workers.values().forEach(x -> x.runS = 40);
    for (int i = 0; i < 6; i++) {
      w.runs.put("job-1/" + i, 300.0);
    }
    // The cloud takes nothing back, so there is no other evidence than time.
    world.run(2);
    world.cloud.down = true;
    world.network.cut(w.id);
    world.kill("c0");
    world.until(10, () -> owner("c0") != 0);
    world.kill(World.name(owner("c0")));
    world.run(60);
    world.cloud.down = false;
    world.network.mend(w.id);
    world.start("c0");
    done(400, "job-1");
  }

  @Test
  void aMachineThatDoesNotHearTheNewLeaderKeepsItsTaskUntilItsLeaseEnds() {
    world.up();
    user.submit("c0", User.job("job-1", 1).put("guess_s", 300.0));
    FakeWorker w = runs("job-1/0");
    w.runs.put("job-1/0", 300.0);
    world.run(2);
    w.deaf = true;
    world.kill("c0");
    world.run(70);
    w.deaf = false;
    done(200, "job-1");
  }

  // The state service refuses the leader alone, then everybody, while users cancel and ask.

  @Test
  void everyJobHasAnAnswerSoonAfterTheStateServiceIsBack() {
    world.up();
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      String id = "job-" + i;
      if (user.submit(World.name(i % 3), User.job(id, 1 + i % 3)) == 201) {
        jobs.add(id);
      }
    }
    world.run(8);
    world.state.refusedFor.add("c0");
    world.run(5);
    for (int i = 0; i < 30; i += 4) {
      user.abort("c" + (1 + i % 2), "job-" + i);
    }
    world.run(6);
    world.state.outage(true);
    for (int i = 1; i < 30; i += 4) {
      user.abort("c" + i % 3, "job-" + i);
    }
    world.run(world.workers.cancelS() + 10);
    world.state.outage(false);
    world.state.refusedFor.clear();
    List<String> open = new ArrayList<>(jobs);
    double from = world.now();
    while (!open.isEmpty() && world.now() - from < 75) {
      open.removeIf(id -> user.poll("c" + world.random.nextInt(3), id).matches("[a-z]+"));
      world.run(0.5);
    }
    assertEquals(List.of(), open);
    jobs.forEach(
        id -> world.until(120, () -> List.of("done", "cancelled").contains(user.poll("c1", id))));
  }

  @Test
  void aRushOfQuestionsAboutForgottenJobsIsAnsweredAtTheRateOfTheBudget() {
    // First reads used up what the second reads needed, and hardly any question was answered.
    world.stateLimits = new StateLimits(60, 60, 8192, 24);
    world.up();
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      String id = "job-" + i;
      world.until(20, () -> user.submit("c0", User.job(id, 1).put("guess_s", 1.0)) == 201);
      jobs.add(id);
    }
    done(120, jobs.toArray(String[]::new));
    for (int i = 0; i < 3; i++) {
      world.kill(World.name(i));
    }
    for (int i = 0; i < 3; i++) {
      world.start(World.name(i));
    }
    world.until(30, () -> user.send("c1", "GET", "/ready", null).status() == 200);
    List<String> open = new ArrayList<>(jobs);
    double from = world.now();
    while (!open.isEmpty() && world.now() - from < 40) {
      // All are asked about in the same moment, again and again.
      List<String> asked = List.copyOf(open);
      for (String id : asked) {
        world
            .ask("user", "c1", "GET", "/work/" + id, null)
            .thenAccept(
                r -> {
                  if (r.status() == 200) {
                    open.remove(id);
                  }
                });
      }
      world.run(0.5);
    }
    assertEquals(List.of(), open);
  }

  @Test
  void aSlowStateServiceIsNotTakenForAnOutage() {
    world.up();
    world.state.slowS = 0.4;
    accepted(6, 2);
    user.abort("c1", "job-0");
    world.run(20);
    for (int i = 0; i < 3; i++) {
      assertEquals(i, owner(World.name(i)));
    }
    done(200, "job-1", "job-2", "job-3", "job-4", "job-5");
  }

  // A command or its answer is held up for seconds, and the machine then goes on.

  @Test
  void aHaltThatComesSecondsLateStopsNoOtherAttempt() {
    world.up();
    world.cloud.capacity = 1;
    user.submit("c0", User.job("job-1", 1).put("cores", 8.0).put("guess_s", 100.0));
    FakeWorker w = runs("job-1/0");
    w.runs.put("job-1/0", 60.0);
    w.runs.put("job-2/0", 3.0);
    world.run(3);
    world.network.hold(m -> m.contains(" POST /orders"));
    user.submit("c0", User.job("job-2", 1).put("cores", 8.0).put("urgency", "high"));
    runs("job-2/0");
    assertTrue(world.network.heldBack() > 0, "halts travelled on their own too");
    runs("job-1/0");
    world.network.release();
    int before = w.launches;
    world.run(3);
    assertTrue(w.has("job-1/0"), "the attempt that runs now is another one");
    assertEquals(before, w.launches);
    done(200, "job-1", "job-2");
  }

  @Test
  void anAnswerWithLaunchesThatIsLostIsNoLaunch() {
    world.up();
    FakeWorker w = world.cloud.given("plain", "a");
    world.run(5);
    w.deaf = true;
    user.submit("c0", User.job("job-1", 2));
    world.run(3);
    w.deaf = false;
    done(120, "job-1");
  }

  // An old report arrives after newer ones.

  @Test
  void aCopyOfAnOldReportDoesNotTakeThePlaceOfOneThatWaits() {
    world.up();
    FakeWorker w = world.cloud.given("plain", "a");
    world.run(12);
    String at = w.node();
    for (int i = 0; i < 40; i++) {
      w.repeat(world.random.nextInt(w.reportsSent()), at);
      world.run(0.25);
      assertEquals(at, w.node(), "its worker was not sent away");
    }
  }

  @Test
  void copiesOfADeadMachinesReportsDoNotKeepItsTask() {
    world.up();
    world.cloud.runS = 20;
    user.submit("c0", User.job("job-1", 1));
    FakeWorker w = runs("job-1/0");
    w.runs.put("job-1/0", 500.0);
    world.run(3);
    world.cloud.workers.values().forEach(x -> x.runS = 5);
    world.network.cut(w.id);
    double cutAt = world.now();
    int last = w.reportsSent() - 1;
    boolean again = false;
    while (!again && world.now() - cutAt < 60) {
      world.network.mend(w.id);
      w.repeat(last, "c0");
      world.run(0.01);
      world.network.cut(w.id);
      world.run(2);
      again = world.cloud.running("job-1/0").stream().anyMatch(x -> x != w);
    }
    assertTrue(again, "started elsewhere");
    assertTrue(world.now() - cutAt < world.workers.leaseS() + 15, "no later than without them");
    assertTrue(world.now() - cutAt > world.workers.leaseS(), "on evidence");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void copiesOfReportsOfAnyAgeThroughRestartsAndTakeovers(long seed) {
    world(seed);
    Random random = new Random(seed);
    world.up();
    List<String> jobs = accepted(12, 3);
    for (int step = 0; step < 160; step++) {
      List<FakeWorker> all = List.copyOf(world.cloud.workers.values());
      for (int i = 0; i < 4 && !all.isEmpty(); i++) {
        FakeWorker w = all.get(random.nextInt(all.size()));
        if (w.reportsSent() > 0) {
          w.repeat(random.nextInt(w.reportsSent()), World.name(random.nextInt(3)));
        }
      }
      String name = World.name(random.nextInt(3));
      if (step % 20 == 7 && world.nodes.size() == 3) {
        world.kill(name);
      } else if (step % 20 == 15) {
        startThoseThatEnded();
      }
      world.run(0.5);
    }
    jobs.forEach(id -> done(200, id));
  }

  // Machines whose reports arrive, while answers and commands are lost.

  @Test
  void aDeafMachineIsNotFilledAndIsUsedAgainOnceItHears() {
    // The only machine there is, so that nothing else takes the work and it is not idle for long.
    world.cloud.capacity = 1;
    world.up();
    FakeWorker w = world.cloud.given("plain", "a");
    w.runS = 5;
    world.run(6);
    w.deaf = true;
    for (int i = 0; i < 4; i++) {
      assertEquals(201, user.submit(w.node(), User.job("job-" + i, 4).put("guess_s", 5.0)));
    }
    world.run(25);
    assertTrue(w.unheard > 0, "it was tried");
    assertTrue(w.unheard <= 2 * 8, "at most one answer's launches, then another after its lease");
    assertEquals(0, w.launches);
    w.deaf = false;
    done(90, "job-0", "job-1", "job-2", "job-3");
    assertEquals(16, w.launches, "used again, each task once");
  }

  @Test
  void aCancelledJobsTaskOnADeafMachineIsGoneWithItsLease() {
    world.up();
    user.submit("c0", User.job("job-1", 1));
    FakeWorker w = runs("job-1/0");
    w.runs.put("job-1/0", 500.0);
    world.run(2);
    w.deaf = true;
    assertEquals("cancelled", user.abort("c1", "job-1"));
    world.run(world.workers.leaseS() + 6);
    assertEquals(List.of(), world.cloud.running("job-1/0"));
  }

  // Jobs of two or three tasks end far apart across a change of leader.

  @ParameterizedTest
  @ValueSource(strings = {"batch", "daemon"})
  void tasksThatEndFarApartAreEachCountedOnce(String shape) {
    world(9);
    world.up();
    FakeWorker w = world.cloud.given("plain", "a");
    w.runs.put("job-1/0", 5.0);
    w.runs.put("job-1/1", 30.0);
    w.runs.put("job-1/2", 60.0);
    world.cloud.capacity = 1;
    world.run(6);
    user.submit("c0", User.job("job-1", 3).put("shape", shape).put("guess_s", 20.0));
    runs("job-1/2");
    world.run(6);
    world.kill("c0");
    world.until(10, () -> owner("c0") != 0);
    String next = World.name(owner("c0"));
    world.run(25);
    assertEquals("running", user.poll(next, "job-1"));
    world.kill(next);
    world.start("c0");
    world.run(20);
    if (shape.equals("daemon")) {
      assertEquals("running", user.poll("c0", "job-1"));
      return;
    }
    done(60, "job-1");
    assertEquals(3, w.launches, "each was started once");
  }

  // Controllers hand over and back, all end, and one returns, also within a second.

  @Test
  void allEndAndOneReturnsWithinASecondAndServesAll() {
    world.up();
    world.cloud.runS = 60;
    for (int i = 0; i < 3; i++) {
      user.submit(World.name(i), User.job("job-" + i, 2).put("guess_s", 60.0));
    }
    for (int i = 0; i < 3; i++) {
      runs("job-" + i + "/1");
    }
    world.run(3);
    final int launched = world.launches.size();
    for (int i = 0; i < 3; i++) {
      world.kill(World.name(i));
    }
    world.run(0.3);
    world.start("c1");
    world.until(12, () -> owner("c0") == 1 && owner("c1") == 1 && owner("c2") == 1);
    world.until(5, () -> user.submit("c1", User.job("job-9", 1)) == 201);
    done(150, "job-0", "job-1", "job-2", "job-9");
    assertEquals(launched + 1, world.launches.size(), "nothing was started again");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void endsAndReturnsInQuickSuccession(long seed) {
    world(seed);
    Random random = new Random(seed * 31);
    world.up();
    world.cloud.runS = 30;
    final List<String> jobs = accepted(9, 2);
    for (int step = 0; step < 40; step++) {
      String name = World.name(random.nextInt(3));
      if (world.nodes.containsKey(name)) {
        world.kill(name);
      } else {
        world.start(name);
      }
      world.run(random.nextInt(3) == 0 ? 6 * random.nextDouble() : 0.6 * random.nextDouble());
    }
    startThoseThatEnded();
    world.until(40, () -> owner("c0") == 0 && owner("c1") == 1 && owner("c2") == 2);
    jobs.forEach(id -> done(300, id));
  }

  @Test
  void anEntityHandedOnSoonAfterItsSeizureStillCountsTheFirstOwnersGrace() {
    world.up();
    user.submit("c0", User.job("job-1", 1).put("guess_s", 300.0));
    FakeWorker w = runs("job-1/0");
    w.runs.put("job-1/0", 300.0);
    world.run(2);
    world.cloud.down = true;
    // Its worker reaches nobody but the cut owner, which keeps it alive in its grace.
    world.network.isolate("c0");
    world.until(10, () -> owner("c0") != 0);
    String first = World.name(owner("c0"));
    String second = first.equals("c1") ? "c2" : "c1";
    var node = world.nodes.get(first);
    var entity = new ControllerId("c0");
    world.until(5, () -> node.membership().holding(entity).active());
    node.membership().release(node.membership().holding(entity), new ControllerId(second));
    world.until(5, () -> owner("c0") == Integer.parseInt(second.substring(1)));
    world.run(60);
    world.cloud.down = false;
    world.network.rejoin();
    done(400, "job-1");
  }

  // A transaction without an answer is carried out late, after newer ones of the same controller.

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void transactionsCarriedOutLateDoNoHarm(long seed) {
    world(seed);
    Random random = new Random(seed * 17);
    world.up();
    List<String> jobs = new ArrayList<>();
    List<String> cancelled = new ArrayList<>();
    for (int step = 0; step < 60; step++) {
      String late = World.name(random.nextInt(3));
      if (random.nextInt(3) == 0) {
        world.state.lateS.put(late, 2 + 10 * random.nextDouble());
      } else {
        world.state.lateS.clear();
      }
      String id = "job-" + step;
      int status = user.submit(World.name(random.nextInt(3)), User.job(id, 1 + random.nextInt(3)));
      if (status / 100 == 2) {
        jobs.add(id);
        if (random.nextInt(4) == 0
            && user.abort(World.name(random.nextInt(3)), id).equals("cancelled")) {
          cancelled.add(id);
        }
      }
      if (step == 25) {
        world.kill("c2");
      } else if (step == 32) {
        world.start("c2");
      }
      world.run(random.nextDouble());
    }
    world.state.lateS.clear();
    world.run(15);
    assertFalse(jobs.isEmpty());
    jobs.removeAll(cancelled);
    jobs.forEach(id -> world.until(300, () -> user.poll("c1", id).matches("done|cancelled")));
    cancelled.forEach(id -> world.until(30, () -> user.poll("c0", id).equals("cancelled")));
  }

  @Test
  void aHandOverThatIsRefusedWhileAJobIsStoredLeavesNoJobBehind() {
    world.up();
    var node = world.nodes.get("c0");
    final var h = node.membership().own();
    world.network.hold(m -> m.startsWith("c0 state POST /txn"));
    world.ask("user", "c0", "POST", "/work", Cbor.bytes(User.job("job-1", 1)));
    world.run(0.3);
    node.membership().release(h, new ControllerId("c1"));
    // The target ends and comes back before the hand-over arrives: its alive key is another one.
    world.kill("c1");
    world.run(0.2);
    world.start("c1");
    world.until(10, () -> world.nodes.get("c1").membership().valid());
    world.network.release();
    done(120, "job-1");
  }

  // Bad input on these paths changes nothing.

  private static ObjectNode report(FakeWorker w) {
    ObjectNode m = Cbor.map().put("host", w.id).put("endpoint", w.id + ":9000");
    m.put("hosttype", "plain").put("yard", "a").put("loaners", false);
    m.put("tenure", 1).put("tick", 1_000_000).put("baton", 0);
    m.putArray("pieces");
    return m;
  }

  private static ObjectNode with(ObjectNode m, String task, Object attempt, String status) {
    ObjectNode p = ((ArrayNode) m.get("pieces")).addObject().put("piece", task);
    p.set("try", Cbor.map().pojoNode(attempt));
    p.put("status", status);
    return m;
  }

  @Test
  void brokenReportsGet400AndChangeNothing() {
    world.up();
    user.submit("c0", User.job("job-1", 1).put("guess_s", 60.0));
    FakeWorker w = runs("job-1/0");
    w.runs.put("job-1/0", 60.0);
    world.run(3);
    List<ObjectNode> broken =
        List.of(
            report(w).put("tenure", -1),
            report(w).put("tick", Long.MAX_VALUE),
            report(w).put("baton", Long.MAX_VALUE - 3),
            report(w).put("tick", 1.5),
            report(w).put("pieces", "all"),
            with(report(w), "job-1/-1", 1, "running"),
            with(report(w), "job-1/99999999999", 1, "running"),
            with(report(w), "job-1/0", -7, "running"),
            with(report(w), "job-1/0", 1, "sleeping"),
            with(with(report(w), "job-1/0", 1, "running"), "job-1/0", 1, "ended"));
    for (ObjectNode m : broken) {
      var reply = user.send("c0", "POST", "/agent/beat", Cbor.bytes(m));
      assertEquals(400, reply.status(), m.toString());
    }
    assertEquals(400, user.send("c0", "POST", "/agent/beat", new byte[] {1, 2, 3}).status());
    int before = world.launches.size();
    done(90, "job-1");
    assertEquals(before, world.launches.size(), "nothing was started again");
  }

  @Test
  void aReportOfUnknownTasksGetsABoundedAnswer() {
    world.up();
    FakeWorker w = world.cloud.given("plain", "a");
    world.run(5);
    w.given("job-404/0");
    world.run(8);
    assertFalse(w.has("job-404/0"), "what belongs to no open job is halted");
    assertEquals("404", user.poll("c0", "job-404"));
  }
}
