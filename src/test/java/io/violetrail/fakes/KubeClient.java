package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.kubernetes.Exchange;
import io.violetrail.kubernetes.KubernetesApi;
import io.violetrail.net.Service;
import io.violetrail.wire.kubernetes.KubeJson;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A client of the Kubernetes API that waits for its answers. */
public final class KubeClient {
  private final World world;

  public KubeClient(World world) {
    this.world = world;
  }

  /** An answer: a code and a document. */
  public record Reply(int code, JsonNode body) {}

  /** Events of a watch, as far as they have come. */
  public static final class Events implements Exchange.Stream {
    public final List<JsonNode> all = new ArrayList<>();
    public boolean ended;

    @Override
    public boolean send(byte[] lines) {
      try {
        for (String line : new String(lines, StandardCharsets.UTF_8).split("\n", 0)) {
          all.add(KubeJson.parse(line.getBytes(StandardCharsets.UTF_8)));
        }
      } catch (KubeJson.Malformed e) {
        throw new IllegalStateException(e);
      }
      return true;
    }

    @Override
    public void end() {
      ended = true;
    }
  }

  private static final class Answer implements Exchange {
    private final Events events = new Events();
    private Reply reply;

    @Override
    public void answer(int code, ObjectNode body, int againS) {
      reply = new Reply(code, body);
    }

    @Override
    public Stream stream(Runnable closed) {
      reply = new Reply(200, null);
      return events;
    }
  }

  private static Exchange.Request request(String method, String target, byte[] body) {
    int mark = target.indexOf('?');
    Map<String, String> query = new HashMap<>();
    if (mark >= 0) {
      for (String part : target.substring(mark + 1).split("&", 0)) {
        int is = part.indexOf('=');
        query.put(part.substring(0, is), part.substring(is + 1));
      }
    }
    return new Exchange.Request(
        method, mark < 0 ? target : target.substring(0, mark), query, "application/json", body);
  }

  private Answer ask(String node, String method, String target, byte[] body) {
    Answer answer = new Answer();
    world.kubernetesApis.get(node).handle(request(method, target, body), answer);
    world.until(10, () -> answer.reply != null);
    return answer;
  }

  public Reply send(String node, String method, String target, String json) {
    byte[] body = json == null ? new byte[0] : json.getBytes(StandardCharsets.UTF_8);
    return ask(node, method, target, body).reply;
  }

  public Reply get(String node, String target) {
    return send(node, "GET", target, null);
  }

  /** Opens a watch and fails if it is answered with a body instead of a stream. */
  public Events watch(String node, String target) {
    Answer answer = ask(node, "GET", target, new byte[0]);
    if (answer.reply.body() != null) {
      throw new AssertionError(answer.reply.toString());
    }
    return answer.events;
  }

  /** The API as a place in the fakes' network, for what controllers ask one another. */
  static Service served(KubernetesApi api) {
    return (method, path, body, done) ->
        api.handle(
            request(method, path, body == null ? new byte[0] : body),
            new Exchange() {
              @Override
              public void answer(int code, ObjectNode answer, int againS) {
                done.accept(
                    new Service.Answer(code, KubeJson.bytes(answer), againS, "application/json"));
              }

              @Override
              public Stream stream(Runnable closed) {
                throw new IllegalStateException("no streams between controllers");
              }
            });
  }
}
