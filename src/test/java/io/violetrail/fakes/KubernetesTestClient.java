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

/** A client of the Kubernetes API that waits for its answers. */
public final class KubernetesTestClient {
  private final ClusterSimulation simulation;

  public KubernetesTestClient(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  /** An answer: a code and a document. */
  public record Reply(int status, JsonNode body) {}

  /** Events of a watch, as far as they have come. */
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
    CapturedExchange answer = new CapturedExchange();
    simulation.kubernetesApis().get(controller).handle(request(method, target, body), answer);
    simulation.runUntil(10, () -> answer.reply != null);
    return answer;
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
    CapturedExchange answer = exchange(controller, "GET", target, new byte[0]);
    if (answer.reply.body() != null) {
      throw new AssertionError(answer.reply.toString());
    }
    return answer.events;
  }

  /** The API as a place in the fakes' network, for what controllers ask one another. */
  static RequestHandler asService(KubernetesApi api) {
    return (method, path, body, done) ->
        api.handle(
            request(method, path, body == null ? new byte[0] : body),
            new HttpExchange() {
              @Override
              public void answer(int code, ObjectNode answer, int againS) {
                done.accept(
                    new RequestHandler.HttpAnswer(
                        code, KubernetesJson.toBytes(answer), againS, "application/json"));
              }

              @Override
              public EventStream startStream(Runnable closed) {
                throw new IllegalStateException("no streams between controllers");
              }
            });
  }
}
