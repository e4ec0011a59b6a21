package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Options;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.KubernetesTestClient;
import io.violetrail.fakes.KubernetesTestClient.Reply;
import io.violetrail.fakes.KubernetesTestClient.WatchEvents;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Jobs and Deployments of the Kubernetes API, also through failures of their controllers. */
class KubernetesApiTest extends SimulationTestBase {
  private static final String JOBS = "/apis/batch/v1/namespaces/red/jobs";
  private static final String DEPLOYMENTS = "/apis/apps/v1/namespaces/red/deployments";
  private final KubernetesTestClient client = new KubernetesTestClient(simulation);

  KubernetesApiTest() {
    super(5);
  }

  private ClusterSimulation startWithKubernetes() {
    simulation.setKubernetesEnabled(true);
    return simulation.startAllControllers();
  }

  private static String podTemplate(String restart) {
    return """
        {"metadata":{"labels":{"app":"scan"}},"spec":{"restartPolicy":"%s","containers":[
        {"name":"main","image":"img","resources":{"requests":{"cpu":"1","memory":"1G"}}}]}}"""
        .formatted(restart);
  }

  private static String jobManifest(String name, int tasks) {
    return """
        {"apiVersion":"batch/v1","kind":"Job","metadata":{"name":"%s","labels":{"app":"scan"},
        "annotations":{"violetrail.io/estimate":"20s"}},
        "spec":{"completions":%d,"parallelism":%d,"template":%s}}"""
        .formatted(name, tasks, tasks, podTemplate("Never"));
  }

  private static String deploymentManifest(String name, int replicas, String image) {
    return """
        {"apiVersion":"apps/v1","kind":"Deployment","metadata":{"name":"%s"},"spec":{"replicas":%d,
        "selector":{"matchLabels":{"app":"scan"}},"strategy":{"rollingUpdate":{"maxSurge":1,
        "maxUnavailable":1}},"template":%s}}"""
        .formatted(name, replicas, podTemplate("Always").replace("\"img\"", "\"" + image + "\""));
  }

  private String conditionType(String controller, String path) {
    JsonNode body = client.get(controller, path).body();
    return body.path("status").path("conditions").path(0).path("type").asText();
  }

  private static ObjectNode withField(String json, String pointer, String field, String value)
      throws Exception {
    ObjectNode manifest = KubernetesJson.parse(json.getBytes(StandardCharsets.UTF_8));
    JsonNode target = pointer.isEmpty() ? manifest : manifest.at(pointer);
    ((ObjectNode) target)
        .set(
            field,
            KubernetesJson.parse(("{\"v\":" + value + "}").getBytes(StandardCharsets.UTF_8))
                .get("v"));
    return manifest;
  }

  /** One random job, written as a Kubernetes manifest and as a native submission. */
  private record JobPair(String manifest, ObjectNode message) {}

