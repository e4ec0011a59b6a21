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
 * Rows of the state service as an earlier program wrote them, kept as text. Today's program writes
 * the same rows in the same run, and controllers that find the recorded ones understand them.
 *
 * <p>A change of what is decided (which machine, how many) changes the run. Then rows may be
 * recorded anew, by a program whose form of rows is the recorded one.
 */
class StoredRowsCompatibilityTest {
  private static final long STAMP = 7;

  /** As the same program wrote it in another run, where the job was still open. */
  private static final String PROGRESS_OF_JOB_106 = "{\"job-106/0\":\"Hw==\"}";

  private static final int DONE_OF_JOB_106 = 5;
  private static final Map<String, JsonNode> RECORDED = recorded();

  private static Map<String, JsonNode> recorded() {
    Map<String, JsonNode> rows = new TreeMap<>();
    Recording.lines("stored-rows.txt").forEach((key, text) -> rows.put(key, parsed(text)));
    return rows;
  }

  private static JsonNode parsed(String text) {
    try {
      return new ObjectMapper().readTree(text);
    } catch (java.io.IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  @Test
  void theSameRunWritesTheSameRows() {
    Map<String, String> written = new TreeMap<>();
    RecordedRun.rows().forEach((key, value) -> written.put(key, value.toString()));
    Map<String, String> expected = new TreeMap<>(Recording.lines("stored-rows.txt"));
    assertEquals(expected.keySet(), written.keySet());
    expected.forEach((key, text) -> assertEquals(text, written.get(key), key));
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
  void ownersLeaseRowsAndHistoriesMeanTheSame() {
    JsonNode alive = parsed("{\"zone\":\"z\",\"token_in_every_answer\":true}");
    assertEquals(new LivenessRow(true, STAMP), StateSchema.decodeLiveness(alive, STAMP));
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
            STAMP);
    assertEquals(expected, StateSchema.decodeEntity("c/entity/c1", parsed(text), STAMP));
    assertEquals(text, StateSchema.encode(expected, "c0").toString());
  }

  @Test
  void machinesMeanTheSame() {
    MachineRow spot = machine(true, false, -1);
    String text =
        "{\"entity\":\"c2\",\"type\":\"plain\",\"zone\":\"b\",\"spot\":true,\"up\":false,"
            + "\"term\":22,\"rented\":1700000000333}";
    assertEquals(spot, StateSchema.decodeMachine("c/machine/vm-000012", parsed(text), STAMP));
    assertEquals(text, StateSchema.encode(spot).toString());
    MachineRow up = machine(false, true, 5);
    String block = "{\"vm-000012\":[\"plain\",\"b\",false,true,22,1700000000333]}";
    assertEquals(
        Map.of(up.id(), up), StateSchema.decodeBlock("c/block/c2/5", parsed(block), STAMP));
    assertEquals(block, StateSchema.encode(List.of(up)).toString());
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
        STAMP,
        block);
  }

  /** Controllers that start where the recorded run has been. */
  private static ClusterSimulation restored(int cloudCapacity) {
    ClusterSimulation simulation = RecordedRun.newDeployment();
    RECORDED.forEach(
        (key, value) -> {
          if (!key.startsWith("c/alive/")) {
            simulation.stateService().put(key, value);
          }
        });
    simulation.stateService().put("progress/c0/0", parsed(PROGRESS_OF_JOB_106));
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
  void jobsAreWhatTheyWere() {
    SimulatedUser user = new SimulatedUser(restored(0));
    assertEquals("done", user.pollStatus("c0", "job-101"));
    assertEquals("cancelled", user.pollStatus("c1", "job-102"));
    assertEquals("done", user.pollStatus("c2", "job-103"));
    assertEquals("done", user.pollStatus("c0", "job-104"));
    assertEquals("queued", user.pollStatus("c1", "job-105"));
    assertEquals("404", user.pollStatus("c1", "job-109"));
    assertEquals(DONE_OF_JOB_106, get(user, "/work/job-106").get("done").asInt());
  }

  @Test
  void schedulesAreWhatTheyWere() {
    SimulatedUser user = new SimulatedUser(restored(0));
    JsonNode schedule = get(user, "/schedules/readings");
    assertEquals(1, schedule.get("version").asInt());
    assertEquals("every 1 minutes", schedule.get("due").asText());
    assertEquals("c0", schedule.get("entity").asText());
    JsonNode history = get(user, "/schedules/readings/history");
    assertEquals(0, history.get("torn").size());
    assertTrue(history.get("runs").size() >= 16, "the runs of the packed block");
    JsonNode days = get(user, "/calendars/holidays").get("dates");
    assertEquals(parsed("[\"2030-01-01\",\"2030-12-25\"]"), days);
  }

  @Test
  void kubernetesObjectsAreWhatTheyWere() {
    KubernetesTestClient client = new KubernetesTestClient(restored(0));
    for (String path : List.of("job/red/scan", "deployment/red/web")) {
      JsonNode row = RECORDED.get("k8s/" + path);
      String all = path.startsWith("job") ? RecordedRun.jobsPath() : RecordedRun.deployments();
      JsonNode object = client.get("c2", all + path.substring(path.lastIndexOf('/'))).body();
      assertEquals(row.get("uid"), object.at("/metadata/uid"));
      assertEquals(row.get("spec"), object.get("spec"));
      assertEquals(row.get("gen").asLong(), object.at("/metadata/generation").asLong());
    }
  }

  @Test
  void whatEveryControllerWatchesMeansTheSame() {
    ClusterView clusterView = new ClusterView(new ClusterSimulation(3, 1).settings("c0"));
    clusterView.replaceWithListing(watchedRows(), STAMP);
    assertEquals(RECORDED.get("c/slice/blue"), clusterView.findQuotaShare("blue").value());
    assertEquals(RECORDED.get("c/types"), clusterView.machineTypes());
    assertEquals(RECORDED.get("c/config"), clusterView.configurationEntry().value());
    assertEquals(STAMP, clusterView.machineAdditionsRevision());
    assertTrue(clusterView.isAlive(new ControllerId("c1")));
    assertEquals(new ControllerId("c0"), clusterView.findLatestOwner(new ControllerId("c1")));
    MachineRow ownRow = clusterView.findMachineRow(new MachineId("vm-000019"));
    assertEquals(new ControllerId("c2"), ownRow.entity());
    assertEquals(new Version(22), ownRow.term());
    MachineRow inBlock = clusterView.findMachineRow(new MachineId("vm-000013"));
    assertEquals(new ControllerId("c2"), inBlock.entity());
    assertTrue(inBlock.spot());
  }

  private static List<Entry> watchedRows() {
    return RECORDED.entrySet().stream()
        .filter(row -> row.getKey().startsWith("c/"))
        .map(row -> new Entry(row.getKey(), row.getValue(), STAMP))
        .toList();
  }

  @Test
  void typesAndTheConfigurationAreInForce() {
    var controller = restored(0).controllers().get("c1");
    assertEquals(1, controller.configuration().revision());
    assertEquals(9, controller.configuration().findTeam("blue").maxCpus());
    assertEquals(8, controller.machineTypes().find("plain").capacity().cpus());
  }

  @Test
  void rentalRequestsLeftOpenAreRepeatedUnderTheirNames() {
    ClusterSimulation simulation = restored(100);
    simulation.runUntil(60, () -> simulation.cloud().machinesByRequest().containsKey("c2-12-2"));
    var machines = simulation.cloud().machinesByRequest().get("c2-12-2");
    assertEquals(2, machines.size());
    assertTrue(
        simulation.cloud().allWorkersEver().stream()
            .anyMatch(w -> machines.contains(w.id()) && w.isSpot()));
  }
}
