package io.violetrail.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.KubernetesTestClient;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.StateSchema;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.LivenessRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.ownership.StateSchema.OwnershipHistory;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Rows of the state service as an earlier release wrote them, kept as text. The current release
 * must read them correctly, and must write rows of the same forms.
 *
 * <p>The rows of {@link RecordedRun} are recorded too, and the same run must write the same rows. A
 * change of scheduling decisions (which machine, how many) changes the run. Its rows may then be
 * recorded anew, as long as their forms are those of the earlier release.
 */
class StoredRowsCompatibilityTest {
  private static final long REVISION = 7;

  /** Written by the same release in another run, in which the job was still open. */
  private static final String PROGRESS_OF_JOB_106 = "{\"job-106/0\":\"Hw==\"}";

  private static final int DONE_OF_JOB_106 = 5;
  private static final Map<String, JsonNode> RECORDED = readRecordedRows();

  private static Map<String, JsonNode> readRecordedRows() {
    Map<String, JsonNode> rows = new TreeMap<>();
    Recording.lines("stored-rows.txt").forEach((key, text) -> rows.put(key, parseJson(text)));
    return rows;
  }

  private static JsonNode parseJson(String text) {
    try {
      return new ObjectMapper().readTree(text);
    } catch (java.io.IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  @Test
  void sameRunWritesTheRecordedRows() {
    Map<String, String> written = new TreeMap<>();
    RecordedRun.rows().forEach((key, value) -> written.put(key, value.toString()));
    Map<String, String> expected = new TreeMap<>(Recording.lines("rows-of-recorded-run.txt"));
    assertEquals(expected.keySet(), written.keySet());
    expected.forEach((key, text) -> assertEquals(text, written.get(key), key));
  }

  @Test
  void recordedRunHasTheFormsOfTheEarlierRelease() {
    // Guards against a new recording of the run that hides a change of the stored format.
    Map<String, JsonNode> run = new TreeMap<>();
    Recording.lines("rows-of-recorded-run.txt")
        .forEach((key, text) -> run.put(key, parseJson(text)));
    assertEquals(RowForms.byKind(RECORDED), RowForms.byKind(run));
  }

  @Test
  void everyKindOfRowIsRecorded() {
    for (String kind :
        List.of(
            "c/alive/",
            "c/block/",
            "c/config",
            "c/entity/",
            "c/intake",
            "c/machine/",
            "c/slice/",
            "c/types",
            "cal/d/",
            "cal/h/",
            "cal/s/",
            "config/part/",
            "end/",
            "hire/",
            "job/",
            "k8s/deployment/",
            "k8s/gone/",
            "k8s/job/",
            "open/",
            "progress/",
            "tomb/")) {
      assertTrue(RECORDED.keySet().stream().anyMatch(key -> key.startsWith(kind)), kind);
    }
  }

  @Test
  void livenessAndEntityRowsDecodeAndEncodeUnchanged() {
    JsonNode alive = parseJson("{\"zone\":\"z\",\"token_in_every_answer\":true}");
    assertEquals(new LivenessRow(true, REVISION), StateSchema.decodeLiveness(alive, REVISION));
    assertEquals(alive.toString(), StateSchema.encodeLiveness("z").toString());
    String text =
        "{\"owner\":\"c0\",\"version\":20,\"calm\":false,\"unknown\":1700000000111,"
            + "\"seized\":1700000000222}";
    EntityRow expected =
        new EntityRow(
            new ControllerId("c1"),
            new Version(20),
            false,
            new OwnershipHistory(1_700_000_000_111L, 1_700_000_000_222L),
            REVISION);
    assertEquals(expected, StateSchema.decodeEntity("c/entity/c1", parseJson(text), REVISION));
    assertEquals(text, StateSchema.encode(expected, "c0").toString());
  }

  @Test
  void machineRowsDecodeAndEncodeUnchanged() {
    MachineRow spotMachine = machine(true, false, -1);
    String text =
        "{\"entity\":\"c2\",\"type\":\"plain\",\"zone\":\"b\",\"spot\":true,\"up\":false,"
            + "\"term\":22,\"rented\":1700000000333}";
    assertEquals(
        spotMachine, StateSchema.decodeMachine("c/machine/vm-000012", parseJson(text), REVISION));
    assertEquals(text, StateSchema.encode(spotMachine).toString());
    MachineRow runningMachine = machine(false, true, 5);
    String block = "{\"vm-000012\":[\"plain\",\"b\",false,true,22,1700000000333]}";
    assertEquals(
        Map.of(runningMachine.id(), runningMachine),
        StateSchema.decodeBlock("c/block/c2/5", parseJson(block), REVISION));
    assertEquals(block, StateSchema.encode(List.of(runningMachine)).toString());
  }

  private static MachineRow machine(boolean spot, boolean up, int block) {
    return new MachineRow(
        new MachineId("vm-000012"),
        new ControllerId("c2"),
        "plain",
        "b",
        spot,
        up,
        new Version(22),
        1_700_000_000_333L,
        REVISION,
        block);
  }

  /**
   * Starts controllers on the recorded rows, without the liveness rows, at 1,200 s: after the end
   * of the recorded run.
   */
  private static ClusterSimulation startRestoredCluster(int cloudCapacity) {
    ClusterSimulation simulation = RecordedRun.newDeployment();
    RECORDED.forEach(
        (key, value) -> {
          if (!key.startsWith("c/alive/")) {
            simulation.stateService().put(key, value);
          }
        });
    simulation.stateService().put("progress/c0/0", parseJson(PROGRESS_OF_JOB_106));
    simulation.cloud().setCapacity(cloudCapacity);
    simulation.runFor(1_200);
    return simulation.startAllControllers().runFor(10);
  }

  private static JsonNode get(SimulatedUser user, String path) {
    try {
      byte[] body = user.send("c0", "GET", path, null).body();
      return path.startsWith("/work") ? Cbor.parse(body) : KubernetesJson.parse(body);
    } catch (Cbor.MalformedMessageException | KubernetesJson.MalformedRequestException exception) {
      throw new IllegalStateException(exception);
    }
  }

  @Test
  void restoredJobsKeepTheirStatus() {
    SimulatedUser user = new SimulatedUser(startRestoredCluster(0));
    assertEquals("done", user.pollStatus("c0", "job-101"));
    assertEquals("cancelled", user.pollStatus("c1", "job-102"));
    assertEquals("done", user.pollStatus("c2", "job-103"));
    assertEquals("done", user.pollStatus("c0", "job-104"));
    assertEquals("queued", user.pollStatus("c1", "job-105"));
    assertEquals("404", user.pollStatus("c1", "job-109"));
    assertEquals(DONE_OF_JOB_106, get(user, "/work/job-106").get("done").asInt());
  }

  @Test
  void restoredSchedulesKeepDefinitionAndHistory() {
    SimulatedUser user = new SimulatedUser(startRestoredCluster(0));
    JsonNode schedule = get(user, "/schedules/readings");
    assertEquals(1, schedule.get("version").asInt());
    assertEquals("every 1 minutes", schedule.get("due").asText());
    assertEquals("c0", schedule.get("entity").asText());
    JsonNode history = get(user, "/schedules/readings/history");
    assertEquals(0, history.get("torn").size());
    assertTrue(history.get("runs").size() >= 16, "the runs of the packed block are listed");
    JsonNode days = get(user, "/calendars/holidays").get("dates");
    assertEquals(parseJson("[\"2030-01-01\",\"2030-12-25\"]"), days);
  }

  @Test
  void restoredKubernetesObjectsKeepUidSpecAndGeneration() {
    KubernetesTestClient client = new KubernetesTestClient(startRestoredCluster(0));
    for (String path : List.of("job/red/scan", "deployment/red/web")) {
      JsonNode row = RECORDED.get("k8s/" + path);
      String collectionPath =
          path.startsWith("job") ? RecordedRun.jobsPath() : RecordedRun.deploymentsPath();
      JsonNode object =
          client.get("c2", collectionPath + path.substring(path.lastIndexOf('/'))).body();
      assertEquals(row.get("uid"), object.at("/metadata/uid"));
      assertEquals(row.get("spec"), object.get("spec"));
      assertEquals(row.get("gen").asLong(), object.at("/metadata/generation").asLong());
    }
  }

  @Test
  void clusterViewReadsTheRecordedRows() {
    ClusterView clusterView = new ClusterView(new ClusterSimulation(3, 1).settings("c0"));
    clusterView.replaceWithListing(watchedRows(), REVISION);
    assertEquals(RECORDED.get("c/slice/blue"), clusterView.findQuotaShare("blue").value());
    assertEquals(RECORDED.get("c/types"), clusterView.machineTypes());
    assertEquals(RECORDED.get("c/config"), clusterView.configurationEntry().value());
    assertEquals(REVISION, clusterView.machineAdditionsRevision());
    assertTrue(clusterView.isAlive(new ControllerId("c1")));
    assertEquals(new ControllerId("c0"), clusterView.findLatestOwner(new ControllerId("c1")));
    MachineRow singleRow = clusterView.findMachineRow(new MachineId("vm-000019"));
    assertEquals(new ControllerId("c2"), singleRow.entity());
    assertEquals(new Version(22), singleRow.term());
    MachineRow rowInBlock = clusterView.findMachineRow(new MachineId("vm-000013"));
    assertEquals(new ControllerId("c2"), rowInBlock.entity());
    assertTrue(rowInBlock.spot());
  }

  private static List<Entry> watchedRows() {
    return RECORDED.entrySet().stream()
        .filter(row -> row.getKey().startsWith("c/"))
        .map(row -> new Entry(row.getKey(), row.getValue(), REVISION))
        .toList();
  }

  @Test
  void restoredMachineTypesAndConfigurationAreInEffect() {
    var controller = startRestoredCluster(0).controllers().get("c1");
    assertEquals(1, controller.configuration().revision());
    assertEquals(9, controller.configuration().findTeam("blue").maxCpus());
    assertEquals(8, controller.machineTypes().find("plain").capacity().cpus());
  }

  @Test
  void openRentalRequestsAreRepeatedUnderTheirIds() {
    ClusterSimulation simulation = startRestoredCluster(100);
    simulation.runUntil(60, () -> simulation.cloud().machinesByRequest().containsKey("c2-12-2"));
    var machines = simulation.cloud().machinesByRequest().get("c2-12-2");
    assertEquals(2, machines.size());
    assertTrue(
        simulation.cloud().allCreatedWorkers().stream()
            .anyMatch(w -> machines.contains(w.id()) && w.isSpot()));
  }
}
