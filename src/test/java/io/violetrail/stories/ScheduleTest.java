package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import io.violetrail.net.Http;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubeJson;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Schedules on whole controllers: fired once, through takeovers, and reported in time. */
class ScheduleTest {
  private final World world = new World(3, 21);
  private final User user = new User(world);

  @AfterEach
  void noTaskRanTwice() {
    assertEquals(List.of(), world.broken);
  }

  private World up() {
    world.calendar = true;
    return world.up();
  }

  private record Reply(int code, JsonNode body) {}

  private Reply send(String node, String method, String path, JsonNode body) {
    try {
      Http.Reply r =
          user.send(node, method, path, body == null ? new byte[0] : KubeJson.bytes(body));
      return new Reply(r.status(), KubeJson.parse(r.body()));
    } catch (KubeJson.Malformed e) {
      throw new IllegalStateException(e);
    }
  }

  private static ObjectNode schedule(String name, double deadlineS) {
    ObjectNode m = Cbor.map().put("name", name).put("due", "every 1 minutes").put("zone", "UTC");
    m.put("deadline_s", deadlineS);
    ObjectNode job = User.job("job-0", 2);
    job.remove("name_id");
    m.set("job", job);
    return m;
  }

  /** Distinct jobs of schedules that have been claimed. */
  private Set<String> runs() {
    Set<String> all = new HashSet<>();
    world.state.keys("job/job-8").forEach(all::add);
    return all;
  }

  @Test
  void everyMinuteHasOneRunWhoeverOwnsTheEntity() {
    up();
    final double created = world.now();
    assertEquals(201, send("c0", "POST", "/schedules", schedule("readings", 300)).code());
    assertEquals(409, send("c1", "POST", "/schedules", schedule("readings", 300)).code());
    world.run(150);
    world.kill("c0");
    world.run(130);
    world.start("c0");
    world.run(200);
    world.kill("c1");
    world.kill("c2");
    world.kill("c0");
    world.run(200);
    world.start("c0");
    world.start("c1");
    world.run(120);
    // The wall clock stands at 1,700,000,000 s and the world's time.
    long minutes =
        (long) Math.floor((1_700_000_000L + world.now()) / 60)
            - (long) Math.floor((1_700_000_000L + created) / 60);
    assertEquals(minutes, runs().size(), "those missed while nobody was there are made up");
    JsonNode history = send("c1", "GET", "/schedules/readings/history", null).body();
    JsonNode shown = send("c1", "GET", "/schedules/readings", null).body();
    assertEquals(minutes, history.path("runs").size() + shown.path("runs").size());
    assertEquals(0, history.path("torn").size());
  }

  @Test
  void aChangeAndAFiringComeOneAfterTheOther() {
    up();
    send("c0", "POST", "/schedules", schedule("s", 300));
    world.run(70);
    ObjectNode other = schedule("s", 200).put("version", 1).put("due", "at 03:00");
    assertEquals(200, send("c1", "PUT", "/schedules/s", other).code());
    assertEquals(409, send("c2", "PUT", "/schedules/s", other).code());
    int before = runs().size();
    world.run(200);
    assertEquals(before, runs().size());
    assertEquals(200, send("c2", "DELETE", "/schedules/s", null).code());
    assertEquals(404, send("c1", "GET", "/schedules/s", null).code());
  }

  @Test
  void aPauseMakesNothingUp() {
    up();
    send("c0", "POST", "/schedules", schedule("s", 300));
    world.run(70);
    assertEquals(200, send("c1", "POST", "/schedules/s/pause", null).code());
    int before = runs().size();
    world.run(300);
    assertEquals(before, runs().size());
    assertEquals(200, send("c2", "POST", "/schedules/s/resume", null).code());
    world.run(59);
    assertTrue(runs().size() <= before + 1, "runs " + runs().size());
  }

