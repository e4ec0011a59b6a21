package io.violetrail.fakes;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.net.HttpClient.ClientResponse;
import io.violetrail.net.RequestHandler;
import io.violetrail.net.UndertowServer;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.ToDoubleBiFunction;

/**
 * Carries requests and replies between the simulated hosts. It delays and counts them, shows them
 * to an observer, and loses, holds back or refuses them as {@link NetworkFaults} specifies.
 */
final class SimulatedTransport {
  /** The incarnation of users and workers, whose processes have no number. */
  static final int NO_INCARNATION = -1;

  private static final double DEFAULT_DELAY_SECONDS = 0.005;

  private final VirtualTime time;
  private final ControllerProcesses processes;
  private final Predicate<String> isControllerRunning;
  private final NetworkFaults networkFaults;
  private final TrafficCounter traffic = new TrafficCounter();
  private final Map<HostPort, RequestHandler> services = new HashMap<>();
  private final Set<String> standInHosts = new HashSet<>();
  private ToDoubleBiFunction<String, String> oneWayDelaySeconds =
      (from, to) -> DEFAULT_DELAY_SECONDS;
  private MessageObserver observer = MessageObserver.NONE;

  SimulatedTransport(
      VirtualTime time, ControllerProcesses processes, Predicate<String> isControllerRunning) {
    this.time = time;
    this.processes = processes;
    this.isControllerRunning = isControllerRunning;
    this.networkFaults = new NetworkFaults(processes::isControllerHost);
  }

  /** A request in flight, with the future of its reply. */
  private record Exchange(
      String from,
      int incarnation,
      HostPort to,
      MessageObserver.Request request,
      CompletableFuture<ClientResponse> reply) {

    /** Returns the text by which filters of {@link NetworkFaults} recognize the request. */
    String description() {
      return from + " " + to.host() + " " + request.method() + " " + request.path();
    }

    String kind() {
      return TrafficCounter.kindOf(request.method(), request.path());
    }

    /** Returns the path for the service; for the state service and the cloud, after the sender. */
    String servedPath() {
      return to.equals(ClusterSimulation.STATE_ADDRESS)
              || to.equals(ClusterSimulation.CLOUD_ADDRESS)
          ? from + " " + request.path()
          : request.path();
    }
  }

  NetworkFaults networkFaults() {
    return networkFaults;
  }

  TrafficCounter traffic() {
    return traffic;
  }

  ToDoubleBiFunction<String, String> oneWayDelaySeconds() {
    return oneWayDelaySeconds;
  }

  void setOneWayDelaySeconds(ToDoubleBiFunction<String, String> delaySeconds) {
    oneWayDelaySeconds = delaySeconds;
  }

  void setObserver(MessageObserver newObserver) {
    observer = newObserver;
  }

  void serve(HostPort address, RequestHandler service) {
    services.put(address, service);
  }

  /** Lets {@code service} answer at a controller's address while the controller does not run. */
  void startStandIn(String host, HostPort address, RequestHandler service) {
    standInHosts.add(host);
    services.put(address, service);
  }

  void stopStandIn(String host) {
    standInHosts.remove(host);
  }

  /** Sends a request; see {@link ClusterSimulation#sendRequest}. */
  CompletableFuture<ClientResponse> send(
      String from,
      int incarnation,
      HostPort to,
      String method,
      String path,
      byte[] body,
      double timeoutSeconds) {
    Exchange exchange =
        new Exchange(
            from,
            incarnation,
            to,
            new MessageObserver.Request(from, to.host(), method, path, body),
            new CompletableFuture<>());
    traffic.countRequest(exchange.kind(), body);
    observer.sent(exchange.request());
    time.runAfter(timeoutSeconds, () -> timeOut(exchange));
    time.runAfter(oneWayDelaySeconds.applyAsDouble(from, to.host()), () -> arriveAtHost(exchange));
    return exchange.reply();
  }

  private void timeOut(Exchange exchange) {
    if (!exchange.reply().isDone() && isCallerAlive(exchange)) {
      runAtCaller(
          exchange,
          () ->
              exchange
                  .reply()
                  .completeExceptionally(new IOException("no reply within the time-out")));
    }
  }

  private void arriveAtHost(Exchange exchange) {
    String message = exchange.description();
    if (networkFaults.refusesConnection(message) || isProcessMissing(exchange.to().host())) {
      exchange.reply().completeExceptionally(new IOException("connection refused"));
    } else if (!networkFaults.holdIfMatching(message, () -> deliver(exchange))
        && !networkFaults.losesMessage(exchange.from(), exchange.to().host(), message)) {
      deliver(exchange);
    }
  }

  /** Returns whether the host is up without its process, so that it refuses connections. */
  private boolean isProcessMissing(String host) {
    return processes.isControllerHost(host)
        && !isControllerRunning.test(host)
        && !standInHosts.contains(host);
  }

  private void deliver(Exchange exchange) {
    RequestHandler service = services.get(exchange.to());
    if (service == null) {
      return;
    }
    MessageObserver.Request request = exchange.request();
    observer.delivered(request);
    if (processes.isControllerHost(exchange.to().host()) && isTooLong(request)) {
      returnAnswer(exchange, RequestHandler.HttpResponse.empty(400));
      return;
    }
    service.handle(
        request.method(),
        exchange.servedPath(),
        request.body(),
        answer ->
            time.runAfter(
                oneWayDelaySeconds.applyAsDouble(exchange.to().host(), exchange.from()),
                () -> returnAnswer(exchange, answer)));
  }

  /** Returns whether a controller's HTTP server refuses the request for its length. */
  private static boolean isTooLong(MessageObserver.Request request) {
    return request.body() != null && request.body().length > UndertowServer.MAX_BODY_BYTES;
  }

  private void returnAnswer(Exchange exchange, RequestHandler.HttpResponse answer) {
    traffic.countReply(exchange.kind(), answer.body());
    observer.answered(exchange.request(), answer);
    if (!networkFaults.losesMessage(
        exchange.from(), exchange.to().host(), exchange.description())) {
      runAtCaller(
          exchange,
          () -> exchange.reply().complete(new ClientResponse(answer.status(), answer.body())));
    }
  }

  /** Runs the task at the caller; a frozen controller runs it when its freeze ends. */
  private void runAtCaller(Exchange exchange, Runnable task) {
    if (exchange.incarnation() < 0) {
      task.run();
    } else {
      processes.runWhenAwake(exchange.from(), exchange.incarnation(), task);
    }
  }

  private boolean isCallerAlive(Exchange exchange) {
    return exchange.incarnation() < 0
        || processes.isCurrent(exchange.from(), exchange.incarnation());
  }
}
