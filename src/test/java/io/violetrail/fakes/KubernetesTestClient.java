package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.kubernetes.HttpExchange;
import io.violetrail.kubernetes.KubernetesApi;
import io.violetrail.net.RequestHandler;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** A client of the Kubernetes API that waits for replies in virtual time. */
public final class KubernetesTestClient {
  private final ClusterSimulation simulation;

  public KubernetesTestClient(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  /** A reply with its HTTP status code; the body is null if a stream was opened. */
  public record Reply(int status, JsonNode body) {}

  /** The events of a watch that have arrived so far. */
  public static final class WatchEvents implements HttpExchange.EventStream {
    public final List<JsonNode> events = new ArrayList<>();
    public boolean ended;

    @Override
    public boolean send(byte[] lines) {
      try {
        for (String line : new String(lines, StandardCharsets.UTF_8).split("\n", 0)) {
          events.add(KubernetesJson.parse(line.getBytes(StandardCharsets.UTF_8)));
        }
      } catch (KubernetesJson.MalformedRequestException exception) {
        throw new IllegalStateException(exception);
      }
      return true;
    }

    @Override
    public void end() {
      ended = true;
    }
  }

  private static final class CapturedExchange implements HttpExchange {
    private final WatchEvents events = new WatchEvents();
    private Reply reply;

    @Override
    public void answer(int code, ObjectNode body, int retryAfterSeconds) {
      reply = new Reply(code, body);
    }

    @Override
    public EventStream startStream(Runnable onClosed) {
      reply = new Reply(200, null);
      return events;
    }
  }

  private static HttpExchange.Request request(String method, String target, byte[] body) {
    int queryStart = target.indexOf('?');
    Map<String, String> query = new HashMap<>();
    if (queryStart >= 0) {
      for (String part : target.substring(queryStart + 1).split("&", 0)) {
        int equalsSign = part.indexOf('=');
        query.put(part.substring(0, equalsSign), part.substring(equalsSign + 1));
      }
    }
    return new HttpExchange.Request(
        method,
        queryStart < 0 ? target : target.substring(0, queryStart),
        query,
        "application/json",
        body);
  }

  private CapturedExchange exchange(String controller, String method, String target, byte[] body) {
    CapturedExchange captured = new CapturedExchange();
    simulation.kubernetesApis().get(controller).handle(request(method, target, body), captured);
    simulation.runUntil(10, () -> captured.reply != null);
    return captured;
  }

  /** Sends a request without waiting; the result returns its reply, or null before that. */
  public Supplier<Reply> sendWithoutWaiting(
      String controller, String method, String target, String json) {
    CapturedExchange captured = new CapturedExchange();
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    simulation.kubernetesApis().get(controller).handle(request(method, target, body), captured);
    return () -> captured.reply;
  }

  public Reply send(String controller, String method, String target, String json) {
    byte[] body = json == null ? new byte[0] : json.getBytes(StandardCharsets.UTF_8);
    return exchange(controller, method, target, body).reply;
  }

  public Reply get(String controller, String target) {
    return send(controller, "GET", target, null);
  }

  /** Opens a watch and fails if it is answered with a body instead of a stream. */
  public WatchEvents watch(String controller, String target) {
    CapturedExchange captured = exchange(controller, "GET", target, new byte[0]);
    if (captured.reply.body() != null) {
      throw new AssertionError(captured.reply.toString());
    }
    return captured.events;
  }

  /** Returns the API as a service of the simulated network, for requests between controllers. */
  static RequestHandler asService(KubernetesApi api) {
    return (method, path, body, done) ->
        api.handle(
            request(method, path, body == null ? new byte[0] : body),
            new HttpExchange() {
              @Override
              public void answer(int code, ObjectNode answer, int retryAfterSeconds) {
                done.accept(
                    new RequestHandler.HttpResponse(
                        code,
                        KubernetesJson.toBytes(answer),
                        retryAfterSeconds,
                        "application/json"));
              }

              @Override
              public EventStream startStream(Runnable closed) {
                throw new IllegalStateException(
                    "watch streams between controllers are not simulated");
              }
            });
  }
}
