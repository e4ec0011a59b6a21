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
    long at = world.checker.asks(method, path, asked);
    world.checker.answered(at, method, path, asked, new Http.Reply(status, Cbor.bytes(answer)));
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
  void whatATeamUsesIsCountedOverAllWorkersAsTasksComeAndGo() {
    world.teams.put("red", new Team("red", 0, 0, 2, 0));
    submitted(User.job("job-1", 4));
    launch(one, "job-1/0");
    launch(other, "job-1/1");
    one.execute(Cbor.map().put("verb", "halt").put("piece", "job-1/0").put("try", 1));
    launch(one, "job-1/2");
    assertEquals(List.of(), world.broken);
    launch(other, "job-1/3");
    breaks("quota");
  }

  @Test
  void tasksOfALeaseThatHasRunOutAreGone() {
    world.teams.put("red", new Team("red", 0, 0, 1, 0));
    submitted(User.job("job-1", 2).put("one_zone", true));
    launch(one, "job-1/0");
    // Between two steps of the worker: it has not noticed yet, but its lease is over.
    one.answered(world.now() - world.workers.leaseS() - 0.1);
    launch(other, "job-1/1");
    launch(other, "job-1/0");
    breaks("quota");
    assertEquals(1, world.broken.size(), world.broken.toString());
  }

  @Test
  void aRepeatThatSaysSomethingElseChangesWhatItsTasksTake() {
    world.teams.put("red", new Team("red", 0, 0, 3, 0));
    world.checker.asks("POST", "/work", Cbor.bytes(User.job("job-1", 2)));
    launch(one, "job-1/0");
    user("POST", "/work", User.job("job-1", 2).put("cores", 2.0), 201, "queued");
    assertEquals(List.of(), world.broken);
    launch(one, "job-1/1");
    breaks("quota");
  }

  @Test
  void tasksThatMayNotBeTogether() {
    submitted(User.job("job-1", 2).put("apart", true));
    launch(one, "job-1/0");
    assertEquals(List.of(), world.broken);
    launch(one, "job-1/1");
    breaks("wrong_place");
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

  @Test
  void answersThatOverlapMayComeInEitherOrderAndLaterOnesMayNot() {
    submitted(User.job("job-1", 1));
    world.checker.done("job-1/0");
    long early = world.checker.asks("GET", "/work/job-1", null);
    user("GET", "/work/job-1", null, 200, "done");
    answer(early, "running");
    assertEquals(List.of(), world.broken);
    answer(world.checker.asks("GET", "/work/job-1", null), "running");
    breaks("went_back");
  }

  private void answer(long askedAt, String status) {
    byte[] body = Cbor.bytes(Cbor.map().put("name_id", "job-1").put("status", status));
    world.checker.answered(askedAt, "GET", "/work/job-1", null, new Http.Reply(200, body));
  }

  @Test
  void twoDifferentEndsEvenIfTheyOverlap() {
    submitted(User.job("job-1", 1));
    world.checker.done("job-1/0");
    long early = world.checker.asks("GET", "/work/job-1", null);
    user("POST", "/work/job-1/abort", Cbor.map(), 200, "cancelled");
    answer(early, "done");
    breaks("went_back");
  }

  @Test
  void anAcceptedJobThatIsRefusedLater() {
    submitted(User.job("job-1", 1));
    user("POST", "/work", User.job("job-1", 1), 422, "");
    breaks("forgotten");
  }

  @Test
  void startsAfterAConfirmedCancellationAreCounted() {
    submitted(User.job("job-1", 1));
    user("POST", "/work/job-1/abort", Cbor.map(), 200, "cancelled");
    launch(one, "job-1/0");
    assertEquals(1, world.checker.startsAfterCancellation);
    assertEquals(List.of(), world.broken);
  }

  @Test
  void aJobThatLacksAFieldOrFitsNothing() {
    ObjectNode lacks = User.job("job-1", 1);
    lacks.remove("bundle");
    user("POST", "/work", lacks, 201, "queued");
    breaks("senseless");
    world.broken.clear();
    user("POST", "/work", User.job("job-2", 1).put("cores", 9.0), 201, "queued");
    breaks("senseless");
  }

  @Test
  void aJobAboutWhichNobodyAnswersAfterTheTroubles() {
    submitted(User.job("job-1", 1).put("yard", "a"));
    world.checker.troublesOver();
    one.noticeS = 1.0;
    user("GET", "/work/job-1", null, 503, "");
    world.run(74);
    assertEquals(List.of(), world.broken);
    world.run(2);
    breaks("forgotten");
  }

  @Test
  void aJobThatWaitsThoughThereIsRoom() {
    submitted(User.job("job-1", 1));
    world.checker.troublesOver();
    world.run(89);
    assertEquals(List.of(), world.broken);
    world.run(3);
    breaks("left_waiting");
  }

  @Test
  void aJobMayWaitWithoutRoomOrAboveItsTeamsLimit() {
    world.teams.put("red", new Team("red", 0, 0, 8, 0));
    one.runS = 500;
    submitted(User.job("job-1", 1).put("cores", 8.0));
    launch(one, "job-1/0");
    submitted(User.job("job-2", 1));
    world.checker.troublesOver();
    for (int i = 0; i < 15; i++) {
      world.at(8 * i, () -> one.answered(world.now()));
    }
    world.run(100);
    assertEquals(List.of(), world.broken);
  }

  @Test
  void aClassOfWhichLessThanHalfIsServed() {
    submitted(User.job("job-1", 2));
    submitted(User.job("job-2", 1));
    submitted(User.job("job-3", 1));
    launch(one, "job-2/0");
    world.checker.done("job-2/0");
    assertEquals(3, world.checker.badlyServed().size(), "class, team, and the class's largest");
    launch(one, "job-1/0");
    world.checker.done("job-3/0");
    assertEquals(List.of(), world.checker.badlyServed());
  }
}
