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
 * The network between the hosts of a scale run. Every message passes through it, is delayed by the
 * latency between the regions of its hosts, is counted, and is lost if the hosts are partitioned
 * from each other.
 *
 * <p>Controllers reach each other, the state service and the cloud through relays, whose addresses
 * they are given instead of the real ones. Workers and users run in this process.
 */
final class SimulatedNetwork {
  /** Time-out of a relayed request. Callers have shorter time-outs, except for watches. */
  private static final double RELAY_TIMEOUT_SECONDS = 30;

  private static final double USER_TIMEOUT_SECONDS = 5;
  private static final double WORKER_TIMEOUT_SECONDS = 4;

  private final ClusterSimulation simulation;
  private final RealTimeSimulation realTimeSimulation;
  private final HostZones zones;
  private final Map<String, UndertowHttpClient> clients = new HashMap<>();
  private final Map<String, TrafficCounter> trafficByController = new HashMap<>();
  private final Set<String> partitionedZones = new HashSet<>();
  private final Set<Set<String>> partitionedRegionPairs = new HashSet<>();

  SimulatedNetwork(
      ClusterSimulation simulation, RealTimeSimulation realTimeSimulation, HostZones zones) {
    this.simulation = simulation;
    this.realTimeSimulation = realTimeSimulation;
    this.zones = zones;
  }

  /** Returns the counts of messages that a controller has sent and received, by kind. */
  TrafficCounter trafficOf(String controller) {
    return trafficByController.computeIfAbsent(controller, c -> new TrafficCounter());
  }

  /** Drops all messages into or out of the zone. Messages within the zone are still delivered. */
  void partitionZone(String zone) {
    partitionedZones.add(zone);
  }

  /** Drops all messages between two regions. */
  void partitionRegions(String first, String second) {
    partitionedRegionPairs.add(Set.of(first, second));
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
    String fromRegion = LoadShape.regionOf(fromZone);
    String toRegion = LoadShape.regionOf(toZone);
    return !partitionedZones.contains(fromZone)
        && !partitionedZones.contains(toZone)
        && (fromRegion.equals(toRegion)
            || !partitionedRegionPairs.contains(Set.of(fromRegion, toRegion)));
  }

  /** Sends a worker's or user's request to a controller. Each worker has its own connection. */
  CompletableFuture<HttpClient.ClientResponse> callController(
      String from, String controller, HostPort to, String method, String path, byte[] body) {
    boolean fromUser = from.equals("user");
    String client = fromUser ? "user " + controller : from;
    CompletableFuture<HttpClient.ClientResponse> answer = new CompletableFuture<>();
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

  /** Serves a relay through which {@code from} reaches {@code to} at {@code target}. */
  void serveRelay(int port, String from, String to, HostPort target) {
    realTimeSimulation.serve(
        port,
        (method, path, body, done) -> {
          CompletableFuture<HttpClient.ClientResponse> answer = new CompletableFuture<>();
          send(
              from + " " + to, from, to, target, method, path, body, RELAY_TIMEOUT_SECONDS, answer);
          answer.whenComplete(
              (reply, failure) -> {
                if (failure == null) {
                  done.accept(
                      new RequestHandler.HttpResponse(
                          reply.status(), reply.body(), 0, "application/cbor"));
                }
                // After a failure the relay does not answer, so that the caller's own time-out
                // expires, as in a partition.
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
      CompletableFuture<HttpClient.ClientResponse> answer) {
    String kind = TrafficCounter.kindOf(method, path);
    count(from, to, counter -> counter.countRequest(kind, body));
    simulation.runAfter(
        timeoutSeconds,
        () -> {
          if (!answer.isDone()) {
            answer.completeExceptionally(
                new IOException("no reply from " + to + " within " + timeoutSeconds + " s"));
          }
        });
    simulation.runAfter(
        simulation.oneWayDelaySeconds().applyAsDouble(from, to),
        () -> {
          if (isReachable(from, to)) {
            clients
                .computeIfAbsent(client, c -> realTimeSimulation.newHttpClient())
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
      HttpClient.ClientResponse reply,
      Throwable failure,
      CompletableFuture<HttpClient.ClientResponse> answer) {
    simulation.runAfter(
        simulation.oneWayDelaySeconds().applyAsDouble(to, from),
        () -> {
          if (!isReachable(from, to)) {
            return;
          }
          if (failure != null) {
            answer.completeExceptionally(failure);
          } else {
            count(from, to, counter -> counter.countReply(kind, reply.body()));
            answer.complete(reply);
          }
        });
  }

  private void count(String from, String to, java.util.function.Consumer<TrafficCounter> update) {
    update.accept(simulation.traffic());
    if (zones.isController(from)) {
      update.accept(trafficOf(from));
    }
    if (zones.isController(to)) {
      update.accept(trafficOf(to));
    }
  }
}
