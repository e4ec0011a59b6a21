package io.violetrail.fakes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.net.Http;
import io.violetrail.wire.Cbor;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each rule that the stories rest on can be broken, and is seen to be. */
class CheckerTest {
  private final World world = new World(1, 1);
  private final FakeWorker one = world.cloud.given("plain", "a");
  private final FakeWorker other = world.cloud.given("plain", "b");

  private void user(String method, String path, ObjectNode body, int status, String job) {
    ObjectNode answer = Cbor.map().put("name_id", "job-1").put("status", job);
    byte[] asked = body == null ? null : Cbor.bytes(body);
    world.checker.answered(method, path, asked, new Http.Reply(status, Cbor.bytes(answer)));
  }

  private void submitted(ObjectNode job) {
    user("POST", "/work", job, 201, "queued");
    assertEquals(List.of(), world.broken);
  }

  private void launch(FakeWorker w, String task) {
    w.execute(Cbor.map().put("verb", "launch").put("piece", task).put("try", 1));
  }

  private void breaks(String rule) {
    assertTrue(world.broken.stream().anyMatch(b -> b.startsWith(rule + ":")), rule);
  }

  @Test
  void aTaskThatStartsWhileItIsElsewhere() {
    submitted(User.job("job-1", 1));
    launch(one, "job-1/0");
    assertEquals(List.of(), world.broken);
    launch(other, "job-1/0");
    breaks("ran_twice");
  }

  @Test
  void aTeamOverItsLimit() {
    world.teams.put("red", new Team("red", 0, 0, 1.5, 0));
    submitted(User.job("job-1", 2));
    launch(one, "job-1/0");
    assertEquals(List.of(), world.broken);
    launch(one, "job-1/1");
    breaks("quota");
  }

  @Test
  void aPlaceThatTheJobDoesNotAllow() {
    submitted(User.job("job-1", 2).put("one_zone", true));
    launch(one, "job-1/0");
    assertEquals(List.of(), world.broken);
    launch(other, "job-1/1");
    breaks("wrong_place");
  }

  @Test
  void aTaskThatOutlivesItsJobsCancellation() {
    submitted(User.job("job-1", 1));
    one.runS = 100;
    launch(one, "job-1/0");
    user("POST", "/work/job-1/abort", Cbor.map(), 200, "cancelled");
    world.at(30, () -> one.answered(world.now()));
    world.run(39);
    assertEquals(List.of(), world.broken);
    // Its lease is over by then unless somebody renews it.
    one.answered(world.now());
    one.given("job-1/0");
    world.run(2);
    breaks("ran_cancelled");
  }

  @Test
  void aJobThatIsForgotten() {
    submitted(User.job("job-1", 1));
    user("GET", "/work/job-1", null, 404, "");
    breaks("forgotten");
  }

  @Test
  void aJobThatNobodySubmitted() {
    user("GET", "/work/job-1", null, 200, "queued");
    breaks("invented");
  }

  @Test
  void aJobThatIsCalledDoneTooEarly() {
    submitted(User.job("job-1", 2));
    world.checker.done("job-1/0");
    user("GET", "/work/job-1", null, 200, "done");
    breaks("not_done");
  }

  @Test
  void aStateThatGoesBack() {
    submitted(User.job("job-1", 1));
    world.checker.done("job-1/0");
    user("GET", "/work/job-1", null, 200, "done");
    assertEquals(List.of(), world.broken);
    user("GET", "/work/job-1", null, 200, "running");
    breaks("went_back");
  }
}
