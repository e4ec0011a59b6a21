package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executors;

/** What all stand-ins share: CBOR, HTTP on loopback, free ports, time, the record. */
final class Kit {
  static final String HOST = "127.0.0.1";
  static final CBORMapper CBOR = new CBORMapper();

  private static final long START_NANOS = System.nanoTime();
  private static PrintWriter record;

  private Kit() {}

  static {
    // The protocol keeps connections open until one side closes them.
    System.setProperty("sun.net.httpserver.idleInterval", "100000");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  /** Seconds of the steady clock since the start of the script. */
  static double now() {
    return (System.nanoTime() - START_NANOS) / 1e9;
  }

  static void openRecord(Path file) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(file));
  }

  static synchronized void log(String format, Object... values) {
    String line = String.format(Locale.ROOT, "%8.3f ", now())
        + String.format(Locale.ROOT, format, values);
    record.println(line);
    record.flush();
  }

  static ObjectNode map() {
    return CBOR.createObjectNode();
  }

  static byte[] encode(JsonNode node) {
    try {
      return CBOR.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  static ObjectNode decode(byte[] body) throws IOException {
    if (body == null || body.length == 0) {
      return map();
    }
    JsonNode node = CBOR.readTree(body);
    return node instanceof ObjectNode object ? object : map();
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }

  /** Distinct free ports: all are open at the same time before any is given back. */
  static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST));
      sockets.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep(Math.max(0, (long) (seconds * 1000)));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  record Reply(int status, byte[] body) {
    ObjectNode json() {
      try {
        return decode(body);
      } catch (IOException e) {
        return map();
      }
    }
  }

  /** A client with its own connections. */
  static HttpClient newClient() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(2))
        .build();
  }

  private static final HttpClient USERS = newClient();

  static Reply call(
      HttpClient client, String method, String address, String path, byte[] body, double timeout)
      throws IOException, InterruptedException {
    HttpRequest.BodyPublisher publisher =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(body);
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis((long) (timeout * 1000)))
            .method(method, publisher);
    HttpResponse<byte[]> response =
        client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
    return new Reply(response.statusCode(), response.body());
  }

  /** A user's request; null if there is no response. */
  static Reply user(String method, String address, String path, byte[] body, double timeout) {
    try {
      return call(USERS, method, address, path, body, timeout);
    } catch (IOException e) {
      return null;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  /** Handles a request; null leaves it without an answer and closes the connection. */
  interface Handler {
    Reply handle(String method, String path, String query, byte[] body) throws Exception;
  }

  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(HOST, port), 200);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext(
        "/",
        exchange -> {
          byte[] body = exchange.getRequestBody().readAllBytes();
          Reply reply;
          try {
            reply =
                handler.handle(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().getPath(),
                    exchange.getRequestURI().getQuery(),
                    body);
          } catch (Exception e) {
            e.printStackTrace();
            reply = new Reply(400, encode(map().put("error", String.valueOf(e))));
          }
          if (reply == null) {
            exchange.close();
            return;
          }
          try {
            boolean empty = reply.body() == null || reply.body().length == 0;
            exchange.sendResponseHeaders(reply.status(), empty ? -1 : reply.body().length);
            if (!empty) {
              exchange.getResponseBody().write(reply.body());
            }
          } catch (IOException e) {
            // The caller has gone away.
          } finally {
            exchange.close();
          }
        });
    server.start();
    return server;
  }

  static Reply ok(JsonNode body) {
    return new Reply(200, encode(body));
  }

  static String queryValue(String query, String name, String defaultValue) {
    if (query != null) {
      for (String part : query.split("&")) {
        if (part.startsWith(name + "=")) {
          return part.substring(name.length() + 1);
        }
      }
    }
    return defaultValue;
  }
}
