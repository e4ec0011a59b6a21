package io.violetrail.stories;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Options;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.KubeClient;
import io.violetrail.fakes.KubeClient.Events;
import io.violetrail.fakes.KubeClient.Reply;
import io.violetrail.fakes.User;
import io.violetrail.fakes.World;
import io.violetrail.net.Http;
import io.violetrail.wire.kubernetes.KubeJson;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Jobs and Deployments of the Kubernetes API, through failures of what keeps them. */
class KubernetesTest {
  private static final String JOBS = "/apis/batch/v1/namespaces/red/jobs";
  private static final String DEPLOYMENTS = "/apis/apps/v1/namespaces/red/deployments";
  private final World world = new World(3, 5);
  private final KubeClient client = new KubeClient(world);

  @AfterEach
  void noTaskRanTwice() {
    assertEquals(List.of(), world.broken);
  }

  private World up() {
    world.kubernetes = true;
    return world.up();
  }

  private static String pod(String restart) {
    return """
        {"metadata":{"labels":{"app":"scan"}},"spec":{"restartPolicy":"%s","containers":[
        {"name":"main","image":"img","resources":{"requests":{"cpu":"1","memory":"1G"}}}]}}"""
        .formatted(restart);
  }

  private static String job(String name, int tasks) {
    return """
        {"apiVersion":"batch/v1","kind":"Job","metadata":{"name":"%s","labels":{"app":"scan"},
        "annotations":{"violetrail.io/estimate":"20s"}},
        "spec":{"completions":%d,"parallelism":%d,"template":%s}}"""
        .formatted(name, tasks, tasks, pod("Never"));
  }

  private static String deployment(String name, int replicas, String image) {
    return """
        {"apiVersion":"apps/v1","kind":"Deployment","metadata":{"name":"%s"},"spec":{"replicas":%d,
        "selector":{"matchLabels":{"app":"scan"}},"strategy":{"rollingUpdate":{"maxSurge":1,
        "maxUnavailable":1}},"template":%s}}"""
        .formatted(name, replicas, pod("Always").replace("\"img\"", "\"" + image + "\""));
  }

  private String condition(String node, String path) {
    JsonNode body = client.get(node, path).body();
    return body.path("status").path("conditions").path(0).path("type").asText();
  }

  private static ObjectNode with(String json, String pointer, String field, String value)
      throws Exception {
    ObjectNode m = KubeJson.parse(json.getBytes(StandardCharsets.UTF_8));
    JsonNode at = pointer.isEmpty() ? m : m.at(pointer);
    ((ObjectNode) at)
        .set(
            field,
            KubeJson.parse(("{\"v\":" + value + "}").getBytes(StandardCharsets.UTF_8)).get("v"));
    return m;
  }

  /** What a pair of jobs is made of, drawn once and written both ways. */
  private record Drawn(String manifest, ObjectNode message) {}

