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

/** Calls controllers' HTTP API from the command line; blocks its caller. Keeps no state. */
final class ControllerClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

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
    boolean isSuccessful() {
      return status >= 200 && status < 300;
    }

    /** What the controller says is wrong, or the status where it says nothing. */
    String errorText() {
      return body.path("error").asText("status " + status);
    }
  }

  /** No controller has answered. */
  static final class NoAnswerException extends Exception {
    private static final long serialVersionUID = 1L;
    private final boolean maybeCarriedOut;

    NoAnswerException(String reason, boolean maybeCarriedOut) {
      super(reason);
      this.maybeCarriedOut = maybeCarriedOut;
    }

    /** Whether a controller may have received the request. */
    boolean maybeCarriedOut() {
      return maybeCarriedOut;
    }
  }

  /**
   * Asks the controllers in turn until one answers.
   *
   * @throws NoAnswerException if none does
   */
  Reply get(String path) throws NoAnswerException {
    return send("GET", path, null);
  }

  /**
   * Sends a request to the first controller that can be reached. Only a read is repeated at another
   * one after a failure in which a controller may have received it.
   *
   * @param body JSON, or null for none
   * @throws NoAnswerException if no controller answers
   */
  Reply send(String method, String path, byte[] body) throws NoAnswerException {
    StringBuilder failures = new StringBuilder();
    for (String server : servers) {
      failures.append(failures.isEmpty() ? "" : "; ").append(server).append(" gave no answer: ");
      try {
        return send(server, method, path, body);
      } catch (ConnectException exception) {
        failures.append("it cannot be reached");
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
    BodyPublisher sent = body == null ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(body);
    var answer =
        HttpClient.newHttpClient()
            .send(
                HttpRequest.newBuilder(URI.create("http://" + server + path))
                    .timeout(TIMEOUT)
                    .method(method, sent)
                    .build(),
                BodyHandlers.ofByteArray());
    return new Reply(answer.statusCode(), KubernetesJson.parse(answer.body()));
  }
}
