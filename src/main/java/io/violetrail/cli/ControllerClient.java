package io.violetrail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.wire.kubernetes.KubeJson;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;

/** Asks controllers for the command line. */
final class ControllerClient {
  private static final Duration PATIENCE = Duration.ofSeconds(10);

  private final List<String> servers;

  /**
   * Creates a client of the controllers' HTTP API.
   *
   * @param servers API addresses, host:port; the next one is asked where one cannot be reached
   */
  ControllerClient(List<String> servers) {
    this.servers = List.copyOf(servers);
  }

  /** A controller's answer. */
  record Reply(int status, JsonNode body) {
    boolean ok() {
      return status >= 200 && status < 300;
    }
  }

  /** No controller has answered. */
  static final class NoAnswer extends Exception {
    private static final long serialVersionUID = 1L;
    private final boolean maybeCarriedOut;

    NoAnswer(String why, boolean maybeCarriedOut) {
      super(why);
      this.maybeCarriedOut = maybeCarriedOut;
    }

    /** Whether a controller may have received the request. */
    boolean maybeCarriedOut() {
      return maybeCarriedOut;
    }
  }

  Reply get(String path) throws NoAnswer {
    return send("GET", path, null);
  }

  Reply send(String method, String path, byte[] body) throws NoAnswer {
    StringBuilder why = new StringBuilder();
    for (String server : servers) {
      why.append(why.isEmpty() ? "" : "; ").append(server).append(" gave no answer: ");
      try {
        return send(server, method, path, body);
      } catch (ConnectException e) {
        why.append("it cannot be reached");
      } catch (IOException | KubeJson.Malformed | IllegalArgumentException e) {
        why.append(e.getMessage());
        if (!method.equals("GET")) {
          throw new NoAnswer(why.toString(), !(e instanceof IllegalArgumentException));
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new NoAnswer(why + "interrupted", true);
      }
    }
    throw new NoAnswer(why.toString(), false);
  }

  private static Reply send(String server, String method, String path, byte[] body)
      throws IOException, InterruptedException, KubeJson.Malformed {
    BodyPublisher sent = body == null ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(body);
    var answer =
        HttpClient.newHttpClient()
            .send(
                HttpRequest.newBuilder(URI.create("http://" + server + path))
                    .timeout(PATIENCE)
                    .method(method, sent)
                    .build(),
                BodyHandlers.ofByteArray());
    return new Reply(answer.statusCode(), KubeJson.parse(answer.body()));
  }
}
