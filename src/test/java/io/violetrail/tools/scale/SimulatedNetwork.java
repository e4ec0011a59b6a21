package io.violetrail.tools.scale;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.RealTimeSimulation;
import io.violetrail.fakes.TrafficCounter;
import io.violetrail.net.HttpClient;
import io.violetrail.net.RequestHandler;
import io.violetrail.net.UndertowHttpClient;
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
final class SimulatedNetwork {
  /** A relay waits this long; callers give up sooner, but for watches. */
  private static final double RELAY_TIMEOUT_SECONDS = 30;

  private static final double USER_TIMEOUT_SECONDS = 5;
  private static final double WORKER_TIMEOUT_SECONDS = 4;

  private final ClusterSimulation simulation;
  private final RealTimeSimulation realTimeSimulation;
  private final HostZones zones;
  private final Map<String, UndertowHttpClient> clients = new HashMap<>();
  private final Map<String, TrafficCounter> byController = new HashMap<>();
  private final Set<String> partitionedZones = new HashSet<>();
  private final Set<Set<String>> partitionedRegionPairs = new HashSet<>();

  SimulatedNetwork(ClusterSimulation simulation, RealTimeSimulation live, HostZones zones) {
    this.simulation = simulation;
    this.realTimeSimulation = live;
    this.zones = zones;
  }

  /** What a controller has sent and received, by kind of message. */
  TrafficCounter trafficOf(String controller) {
    return byController.computeIfAbsent(controller, c -> new TrafficCounter());
  }

  /** Nothing leaves or enters the zone; inside it all goes on. */
  void partitionZone(String zone) {
    partitionedZones.add(zone);
  }

  /** Two regions lose each other. */
  void partitionRegions(String one, String other) {
    partitionedRegionPairs.add(Set.of(one, other));
  }

  void healPartitions() {
    partitionedZones.clear();
    partitionedRegionPairs.clear();
  }

  boolean isReachable(String from, String to) {
    String fromZone = zones.zoneOf(from);
    String toZone = zones.zoneOf(to);
    if (fromZone.equals(toZone)) {
      return true;
    }
    String oneRegion = LoadShape.regionOf(fromZone);
    String otherRegion = LoadShape.regionOf(toZone);
    return !partitionedZones.contains(fromZone)
        && !partitionedZones.contains(toZone)
        && (oneRegion.equals(otherRegion)
            || !partitionedRegionPairs.contains(Set.of(oneRegion, otherRegion)));
  }

  /** A worker's or user's request to a controller. Each worker has a connection of its own. */
  CompletableFuture<HttpClient.ClientReply> callController(
      String from, String controller, HostPort to, String method, String path, byte[] body) {
    boolean fromUser = from.equals("user");
    String client = fromUser ? "user " + controller : from;
    CompletableFuture<HttpClient.ClientReply> answer = new CompletableFuture<>();
    send(
        client,
        from,
        controller,
        to,
        method,
        path,
        body,
        fromUser ? USER_TIMEOUT_SECONDS : WORKER_TIMEOUT_SECONDS,
        answer);
    return answer;
  }

  /** An address that stands for {@code to} where {@code from} asks it. */
  void serveRelay(int port, String from, String to, HostPort target) {
    realTimeSimulation.serve(
        port,
        (method, path, body, done) -> {
          CompletableFuture<HttpClient.ClientReply> answer = new CompletableFuture<>();
          send(
              from + " " + to, from, to, target, method, path, body, RELAY_TIMEOUT_SECONDS, answer);
          answer.whenComplete(
              (reply, failure) -> {
                if (failure == null) {
                  done.accept(
                      new RequestHandler.HttpAnswer(
                          reply.status(), reply.body(), 0, "application/cbor"));
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
      double timeoutSeconds,
      CompletableFuture<HttpClient.ClientReply> answer) {
    String kind = TrafficCounter.kindOf(method, path);
    count(from, to, t -> t.countRequest(kind, body));
    simulation.runAfter(
        timeoutSeconds,
        () -> {
          if (!answer.isDone()) {
            answer.completeExceptionally(new IOException("no answer in time"));
          }
        });
    simulation.runAfter(
        simulation.oneWayDelaySeconds().applyAsDouble(from, to),
        () -> {
          if (isReachable(from, to)) {
            clients
                .computeIfAbsent(client, c -> realTimeSimulation.newHttp())
                .call(target, method, path, body, timeoutSeconds)
                .whenComplete(
                    (reply, failure) -> deliverReply(from, to, kind, reply, failure, answer));
          }
        });
  }

  private void deliverReply(
      String from,
      String to,
      String kind,
      HttpClient.ClientReply reply,
      Throwable failure,
      CompletableFuture<HttpClient.ClientReply> answer) {
    simulation.runAfter(
        simulation.oneWayDelaySeconds().applyAsDouble(to, from),
        () -> {
          if (!isReachable(from, to)) {
            return;
          }
          if (failure != null) {
            answer.completeExceptionally(failure);
          } else {
            count(from, to, t -> t.countReply(kind, reply.body()));
            answer.complete(reply);
          }
        });
  }

  private void count(String from, String to, java.util.function.Consumer<TrafficCounter> count) {
    count.accept(simulation.traffic());
    if (zones.isController(from)) {
      count.accept(trafficOf(from));
    }
    if (zones.isController(to)) {
      count.accept(trafficOf(to));
    }
  }
}
