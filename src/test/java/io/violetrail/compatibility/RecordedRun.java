package io.violetrail.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Options;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.KubernetesTestClient;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * A short run of a simulated deployment in which every kind of row is written. It is deterministic,
 * and {@code rows-of-recorded-run.txt} holds the rows that are written in it.
 */
final class RecordedRun {
  private static final double STEP_SECONDS = 0.05;

  /** Long enough for a block of finished runs of a schedule that fires every minute. */
  private static final double SCHEDULED_SECONDS = 18 * 60;

  private final ClusterSimulation cluster = newDeployment();
  private final SimulatedUser user = new SimulatedUser(cluster);
  private final KubernetesTestClient kubernetes = new KubernetesTestClient(cluster);
  private final Map<String, JsonNode> rows = new TreeMap<>();

  private RecordedRun() {}

  /** Returns a deployment with all APIs enabled and the settings of the recorded run. */
  static ClusterSimulation newDeployment() {
    ClusterSimulation simulation = new ClusterSimulation(3, 11);
    simulation.setKubernetesEnabled(true);
    simulation.setSchedulesEnabled(true);
    simulation.setOptions(
        new Options(
            null,
            Options.DEFAULTS.maxIdleSeconds(),
            Options.DEFAULTS.placementSampleSize(),
            null,
            null,
            true,
            true));
    simulation.teams().put("red", new Team("red", 0, 0, 300, Double.POSITIVE_INFINITY));
    simulation.cloud().setTaskDurationSeconds(8);
    return simulation;
  }

  /** Returns the longest value written under each key; of several, the latest. */
  static Map<String, JsonNode> rows() {
    RecordedRun run = new RecordedRun();
    run.execute();
    return run.rows;
  }

  private void execute() {
    cluster.startAllControllers();
    changeConfiguration();
    createCalendarAndSchedule();
    runAndRecord(SCHEDULED_SECONDS);
    submitJobs();
    runAndRecord(15);
    createKubernetesObjects();
    runAndRecord(15);
    leaveRentalRequestsOpen();
    runAndRecord(8);
    cluster.killController("c1");
    runAndRecord(30);
  }

  private void changeConfiguration() {
    ObjectNode change = Cbor.newMap().put("expected", 0).put("request", "first");
    change.put("who", "operator").put("why", "a recording");
    change.putArray("teams").addObject().put("name", "red").put("cpus_max", 300.0);
    change.withArray("teams").addObject().put("name", "blue").put("cpus_max", 9.0);
    post("/config", change, 200);
    runAndRecord(10);
  }

  private void createCalendarAndSchedule() {
    put("/calendars/holidays", "{\"dates\":[\"2030-01-01\",\"2030-12-25\"]}");
    ObjectNode schedule = Cbor.newMap().put("name", "readings").put("due", "every 1 minutes");
    schedule.put("zone", "UTC").put("deadline_s", 55.0);
    ObjectNode job = SimulatedUser.jobRequest("job-0", 2);
    job.remove("name_id");
    schedule.set("job", job);
    post("/schedules", schedule, 201);
  }

  private void submitJobs() {
    expect(201, user.submit("c0", SimulatedUser.jobRequest("job-101", 3)));
    expect(201, user.submit("c0", SimulatedUser.jobRequest("job-102", 2)));
    user.cancel("c0", "job-102");
    ObjectNode array =
        SimulatedUser.jobRequest("job-103", 60).put("guess_s", 21.5).put("snapshot_s", 7.5);
    expect(201, user.submit("c1", array.put("flush_s", 2.5).put("due_s", 905.5)));
    ObjectNode gang =
        SimulatedUser.jobRequest("job-104", 5).put("shape", "ensemble").put("urgency", "high");
    gang.put("cores", 2.5).put("mem_gb", 3.5).put("pull_gb", 0.25).put("one_zone", true);
    gang.put("yard", "b").put("loaners", true).putArray("hosttypes").add("plain");
    expect(201, user.submit("c2", gang));
    ObjectNode service =
        SimulatedUser.jobRequest("job-105", 4).put("shape", "daemon").put("urgency", "prod");
    expect(201, user.submit("c2", service.put("apart", true).put("guess_s", 0.0)));
    expect(201, user.submit("c0", SimulatedUser.jobRequest("job-106", 40).put("urgency", "low")));
    // Needs more than one entity's share of the team's limit, so that quota shares are transferred.
    expect(201, user.submit("c0", SimulatedUser.jobRequest("job-108", 8).put("crew", "blue")));
  }

