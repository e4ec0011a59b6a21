package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.net.UndertowEventLoop;
import io.violetrail.net.UndertowServer;
import io.violetrail.wire.kubernetes.KubernetesJson;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.XnioWorker;

/**
 * Serves the Kubernetes API over HTTP. Request bodies and the unsent bytes of each watch are
 * bounded.
 */
public final class KubernetesHttpServer {

  /** Maximum number of unsent bytes of a watch; a client that reads too slowly is disconnected. */
  private static final int MAX_PENDING_BYTES = 1 << 20;

  private KubernetesHttpServer() {}

  /** Opens the API's HTTP listener and returns once it accepts connections. */
  public static void start(
      HostPort address,
      KubernetesApi api,
      UndertowEventLoop loop,
      XnioWorker worker,
      ByteBufferPool buffers) {
    UndertowServer.boundedListener(address, worker, buffers)
        .setHandler(exchange -> handleExchange(exchange, api, loop))
        .build()
        .start();
  }

  private static void handleExchange(
      HttpServerExchange serverExchange, KubernetesApi api, UndertowEventLoop loop) {
    UndertowExchange exchange = new UndertowExchange(serverExchange, loop);
    if (serverExchange.getRequestContentLength() > UndertowServer.MAX_BODY_BYTES) {
      serverExchange.setPersistent(false);
      exchange.answer(
          KubernetesStatus.tooLarge(
              "the body has "
                  + serverExchange.getRequestContentLength()
                  + " bytes; the limit is "
                  + UndertowServer.MAX_BODY_BYTES));
      return;
    }
    serverExchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> loop.runLocked(() -> api.handle(toRequest(received, body), exchange))),
            (received, failure) -> {
              received.setPersistent(false);
              exchange.answer(
                  KubernetesStatus.tooLarge(
                      "the body cannot be read; it may exceed the limit of "
                          + UndertowServer.MAX_BODY_BYTES
                          + " bytes"));
            });
  }

  private static HttpExchange.Request toRequest(HttpServerExchange serverExchange, byte[] body) {
    Map<String, String> query = new HashMap<>();
    serverExchange
        .getQueryParameters()
        .forEach((name, values) -> query.put(name, values.getLast()));
    return new HttpExchange.Request(
        serverExchange.getRequestMethod().toString(),
        serverExchange.getRequestPath(),
        query,
        serverExchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE),
        body);
  }

  private record UndertowExchange(HttpServerExchange serverExchange, UndertowEventLoop loop)
      implements HttpExchange {
    @Override
    public void answer(int code, ObjectNode body, int retryAfterSeconds) {
      if (serverExchange.isResponseStarted()) {
        return;
      }
      serverExchange.setStatusCode(code);
      serverExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
      if (retryAfterSeconds > 0) {
        serverExchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterSeconds);
      }
      serverExchange.getResponseSender().send(ByteBuffer.wrap(KubernetesJson.toBytes(body)));
    }

    @Override
    public EventStream startStream(Runnable onClosed) {
      serverExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
      LineStream lines = new LineStream(serverExchange, loop, onClosed);
      // An empty line flushes the headers. Without it, a client would receive them only with the
      // first event.
      lines.send(new byte[] {'\n'});
      return lines;
    }
  }

  /**
   * A stream of lines. Lines that a slow client has not read yet are buffered, up to {@link
   * #MAX_PENDING_BYTES}.
   */
  private static final class LineStream implements HttpExchange.EventStream, IoCallback {
    private final HttpServerExchange serverExchange;
    private final UndertowEventLoop loop;
    private final Runnable onClosed;
    private final ArrayDeque<byte[]> pendingLines = new ArrayDeque<>();
    private int pendingBytes;
    private boolean sending;
    private boolean endRequested;
    private boolean terminated;

    LineStream(HttpServerExchange serverExchange, UndertowEventLoop loop, Runnable onClosed) {
      this.serverExchange = serverExchange;
      this.loop = loop;
      this.onClosed = onClosed;
    }

    @Override
    public boolean send(byte[] lines) {
      if (terminated || pendingBytes + lines.length > MAX_PENDING_BYTES) {
        IoUtils.safeClose(serverExchange.getConnection());
        terminated = true;
        return false;
      }
      pendingLines.add(lines);
      pendingBytes += lines.length;
      sendNext();
      return true;
    }

    private void sendNext() {
      if (sending || terminated) {
        return;
      }
      byte[] lines = pendingLines.poll();
      if (lines != null) {
        sending = true;
        pendingBytes -= lines.length;
        serverExchange.getResponseSender().send(ByteBuffer.wrap(lines), this);
      } else if (endRequested) {
        terminated = true;
        serverExchange.endExchange();
      }
    }

    @Override
    public void end() {
      endRequested = true;
      sendNext();
    }

    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
      // Sends the next line from the event loop: if it were sent from within this callback, the
      // calls would nest once for each pending line.
      loop.execute(
          () -> {
            sending = false;
            sendNext();
          });
    }

    @Override
    public void onException(HttpServerExchange exchange, Sender sender, IOException exception) {
      loop.execute(
          () -> {
            terminated = true;
            IoUtils.safeClose(serverExchange.getConnection());
            onClosed.run();
          });
    }
  }
}
