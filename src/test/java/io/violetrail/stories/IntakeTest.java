package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import io.violetrail.wire.Cbor;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class IntakeTest {
  private final World world = new World(3, 1).up();
  private final User user = new User(world);

  @Test
  void twoControllersGetTheSameJobAtOnceAndOneStoresIt() {
    byte[] job = Cbor.bytes(User.job("job-1", 2));
    var a = world.ask("user", "c0", "POST", "/work", job);
    var b = world.ask("user", "c1", "POST", "/work", job);
    world.until(5, () -> a.isDone() && b.isDone());
    assertEquals(
        List.of(200, 201),
        List.of(a.join().status(), b.join().status()).stream().sorted().toList());
    assertEquals(1, world.state.keys("open/").size());
  }

  @Test
  void aJobRunsToItsEndAndStaysDoneForEveryController() {
    assertEquals(201, user.submit("c0", User.job("job-7", 5)));
    world.until(90, () -> user.poll("c0", "job-7").equals("done"));
    assertEquals("done", user.poll("c1", "job-7"));
    assertEquals("done", user.poll("c2", "job-7"));
    assertEquals(200, user.submit("c2", User.job("job-7", 5)));
    assertEquals("done", user.abort("c1", "job-7"));
    assertEquals(1, world.state.keys("end/").size());
  }

  @Test
  void onlyAProvenAbsenceIsAbsence() {
    assertEquals("404", user.poll("c1", "job-404"));
    world.state.outage(true);
    assertEquals("503", user.poll("c1", "job-405"));
  }

  @Test
  void nothingIsAcceptedThatIsNotStored() {
    world.state.outage(true);
    assertEquals(503, user.submit("c0", User.job("job-8", 1)));
    world.state.outage(false);
    world.run(3);
    int status = user.submit("c1", User.job("job-8", 1));
    assertTrue(status == 201 || status == 200);
    assertEquals(1, world.state.keys("job/").size());
  }

  @Test
  void badSubmissionsAreRefusedForTheirReason() {
    assertEquals(400, user.send("c0", "POST", "/work", new byte[] {1, 2, 3}).status());
    assertEquals(400, user.send("c0", "POST", "/work", Cbor.bytes(Cbor.list())).status());
    assertEquals(400, user.send("c0", "POST", "/work", new byte[70_000]).status());
    List<Consumer<ObjectNode>> mistakes =
        List.of(
            m -> m.put("pieces", 0),
            m -> m.put("pieces", 100_001),
            m -> m.put("pieces", 1.5),
            m -> m.put("cores", -1.0),
            m -> m.put("cores", Double.NaN),
            m -> m.put("gpus", Double.POSITIVE_INFINITY),
            m -> m.put("shape", "heap"),
            m -> m.put("name_id", "task-1"),
            m -> m.put("one_zone", "yes"),
            m -> m.remove("crew"),
            m -> m.put("crew", ""),
            m -> m.put("yard", ""),
            m -> m.put("hosttypes", "plain"));
    for (int i = 0; i < mistakes.size(); i++) {
      ObjectNode job = User.job("job-9", 1);
      mistakes.get(i).accept(job);
      assertEquals(400, user.submit("c0", job), "mistake " + i);
    }
    assertEquals(422, user.submit("c0", User.job("job-9", 1).put("crew", "nobody")));
    assertEquals(422, user.submit("c0", User.job("job-9", 1).put("cores", 9.0)));
    assertEquals(405, user.send("c0", "DELETE", "/work", null).status());
    assertEquals(404, user.send("c0", "GET", "/nothing", null).status());
    assertEquals(201, user.submit("c0", User.job("job-9", 1).put("later", "unknown")));
  }

  @Test
  void aKnownJobIsAnsweredBeforeAnyCheck() {
    assertEquals(201, user.submit("c0", User.job("job-10", 1)));
    assertEquals(200, user.submit("c1", User.job("job-10", 1).put("cores", 900.0)));
  }

  @Test
  void aWideJobOverflowsNoValue() {
    ObjectNode job = User.job("job-11", 100_000);
    assertEquals(201, user.submit("c0", job));
    world.run(60);
    assertNotNull(world.state.value("job/job-11"));
    assertTrue(world.state.keys("progress/c0/").size() >= 1);
    assertTrue(world.state.largestValue < 8192);
  }

  @Test
  void acceptedIntakeOfALostAnswerIsKnownToItsOwner() {
    // The transaction is applied, but the answer never comes: the owner must find the job.
    world.network.hold(m -> m.startsWith("c0 state POST /txn"));
    final var lost = world.ask("user", "c0", "POST", "/work", Cbor.bytes(User.job("job-12", 1)));
    world.run(1);
    world.network.release();
    world.run(6);
    assertTrue(lost.isDone());
    world.until(90, () -> user.poll("c1", "job-12").equals("done"));
  }

  @Test
  void metricsCountWhatWasAnswered() {
    user.submit("c0", User.job("job-13", 1));
    String text =
        new String(
            user.send("c0", "GET", "/metrics", null).body(),
            java.nio.charset.StandardCharsets.UTF_8);
    assertTrue(text.contains("kind=submit status=201 count=1"), text);
    assertTrue(text.contains("violetrail.lease.valid 1.0"), text);
  }
}
