package io.violetrail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.wire.kubernetes.KubernetesJson;
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

/** Calls the controllers' HTTP API for the command line. Blocking and stateless. */
final class ControllerClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final List<String> servers;

  /**
   * Creates a client of the controllers' HTTP API.
   *
   * @param servers API addresses, host:port, which are tried in this order
   */
  ControllerClient(List<String> servers) {
    this.servers = List.copyOf(servers);
  }

  /** A controller's reply. */
  record Reply(int status, JsonNode body) {
    boolean isSuccessful() {
      return status >= 200 && status < 300;
    }

    /** Returns the reply's error text, or the HTTP status if it contains none. */
    String errorText() {
      return body.path("error").asText("status " + status);
    }
  }

  /** Thrown if no controller has answered a request. */
  static final class NoAnswerException extends Exception {
    private static final long serialVersionUID = 1L;
    private final boolean mayHaveBeenReceived;

    NoAnswerException(String reason, boolean mayHaveBeenReceived) {
      super(reason);
      this.mayHaveBeenReceived = mayHaveBeenReceived;
    }

    /** Returns whether a controller may have received the request and carried it out. */
    boolean mayHaveBeenReceived() {
      return mayHaveBeenReceived;
    }
  }

  /**
   * Sends a read to the controllers in turn until one answers.
   *
   * @throws NoAnswerException if no controller answers
   */
  Reply get(String path) throws NoAnswerException {
    return send("GET", path, null);
  }

  /**
   * Sends a request to the first controller that can be reached. If a controller may have received
   * the request but has not answered, the request is retried at the next one only if it is a read.
   *
   * @param body JSON, or null for none
   * @throws NoAnswerException if no controller answers
   */
  Reply send(String method, String path, byte[] body) throws NoAnswerException {
    StringBuilder failures = new StringBuilder();
    for (String server : servers) {
      failures.append(failures.isEmpty() ? "" : "; ").append(server).append(" did not answer: ");
      try {
        return send(server, method, path, body);
      } catch (ConnectException exception) {
        failures.append("connection failed");
      } catch (IOException
          | KubernetesJson.MalformedRequestException
          | IllegalArgumentException exception) {
        failures.append(exception.getMessage());
        if (!method.equals("GET")) {
          throw new NoAnswerException(
              failures.toString(), !(exception instanceof IllegalArgumentException));
        }
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        throw new NoAnswerException(failures + "interrupted", true);
      }
    }
    throw new NoAnswerException(failures.toString(), false);
  }

  private static Reply send(String server, String method, String path, byte[] body)
      throws IOException, InterruptedException, KubernetesJson.MalformedRequestException {
    BodyPublisher publisher =
        body == null ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(body);
    var response =
        HttpClient.newHttpClient()
            .send(
                HttpRequest.newBuilder(URI.create("http://" + server + path))
                    .timeout(TIMEOUT)
                    .method(method, publisher)
                    .build(),
                BodyHandlers.ofByteArray());
    return new Reply(response.statusCode(), KubernetesJson.parse(response.body()));
  }
}