  private static JobPair drawJobPair(int number, Random random) {
    int tasks = 1 + random.nextInt(12);
    boolean gang = random.nextInt(3) == 0;
    double cpu = 0.5 * (1 + random.nextInt(6));
    int memoryGb = 1 + random.nextInt(4);
    String urgency = List.of("high", "normal", "low").get(random.nextInt(3));
    int estimate = 5 + random.nextInt(30);
    int deadline = 60 + random.nextInt(200);
    String zone = random.nextInt(3) == 0 ? "a" : null;
    ObjectNode message =
        SimulatedUser.jobRequest("job-0", tasks).put("jobclass", "urgent").put("urgency", urgency);
    message
        .put("shape", gang ? "ensemble" : "batch")
        .put("cores", cpu)
        .put("mem_gb", (double) memoryGb);
    message.put("guess_s", (double) estimate).put("due_s", (double) deadline).put("yard", zone);
    message.put("pull_gb", 0.25).put("loaners", number % 2 == 0).put("bundle", "img-" + number % 3);
    String manifest =
        """
        {"apiVersion":"batch/v1","kind":"Job","metadata":{"name":"pair-%d","annotations":{
        "violetrail.io/request-id":"r%d","violetrail.io/class":"urgent","violetrail.io/gang":"%s",
        "violetrail.io/estimate":"%ds","violetrail.io/deadline":"%ds",
        "violetrail.io/image-size":"250M","violetrail.io/spot":"%s"}},
        "spec":{"completions":%d,"parallelism":%d,"template":{"spec":{"restartPolicy":"OnFailure",
        "priorityClassName":"violetrail-%s",%s"containers":[{"name":"c","image":"img-%d",
        "resources":{"requests":{"cpu":"%dm","memory":"%dG"}}}]}}}}"""
            .formatted(
                number,
                number,
                gang,
                estimate,
                deadline,
                number % 2 == 0,
                tasks,
                tasks,
                urgency,
                zone == null ? "" : "\"nodeSelector\":{\"topology.kubernetes.io/zone\":\"a\"},",
                number % 3,
                (int) (cpu * 1000),
                memoryGb);
    return new JobPair(manifest, message);
  }

  /**
   * Submits the same jobs to two simulations with one seed, as Kubernetes manifests to one and as
   * native submissions to the other. Every launch must take place at the same time on the same
   * machine, and the same rows must be stored for each job.
   */
  @Test
  void kubernetesJobAndNativeJobAreScheduledIdentically() throws Exception {
    for (int seed = 1; seed <= 4; seed++) {
      ClusterSimulation kubernetesSimulation = new ClusterSimulation(3, seed);
      kubernetesSimulation.setKubernetesEnabled(true);
      kubernetesSimulation.startAllControllers();
      ClusterSimulation nativeSimulation = new ClusterSimulation(3, seed).startAllControllers();
      Random random = new Random(seed);
      int jobs = 25;
      for (int i = 0; i < jobs; i++) {
        JobPair drawn = drawJobPair(i, random);
        KubernetesTestClient.Reply reply =
            new KubernetesTestClient(kubernetesSimulation)
                .send(ClusterSimulation.controllerName(i % 3), "POST", JOBS, drawn.manifest());
        assertEquals(201, reply.status(), reply.body().toString());
        // The one native job that was claimed together with the object's row.
        Set<String> claims =
            new TreeSet<>(kubernetesSimulation.stateService().keysWithPrefix("job/"));
        claims.removeAll(nativeSimulation.stateService().keysWithPrefix("job/"));
        assertEquals(1, claims.size());
        String id = claims.iterator().next().substring("job/".length());
        assertEquals(
            201,
            new SimulatedUser(nativeSimulation)
                .submit(
                    ClusterSimulation.controllerName(i % 3), drawn.message().put("name_id", id)));
        assertEquals(kubernetesSimulation.nowSeconds(), nativeSimulation.nowSeconds(), 1e-9);
      }
      kubernetesSimulation.runFor(400);
      nativeSimulation.runFor(400);
      assertTrue(
          nativeSimulation.launches().size() > 50,
          "launched " + nativeSimulation.launches().size());
      assertEquals(nativeSimulation.launches(), kubernetesSimulation.launches());
      assertEquals(
          nativeSimulation.cloud().machinesByRequest().keySet(),
          kubernetesSimulation.cloud().machinesByRequest().keySet());
      TreeMap<String, String> stored = storedRows(nativeSimulation);
      assertEquals(stored, storedRows(kubernetesSimulation));
    }
  }

  private static TreeMap<String, String> storedRows(ClusterSimulation simulation) {
    TreeMap<String, String> rows = new TreeMap<>();
    for (String prefix : List.of("job/", "end/", "c/slice/")) {
      simulation
          .stateService()
          .keysWithPrefix(prefix)
          .forEach(key -> rows.put(key, simulation.stateService().findValue(key).toString()));
    }
    return rows;
  }