  @Test
  void aMissIsReportedBeforeTheMeetingAndTheReportOutlivesItsOwner() {
    up();
    world.cloud.capacity = 0;
    send("c0", "POST", "/schedules", schedule("s", 45).put("due", "every 30 minutes"));
    world.until(1_900, () -> !runs().isEmpty());
    double due = Math.floor((1_700_000_000L + world.now()) / 60) * 60;
    world.until(60, () -> !send("c0", "GET", "/reports", null).body().path("reports").isEmpty());
    assertTrue(1_700_000_000L + world.now() < due + 45 + 60, "before the meeting");
    world.kill("c0");
    world.until(
        30,
        () ->
            !send("c1", "GET", "/reports", null).body().path("reports").isEmpty()
                || !send("c2", "GET", "/reports", null).body().path("reports").isEmpty());
    JsonNode report = send("c1", "GET", "/schedules/s", null).body().at("/runs/0/report");
    assertEquals(false, report.path("withdrawn").asBoolean(true), report.toString());
  }

  @Test
  void whatIsWrongIsSaidAndNothingIsKept() {
    up();
    ObjectNode dawn = schedule("s", 300).put("due", "at dawn");
    Reply reply = send("c0", "POST", "/schedules", dawn);
    assertEquals(400, reply.code());
    assertTrue(reply.body().path("error").asText().contains("line 1, column 4"));
    assertEquals(422, send("c0", "POST", "/schedules", schedule("s", 300).put("x", 1)).code());
    ObjectNode huge = schedule("s", 300);
    ((ObjectNode) huge.get("job")).put("cores", 900.0);
    assertEquals(422, send("c0", "POST", "/schedules", huge).code());
    assertEquals(400, send("c0", "POST", "/schedules", schedule("S", 300)).code());
    assertEquals(404, send("c0", "GET", "/schedules/nothing", null).code());
    assertEquals(Set.of(), world.state.keys("cal/"));
    ObjectNode days = Cbor.map();
    days.putArray("dates").add("2027-01-06");
    assertEquals(200, send("c0", "PUT", "/calendars/meetings", days).code());
    world.run(2);
    ObjectNode named = schedule("s", 300).put("due", "at 05:00 on days \"meetings\"");
    assertEquals(201, send("c1", "POST", "/schedules", named).code());
    assertEquals(
        "2027-01-06T05:00:00Z",
        send("c2", "GET", "/schedules/s", null).body().path("next").asText());
  }

  @Test
  void manySchedulesOfOneMinuteDoNotDelaySubmissions() {
    world.stateLimits = new io.violetrail.config.Settings.StateLimits(200, 30, 8192, 12);
    world.cloud.capacity = 200;
    up();
    for (int i = 0; i < 300; i++) {
      ObjectNode row = Cbor.map();
      row.setAll(schedule("s" + i, 3_000).put("due", "every 30 minutes"));
      row.remove("name");
      world.schedule("s" + i, row, "c0");
    }
    world.kill("c0");
    world.run(2);
    world.start("c0");
    world.until(1_900, () -> runs().size() > 10);
    double slowest = 0;
    for (int i = 0; i < 20; i++) {
      double began = world.now();
      assertEquals(201, user.submit("c0", User.job("job-" + i, 1)));
      slowest = Math.max(slowest, world.now() - began);
      world.run(0.5);
    }
    assertTrue(slowest < 1.0, "a submission took " + slowest + " s");
    world.until(600, () -> runs().size() == 300);
  }

  @Test
  void aDeletedScheduleDoesNotComeBackByALateWriteOfItsCreation() {
    up();
    world.state.lateS.put("c0", 9.0);
    // The creation has no answer and is on its way for long; its repeat goes through at once.
    world.at(0.5, world.state.lateS::clear);
    assertEquals(201, send("c0", "POST", "/schedules", schedule("daily", 40)).code());
    assertEquals(200, send("c1", "DELETE", "/schedules/daily", null).code());
    world.run(12);
    assertEquals(404, send("c2", "GET", "/schedules/daily", null).code());
    assertEquals(201, send("c0", "POST", "/schedules", schedule("daily", 40)).code());
  }
}
