package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Job submissions, also repeated and concurrent ones, and the status that controllers report. */
class JobSubmissionTest extends SimulationTestBase {
  JobSubmissionTest() {
    super(1);
    simulation.startAllControllers();
  }

  @Test
  void concurrentSubmissionsAtTwoControllersStoreOneJob() {
    byte[] job = Cbor.encode(SimulatedUser.jobRequest("job-1", 2));
    var first = simulation.callController("user", "c0", "POST", "/work", job);
    var second = simulation.callController("user", "c1", "POST", "/work", job);
    simulation.runUntil(5, () -> first.isDone() && second.isDone());
    assertEquals(
        List.of(200, 201),
        List.of(first.join().status(), second.join().status()).stream().sorted().toList());
    assertEquals(1, simulation.stateService().keysWithPrefix("open/").size());
  }

  @Test
  void finishedJobIsDoneAtEveryController() {
    assertEquals(201, user.submit("c0", SimulatedUser.jobRequest("job-7", 5)));
    simulation.runUntil(90, () -> user.pollStatus("c0", "job-7").equals("done"));
    assertEquals("done", user.pollStatus("c1", "job-7"));
    assertEquals("done", user.pollStatus("c2", "job-7"));
    assertEquals(200, user.submit("c2", SimulatedUser.jobRequest("job-7", 5)));
    assertEquals("done", user.cancel("c1", "job-7"));
    assertEquals(1, simulation.stateService().keysWithPrefix("end/").size());
  }

  @Test
  void notFoundRequiresReadOfTheStateService() {
    assertEquals("404", user.pollStatus("c1", "job-404"));
    simulation.stateService().setOutage(true);
    assertEquals("503", user.pollStatus("c1", "job-405"));
  }

  @Test
  void submissionIsRejectedDuringStateOutage() {
    simulation.stateService().setOutage(true);
    assertEquals(503, user.submit("c0", SimulatedUser.jobRequest("job-8", 1)));
    simulation.stateService().setOutage(false);
    simulation.runFor(3);
    int status = user.submit("c1", SimulatedUser.jobRequest("job-8", 1));
    assertTrue(status == 201 || status == 200);
    assertEquals(1, simulation.stateService().keysWithPrefix("job/").size());
  }

  @Test
  void invalidSubmissionsGetTheMatchingStatus() {
    assertEquals(400, user.send("c0", "POST", "/work", new byte[] {1, 2, 3}).status());
    assertEquals(400, user.send("c0", "POST", "/work", Cbor.encode(Cbor.newList())).status());
    assertEquals(400, user.send("c0", "POST", "/work", new byte[70_000]).status());
    List<Consumer<ObjectNode>> mistakes =
        List.of(
            job -> job.put("pieces", 0),
            job -> job.put("pieces", 100_001),
            job -> job.put("pieces", 1.5),
            job -> job.put("cores", -1.0),
            job -> job.put("cores", Double.NaN),
            job -> job.put("gpus", Double.POSITIVE_INFINITY),
            job -> job.put("shape", "heap"),
            job -> job.put("name_id", "task-1"),
            job -> job.put("one_zone", "yes"),
            job -> job.remove("crew"),
            job -> job.put("crew", ""),
            job -> job.put("yard", ""),
            job -> job.put("hosttypes", "plain"));
    for (int i = 0; i < mistakes.size(); i++) {
      ObjectNode job = SimulatedUser.jobRequest("job-9", 1);
      mistakes.get(i).accept(job);
      assertEquals(400, user.submit("c0", job), "mistake " + i);
    }
    assertEquals(
        422, user.submit("c0", SimulatedUser.jobRequest("job-9", 1).put("crew", "nobody")));
    assertEquals(422, user.submit("c0", SimulatedUser.jobRequest("job-9", 1).put("cores", 9.0)));
    assertEquals(405, user.send("c0", "DELETE", "/work", null).status());
    assertEquals(404, user.send("c0", "GET", "/nothing", null).status());
    assertEquals(
        201, user.submit("c0", SimulatedUser.jobRequest("job-9", 1).put("later", "unknown")));
  }

  @Test
  void resubmissionIsAnsweredBeforeValidation() {
    assertEquals(201, user.submit("c0", SimulatedUser.jobRequest("job-10", 1)));
    assertEquals(200, user.submit("c1", SimulatedUser.jobRequest("job-10", 1).put("cores", 900.0)));
  }

  @Test
  void wideJobStaysWithinTheValueSizeLimit() {
    ObjectNode job = SimulatedUser.jobRequest("job-11", 100_000);
    assertEquals(201, user.submit("c0", job));
    simulation.runFor(60);
    assertNotNull(simulation.stateService().findValue("job/job-11"));
    assertTrue(simulation.stateService().keysWithPrefix("progress/c0/").size() >= 1);
    assertTrue(simulation.stateService().largestValueLength() < 8192);
  }

  @Test
  void submissionWithDelayedCommitIsKnownToItsOwner() {
    // The transaction is applied, but c0 never gets its reply: the owner must still find the job.
    simulation.networkFaults().holdMessages(message -> message.startsWith("c0 state POST /txn"));
    final var reply =
        simulation.callController(
            "user", "c0", "POST", "/work", Cbor.encode(SimulatedUser.jobRequest("job-12", 1)));
    simulation.runFor(1);
    simulation.networkFaults().releaseHeldMessages();
    simulation.runFor(6);
    assertTrue(reply.isDone());
    simulation.runUntil(90, () -> user.pollStatus("c1", "job-12").equals("done"));
  }

  @Test
  void metricsCountRepliesByStatus() {
    user.submit("c0", SimulatedUser.jobRequest("job-13", 1));
    String text =
        new String(
            user.send("c0", "GET", "/metrics", null).body(),
            java.nio.charset.StandardCharsets.UTF_8);
    assertTrue(text.contains("kind=submit status=201 count=1"), text);
    assertTrue(text.contains("violetrail.lease.valid 1.0"), text);
  }
}
