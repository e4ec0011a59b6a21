package io.violetrail.simulation.digest;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.util.Random;

/**
 * An operator who changes the teams' quotas while the controllers run, and reads the configuration,
 * its status and its history.
 */
final class ConfigurationClient implements ApiClient {
  private static final double TIMEOUT_SECONDS = 10;
  private static final int NO_INCARNATION = -1;

  private final ClusterSimulation cluster;
  private final Random random;
  private long revision;
  private int requests;

  ConfigurationClient(ClusterSimulation simulation, Random random) {
    this.cluster = simulation;
    this.random = random;
  }

  @Override
  public void runStep() {
    switch (random.nextInt(20)) {
      case 0 -> changeQuotas();
      case 1 -> send("GET", "/config", null);
      case 2 -> send("GET", "/config/status", null);
      case 3 -> send("GET", "/config/history", null);
      default -> {
        // No request in this step.
      }
    }
  }

  /** Changes the quotas; with probability 1/2 repeats the same request at a random controller. */
  private void changeQuotas() {
    byte[] change = KubernetesJson.toBytes(newChange());
    send("POST", "/config", change);
    if (random.nextBoolean()) {
      send("POST", "/config", change);
    }
  }

  private ObjectNode newChange() {
    ObjectNode change = Cbor.newMap().put("expected", revision).put("request", "r" + requests++);
    change.put("who", "operator").put("why", "a simulated day");
    ArrayNode teams = change.putArray("teams");
    teams.addObject().put("name", "red").put("cpus_max", 10.0 + random.nextInt(40));
    teams.addObject().put("name", "blue").put("cpus_max", 6.0 + random.nextInt(24));
    teams.addObject().put("name", "gold").put("cpus", 4.0 + random.nextInt(30));
    return change;
  }

  private void send(String method, String path, byte[] body) {
    String controller = ClusterSimulation.controllerName(random.nextInt(cluster.controllerCount()));
    cluster
        .sendRequest(
            "operator",
            NO_INCARNATION,
            ClusterSimulation.apiAddress(controller),
            method,
            path,
            body,
            TIMEOUT_SECONDS)
        .thenAccept(this::updateRevision);
  }

  private void updateRevision(HttpClient.ClientResponse reply) {
    try {
      revision = Math.max(revision, KubernetesJson.parse(reply.body()).path("revision").asLong());
    } catch (KubernetesJson.MalformedRequestException notJson) {
      // An error response that is not JSON carries no revision.
    }
  }
}