  @Test
  void unsupportedFieldsAreRejectedByPathAndNotStored() throws Exception {
    startWithKubernetes();
    String validManifest = jobManifest("j", 2);
    record RejectedManifest(ObjectNode manifest, int code, String path) {}

    List<RejectedManifest> rejectedManifests = new ArrayList<>();
    String pod = "/spec/template/spec";
    String container = pod + "/containers/0";
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, container, "command", "[\"x\"]"),
            422,
            "spec.template.spec.containers[0].command"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, container, "colour", "1"),
            422,
            "spec.template.spec.containers[0].colour"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, pod, "tolerations", "[]"),
            422,
            "spec.template.spec.tolerations"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, "/spec", "ttlSecondsAfterFinished", "1"),
            422,
            "spec.ttlSecondsAfterFinished"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, "/spec", "parallelism", "1"), 422, "spec.parallelism"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, "/spec", "completions", "\"2\""), 400, "spec.completions"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, "/spec", "completions", "0"), 422, "spec.completions"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, pod, "restartPolicy", "\"Always\""),
            422,
            "spec.template.spec.restartPolicy"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, container + "/resources/requests", "cpu", "\"1 core\""),
            422,
            "spec.template.spec.containers[0].resources.requests.cpu"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, container + "/resources/requests", "ephemeral-storage", "1"),
            422,
            "spec.template.spec.containers[0].resources.requests.ephemeral-storage"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, container + "/resources", "limits", "{\"cpu\":2}"),
            422,
            "spec.template.spec.containers[0].resources.limits.cpu"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, "/metadata/annotations", "violetrail.io/estimate", "\"soon\""),
            422,
            "metadata.annotations[violetrail.io/estimate]"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, "/metadata/annotations", "violetrail.io/estimates", "\"1s\""),
            422,
            "metadata.annotations[violetrail.io/estimates]"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, "/metadata", "finalizers", "[\"x\"]"),
            422,
            "metadata.finalizers"));
    rejectedManifests.add(
        new RejectedManifest(
            withField(validManifest, "/metadata", "namespace", "\"blue\""),
            422,
            "metadata.namespace"));
    rejectedManifests.add(
        new RejectedManifest(withField(validManifest, "", "extra", "{}"), 422, "extra"));
    for (RejectedManifest rejected : rejectedManifests) {
      Reply reply = client.send("c0", "POST", JOBS, rejected.manifest().toString());
      String replyText = reply.body().toString();
      assertEquals(rejected.code(), reply.status(), replyText);
      assertEquals("Status", reply.body().path("kind").asText());
      assertEquals(rejected.path(), reply.body().at("/details/causes/0/field").asText(), replyText);
    }
    String duplicateField =
        validManifest.replace("\"completions\":2", "\"completions\":2,\"completions\":3");
    Reply reply = client.send("c0", "POST", JOBS, duplicateField);
    assertEquals(400, reply.status());
    assertEquals("spec.completions", reply.body().at("/details/causes/0/field").asText());
    assertEquals(400, client.send("c0", "POST", JOBS, "{").status());
    assertEquals(
        404, client.send("c0", "POST", JOBS.replace("red", "blue"), validManifest).status());
    assertEquals(400, client.send("c0", "POST", JOBS + "?dryRun=All", validManifest).status());
    assertEquals(
        422, client.send("c0", "POST", JOBS, validManifest.replace("\"1G\"", "\"900G\"")).status());
    assertEquals(
        413, client.send("c0", "POST", JOBS, "{\"a\":\"" + "x".repeat(70_000) + "\"}").status());
    assertEquals(Set.of(), simulation.stateService().keysWithPrefix("k8s/"));
    assertEquals(Set.of(), simulation.stateService().keysWithPrefix("job/"));
    assertEquals(201, client.send("c0", "POST", JOBS, validManifest).status());
  }

  @Test
  void objectSurvivesFailoverOfTheControllerThatAcceptedIt() {
    startWithKubernetes();
    assertEquals(201, client.send("c0", "POST", JOBS, jobManifest("j", 6)).status());
    simulation.killController("c0");
    assertEquals(200, client.get("c1", JOBS + "/j").status());
    simulation.runUntil(120, () -> conditionType("c2", JOBS + "/j").equals("Complete"));
    assertEquals(6, client.get("c1", JOBS + "/j").body().at("/status/succeeded").asInt());
    assertEquals(1, simulation.stateService().keysWithPrefix("job/").size());
    Reply pods = client.get("c1", "/api/v1/namespaces/red/pods?labelSelector=job-name=j");
    assertEquals(6, pods.body().path("items").size(), pods.body().toString());
    assertEquals(409, client.send("c1", "POST", JOBS, jobManifest("j", 6)).status());
  }

  @Test
  void repeatedCreationWithRequestIdIsIdempotent() {
    startWithKubernetes();
    String manifest =
        jobManifest("x", 1)
            .replace("\"name\":\"x\"", "\"generateName\":\"scan-\"")
            .replace("\"annotations\":{", "\"annotations\":{\"violetrail.io/request-id\":\"7\",");
    Reply first = client.send("c1", "POST", JOBS, manifest);
    // The client lost the reply and repeats the request at another controller.
    Reply second = client.send("c2", "POST", JOBS, manifest);
    assertEquals(201, first.status());
    assertEquals(200, second.status(), second.body().toString());
    assertEquals(
        first.body().at("/metadata/uid").asText(), second.body().at("/metadata/uid").asText());
    assertEquals(1, simulation.stateService().keysWithPrefix("job/").size());
    assertEquals(1, simulation.stateService().keysWithPrefix("k8s/job/").size());
  }

  @Test
  void deletionDuringFailoverStopsTasksAndIsFinal() {
    startWithKubernetes();
    simulation.cloud().setTaskDurationSeconds(500);
    assertEquals(201, client.send("c0", "POST", JOBS, jobManifest("j", 4)).status());
    simulation.runUntil(60, () -> activeTaskCount() == 4);
    simulation.killController("c0");
    assertEquals(200, client.send("c1", "DELETE", JOBS + "/j", null).status());
    assertEquals(404, client.get("c2", JOBS + "/j").status());
    simulation.runUntil(40, () -> activeTaskCount() == 0);
    simulation.startController("c0");
    simulation.runFor(30);
    assertEquals(404, client.get("c0", JOBS + "/j").status());
    assertEquals(0, activeTaskCount());
    assertEquals(
        Set.of(),
        simulation.stateService().keysWithPrefix("k8s/"),
        "no row of the deleted object is left");
    assertEquals(201, client.send("c2", "POST", JOBS, jobManifest("j", 4)).status());
  }

  private int activeTaskCount() {
    return simulation.cloud().workers().values().stream()
        .mapToInt(FakeWorker::activeTaskCount)
        .sum();
  }

  @Test
  void foregroundDeletionWaitsForTheTasks() {
    startWithKubernetes();
    simulation.cloud().setTaskDurationSeconds(500);
    client.send("c0", "POST", JOBS, jobManifest("j", 2));
    simulation.runUntil(60, () -> activeTaskCount() == 2);
    Reply reply = client.send("c1", "DELETE", JOBS + "/j?propagationPolicy=Foreground", null);
    assertTrue(reply.body().at("/metadata").has("deletionTimestamp"), reply.body().toString());
    assertEquals(409, client.send("c1", "POST", JOBS, jobManifest("j", 2)).status());
    simulation.runUntil(30, () -> client.get("c2", JOBS + "/j").status() == 404);
    assertEquals(0, activeTaskCount());
    assertEquals(
        422, client.send("c1", "DELETE", JOBS + "/k?propagationPolicy=Orphan", null).status());
  }

  @Test
  void watchDeliversEveryVersionOnceInOrderThroughFailover() {
    startWithKubernetes();
    final WatchEvents events =
        client.watch("c1", JOBS + "?watch=true&labelSelector=app%3Dscan".replace("%3D", "="));
    client.send("c0", "POST", JOBS, jobManifest("j", 4));
    simulation.runFor(6);
    simulation.killController("c0");
    simulation.runUntil(120, () -> conditionType("c2", JOBS + "/j").equals("Complete"));
    client.send("c2", "DELETE", JOBS + "/j", null);
    simulation.runFor(5);
    List<String> types = new ArrayList<>();
    TreeSet<Long> versions = new TreeSet<>();
    long previousVersion = 0;
    for (JsonNode event : events.events) {
      long version = event.at("/object/metadata/resourceVersion").asLong();
      assertTrue(version > previousVersion, "event out of order or repeated: " + events.events);
      previousVersion = version;
      versions.add(version);
      types.add(event.path("type").asText());
    }
    assertEquals("ADDED", types.get(0));
    assertEquals("DELETED", types.get(types.size() - 1));
    assertEquals(1, types.stream().filter("DELETED"::equals).count());
    // A watch resumed from the middle delivers the remaining events and no others.
    long middle = versions.stream().skip(1).findFirst().orElseThrow();
    WatchEvents resumedEvents = client.watch("c2", JOBS + "?watch=1&resourceVersion=" + middle);
    simulation.runFor(1);
    assertEquals(events.events.size() - 2, resumedEvents.events.size());
    // A resource version that is too old gets an explicit error instead of a gap in the events.
    simulation.startController("c0");
    simulation.runFor(8);
    WatchEvents expiredEvents = client.watch("c0", JOBS + "?watch=1&resourceVersion=" + middle);
    assertEquals(410, expiredEvents.events.get(0).at("/object/code").asInt());
    assertTrue(expiredEvents.ended);
  }

  @Test
  void rollingUpdateKeepsItsBoundsThroughFailover() {
    startWithKubernetes();
    assertEquals(
        201, client.send("c0", "POST", DEPLOYMENTS, deploymentManifest("d", 4, "one")).status());
    simulation.runUntil(60, () -> readyReplicaCount("c1") == 4);
    Reply updateReply =
        client.send("c1", "PUT", DEPLOYMENTS + "/d", deploymentManifest("d", 4, "two"));
    assertEquals(200, updateReply.status(), updateReply.body().toString());
    simulation.runFor(1);
    simulation.killController("c0");
    int fewestActive = 4;
    int mostActive = 0;
    for (int i = 0;
        i < 900
            && !(readyReplicaCount("c2") == 4
                && updatedReplicaCount("c2") == 4
                && activeTaskCount() == 4);
        i++) {
      fewestActive = Math.min(fewestActive, activeTaskCount());
      mostActive = Math.max(mostActive, activeTaskCount());
      simulation.runFor(0.2);
    }
    assertEquals(4, updatedReplicaCount("c2"));
    assertTrue(fewestActive >= 3, "at most one replica may be missing, running: " + fewestActive);
    assertTrue(mostActive <= 5, "at most one extra replica may run, running: " + mostActive);
    String scale =
        "{\"apiVersion\":\"autoscaling/v1\",\"kind\":\"Scale\",\"spec\":{\"replicas\":1}}";
    assertEquals(200, client.send("c2", "PUT", DEPLOYMENTS + "/d/scale", scale).status());
    simulation.runUntil(60, () -> activeTaskCount() == 1 && readyReplicaCount("c1") == 1);
    client.send("c2", "DELETE", DEPLOYMENTS + "/d", null);
    simulation.runUntil(60, () -> activeTaskCount() == 0);
  }

  private int readyReplicaCount(String controller) {
    return client.get(controller, DEPLOYMENTS + "/d").body().at("/status/readyReplicas").asInt();
  }

  private int updatedReplicaCount(String controller) {
    return client.get(controller, DEPLOYMENTS + "/d").body().at("/status/updatedReplicas").asInt();
  }

  @Test
  void updateWithStaleResourceVersionIsRejected() throws Exception {
    startWithKubernetes();
    client.send("c0", "POST", DEPLOYMENTS, deploymentManifest("d", 2, "one"));
    simulation.runUntil(60, () -> readyReplicaCount("c1") == 2);
    JsonNode read = client.get("c1", DEPLOYMENTS + "/d").body();
    String version = read.at("/metadata/resourceVersion").asText();
    ObjectNode firstUpdate =
        withField(
            deploymentManifest("d", 3, "one"),
            "/metadata",
            "resourceVersion",
            "\"" + version + "\"");
    ObjectNode staleUpdate =
        withField(
            deploymentManifest("d", 5, "one"),
            "/metadata",
            "resourceVersion",
            "\"" + version + "\"");
    assertEquals(
        200, client.send("c1", "PUT", DEPLOYMENTS + "/d", firstUpdate.toString()).status());
    Reply staleReply = client.send("c2", "PUT", DEPLOYMENTS + "/d", staleUpdate.toString());
    assertEquals(409, staleReply.status());
    assertEquals("Conflict", staleReply.body().path("reason").asText());
    simulation.runUntil(60, () -> readyReplicaCount("c2") == 3);
  }

  @Test
  void suspendedJobRunsExactlyOnceAfterResume() {
    startWithKubernetes();
    String suspended =
        jobManifest("j", 3).replace("\"completions\"", "\"suspend\":true,\"completions\"");
    assertEquals(201, client.send("c0", "POST", JOBS, suspended).status());
    simulation.runFor(5);
    assertEquals(Set.of(), simulation.stateService().keysWithPrefix("job/"));
    assertEquals("Suspended", conditionType("c1", JOBS + "/j"));
    assertEquals(200, client.send("c1", "PUT", JOBS + "/j", jobManifest("j", 3)).status());
    simulation.killController("c0");
    simulation.runUntil(120, () -> conditionType("c2", JOBS + "/j").equals("Complete"));
    assertEquals(1, simulation.stateService().keysWithPrefix("job/").size());
    assertEquals(3, simulation.launches().size());
    assertEquals(422, client.send("c1", "PUT", JOBS + "/j", jobManifest("j", 4)).status());
  }

  @Test
  void jobFailsAtItsBackoffLimitOrActiveDeadline() {
    startWithKubernetes();
    String alwaysFailing =
        jobManifest("h", 1).replace("\"completions\"", "\"backoffLimit\":1,\"completions\"");
    client.send("c0", "POST", JOBS, alwaysFailing);
    simulation
        .alwaysFailingJobs()
        .add(
            simulation
                .stateService()
                .keysWithPrefix("job/")
                .iterator()
                .next()
                .substring("job/".length()));
    simulation.cloud().setTaskDurationSeconds(500);
    String slow =
        jobManifest("s", 1)
            .replace("\"completions\"", "\"activeDeadlineSeconds\":20,\"completions\"");
    client.send("c1", "POST", JOBS, slow);
    simulation.runUntil(200, () -> conditionType("c2", JOBS + "/h").equals("Failed"));
    simulation.runUntil(60, () -> conditionType("c2", JOBS + "/s").equals("Failed"));
    assertEquals(
        "BackoffLimitExceeded",
        client.get("c1", JOBS + "/h").body().at("/status/conditions/0/reason").asText());
    assertEquals(
        "DeadlineExceeded",
        client.get("c1", JOBS + "/s").body().at("/status/conditions/0/reason").asText());
    simulation.runUntil(20, () -> activeTaskCount() == 0);
  }

  @Test
  void jobIsTracedEndToEndWithinSpanLimit() {
    startWithKubernetes();
    assertEquals(404, new SimulatedUser(simulation).send("c0", "GET", "/traces", null).status());
    simulation.killController("c0");
    simulation.setOptions(
        new Options(null, Options.DEFAULTS.maxIdleSeconds(), 8, null, 6, false, false));
    simulation.startController("c0");
    simulation.runUntil(
        30, () -> new SimulatedUser(simulation).send("c0", "GET", "/ready", null).status() == 200);
    for (int i = 0; i < 3; i++) {
      client.send("c0", "POST", JOBS, jobManifest("j" + i, 1));
    }
    simulation.runUntil(120, () -> conditionType("c0", JOBS + "/j2").equals("Complete"));
    HttpClient.ClientResponse traces =
        new SimulatedUser(simulation).send("c0", "GET", "/traces", null);
    String text = new String(traces.body(), StandardCharsets.UTF_8);
    assertEquals(6, text.lines().count(), text);
    assertTrue(text.contains("\"name\":\"run\""), text);
    assertTrue(text.contains("\"violetrail.verdict\":\"DONE\""), text);
    assertEquals(200, traces.status());
  }

  @Test
  void submissionsGet503WhileMachineTypesAreUnknown() {
    // Guards against a permanent rejection: no job fits while the machine types are unknown, but a
    // native job may wait for them.
    simulation.cloud().setUnavailable(true);
    startWithKubernetes();
    assertEquals(503, client.send("c0", "POST", JOBS, jobManifest("j", 1)).status());
    assertEquals(
        503, client.send("c0", "POST", DEPLOYMENTS, deploymentManifest("d", 1, "i")).status());
    simulation.cloud().setUnavailable(false);
    simulation.runFor(5);
    assertEquals(201, client.send("c0", "POST", JOBS, jobManifest("j", 1)).status());
  }

  @Test
  void listsSupportPagingAndLabelSelectors() {
    startWithKubernetes();
    for (int i = 0; i < 7; i++) {
      client.send(ClusterSimulation.controllerName(i % 3), "POST", JOBS, jobManifest("j" + i, 1));
    }
    Set<String> names = new TreeSet<>();
    String next = "";
    int pages = 0;
    do {
      Reply page =
          client.get("c1", JOBS + "?limit=3" + (next.isEmpty() ? "" : "&continue=" + next));
      page.body().path("items").forEach(item -> names.add(item.at("/metadata/name").asText()));
      next = page.body().at("/metadata/continue").asText();
      pages++;
    } while (!next.isEmpty());
    assertEquals(3, pages);
    assertEquals(7, names.size());
    assertEquals(0, client.get("c2", JOBS + "?labelSelector=app=none").body().path("items").size());
    assertEquals(400, client.get("c2", JOBS + "?labelSelector=app=a=b").status());
    assertEquals(400, client.get("c2", JOBS + "?continue=xyz").status());
    assertFalse(client.get("c2", "/apis/batch/v1").body().path("resources").isEmpty());
    assertEquals(404, client.get("c2", "/apis/batch/v2/jobs").status());
    assertEquals(
        405, client.send("c2", "DELETE", "/api/v1/namespaces/red/pods/j0-0", null).status());
  }

  @Test
  void lateCreationWriteDoesNotRestoreDeletedObject() {
    startWithKubernetes();
    simulation.stateService().lateTransactionSeconds().put("c0", 9.0);
    // The creating transaction gets no reply and is applied 9 s late; its retry is applied at once.
    simulation.runAfter(0.5, simulation.stateService().lateTransactionSeconds()::clear);
    assertEquals(
        201, client.send("c0", "POST", DEPLOYMENTS, deploymentManifest("d", 2, "one")).status());
    assertEquals(200, client.send("c1", "DELETE", DEPLOYMENTS + "/d", null).status());
    simulation.runFor(12);
    assertEquals(404, client.send("c2", "GET", DEPLOYMENTS + "/d", null).status());
    assertEquals(
        201, client.send("c0", "POST", DEPLOYMENTS, deploymentManifest("d", 2, "one")).status());
  }
}