  private static Drawn draw(int i, Random random) {
    int tasks = 1 + random.nextInt(12);
    boolean gang = random.nextInt(3) == 0;
    double cpu = 0.5 * (1 + random.nextInt(6));
    int gb = 1 + random.nextInt(4);
    String urgency = List.of("high", "normal", "low").get(random.nextInt(3));
    int estimate = 5 + random.nextInt(30);
    int deadline = 60 + random.nextInt(200);
    String zone = random.nextInt(3) == 0 ? "a" : null;
    ObjectNode m = User.job("job-0", tasks).put("jobclass", "urgent").put("urgency", urgency);
    m.put("shape", gang ? "ensemble" : "batch").put("cores", cpu).put("mem_gb", (double) gb);
    m.put("guess_s", (double) estimate).put("due_s", (double) deadline).put("yard", zone);
    m.put("pull_gb", 0.25).put("loaners", i % 2 == 0).put("bundle", "img-" + i % 3);
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
                i,
                i,
                gang,
                estimate,
                deadline,
                i % 2 == 0,
                tasks,
                tasks,
                urgency,
                zone == null ? "" : "\"nodeSelector\":{\"topology.kubernetes.io/zone\":\"a\"},",
                i % 3,
                (int) (cpu * 1000),
                gb);
    return new Drawn(manifest, m);
  }

  /**
   * The hard case: a Job and its equal as a native job. Two worlds from one seed, one given
   * manifests and one messages: every launch is at the same moment on the same machine, and the
   * same is stored of each job.
   */
  @Test
  void aJobIsTheSameJobWhicheverWayItComes() throws Exception {
    for (int seed = 1; seed <= 4; seed++) {
      World theirs = new World(3, seed);
      theirs.kubernetes = true;
      theirs.up();
      World ours = new World(3, seed).up();
      Random random = new Random(seed);
      int jobs = 25;
      for (int i = 0; i < jobs; i++) {
        Drawn drawn = draw(i, random);
        KubeClient.Reply reply =
            new KubeClient(theirs).send(World.name(i % 3), "POST", JOBS, drawn.manifest());
        assertEquals(201, reply.code(), reply.body().toString());
        // The one native job whose claim came with the object's row.
        Set<String> claims = new TreeSet<>(theirs.state.keys("job/"));
        claims.removeAll(ours.state.keys("job/"));
        assertEquals(1, claims.size());
        String id = claims.iterator().next().substring("job/".length());
        assertEquals(
            201, new User(ours).submit(World.name(i % 3), drawn.message().put("name_id", id)));
        assertEquals(theirs.now(), ours.now(), 1e-9);
      }
      theirs.run(400);
      ours.run(400);
      assertTrue(ours.launches.size() > 50, "launched " + ours.launches.size());
      assertEquals(ours.launches, theirs.launches);
      assertEquals(ours.cloud.hires.keySet(), theirs.cloud.hires.keySet());
      TreeMap<String, String> stored = rows(ours);
      assertEquals(stored, rows(theirs));
    }
  }

  private static TreeMap<String, String> rows(World world) {
    TreeMap<String, String> all = new TreeMap<>();
    for (String prefix : List.of("job/", "end/", "c/slice/")) {
      world.state.keys(prefix).forEach(k -> all.put(k, world.state.value(k).toString()));
    }
    return all;
  }

  @Test
  void whatIsNotTakenIsRefusedByItsPathAndNothingIsStored() throws Exception {
    up();
    String good = job("j", 2);
    record Bad(ObjectNode manifest, int code, String path) {}

    List<Bad> all = new ArrayList<>();
    String pod = "/spec/template/spec";
    String box = pod + "/containers/0";
    all.add(
        new Bad(
            with(good, box, "command", "[\"x\"]"),
            422,
            "spec.template.spec.containers[0].command"));
    all.add(
        new Bad(with(good, box, "colour", "1"), 422, "spec.template.spec.containers[0].colour"));
    all.add(new Bad(with(good, pod, "tolerations", "[]"), 422, "spec.template.spec.tolerations"));
    all.add(
        new Bad(
            with(good, "/spec", "ttlSecondsAfterFinished", "1"),
            422,
            "spec.ttlSecondsAfterFinished"));
    all.add(new Bad(with(good, "/spec", "parallelism", "1"), 422, "spec.parallelism"));
    all.add(new Bad(with(good, "/spec", "completions", "\"2\""), 400, "spec.completions"));
    all.add(new Bad(with(good, "/spec", "completions", "0"), 422, "spec.completions"));
    all.add(
        new Bad(
            with(good, pod, "restartPolicy", "\"Always\""),
            422,
            "spec.template.spec.restartPolicy"));
    all.add(
        new Bad(
            with(good, box + "/resources/requests", "cpu", "\"1 core\""),
            422,
            "spec.template.spec.containers[0].resources.requests.cpu"));
    all.add(
        new Bad(
            with(good, box + "/resources/requests", "ephemeral-storage", "1"),
            422,
            "spec.template.spec.containers[0].resources.requests.ephemeral-storage"));
    all.add(
        new Bad(
            with(good, box + "/resources", "limits", "{\"cpu\":2}"),
            422,
            "spec.template.spec.containers[0].resources.limits.cpu"));
    all.add(
        new Bad(
            with(good, "/metadata/annotations", "violetrail.io/estimate", "\"soon\""),
            422,
            "metadata.annotations[violetrail.io/estimate]"));
    all.add(
        new Bad(
            with(good, "/metadata/annotations", "violetrail.io/estimates", "\"1s\""),
            422,
            "metadata.annotations[violetrail.io/estimates]"));
    all.add(new Bad(with(good, "/metadata", "finalizers", "[\"x\"]"), 422, "metadata.finalizers"));
    all.add(new Bad(with(good, "/metadata", "namespace", "\"blue\""), 422, "metadata.namespace"));
    all.add(new Bad(with(good, "", "extra", "{}"), 422, "extra"));
    for (Bad bad : all) {
      Reply reply = client.send("c0", "POST", JOBS, bad.manifest().toString());
      String said = reply.body().toString();
      assertEquals(bad.code(), reply.code(), said);
      assertEquals("Status", reply.body().path("kind").asText());
      assertEquals(bad.path(), reply.body().at("/details/causes/0/field").asText(), said);
    }
    String twice = good.replace("\"completions\":2", "\"completions\":2,\"completions\":3");
    Reply reply = client.send("c0", "POST", JOBS, twice);
    assertEquals(400, reply.code());
    assertEquals("spec.completions", reply.body().at("/details/causes/0/field").asText());
    assertEquals(400, client.send("c0", "POST", JOBS, "{").code());
    assertEquals(404, client.send("c0", "POST", JOBS.replace("red", "blue"), good).code());
    assertEquals(400, client.send("c0", "POST", JOBS + "?dryRun=All", good).code());
    assertEquals(422, client.send("c0", "POST", JOBS, good.replace("\"1G\"", "\"900G\"")).code());
    assertEquals(
        413, client.send("c0", "POST", JOBS, "{\"a\":\"" + "x".repeat(70_000) + "\"}").code());
    assertEquals(Set.of(), world.state.keys("k8s/"));
    assertEquals(Set.of(), world.state.keys("job/"));
    assertEquals(201, client.send("c0", "POST", JOBS, good).code());
  }

  @Test
  void anObjectOutlivesTheControllerThatTookIt() {
    up();
    assertEquals(201, client.send("c0", "POST", JOBS, job("j", 6)).code());
    world.kill("c0");
    assertEquals(200, client.get("c1", JOBS + "/j").code());
    world.until(120, () -> condition("c2", JOBS + "/j").equals("Complete"));
    assertEquals(6, client.get("c1", JOBS + "/j").body().at("/status/succeeded").asInt());
    assertEquals(1, world.state.keys("job/").size());
    Reply pods = client.get("c1", "/api/v1/namespaces/red/pods?labelSelector=job-name=j");
    assertEquals(6, pods.body().path("items").size(), pods.body().toString());
    assertEquals(409, client.send("c1", "POST", JOBS, job("j", 6)).code());
  }

  @Test
  void aRepeatedCreationThatNamesItsRequestMakesOneJob() {
    up();
    String manifest =
        job("x", 1)
            .replace("\"name\":\"x\"", "\"generateName\":\"scan-\"")
            .replace("\"annotations\":{", "\"annotations\":{\"violetrail.io/request-id\":\"7\",");
    Reply first = client.send("c1", "POST", JOBS, manifest);
    // Its answer is lost, and another controller is asked again.
    Reply second = client.send("c2", "POST", JOBS, manifest);
    assertEquals(201, first.code());
    assertEquals(200, second.code(), second.body().toString());
    assertEquals(
        first.body().at("/metadata/uid").asText(), second.body().at("/metadata/uid").asText());
    assertEquals(1, world.state.keys("job/").size());
    assertEquals(1, world.state.keys("k8s/job/").size());
  }

  @Test
  void aDeletionDuringATakeoverEndsTheTasksAndTheObjectStaysGone() {
    up();
    world.cloud.runS = 500;
    assertEquals(201, client.send("c0", "POST", JOBS, job("j", 4)).code());
    world.until(60, () -> active() == 4);
    world.kill("c0");
    assertEquals(200, client.send("c1", "DELETE", JOBS + "/j", null).code());
    assertEquals(404, client.get("c2", JOBS + "/j").code());
    world.until(40, () -> active() == 0);
    world.start("c0");
    world.run(30);
    assertEquals(404, client.get("c0", JOBS + "/j").code());
    assertEquals(0, active());
    assertEquals(Set.of(), world.state.keys("k8s/"), "nothing is left of it");
    assertEquals(201, client.send("c2", "POST", JOBS, job("j", 4)).code());
  }

  private int active() {
    return world.cloud.workers.values().stream().mapToInt(FakeWorker::active).sum();
  }

  @Test
  void aDeletionInTheForegroundWaitsForTheTasks() {
    up();
    world.cloud.runS = 500;
    client.send("c0", "POST", JOBS, job("j", 2));
    world.until(60, () -> active() == 2);
    Reply reply = client.send("c1", "DELETE", JOBS + "/j?propagationPolicy=Foreground", null);
    assertTrue(reply.body().at("/metadata").has("deletionTimestamp"), reply.body().toString());
    assertEquals(409, client.send("c1", "POST", JOBS, job("j", 2)).code());
    world.until(30, () -> client.get("c2", JOBS + "/j").code() == 404);
    assertEquals(0, active());
    assertEquals(
        422, client.send("c1", "DELETE", JOBS + "/k?propagationPolicy=Orphan", null).code());
  }

  @Test
  void aWatchSeesEveryVersionOnceInOrderAcrossATakeover() {
    up();
    final Events events =
        client.watch("c1", JOBS + "?watch=true&labelSelector=app%3Dscan".replace("%3D", "="));
    client.send("c0", "POST", JOBS, job("j", 4));
    world.run(6);
    world.kill("c0");
    world.until(120, () -> condition("c2", JOBS + "/j").equals("Complete"));
    client.send("c2", "DELETE", JOBS + "/j", null);
    world.run(5);
    List<String> types = new ArrayList<>();
    TreeSet<Long> versions = new TreeSet<>();
    long before = 0;
    for (JsonNode e : events.all) {
      long version = e.at("/object/metadata/resourceVersion").asLong();
      assertTrue(version > before, "out of order, or twice: " + events.all);
      before = version;
      versions.add(version);
      types.add(e.path("type").asText());
    }
    assertEquals("ADDED", types.get(0));
    assertEquals("DELETED", types.get(types.size() - 1));
    assertEquals(1, types.stream().filter("DELETED"::equals).count());
    // Going on from the middle gives the rest, and no more.
    long middle = versions.stream().skip(1).findFirst().orElseThrow();
    Events rest = client.watch("c2", JOBS + "?watch=1&resourceVersion=" + middle);
    world.run(1);
    assertEquals(events.all.size() - 2, rest.all.size());
    // What is too old is said, not passed over.
    world.start("c0");
    world.run(8);
    Events old = client.watch("c0", JOBS + "?watch=1&resourceVersion=" + middle);
    assertEquals(410, old.all.get(0).at("/object/code").asInt());
    assertTrue(old.ended);
  }

  @Test
  void aDeploymentRollsWithinItsBoundsAlsoWhenItsOwnerDies() {
    up();
    assertEquals(201, client.send("c0", "POST", DEPLOYMENTS, deployment("d", 4, "one")).code());
    world.until(60, () -> ready("c1") == 4);
    Reply rolled = client.send("c1", "PUT", DEPLOYMENTS + "/d", deployment("d", 4, "two"));
    assertEquals(200, rolled.code(), rolled.body().toString());
    world.run(1);
    world.kill("c0");
    int fewest = 4;
    int most = 0;
    for (int i = 0; i < 900 && !(ready("c2") == 4 && updated("c2") == 4 && active() == 4); i++) {
      fewest = Math.min(fewest, active());
      most = Math.max(most, active());
      world.run(0.2);
    }
    assertEquals(4, updated("c2"));
    assertTrue(fewest >= 3, "no more than one is missing, there were " + fewest);
    assertTrue(most <= 5, "no more than one above, there were " + most);
    String scale =
        "{\"apiVersion\":\"autoscaling/v1\",\"kind\":\"Scale\",\"spec\":{\"replicas\":1}}";
    assertEquals(200, client.send("c2", "PUT", DEPLOYMENTS + "/d/scale", scale).code());
    world.until(60, () -> active() == 1 && ready("c1") == 1);
    client.send("c2", "DELETE", DEPLOYMENTS + "/d", null);
    world.until(60, () -> active() == 0);
  }

  private int ready(String node) {
    return client.get(node, DEPLOYMENTS + "/d").body().at("/status/readyReplicas").asInt();
  }

  private int updated(String node) {
    return client.get(node, DEPLOYMENTS + "/d").body().at("/status/updatedReplicas").asInt();
  }

  @Test
  void anUpdateOfAnOldVersionIsRefused() throws Exception {
    up();
    client.send("c0", "POST", DEPLOYMENTS, deployment("d", 2, "one"));
    world.until(60, () -> ready("c1") == 2);
    JsonNode read = client.get("c1", DEPLOYMENTS + "/d").body();
    String version = read.at("/metadata/resourceVersion").asText();
    ObjectNode mine =
        with(deployment("d", 3, "one"), "/metadata", "resourceVersion", "\"" + version + "\"");
    ObjectNode theirs =
        with(deployment("d", 5, "one"), "/metadata", "resourceVersion", "\"" + version + "\"");
    assertEquals(200, client.send("c1", "PUT", DEPLOYMENTS + "/d", mine.toString()).code());
    Reply late = client.send("c2", "PUT", DEPLOYMENTS + "/d", theirs.toString());
    assertEquals(409, late.code());
    assertEquals("Conflict", late.body().path("reason").asText());
    world.until(60, () -> ready("c2") == 3);
  }

  @Test
  void aSuspendedJobRunsOnceItIsResumedAndOnlyOnce() {
    up();
    String suspended = job("j", 3).replace("\"completions\"", "\"suspend\":true,\"completions\"");
    assertEquals(201, client.send("c0", "POST", JOBS, suspended).code());
    world.run(5);
    assertEquals(Set.of(), world.state.keys("job/"));
    assertEquals("Suspended", condition("c1", JOBS + "/j"));
    assertEquals(200, client.send("c1", "PUT", JOBS + "/j", job("j", 3)).code());
    world.kill("c0");
    world.until(120, () -> condition("c2", JOBS + "/j").equals("Complete"));
    assertEquals(1, world.state.keys("job/").size());
    assertEquals(3, world.launches.size());
    assertEquals(422, client.send("c1", "PUT", JOBS + "/j", job("j", 4)).code());
  }

  @Test
  void aJobThatFailsTooOftenOrTooLongFails() {
    up();
    String hopeless = job("h", 1).replace("\"completions\"", "\"backoffLimit\":1,\"completions\"");
    client.send("c0", "POST", JOBS, hopeless);
    world.mistaken.add(world.state.keys("job/").iterator().next().substring("job/".length()));
    world.cloud.runS = 500;
    String slow =
        job("s", 1).replace("\"completions\"", "\"activeDeadlineSeconds\":20,\"completions\"");
    client.send("c1", "POST", JOBS, slow);
    world.until(200, () -> condition("c2", JOBS + "/h").equals("Failed"));
    world.until(60, () -> condition("c2", JOBS + "/s").equals("Failed"));
    assertEquals(
        "BackoffLimitExceeded",
        client.get("c1", JOBS + "/h").body().at("/status/conditions/0/reason").asText());
    assertEquals(
        "DeadlineExceeded",
        client.get("c1", JOBS + "/s").body().at("/status/conditions/0/reason").asText());
    world.until(20, () -> active() == 0);
  }

  @Test
  void aJobsWayIsTracedFromRequestToEndWithinABound() {
    up();
    assertEquals(404, new User(world).send("c0", "GET", "/traces", null).status());
    world.kill("c0");
    world.options = new Options(null, Options.DEFAULTS.idleS(), 8, null, 6, false, false);
    world.start("c0");
    world.until(30, () -> new User(world).send("c0", "GET", "/ready", null).status() == 200);
    for (int i = 0; i < 3; i++) {
      client.send("c0", "POST", JOBS, job("j" + i, 1));
    }
    world.until(120, () -> condition("c0", JOBS + "/j2").equals("Complete"));
    Http.Reply traces = new User(world).send("c0", "GET", "/traces", null);
    String text = new String(traces.body(), StandardCharsets.UTF_8);
    assertEquals(6, text.lines().count(), text);
    assertTrue(text.contains("\"name\":\"run\""), text);
    assertTrue(text.contains("\"violetrail.verdict\":\"DONE\""), text);
    assertEquals(200, traces.status());
  }

  @Test
  void whileTheMachineTypesAreUnknownNothingIsSaidNeverToRun() {
    // Nothing fits types that nobody knows: a Job was refused for good where a native one may wait.
    world.cloud.down = true;
    up();
    assertEquals(503, client.send("c0", "POST", JOBS, job("j", 1)).code());
    assertEquals(503, client.send("c0", "POST", DEPLOYMENTS, deployment("d", 1, "i")).code());
    world.cloud.down = false;
    world.run(5);
    assertEquals(201, client.send("c0", "POST", JOBS, job("j", 1)).code());
  }

  @Test
  void listsComeInPagesAndForALabel() {
    up();
    for (int i = 0; i < 7; i++) {
      client.send(World.name(i % 3), "POST", JOBS, job("j" + i, 1));
    }
    Set<String> names = new TreeSet<>();
    String next = "";
    int pages = 0;
    do {
      Reply page =
          client.get("c1", JOBS + "?limit=3" + (next.isEmpty() ? "" : "&continue=" + next));
      page.body().path("items").forEach(o -> names.add(o.at("/metadata/name").asText()));
      next = page.body().at("/metadata/continue").asText();
      pages++;
    } while (!next.isEmpty());
    assertEquals(3, pages);
    assertEquals(7, names.size());
    assertEquals(0, client.get("c2", JOBS + "?labelSelector=app=none").body().path("items").size());
    assertEquals(400, client.get("c2", JOBS + "?labelSelector=app=a=b").code());
    assertEquals(400, client.get("c2", JOBS + "?continue=xyz").code());
    assertFalse(client.get("c2", "/apis/batch/v1").body().path("resources").isEmpty());
    assertEquals(404, client.get("c2", "/apis/batch/v2/jobs").code());
    assertEquals(405, client.send("c2", "DELETE", "/api/v1/namespaces/red/pods/j0-0", null).code());
  }

  @Test
  void aDeletedObjectDoesNotComeBackByALateWriteOfItsCreation() {
    up();
    world.state.lateS.put("c0", 9.0);
    // The creation has no answer and is on its way for long; its repeat goes through at once.
    world.at(0.5, world.state.lateS::clear);
    assertEquals(201, client.send("c0", "POST", DEPLOYMENTS, deployment("d", 2, "one")).code());
    assertEquals(200, client.send("c1", "DELETE", DEPLOYMENTS + "/d", null).code());
    world.run(12);
    assertEquals(404, client.send("c2", "GET", DEPLOYMENTS + "/d", null).code());
    assertEquals(201, client.send("c0", "POST", DEPLOYMENTS, deployment("d", 2, "one")).code());
  }
}
