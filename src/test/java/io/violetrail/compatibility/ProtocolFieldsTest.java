package io.violetrail.compatibility;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.violetrail.model.Amounts;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Priority;
import io.violetrail.model.Shape;
import io.violetrail.model.TaskId;
import io.violetrail.model.Version;
import io.violetrail.net.Service.Answer;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.Malformed;
import io.violetrail.wire.CloudWire;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.Command;
import io.violetrail.wire.HeartbeatMessages.ExitCause;
import io.violetrail.wire.HeartbeatMessages.State;
import io.violetrail.wire.HeartbeatMessages.TaskReport;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import io.violetrail.wire.JobWire;
import io.violetrail.wire.StateWire;
import io.violetrail.wire.StateWire.Change;
import io.violetrail.wire.StateWire.Entry;
import io.violetrail.wire.StateWire.Txn;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The protocol's field names and words as text. No constant of the program stands on both sides of
 * a comparison here, so none can be renamed unseen.
 */
class ProtocolFieldsTest {
  private static final String SUBMISSION =
      """
      {"name_id":"job-000412","jobclass":"train","crew":"vision","shape":"ensemble",\
      "urgency":"high","pieces":16,"cores":8.0,"gpus":1.0,"mem_gb":64.0,"bundle":"img-07",\
      "pull_gb":6.2,"hosttypes":["g8"],"yard":"a","one_zone":true,"apart":false,"loaners":true,\
      "guess_s":240.0,"snapshot_s":30.0,"flush_s":4.0,"due_s":900.0}""";

  private static final JobSpec SUBMITTED =
      new JobSpec(
          new JobId("job-000412"),
          "train",
          "vision",
          Shape.GANG,
          Priority.HIGH,
          16,
          new Amounts(8, 1, 64),
          "img-07",
          6.2,
          List.of("g8"),
          "a",
          true,
          false,
          true,
          240,
          30,
          4,
          900.0);

