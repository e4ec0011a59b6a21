package io.violetrail.scale;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.fakes.LiveWorld;
import io.violetrail.fakes.Traffic;
import io.violetrail.fakes.World;
import io.violetrail.net.Http;
import io.violetrail.net.Service;
import io.violetrail.net.UndertowHttp;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The network between the hosts of a scale run: every message passes here, takes the delay between
 * its hosts' regions, is counted, and is lost where the hosts are cut from each other.
 *
 * <p>Controllers are given addresses of relays instead of each other's, the state service's and the
 * cloud's; workers and users are in this process.
 */
final class Network {
  /** A relay waits this long; callers give up sooner, but for watches. */
  private static final double RELAY_S = 30;

  private static final double USER_S = 5;
  private static final double WORKER_S = 4;

  private final World world;
  private final LiveWorld live;
  private final Zones zones;
  private final Map<String, UndertowHttp> clients = new HashMap<>();
  private final Map<String, Traffic> byController = new HashMap<>();
  private final Set<String> cutZones = new HashSet<>();
  private final Set<Set<String>> cutRegions = new HashSet<>();

  Network(World world, LiveWorld live, Zones zones) {
    this.world = world;
    this.live = live;
    this.zones = zones;
  }

  /** What a controller has sent and received, by kind of message. */
  Traffic traffic(String controller) {
    return byController.computeIfAbsent(controller, c -> new Traffic());
  }

  /** Nothing leaves or enters the zone; inside it all goes on. */
  void cutZone(String zone) {
    cutZones.add(zone);
  }

  /** Two regions lose each other. */
  void cutRegions(String one, String other) {
    cutRegions.add(Set.of(one, other));
  }

  void mend() {
    cutZones.clear();
    cutRegions.clear();
  }

  boolean reachable(String from, String to) {
    String a = zones.of(from);
    String b = zones.of(to);
    if (a.equals(b)) {
      return true;
    }
    String oneRegion = LoadShape.regionOf(a);
    String otherRegion = LoadShape.regionOf(b);
    return !cutZones.contains(a)
        && !cutZones.contains(b)
        && (oneRegion.equals(otherRegion) || !cutRegions.contains(Set.of(oneRegion, otherRegion)));
  }

  /** A worker's or user's request to a controller. Each worker has a connection of its own. */
  CompletableFuture<Http.Reply> ask(
      String from, String controller, HostPort to, String method, String path, byte[] body) {
    boolean user = from.equals("user");
    String client = user ? "user " + controller : from;
    CompletableFuture<Http.Reply> answer = new CompletableFuture<>();
    send(client, from, controller, to, method, path, body, user ? USER_S : WORKER_S, answer);
    return answer;
  }

  /** An address that stands for {@code to} where {@code from} asks it. */
  void relay(int port, String from, String to, HostPort target) {
    live.serve(
        port,
        (method, path, body, done) -> {
          CompletableFuture<Http.Reply> answer = new CompletableFuture<>();
          send(from + " " + to, from, to, target, method, path, body, RELAY_S, answer);
          answer.whenComplete(
              (reply, failure) -> {
                if (failure == null) {
                  done.accept(
                      new Service.Answer(reply.status(), reply.body(), 0, "application/cbor"));
                }
                // Otherwise nobody answers: the caller's own time runs out, as behind a cut.
              });
        });
  }

  private void send(
      String client,
      String from,
      String to,
      HostPort target,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      CompletableFuture<Http.Reply> answer) {
    String kind = Traffic.kind(method, path);
    counted(from, to, t -> t.asked(kind, body));
    world.at(
        timeoutS,
        () -> {
          if (!answer.isDone()) {
            answer.completeExceptionally(new IOException("no answer in time"));
          }
        });
    world.at(
        world.delayS.applyAsDouble(from, to),
        () -> {
          if (reachable(from, to)) {
            clients
                .computeIfAbsent(client, c -> live.newHttp())
                .call(target, method, path, body, timeoutS)
                .whenComplete((reply, failure) -> back(from, to, kind, reply, failure, answer));
          }
        });
  }

  private void back(
      String from,
      String to,
      String kind,
      Http.Reply reply,
      Throwable failure,
      CompletableFuture<Http.Reply> answer) {
    world.at(
        world.delayS.applyAsDouble(to, from),
        () -> {
          if (!reachable(from, to)) {
            return;
          }
          if (failure != null) {
            answer.completeExceptionally(failure);
          } else {
            counted(from, to, t -> t.answered(kind, reply.body()));
            answer.complete(reply);
          }
        });
  }

  private void counted(String from, String to, java.util.function.Consumer<Traffic> count) {
    count.accept(world.traffic);
    if (zones.isController(from)) {
      count.accept(traffic(from));
    }
    if (zones.isController(to)) {
      count.accept(traffic(to));
    }
  }
}
