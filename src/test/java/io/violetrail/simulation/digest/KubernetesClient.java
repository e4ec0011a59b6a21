package io.violetrail.simulation.digest;

import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.KubernetesTestClient;
import io.violetrail.fakes.MessageObserver.Request;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Creates, reads, scales, rolls out, watches and deletes Jobs and Deployments. Its requests do not
 * cross the simulated network, so it adds them to the digest itself.
 */
final class KubernetesClient implements ApiClient {
  private static final String JOBS = "/apis/batch/v1/namespaces/red/jobs";
  private static final String DEPLOYMENTS = "/apis/apps/v1/namespaces/red/deployments";
  private static final String PODS = "/api/v1/namespaces/red/pods";
  private static final int NAMES = 6;
  private static final int NO_RESPONSE_STATUS = 0;
  private static final String POD =
      """
      {"metadata":{"labels":{"app":"scan"}},"spec":{"restartPolicy":"%s","containers":[
      {"name":"main","image":"%s","resources":{"requests":{"cpu":"1","memory":"1G"}}}]}}""";
  private static final String JOB =
      """
      {"apiVersion":"batch/v1","kind":"Job","metadata":{"name":"%s","labels":{"app":"scan"},
      "annotations":{"violetrail.io/estimate":"20s"}},
      "spec":{"completions":%d,"parallelism":%d,"template":%s}}""";
  private static final String DEPLOYMENT =
      """
      {"apiVersion":"apps/v1","kind":"Deployment","metadata":{"name":"%s"},"spec":{"replicas":%d,
      "selector":{"matchLabels":{"app":"scan"}},"strategy":{"rollingUpdate":{"maxSurge":1,
      "maxUnavailable":1}},"template":%s}}""";

  private final ClusterSimulation cluster;
  private final Random random;
  private final MessageDigester digester;
  private final KubernetesTestClient client;
  private final List<KubernetesTestClient.WatchEvents> watches = new ArrayList<>();

  KubernetesClient(ClusterSimulation simulation, Random random, MessageDigester digester) {
    this.cluster = simulation;
    this.random = random;
    this.digester = digester;
    client = new KubernetesTestClient(simulation);
  }

  @Override
  public void runStep() {
    String job = "j" + random.nextInt(NAMES);
    String deployment = "d" + random.nextInt(2);
    switch (random.nextInt(24)) {
      case 0, 1, 2 -> send("POST", JOBS, job(job));
      case 3 -> send("DELETE", JOBS + "/" + job, null);
      case 4 -> send("DELETE", JOBS + "/" + job + "?propagationPolicy=Foreground", null);
      case 5, 6 -> send("GET", JOBS + "/" + job, null);
      case 7 -> send("GET", JOBS, null);
      case 8, 9 -> send("POST", DEPLOYMENTS, deployment(deployment));
      case 10, 11 -> send("PUT", DEPLOYMENTS + "/" + deployment, deployment(deployment));
      case 12 -> send("GET", DEPLOYMENTS + "/" + deployment, null);
      case 13 -> send("GET", PODS, null);
      case 14 -> watch();
      case 15 -> deleteSometimes(DEPLOYMENTS + "/" + deployment);
      default -> {
        // No request in this step.
      }
    }
  }

  @Override
  public void finish() {
    for (KubernetesTestClient.WatchEvents watch : watches) {
      watch.events.forEach(event -> digester.addText(event.toString()));
      digester.addText("watch ended: " + watch.ended);
    }
  }

  private void deleteSometimes(String target) {
    if (random.nextInt(3) == 0) {
      send("DELETE", target, null);
    }
  }

  private void send(String method, String target, String json) {
    String controller = randomRunningController();
    if (controller == null) {
      return;
    }
    Request request = new Request("kubectl", controller, method, target, bytes(json));
    try {
      KubernetesTestClient.Reply reply = client.send(controller, method, target, json);
      digester.addExchange(request, reply.status(), bytes(String.valueOf(reply.body())));
    } catch (AssertionError timedOut) {
      // The controller was killed, partitioned or frozen before it responded.
      digester.addExchange(request, NO_RESPONSE_STATUS, null);
    }
  }

  private void watch() {
    String controller = randomRunningController();
    if (controller == null) {
      return;
    }
    Request request = new Request("kubectl", controller, "GET", JOBS + "?watch=true", null);
    try {
      watches.add(client.watch(controller, request.path()));
      digester.addExchange(request, 200, null);
    } catch (AssertionError refused) {
      digester.addExchange(request, NO_RESPONSE_STATUS, null);
    }
  }

  private String randomRunningController() {
    List<String> running = List.copyOf(cluster.controllers().keySet());
    return running.isEmpty() ? null : running.get(random.nextInt(running.size()));
  }

  private String job(String name) {
    int tasks = 1 + random.nextInt(5);
    return JOB.formatted(name, tasks, tasks, POD.formatted("Never", "img"));
  }

  private String deployment(String name) {
    String image = random.nextBoolean() ? "one" : "two";
    return DEPLOYMENT.formatted(name, 1 + random.nextInt(5), POD.formatted("Always", image));
  }

  private static byte[] bytes(String text) {
    return text == null ? null : text.getBytes(StandardCharsets.UTF_8);
  }
}