  private static JsonNode json(String text) {
    try {
      return new ObjectMapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static String text(byte[] body) throws Malformed {
    return Cbor.parse(body).toString();
  }

  @Test
  void aSubmission() throws Malformed {
    assertEquals(SUBMITTED, JobWire.submitted(json(SUBMISSION)));
    assertEquals(SUBMISSION, JobWire.spec(SUBMITTED).toString());
    String spread = SUBMISSION.replace("true,\"apart\":false", "false,\"apart\":true");
    JobSpec read = JobWire.submitted(json(spread.replace("loaners\":true", "loaners\":false")));
    assertFalse(read.oneZone());
    assertTrue(read.spread());
    assertFalse(read.spot());
  }

  @ParameterizedTest
  @CsvSource({"batch,ARRAY", "ensemble,GANG", "daemon,SERVICE"})
  void shapes(String word, Shape shape) throws Malformed {
    JsonNode submission = json(SUBMISSION.replace("ensemble", word));
    assertEquals(shape, JobWire.submitted(submission).shape());
    assertEquals(submission, json(JobWire.spec(JobWire.submitted(submission)).toString()));
  }

  @ParameterizedTest
  @CsvSource({"prod,PRODUCTION", "high,HIGH", "normal,NORMAL", "low,LOW"})
  void urgencies(String word, Priority priority) throws Malformed {
    JsonNode submission = json(SUBMISSION.replace("\"high\"", "\"" + word + "\""));
    assertEquals(priority, JobWire.submitted(submission).priority());
    assertEquals(submission, json(JobWire.spec(JobWire.submitted(submission)).toString()));
  }

  @ParameterizedTest
  @CsvSource({"queued,QUEUED", "running,RUNNING", "done,DONE", "cancelled,CANCELLED"})
  void jobViews(String word, JobView.Status status) {
    assertEquals(
        "{\"name_id\":\"job-000412\",\"status\":\"%s\",\"done\":3,\"running\":13}".formatted(word),
        JobWire.view(new JobView("job-000412", status, 3, 13)).toString());
  }

  @Test
  void aReportOfAWorker() throws Malformed {
    String report =
        """
        {"host":"vm-000231","endpoint":"10.1.0.232:9000","hosttype":"g8","yard":"a","loaners":true,
         "tenure":1,"tick":88,"baton":41,"warning_s":17.5,
         "pieces":[{"piece":"job-000412/3","try":2,"status":"running"},
                   {"piece":"job-000398/0","try":1,"status":"ended","cause":"halted","kept":true}]}
        """;
    assertEquals(
        new WorkerReport(
            new MachineId("vm-000231"),
            "10.1.0.232:9000",
            "g8",
            "a",
            true,
            1,
            88,
            new Version(41),
            17.5,
            List.of(
                new TaskReport(TaskId.parse("job-000412/3"), 2, State.RUNNING, null, false),
                new TaskReport(
                    TaskId.parse("job-000398/0"), 1, State.EXITED, ExitCause.STOPPED, true))),
        HeartbeatMessages.report(json(report)));
  }

  private static TaskReport reported(String status, String cause) throws Malformed {
    return HeartbeatMessages.report(
            json(
                """
                {"host":"vm-1","hosttype":"g8","yard":"a","loaners":false,"tenure":1,"tick":1,
                 "pieces":[{"piece":"job-1/0","try":1,"status":"%s","cause":"%s"}]}"""
                    .formatted(status, cause)))
        .pieces()
        .get(0);
  }

  @ParameterizedTest
  @CsvSource({
    "fetching,FETCHING",
    "gathering,WAITING",
    "running,RUNNING",
    "flushing,SAVING",
    "ended,EXITED"
  })
  void taskStates(String word, State state) throws Malformed {
    assertEquals(state, reported(word, "done").state());
  }

  @ParameterizedTest
  @CsvSource({
    "done,DONE",
    "halted,STOPPED",
    "mates_gone,PEERS_GONE",
    "incomplete,INCOMPLETE",
    "error,ERROR",
    "no_room,NO_ROOM",
    "in_use,BUSY",
    "unknown,UNKNOWN"
  })
  void exitCauses(String word, ExitCause cause) throws Malformed {
    assertEquals(cause, reported("ended", word).why());
  }

  @Test
  void commandsToAWorker() {
    TaskId task = TaskId.parse("job-000412/4");
    assertEquals(
        """
        {"baton":41,"orders":[{"verb":"launch","piece":"job-000412/4","try":2},\
        {"verb":"halt","piece":"job-000412/4","try":1,"wind_down_s":10.0},\
        {"verb":"forget","piece":"job-000412/4","try":3}]}""",
        HeartbeatMessages.reply(
                new Version(41),
                List.of(
                    new Command(Command.Verb.LAUNCH, task, 2, 0),
                    new Command(Command.Verb.HALT, task, 1, 10),
                    new Command(Command.Verb.FORGET, task, 3, 0)))
            .toString());
  }

  @Test
  void otherAnswersToAWorker() {
    assertEquals("{\"baton\":0,\"orders\":[]}", HeartbeatMessages.stay().toString());
    assertEquals(
        "{\"master\":\"railhost-2\"}", HeartbeatMessages.elsewhere("railhost-2").toString());
    assertEquals("{}", HeartbeatMessages.elsewhere(null).toString());
  }

  @Test
  void flavors() throws Malformed {
    String flavors =
        """
        {"hosttypes":[{"sku":"g8","cores":96.0,"gpus":8.0,"mem_gb":768.0,"cache_gb":200.0,\
        "pull_gb_per_s":1.0,"rate":12.0,"spot_price":4.5,"ready_s":45.0,"yards":["a","b"]}]}""";
    List<MachineType> types =
        List.of(
            new MachineType("g8", new Amounts(96, 8, 768), 200, 1, 12, 4.5, 45, List.of("a", "b")));
    assertEquals(types, CloudWire.types(json(flavors)));
    assertEquals(flavors, CloudWire.types(types).toString());
  }

  @Test
  void hosts() throws Malformed {
    List<MachineId> machines = List.of(new MachineId("vm-000231"), new MachineId("vm-000232"));
    String names = "{\"hosts\":[\"vm-000231\",\"vm-000232\"]}";
    assertEquals(
        "{\"hire\":\"r-17\",\"hosttype\":\"g8\",\"yard\":\"a\",\"loaners\":true,\"count\":12}",
        CloudWire.hire("r-17", "g8", "a", true, 12).toString());
    assertEquals(machines, CloudWire.hired(json(names)));
    assertEquals(names, CloudWire.giveBack(machines).toString());
    String listed =
        """
        {"hosts":[{"name_id":"vm-000231","endpoint":"10.1.0.232:9000","hosttype":"g8","yard":"a",
         "loaners":true,"status":"running","age_s":61.5},{"name_id":"vm-000232"}],"truncated":true}
        """;
    assertEquals(machines, CloudWire.listed(json(listed)));
    assertTrue(CloudWire.more(json(listed)));
    assertFalse(CloudWire.more(json("{\"hosts\":[],\"truncated\":false}")));
  }

  @Test
  void aTransaction() throws Malformed {
    JsonNode value = json("{\"x\":1}");
    Txn transaction =
        new Txn().when("a/b", 0).setHeld("a/b", value, 7).set("a/c", value).drop("c/d");
    assertEquals(
        """
        {"if":[{"key":"a/b","stamp":0}],"writes":[{"set":"a/b","v":{"x":1},"hold":7},\
        {"set":"a/c","v":{"x":1}},{"drop":"c/d"}]}""",
        text(transaction.bytes()));
    JsonNode refused = json("{\"failed\":[\"a/b\"],\"epoch\":431}");
    assertEquals(
        new StateWire.Outcome(false, 431, Set.of("a/b")), StateWire.outcome(false, refused));
  }

  @Test
  void keysAndLeases() throws Malformed {
    JsonNode value = json("{\"x\":1}");
    Entry entry = new Entry("a/b", value, 412);
    String stored = "{\"key\":\"a/b\",\"v\":{\"x\":1},\"stamp\":412,\"hold\":7}";
    assertEquals(entry, StateWire.entry(json(stored)));
    assertNull(StateWire.entry(json("{\"epoch\":431}")).value());
    assertEquals(431, StateWire.revision(json("{\"epoch\":431}")));
    assertEquals(
        new StateWire.Page(List.of(entry), 431, true),
        StateWire.page(json("{\"entries\":[" + stored + "],\"truncated\":true,\"epoch\":431}")));
    assertEquals("{\"life_ms\":5000}", StateWire.lease(5_000).toString());
    assertEquals(7, StateWire.leaseId(json("{\"hold\":7}")));
  }

  @Test
  void changes() {
    String log =
        """
        {"epoch":433,"log":[{"set":"c/9","v":{"x":1},"stamp":433},{"drop":"c/d","stamp":432}]}""";
    assertEquals(
        List.of(new Change("c/9", json("{\"x\":1}"), 433), new Change("c/d", null, 432)),
        StateWire.changes(json(log)));
    assertEquals(433, StateWire.revision(json(log)));
  }

  @Test
  void errors() throws Malformed {
    assertEquals("{\"error\":\"no capacity\"}", text(Answer.error(503, "no capacity").body()));
    assertEquals("{\"error\":\"not ready\"}", text(Answer.later("not ready").body()));
  }

  /** CBOR itself, for one small map. */
  @Test
  void bodiesAreCbor() {
    byte[] expected = {(byte) 0xa1, 0x65, 'b', 'a', 't', 'o', 'n', 0x18, 0x29};
    assertArrayEquals(expected, Cbor.bytes(Cbor.map().put("baton", 41)));
  }
}
