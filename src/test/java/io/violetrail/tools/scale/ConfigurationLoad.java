package io.violetrail.tools.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.ClusterConfiguration;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * An operator who periodically changes the limit of a random team and polls every controller until
 * the change is in force there. Times count from the first sending of the change.
 */
final class ConfigurationLoad {
  private static final double POLL_INTERVAL_SECONDS = 0.1;
  private static final double GIVE_UP_AFTER_SECONDS = 60;
  private static final long MAX_RECORDED_MILLIS = 120_000;

  private final ClusterSimulation simulation;
  private final Random random;
  private final double intervalSeconds;
  private final Map<String, Team> teams;
  private final List<Objective> objectives;
  private long revision;
  private long requestCount;

  /** Time until the change is stored, that is, until it is answered with status 200. */
  final Histogram storedMillis = new Histogram(MAX_RECORDED_MILLIS, 3);

  /** Time until a controller reports the change's revision or a later one as in force. */
  final Histogram inForceMillis = new Histogram(MAX_RECORDED_MILLIS, 3);

  long changeCount;
  long failedCount;

  ConfigurationLoad(ClusterSimulation simulation, long seed, double intervalSeconds) {
    this.simulation = simulation;
    this.random = new Random(seed);
    this.intervalSeconds = intervalSeconds;
    this.teams = new LinkedHashMap<>(simulation.teams());
    this.objectives = simulation.objectives();
  }

  void start(double durationSeconds) {
    double untilSeconds = simulation.nowSeconds() + durationSeconds;
    simulation.runAfter(intervalSeconds, () -> changePeriodically(untilSeconds));
  }

  private void changePeriodically(double untilSeconds) {
    if (simulation.nowSeconds() < untilSeconds) {
      changeOneLimit();
      simulation.runAfter(intervalSeconds, () -> changePeriodically(untilSeconds));
    }
  }

  private void changeOneLimit() {
    String name = JobMix.teamName(random.nextInt(teams.size()));
    Team team = teams.get(name);
    double factor = random.nextBoolean() ? 1.1 : 1 / 1.1;
    teams.put(
        name,
        new Team(
            name,
            team.guaranteedCpus(),
            team.guaranteedGpus(),
            Math.max(team.guaranteedCpus(), team.maxCpus() * factor),
            team.maxGpus()));
    ObjectNode body = new ClusterConfiguration(teams, Set.of(), objectives).toTree();
    body.put("expected", revision).put("request", "change-" + requestCount++);
    body.put("who", "scale run").put("why", "limit of " + name);
    send(body, simulation.nowSeconds());
  }

  private void send(ObjectNode body, double sentAtSeconds) {
    String controller =
        ClusterSimulation.controllerName(random.nextInt(simulation.controllerCount()));
    simulation
        .callController("operator", controller, "POST", "/config", KubernetesJson.toBytes(body))
        .whenComplete((reply, failure) -> handleReply(body, sentAtSeconds, reply));
  }

  private void handleReply(ObjectNode body, double sentAtSeconds, HttpClient.ClientResponse reply) {
    int status = reply == null ? 0 : reply.status();
    if (status == 200) {
      changeCount++;
      revision = Math.max(revision, revisionOf(reply, "/revision"));
      long storedRevision = revision;
      record(storedMillis, sentAtSeconds);
      for (int i = 0; i < simulation.controllerCount(); i++) {
        pollUntilInForce(ClusterSimulation.controllerName(i), storedRevision, sentAtSeconds);
      }
    } else if (status == 409) {
      failedCount++;
      revision = revisionOf(reply, "/revision");
    } else if (simulation.nowSeconds() - sentAtSeconds < GIVE_UP_AFTER_SECONDS) {
      // The outcome is unknown, so the same request is sent again; its request ID makes it
      // idempotent.
      simulation.runAfter(1, () -> send(body, sentAtSeconds));
    } else {
      failedCount++;
    }
  }

  private void pollUntilInForce(String controller, long storedRevision, double sentAtSeconds) {
    simulation
        .callController("operator", controller, "GET", "/ready", null)
        .whenComplete(
            (reply, failure) -> {
              boolean ready = reply != null && reply.isOk();
              if (ready && revisionOf(reply, "/configuration/revision") >= storedRevision) {
                record(inForceMillis, sentAtSeconds);
              } else if (simulation.nowSeconds() - sentAtSeconds < GIVE_UP_AFTER_SECONDS) {
                simulation.runAfter(
                    POLL_INTERVAL_SECONDS,
                    () -> pollUntilInForce(controller, storedRevision, sentAtSeconds));
              }
            });
  }

  private static long revisionOf(HttpClient.ClientResponse reply, String path) {
    try {
      return path.startsWith("/configuration")
          ? Cbor.parse(reply.body()).at(path).asLong()
          : KubernetesJson.parse(reply.body()).at(path).asLong();
    } catch (Cbor.MalformedMessageException | KubernetesJson.MalformedRequestException exception) {
      return 0;
    }
  }

  private void record(Histogram histogram, double sentAtSeconds) {
    histogram.recordValue(
        Math.min(
            MAX_RECORDED_MILLIS, Math.round(1000 * (simulation.nowSeconds() - sentAtSeconds))));
  }
}
