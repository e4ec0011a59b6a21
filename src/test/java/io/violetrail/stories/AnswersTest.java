package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineType;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * No answer is older than one that was received before it was asked for, at whichever controller:
 * lost answers, close looks, ends that meet cancellations, work that changes hands.
 */
class AnswersTest extends Story {
  AnswersTest() {
    super(5);
  }

  private static ObjectNode brief(String id) {
    return User.job(id, 1).put("guess_s", 2.0);
  }

  // A transaction is carried out, only its answer is lost, and others read what it wrote.

  @ParameterizedTest
  @CsvSource({"true, c0", "true, c2", "false, c0", "false, c2"})
  void anEndWhoseAnswerIsLostIsNotDeniedByItsOwner(boolean cancelled, String asked) {
    // The owner said "running" from memory after another controller had read "cancelled" or "done".
    world.up();
    world.cloud.runS = cancelled ? 60 : 6;
    user.submit("c0", User.job("job-1", 1));
    runs("job-1/0");
    world.run(2);
    world.state.lostAcks.put("c0", 1.0);
    // c1 cannot ask the owner, and reads for itself.
    world.network.refuse(m -> m.startsWith("c1 c0 "));
    if (cancelled) {
      world.until(10, () -> user.abort("c1", "job-1").equals("503"));
      world.ask("user", "c0", "POST", "/work/job-1/abort", Cbor.bytes(Cbor.map()));
    }
    String end = cancelled ? "cancelled" : "done";
    world.until(20, () -> user.poll("c1", "job-1").equals(end));
    for (int i = 0; i < 10; i++) {
      assertNotEquals("running", user.poll(asked, "job-1"));
    }
    assertEquals(end, user.poll(asked, "job-1"), "and it is told while the outcome is open still");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void answersLostNowAndThenWhileUsersLookClosely(long seed) {
    world(seed);
    world.up();
    Random random = new Random(seed * 13);
    world.cloud.runS = 3;
    for (int i = 0; i < 3; i++) {
      world.state.lostAcks.put(World.name(i), 0.25);
    }
    for (int step = 0; step < 40; step++) {
      ObjectNode job = brief("job-" + step);
      String at = World.name(random.nextInt(3));
      world
          .ask("user", at, "POST", "/work", Cbor.bytes(job))
          .thenAccept(r -> user.looksClosely(job, random.nextInt(4) == 0));
      String older = "job-" + random.nextInt(step + 1);
      byte[] none = Cbor.bytes(Cbor.map());
      if (random.nextInt(3) == 0) {
        world
            .ask("user", World.name(random.nextInt(3)), "POST", "/work/" + older + "/abort", none)
            .thenAccept(r -> user.looksClosely(brief(older), true));
      }
      if (step == 20) {
        world.kill("c1");
      } else if (step == 30) {
        world.start("c1");
      }
      world.run(0.2 + random.nextDouble());
    }
    world.state.lostAcks.clear();
    world.checker.troublesOver();
    for (int step = 0; step < 40; step++) {
      String id = "job-" + step;
      world.until(150, () -> user.poll("c0", id).matches("done|cancelled|404"));
      String end = user.poll("c0", id);
      assertEquals(end, user.poll("c1", id));
      assertEquals(end, user.poll("c2", id));
    }
  }

  @Test
  void aSubmissionWhoseAnswerIsLostIsKnownEverywhereOnceAnybodySaysSo() {
    world.up();
    world.state.lostAcks.put("c0", 1.0);
    ObjectNode job = User.job("job-1", 1);
    world.ask("user", "c0", "POST", "/work", Cbor.bytes(job));
    world.until(5, () -> user.poll("c1", "job-1").equals("queued"));
    for (int i = 0; i < 3; i++) {
      assertEquals("queued", user.poll(World.name(i), "job-1"));
      int status = user.submit(World.name(i), job);
      assertTrue(status == 200 || status == 503, "a repeat gets " + status);
    }
    assertNotEquals("404", user.abort("c2", "job-1"));
    world.state.lostAcks.clear();
    world.until(90, () -> user.poll("c0", "job-1").equals("done"));
  }

  // A cancellation, a question or a repeat meets the end of a job's last task; nothing else is
  // wrong.

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aCancellationThatMeetsTheEndOfTheLastTaskHasOneOutcome(long seed) {
    world(seed);
    world.up();
    Random random = new Random(seed);
    world.cloud.runS = 4;
    for (int i = 0; i < 12; i++) {
      ObjectNode job = brief("job-" + i);
      String id = "job-" + i;
      String at = World.name(i % 3);
      world.until(10, () -> user.submit(at, job) / 100 == 2);
      runs(id + "/0");
      world.until(20, () -> world.checker.ended(id + "/0"));
      // The report of the end is on its way, arrives, is being stored, is stored.
      double moment = 0.08 * random.nextDouble();
      String by = World.name(random.nextInt(3));
      world.at(moment, () -> abort(by, id));
      world.at(moment, () -> user.looksClosely(job, false));
      world.until(10, () -> user.poll(by, id).matches("done|cancelled"));
      user.looksClosely(job, true);
      world.run(1);
    }
  }

  // Close looks, with one controller slow, cut from the others, in doubt, or just moved in.

  @ParameterizedTest
  @ValueSource(strings = {"well", "slow", "cut", "doubt", "moved"})
  void closeLooksAfterEachAnswer(String trouble) {
    world.up();
    world.cloud.runS = 3;
    for (int i = 0; i < 15; i++) {
      ObjectNode job = brief("job-" + i);
      String id = "job-" + i;
      String at = World.name(i % 3);
      if (i == 3) {
        switch (trouble) {
          case "slow" -> world.state.slowS = 0.3;
          case "cut" -> world.network.refuse(m -> m.matches("c[12] c0 .*|c0 c[12] .*"));
          case "doubt" -> world.state.refusedFor.add("c0");
          case "moved" -> world.kill("c0");
          default -> {
            // no other fault
          }
        }
      }
      if (i == 8 && trouble.equals("moved")) {
        world.start("c0");
      }
      world.until(40, () -> user.submit(World.name(world.random.nextInt(3)), job) / 100 == 2);
      user.looksClosely(job, i % 5 == 0);
      world.run(0.5);
      if (i % 3 == 1) {
        // One request is enough here, whatever its answer.
        user.abort(at, id);
        user.looksClosely(job, true);
      }
      world.run(0.5);
    }
    world.state.slowS = 0;
    world.state.refusedFor.clear();
    world.network.rejoin();
    world.network.refuse(m -> false);
    if (!world.nodes.containsKey("c0")) {
      world.start("c0");
    }
    world.checker.troublesOver();
    for (int i = 0; i < 15; i++) {
      String id = "job-" + i;
      world.until(100, () -> user.poll("c1", id).matches("done|cancelled"));
      user.looksClosely(brief(id), true);
      world.run(0.5);
    }
  }

  // Jobs are cancelled in the seconds in which one controller's work changes hands.

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.005, 0.02, 0.05, 0.3, 1, 3})
  void cancellationsWhileAnEntityIsHandedOver(double after) {
    world.up();
    world.cloud.runS = 60;
    List<String> jobs = jobs(12);
    var node = world.nodes.get("c0");
    node.membership().release(node.membership().own(), new ControllerId("c1"));
    world.run(after);
    cancelledByAll(jobs);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.005, 0.3, 3, 4, 4.3, 5, 6})
  void cancellationsWhileAnEntityIsSeized(double after) {
    world.up();
    world.cloud.runS = 60;
    List<String> jobs = jobs(12);
    for (String id : jobs) {
      // Begun by the old owner, maybe stored, and told to nobody.
      abort("c0", id);
    }
    world.run(0.012);
    world.kill("c0");
    world.run(after);
    cancelledByAll(jobs);
    world.start("c0");
    world.run(8);
    cancelledByAll(jobs);
  }

  @Test
  void cancellationsWhileAHandOverIsRefused() {
    world.up();
    world.cloud.runS = 60;
    List<String> jobs = jobs(6);
    var node = world.nodes.get("c0");
    world.network.hold(m -> m.startsWith("c0 state POST /txn"));
    node.membership().release(node.membership().own(), new ControllerId("c1"));
    for (String id : jobs) {
      abort("c0", id);
    }
    world.run(0.2);
    // The target ends and comes back before the hand-over arrives: its alive key is another one.
    world.kill("c1");
    world.run(0.2);
    world.start("c1");
    world.until(10, () -> world.nodes.get("c1").membership().valid());
    world.network.release();
    cancelledByAll(jobs);
  }

  private List<String> jobs(int count) {
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String id = "job-" + i;
      world.until(10, () -> user.submit("c0", User.job(id, 2)) / 100 == 2);
      jobs.add(id);
    }
    world.until(30, () -> world.cloud.running("job-1/0").size() == 1);
    return jobs;
  }

  /** All are cancelled through all controllers, as users repeat, and looked at closely. */
  private void cancelledByAll(List<String> jobs) {
    List<String> open = new ArrayList<>(jobs);
    double from = world.now();
    while (!open.isEmpty() && world.now() - from < 25) {
      for (String id : List.copyOf(open)) {
        String at = World.name(world.random.nextInt(3));
        byte[] none = Cbor.bytes(Cbor.map());
        world
            .ask("user", at, "POST", "/work/" + id + "/abort", none)
            .thenAccept(
                r -> {
                  if (r.status() == 200) {
                    open.remove(id);
                    user.looksClosely(User.job(id, 2), true);
                  }
                });
      }
      world.run(1);
    }
    assertEquals(List.of(), open, "each is told cancelled soon");
    world.run(world.workers.cancelS() + 1);
    for (String id : jobs) {
      assertEquals(List.of(), world.cloud.running(id + "/0"));
    }
  }

  // Bad input on these paths.

  @Test
  void aRepeatOfAnAcceptedJobIsNeverRefusedWhateverElseItSays() {
    world.up();
    for (int i = 0; i < 3; i++) {
      user.submit("c0", User.job("job-" + i, 1));
    }
    user.abort("c0", "job-1");
    world.until(90, () -> user.poll("c0", "job-2").equals("done"));
    world.kill("c2");
    world.run(1);
    world.start("c2");
    world.until(20, () -> user.submit("c2", User.job("job-9", 1)) == 201);
    // A controller that has forgotten them all is told of each by a repeat that says nonsense.
    int next = 0;
    for (String node : List.of("c2", "c0", "c1")) {
      for (int i = 0; i < 3; i++) {
        List<ObjectNode> odd = odd("job-" + i);
        for (int k = 0; k < odd.size(); k++) {
          ObjectNode repeat = odd.get((k + next) % odd.size());
          assertEquals(200, user.submit(node, repeat), node + " " + repeat);
        }
        next++;
      }
    }
  }

  private static List<ObjectNode> odd(String id) {
    ObjectNode lacks = User.job(id, 1);
    lacks.remove("bundle");
    return List.of(
        User.job(id, -3),
        User.job(id, 1).put("crew", "nobody"),
        lacks,
        User.job(id, 1).put("cores", 99.0));
  }

  @Test
  void whatLacksAFieldOrFitsNothingTakenTogetherIsRefusedAndCostsLittle() {
    world.cloud.types.clear();
    world.cloud.types.add(type("small", 4, "a"));
    world.cloud.types.add(type("large", 16, "b"));
    world.up();
    List<ObjectNode> never =
        List.of(
            User.job("job-1", 1).put("cores", 8.0).put("yard", "a"),
            types(User.job("job-2", 1).put("cores", 8.0), "small"),
            types(User.job("job-3", 1).put("yard", "b"), "small"),
            types(User.job("job-4", 1), "huge"),
            User.job("job-5", 2).put("shape", "ensemble").put("one_zone", true).put("yard", "c"),
            User.job("job-6", 4).put("shape", "ensemble").put("apart", true).put("yard", "a"),
            User.job("job-8", 4).put("shape", "daemon").put("apart", true).put("one_zone", true));
    int before = world.state.writes;
    for (int round = 0; round < 5; round++) {
      for (ObjectNode job : never) {
        assertEquals(422, user.submit("c" + round % 3, job), job.toString());
      }
    }
    for (String field :
        List.of("jobclass", "bundle", "cores", "guess_s", "one_zone", "pull_gb", "shape")) {
      ObjectNode lacks = User.job("job-7", 1);
      lacks.remove(field);
      assertEquals(400, user.submit("c1", lacks), field);
    }
    assertEquals(before, world.state.writes, "nothing is written");
    for (ObjectNode job : never) {
      assertEquals("404", user.poll("c2", job.get("name_id").asText()));
    }
  }

  private static MachineType type(String name, double cpus, String zone) {
    return new MachineType(name, new Amounts(cpus, 0, 64), 50, 1, 1, 0.3, 3, List.of(zone));
  }

  private static ObjectNode types(ObjectNode job, String type) {
    job.putArray("hosttypes").add(type);
    return job;
  }
}
