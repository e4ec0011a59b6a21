package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Schedules fire once per due time, also through failover; missed deadlines are reported in time.
 */
class ScheduleTest extends SimulationTestBase {

  ScheduleTest() {
    super(21);
  }

  private ClusterSimulation startWithSchedules() {
    simulation.setSchedulesEnabled(true);
    return simulation.startAllControllers();
  }

  private record Reply(int status, JsonNode body) {}

  private Reply send(String controller, String method, String path, JsonNode body) {
    try {
      HttpClient.ClientResponse reply =
          user.send(
              controller, method, path, body == null ? new byte[0] : KubernetesJson.toBytes(body));
      return new Reply(reply.status(), KubernetesJson.parse(reply.body()));
    } catch (KubernetesJson.MalformedRequestException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static ObjectNode scheduleDefinition(String name, double deadlineSeconds) {
    ObjectNode definition =
        Cbor.newMap().put("name", name).put("due", "every 1 minutes").put("zone", "UTC");
    definition.put("deadline_s", deadlineSeconds);
    ObjectNode job = SimulatedUser.jobRequest("job-0", 2);
    job.remove("name_id");
    definition.set("job", job);
    return definition;
  }

  /** Returns the keys of the scheduled runs' jobs that have been claimed. */
  private Set<String> claimedRuns() {
    Set<String> keys = new HashSet<>();
    simulation.stateService().keysWithPrefix("job/job-8").forEach(keys::add);
    return keys;
  }

  @Test
  void everyDueTimeRunsOnceThroughFailovers() {
    startWithSchedules();
    final double createdAtSeconds = simulation.nowSeconds();
    assertEquals(
        201, send("c0", "POST", "/schedules", scheduleDefinition("readings", 300)).status());
    assertEquals(
        409, send("c1", "POST", "/schedules", scheduleDefinition("readings", 300)).status());
    simulation.runFor(150);
    simulation.killController("c0");
    simulation.runFor(130);
    simulation.startController("c0");
    simulation.runFor(200);
    simulation.killController("c1");
    simulation.killController("c2");
    simulation.killController("c0");
    simulation.runFor(200);
    simulation.startController("c0");
    simulation.startController("c1");
    simulation.runFor(120);
    // The simulated wall clock shows 1,700,000,000 s plus the virtual time.
    long minutes =
        (long) Math.floor((1_700_000_000L + simulation.nowSeconds()) / 60)
            - (long) Math.floor((1_700_000_000L + createdAtSeconds) / 60);
    assertEquals(
        minutes, claimedRuns().size(), "due times missed while no controller ran are caught up on");
    JsonNode history = send("c1", "GET", "/schedules/readings/history", null).body();
    JsonNode schedule = send("c1", "GET", "/schedules/readings", null).body();
    assertEquals(minutes, history.path("runs").size() + schedule.path("runs").size());
    assertEquals(0, history.path("torn").size());
  }

  @Test
  void updateAndTriggerAreSerialized() {
    startWithSchedules();
    send("c0", "POST", "/schedules", scheduleDefinition("s", 300));
    simulation.runFor(70);
    ObjectNode update = scheduleDefinition("s", 200).put("version", 1).put("due", "at 03:00");
    assertEquals(200, send("c1", "PUT", "/schedules/s", update).status());
    assertEquals(409, send("c2", "PUT", "/schedules/s", update).status());
    int runsBefore = claimedRuns().size();
    simulation.runFor(200);
    assertEquals(runsBefore, claimedRuns().size());
    assertEquals(200, send("c2", "DELETE", "/schedules/s", null).status());
    assertEquals(404, send("c1", "GET", "/schedules/s", null).status());
  }

  @Test
  void repeatedDeletionLeavesNewScheduleOfTheSameNameAlone() {
    // Guards against a retry that reads by name and deletes the schedule of another client.
    startWithSchedules();
    assertEquals(201, send("c0", "POST", "/schedules", scheduleDefinition("s", 300)).status());
    simulation.runFor(2);
    simulation.stateService().lostReplyShare().put("c1", 1.0);
    final var deletion = simulation.callController("user", "c1", "DELETE", "/schedules/s", null);
    simulation.runUntil(3, () -> send("c2", "GET", "/schedules/s", null).status() == 404);
    assertEquals(201, send("c2", "POST", "/schedules", scheduleDefinition("s", 300)).status());
    simulation.stateService().lostReplyShare().clear();
    simulation.runUntil(10, deletion::isDone);
    assertEquals(200, deletion.join().status());
    simulation.runFor(5);
    assertEquals(200, send("c2", "GET", "/schedules/s", null).status());
  }

  @Test
  void repeatedPauseLeavesNewScheduleOfTheSameNameAlone() {
    // Guards against a retry that reads by name and pauses the schedule of another client.
    startWithSchedules();
    assertEquals(201, send("c0", "POST", "/schedules", scheduleDefinition("s", 300)).status());
    simulation.runFor(2);
    simulation.stateService().lostReplyShare().put("c1", 1.0);
    final var pause = simulation.callController("user", "c1", "POST", "/schedules/s/pause", null);
    simulation.runFor(0.2);
    assertEquals(200, send("c2", "DELETE", "/schedules/s", null).status());
    assertEquals(201, send("c2", "POST", "/schedules", scheduleDefinition("s", 300)).status());
    simulation.stateService().lostReplyShare().clear();
    simulation.runUntil(10, pause::isDone);
    assertEquals(409, pause.join().status());
    assertFalse(send("c2", "GET", "/schedules/s", null).body().path("paused").asBoolean());
  }

  @Test
  void dueTimesDuringPauseAreNotCaughtUp() {
    startWithSchedules();
    send("c0", "POST", "/schedules", scheduleDefinition("s", 300));
    simulation.runFor(70);
    assertEquals(200, send("c1", "POST", "/schedules/s/pause", null).status());
    int runsBefore = claimedRuns().size();
    simulation.runFor(300);
    assertEquals(runsBefore, claimedRuns().size());
    assertEquals(200, send("c2", "POST", "/schedules/s/resume", null).status());
    simulation.runFor(59);
    assertTrue(claimedRuns().size() <= runsBefore + 1, "runs " + claimedRuns().size());
  }

  @Test
  void missedDeadlineReportIsTimelyAndSurvivesFailover() {
    startWithSchedules();
    simulation.cloud().setCapacity(0);
    send("c0", "POST", "/schedules", scheduleDefinition("s", 45).put("due", "every 30 minutes"));
    simulation.runUntil(1_900, () -> !claimedRuns().isEmpty());
    double dueAtSeconds = Math.floor((1_700_000_000L + simulation.nowSeconds()) / 60) * 60;
    simulation.runUntil(
        60, () -> !send("c0", "GET", "/reports", null).body().path("reports").isEmpty());
    assertTrue(
        1_700_000_000L + simulation.nowSeconds() < dueAtSeconds + 45 + 60,
        "reported within 60 s of the deadline");
    simulation.killController("c0");
    simulation.runUntil(
        30,
        () ->
            !send("c1", "GET", "/reports", null).body().path("reports").isEmpty()
                || !send("c2", "GET", "/reports", null).body().path("reports").isEmpty());
    JsonNode report = send("c1", "GET", "/schedules/s", null).body().at("/runs/0/report");
    assertEquals(false, report.path("withdrawn").asBoolean(true), report.toString());
  }

  @Test
  void invalidSchedulesAreRejectedWithReasonsAndNotStored() {
    startWithSchedules();
    ObjectNode unparsable = scheduleDefinition("s", 300).put("due", "at dawn");
    Reply reply = send("c0", "POST", "/schedules", unparsable);
    assertEquals(400, reply.status());
    assertTrue(reply.body().path("error").asText().contains("line 1, column 4"));
    assertEquals(
        422, send("c0", "POST", "/schedules", scheduleDefinition("s", 300).put("x", 1)).status());
    ObjectNode unplaceable = scheduleDefinition("s", 300);
    ((ObjectNode) unplaceable.get("job")).put("cores", 900.0);
    assertEquals(422, send("c0", "POST", "/schedules", unplaceable).status());
    assertEquals(400, send("c0", "POST", "/schedules", scheduleDefinition("S", 300)).status());
    assertEquals(404, send("c0", "GET", "/schedules/nothing", null).status());
    assertEquals(Set.of(), simulation.stateService().keysWithPrefix("cal/"));
    ObjectNode days = Cbor.newMap();
    days.putArray("dates").add("2027-01-06");
    assertEquals(200, send("c0", "PUT", "/calendars/meetings", days).status());
    simulation.runFor(2);
    ObjectNode namedCalendarSchedule =
        scheduleDefinition("s", 300).put("due", "at 05:00 on days \"meetings\"");
    assertEquals(201, send("c1", "POST", "/schedules", namedCalendarSchedule).status());
    assertEquals(
        "2027-01-06T05:00:00Z",
        send("c2", "GET", "/schedules/s", null).body().path("next").asText());
  }

  @Test
  void manySchedulesDueTogetherDoNotDelaySubmissions() {
    simulation.setStateLimits(
        new io.violetrail.config.Settings.StateStoreLimits(200, 30, 8192, 12));
    simulation.cloud().setCapacity(200);
    startWithSchedules();
    for (int i = 0; i < 300; i++) {
      ObjectNode row = Cbor.newMap();
      row.setAll(scheduleDefinition("s" + i, 3_000).put("due", "every 30 minutes"));
      row.remove("name");
      simulation.storeSchedule("s" + i, row, "c0");
    }
    simulation.killController("c0");
    simulation.runFor(2);
    simulation.startController("c0");
    simulation.runUntil(1_900, () -> claimedRuns().size() > 10);
    double slowestSeconds = 0;
    for (int i = 0; i < 20; i++) {
      double submittedAtSeconds = simulation.nowSeconds();
      assertEquals(201, user.submit("c0", SimulatedUser.jobRequest("job-" + i, 1)));
      slowestSeconds = Math.max(slowestSeconds, simulation.nowSeconds() - submittedAtSeconds);
      simulation.runFor(0.5);
    }
    assertTrue(slowestSeconds < 1.0, "a submission took " + slowestSeconds + " s");
    simulation.runUntil(600, () -> claimedRuns().size() == 300);
  }

  @Test
  void lateCreationWriteDoesNotRestoreDeletedSchedule() {
    startWithSchedules();
    simulation.stateService().lateTransactionSeconds().put("c0", 9.0);
    // The creating transaction gets no reply and is applied 9 s late; its retry is applied at once.
    simulation.runAfter(0.5, simulation.stateService().lateTransactionSeconds()::clear);
    assertEquals(201, send("c0", "POST", "/schedules", scheduleDefinition("daily", 40)).status());
    assertEquals(200, send("c1", "DELETE", "/schedules/daily", null).status());
    simulation.runFor(12);
    assertEquals(404, send("c2", "GET", "/schedules/daily", null).status());
    assertEquals(201, send("c0", "POST", "/schedules", scheduleDefinition("daily", 40)).status());
  }
}
