package io.violetrail.compatibility;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.violetrail.model.JobId;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.model.TaskId;
import io.violetrail.model.Version;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import io.violetrail.wire.CloudMessages;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.ExitCause;
import io.violetrail.wire.HeartbeatMessages.TaskReport;
import io.violetrail.wire.HeartbeatMessages.TaskState;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import io.violetrail.wire.JobMessages;
import io.violetrail.wire.StateStoreMessages;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares the protocols' field names and enumerated values with literal text. No constant of the
 * program is on both sides of a comparison, so changing the value of one is always noticed.
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
          JobShape.GANG,
          Priority.HIGH,
          16,
          new Resources(8, 1, 64),
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
    } catch (JsonProcessingException exception) {
      throw new IllegalArgumentException(exception);
    }
  }

  private static String text(byte[] body) throws MalformedMessageException {
    return Cbor.parse(body).toString();
  }

  @Test
  void submissionFields() throws MalformedMessageException {
    assertEquals(SUBMITTED, JobMessages.parseSubmission(json(SUBMISSION)));
    assertEquals(SUBMISSION, JobMessages.submissionMessage(SUBMITTED).toString());
    String spreadSubmission = SUBMISSION.replace("true,\"apart\":false", "false,\"apart\":true");
    JobSpec spreadJob =
        JobMessages.parseSubmission(
            json(spreadSubmission.replace("loaners\":true", "loaners\":false")));
    assertFalse(spreadJob.singleZone());
    assertTrue(spreadJob.spreadAcrossZones());
    assertFalse(spreadJob.spotAllowed());
  }

  @ParameterizedTest
  @CsvSource({"batch,ARRAY", "ensemble,GANG", "daemon,SERVICE"})
  void jobShapes(String word, JobShape shape) throws MalformedMessageException {
    JsonNode submission = json(SUBMISSION.replace("ensemble", word));
    assertEquals(shape, JobMessages.parseSubmission(submission).shape());
    assertEquals(
        submission,
        json(JobMessages.submissionMessage(JobMessages.parseSubmission(submission)).toString()));
  }

  @ParameterizedTest
  @CsvSource({"prod,PRODUCTION", "high,HIGH", "normal,NORMAL", "low,LOW"})
  void jobPriorities(String word, Priority priority) throws MalformedMessageException {
    JsonNode submission = json(SUBMISSION.replace("\"high\"", "\"" + word + "\""));
    assertEquals(priority, JobMessages.parseSubmission(submission).priority());
    assertEquals(
        submission,
        json(JobMessages.submissionMessage(JobMessages.parseSubmission(submission)).toString()));
  }

  @ParameterizedTest
  @CsvSource({"queued,QUEUED", "running,RUNNING", "done,DONE", "cancelled,CANCELLED"})
  void jobStatuses(String word, JobView.JobStatus status) {
    assertEquals(
        "{\"name_id\":\"job-000412\",\"status\":\"%s\",\"done\":3,\"running\":13}".formatted(word),
        JobMessages.viewMessage(new JobView("job-000412", status, 3, 13)).toString());
  }

  @Test
  void heartbeatFields() throws MalformedMessageException {
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
                new TaskReport(TaskId.parse("job-000412/3"), 2, TaskState.RUNNING, null, false),
                new TaskReport(
                    TaskId.parse("job-000398/0"), 1, TaskState.EXITED, ExitCause.STOPPED, true))),
        HeartbeatMessages.parseReport(json(report)));
  }

  private static TaskReport parseTaskReport(String status, String cause)
      throws MalformedMessageException {
    return HeartbeatMessages.parseReport(
            json(
                """
                {"host":"vm-1","hosttype":"g8","yard":"a","loaners":false,"tenure":1,"tick":1,
                 "pieces":[{"piece":"job-1/0","try":1,"status":"%s","cause":"%s"}]}"""
                    .formatted(status, cause)))
        .tasks()
        .get(0);
  }

  @ParameterizedTest
  @CsvSource({
    "fetching,FETCHING",
    "gathering,WAITING_FOR_GANG",
    "running,RUNNING",
    "flushing,CHECKPOINTING",
    "ended,EXITED"
  })
  void taskStates(String word, TaskState state) throws MalformedMessageException {
    assertEquals(state, parseTaskReport(word, "done").state());
  }

  @ParameterizedTest
  @CsvSource({
    "done,DONE",
    "halted,STOPPED",
    "mates_gone,GANG_MEMBER_LOST",
    "incomplete,GANG_INCOMPLETE",
    "error,ERROR",
    "no_room,INSUFFICIENT_RESOURCES",
    "in_use,BUSY",
    "unknown,UNKNOWN"
  })
  void exitCauses(String word, ExitCause cause) throws MalformedMessageException {
    assertEquals(cause, parseTaskReport("ended", word).exitCause());
  }

  @Test
  void commandFields() {
    TaskId task = TaskId.parse("job-000412/4");
    assertEquals(
        """
        {"baton":41,"orders":[{"verb":"launch","piece":"job-000412/4","try":2},\
        {"verb":"halt","piece":"job-000412/4","try":1,"wind_down_s":10.0},\
        {"verb":"forget","piece":"job-000412/4","try":3}]}""",
        HeartbeatMessages.commandReply(
                new Version(41),
                List.of(
                    new WorkerCommand(WorkerCommand.CommandType.LAUNCH, task, 2, 0),
                    new WorkerCommand(WorkerCommand.CommandType.STOP, task, 1, 10),
                    new WorkerCommand(WorkerCommand.CommandType.FORGET, task, 3, 0)))
            .toString());
  }

  @Test
  void otherHeartbeatReplies() {
    assertEquals("{\"baton\":0,\"orders\":[]}", HeartbeatMessages.nonRenewingReply().toString());
    assertEquals(
        "{\"master\":\"railhost-2\"}", HeartbeatMessages.redirectReply("railhost-2").toString());
    assertEquals("{}", HeartbeatMessages.redirectReply(null).toString());
  }

  @Test
  void machineTypeFields() throws MalformedMessageException {
    String flavors =
        """
        {"hosttypes":[{"sku":"g8","cores":96.0,"gpus":8.0,"mem_gb":768.0,"cache_gb":200.0,\
        "pull_gb_per_s":1.0,"rate":12.0,"spot_price":4.5,"ready_s":45.0,"yards":["a","b"]}]}""";
    List<MachineType> types =
        List.of(
            new MachineType(
                "g8", new Resources(96, 8, 768), 200, 1, 12, 4.5, 45, List.of("a", "b")));
    assertEquals(types, CloudMessages.parseMachineTypes(json(flavors)));
    assertEquals(flavors, CloudMessages.machineTypesMessage(types).toString());
  }

  @Test
  void rentalAndMachineFields() throws MalformedMessageException {
    List<MachineId> machines = List.of(new MachineId("vm-000231"), new MachineId("vm-000232"));
    String names = "{\"hosts\":[\"vm-000231\",\"vm-000232\"]}";
    assertEquals(
        "{\"hire\":\"r-17\",\"hosttype\":\"g8\",\"yard\":\"a\",\"loaners\":true,\"count\":12}",
        CloudMessages.rentalRequest("r-17", "g8", "a", true, 12).toString());
    assertEquals(machines, CloudMessages.parseRentedMachines(json(names)));
    assertEquals(names, CloudMessages.returnRequest(machines).toString());
    String machineList =
        """
        {"hosts":[{"name_id":"vm-000231","endpoint":"10.1.0.232:9000","hosttype":"g8","yard":"a",
         "loaners":true,"status":"running","age_s":61.5},{"name_id":"vm-000232"}],"truncated":true}
        """;
    assertEquals(machines, CloudMessages.parseListedMachines(json(machineList)));
    assertTrue(CloudMessages.isTruncated(json(machineList)));
    assertFalse(CloudMessages.isTruncated(json("{\"hosts\":[],\"truncated\":false}")));
  }

  @Test
  void transactionFields() throws MalformedMessageException {
    JsonNode value = json("{\"x\":1}");
    Transaction transaction =
        new Transaction()
            .ifRevision("a/b", 0)
            .putWithLease("a/b", value, 7)
            .put("a/c", value)
            .delete("c/d");
    assertEquals(
        """
        {"if":[{"key":"a/b","stamp":0}],"writes":[{"set":"a/b","v":{"x":1},"hold":7},\
        {"set":"a/c","v":{"x":1}},{"drop":"c/d"}]}""",
        text(transaction.encode()));
    JsonNode failedTransaction = json("{\"failed\":[\"a/b\"],\"epoch\":431}");
    assertEquals(
        new StateStoreMessages.TransactionOutcome(false, 431, Set.of("a/b")),
        StateStoreMessages.parseOutcome(false, failedTransaction));
  }

  @Test
  void entryAndLeaseFields() throws MalformedMessageException {
    JsonNode value = json("{\"x\":1}");
    Entry entry = new Entry("a/b", value, 412);
    String storedEntry = "{\"key\":\"a/b\",\"v\":{\"x\":1},\"stamp\":412,\"hold\":7}";
    assertEquals(entry, StateStoreMessages.parseEntry(json(storedEntry)));
    assertNull(StateStoreMessages.parseEntry(json("{\"epoch\":431}")).value());
    assertEquals(431, StateStoreMessages.parseRevision(json("{\"epoch\":431}")));
    assertEquals(
        new StateStoreMessages.ListPage(List.of(entry), 431, true),
        StateStoreMessages.parsePage(
            json("{\"entries\":[" + storedEntry + "],\"truncated\":true,\"epoch\":431}")));
    assertEquals("{\"life_ms\":5000}", StateStoreMessages.leaseRequest(5_000).toString());
    assertEquals(7, StateStoreMessages.parseLeaseId(json("{\"hold\":7}")));
  }

  @Test
  void changeLogFields() {
    String log =
        """
        {"epoch":433,"log":[{"set":"c/9","v":{"x":1},"stamp":433},{"drop":"c/d","stamp":432}]}""";
    assertEquals(
        List.of(new RowChange("c/9", json("{\"x\":1}"), 433), new RowChange("c/d", null, 432)),
        StateStoreMessages.parseChanges(json(log)));
    assertEquals(433, StateStoreMessages.parseRevision(json(log)));
  }

  @Test
  void errorFields() throws MalformedMessageException {
    assertEquals(
        "{\"error\":\"no capacity\"}", text(HttpResponse.error(503, "no capacity").body()));
    assertEquals("{\"error\":\"not ready\"}", text(HttpResponse.unavailable("not ready").body()));
  }

  /** Checks the CBOR encoding itself with one small map. */
  @Test
  void bodiesAreCbor() {
    byte[] expected = {(byte) 0xa1, 0x65, 'b', 'a', 't', 'o', 'n', 0x18, 0x29};
    assertArrayEquals(expected, Cbor.encode(Cbor.newMap().put("baton", 41)));
  }
}
