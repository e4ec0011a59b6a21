package io.violetrail.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.ClusterConfiguration;
import io.violetrail.fakes.World;
import io.violetrail.net.Http;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubeJson;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * An operator who changes a team's limit again and again, and asks every controller that runs until
 * it goes by the change. Times count from the sending of the change.
 */
final class ConfigurationLoad {
  private static final double ASK_S = 0.1;
  private static final double GIVE_UP_S = 60;
  private static final long LONGEST_MS = 120_000;

  private final World world;
  private final Random random;
  private final double everyS;
  private final Map<String, Team> teams;
  private final List<Objective> objectives;
  private long revision;
  private long requests;

  /** Until the change is answered. */
  final Histogram storedMs = new Histogram(LONGEST_MS, 3);

  /** Until each controller goes by it or by a later one. */
  final Histogram inForceMs = new Histogram(LONGEST_MS, 3);

  long changes;
  long failed;

  ConfigurationLoad(World world, long seed, double everyS) {
    this.world = world;
    this.random = new Random(seed);
    this.everyS = everyS;
    this.teams = new LinkedHashMap<>(world.teams);
    this.objectives = world.objectives;
  }

  void start(double forS) {
    double until = world.now() + forS;
    world.at(everyS, () -> next(until));
  }

  private void next(double until) {
    if (world.now() < until) {
      changeOne();
      world.at(everyS, () -> next(until));
    }
  }

  private void changeOne() {
    String name = JobMix.team(random.nextInt(teams.size()));
    Team t = teams.get(name);
    double factor = random.nextBoolean() ? 1.1 : 1 / 1.1;
    teams.put(
        name,
        new Team(name, t.cpus(), t.gpus(), Math.max(t.cpus(), t.cpusMax() * factor), t.gpusMax()));
    ObjectNode body = new ClusterConfiguration(teams, Set.of(), objectives).tree();
    body.put("expected", revision).put("request", "change-" + requests++);
    body.put("who", "scale run").put("why", "limit of " + name);
    send(body, world.now());
  }

  private void send(ObjectNode body, double sentS) {
    String controller = World.name(random.nextInt(world.controllers()));
    world
        .ask("operator", controller, "POST", "/config", KubeJson.bytes(body))
        .whenComplete((reply, failure) -> stored(body, sentS, reply));
  }

  private void stored(ObjectNode body, double sentS, Http.Reply reply) {
    int status = reply == null ? 0 : reply.status();
    if (status == 200) {
      changes++;
      revision = Math.max(revision, revisionOf(reply, "/revision"));
      long made = revision;
      record(storedMs, sentS);
      for (int i = 0; i < world.controllers(); i++) {
        askUntilInForce(World.name(i), made, sentS);
      }
    } else if (status == 409) {
      failed++;
      revision = revisionOf(reply, "/revision");
    } else if (world.now() - sentS < GIVE_UP_S) {
      // The outcome is not known: the same request again.
      world.at(1, () -> send(body, sentS));
    } else {
      failed++;
    }
  }

  private void askUntilInForce(String controller, long made, double sentS) {
    world
        .ask("operator", controller, "GET", "/ready", null)
        .whenComplete(
            (reply, failure) -> {
              boolean ready = reply != null && reply.ok();
              if (ready && revisionOf(reply, "/configuration/revision") >= made) {
                record(inForceMs, sentS);
              } else if (world.now() - sentS < GIVE_UP_S) {
                world.at(ASK_S, () -> askUntilInForce(controller, made, sentS));
              }
            });
  }

  private static long revisionOf(Http.Reply reply, String path) {
    try {
      return path.startsWith("/configuration")
          ? Cbor.parse(reply.body()).at(path).asLong()
          : KubeJson.parse(reply.body()).at(path).asLong();
    } catch (Cbor.Malformed | KubeJson.Malformed e) {
      return 0;
    }
  }

  private void record(Histogram histogram, double sentS) {
    histogram.recordValue(Math.min(LONGEST_MS, Math.round(1000 * (world.now() - sentS))));
  }
}