  private void createKubernetesObjects() {
    for (String name : new String[] {"web", "old-web"}) {
      expect(201, kubernetes.send("c1", "POST", deploymentsPath(), deployment(name)).status());
    }
    expect(201, kubernetes.send("c0", "POST", jobsPath(), kubernetesJob()).status());
    runAndRecord(5);
    expect(200, kubernetes.send("c2", "DELETE", deploymentsPath() + "/old-web", null).status());
  }

  /** The cloud fails rental requests without a definite outcome, so they stay open. */
  private void leaveRentalRequestsOpen() {
    cluster.cloud().setUnavailable(true);
    expect(201, user.submit("c0", SimulatedUser.jobRequest("job-107", 100).put("crew", "red")));
  }

  static String deploymentsPath() {
    return "/apis/apps/v1/namespaces/red/deployments";
  }

  static String jobsPath() {
    return "/apis/batch/v1/namespaces/red/jobs";
  }

  private static String template(String restart) {
    return """
        {"metadata":{"labels":{"app":"scan"}},"spec":{"restartPolicy":"%s","containers":[
        {"name":"main","image":"img","resources":{"requests":{"cpu":"1","memory":"1G"}}}]}}"""
        .formatted(restart);
  }

  private static String deployment(String name) {
    return """
        {"apiVersion":"apps/v1","kind":"Deployment","metadata":{"name":"%s"},"spec":{"replicas":2,
        "selector":{"matchLabels":{"app":"scan"}},"template":%s}}"""
        .formatted(name, template("Always"));
  }

  private static String kubernetesJob() {
    return """
        {"apiVersion":"batch/v1","kind":"Job","metadata":{"name":"scan","labels":{"app":"scan"},
        "annotations":{"violetrail.io/estimate":"20s"}},
        "spec":{"completions":3,"parallelism":3,"template":%s}}"""
        .formatted(template("Never"));
  }

  private void put(String path, String json) {
    HttpClient.ClientResponse reply =
        user.send("c1", "PUT", path, json.getBytes(StandardCharsets.UTF_8));
    expect(200, reply.status());
  }

  private void post(String path, ObjectNode body, int expectedStatus) {
    var reply =
        cluster.sendRequest(
            "operator",
            -1,
            ClusterSimulation.apiAddress("c0"),
            "POST",
            path,
            KubernetesJson.toBytes(body),
            10);
    cluster.runUntil(15, reply::isDone);
    expect(expectedStatus, reply.join().status());
  }

  private static void expect(int expectedStatus, int actualStatus) {
    if (expectedStatus != actualStatus) {
      throw new IllegalStateException(
          "expected status " + expectedStatus + ", received " + actualStatus);
    }
  }

  private void runAndRecord(double seconds) {
    double end = cluster.nowSeconds() + seconds;
    while (cluster.nowSeconds() < end) {
      cluster.runFor(STEP_SECONDS);
      cluster
          .stateService()
          .keysWithPrefix("")
          .forEach(
              key ->
                  rows.merge(key, cluster.stateService().findValue(key), RecordedRun::longerValue));
    }
  }

  private static JsonNode longerValue(JsonNode kept, JsonNode next) {
    return next.toString().length() >= kept.toString().length() ? next : kept;
  }
}
