package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.net.UndertowLoop;
import io.violetrail.net.UndertowServer;
import io.violetrail.wire.kubernetes.KubeJson;
import io.violetrail.wire.kubernetes.KubeStatus;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.XnioWorker;

/** Serves the API over HTTP. Bodies, and what waits to be read by a watch's client, are bounded. */
public final class Listener {

  /** A client that lets more than this wait does not read. */
  private static final int MAX_UNREAD = 1 << 20;

  private Listener() {}

  /** Opens the API's HTTP listener and returns once it accepts connections. */
  public static void start(
      HostPort at,
      KubernetesApi api,
      UndertowLoop loop,
      XnioWorker worker,
      ByteBufferPool buffers) {
    UndertowServer.bounded(at, worker, buffers)
        .setHandler(exchange -> accept(exchange, api, loop))
        .build()
        .start();
  }

  private static void accept(HttpServerExchange http, KubernetesApi api, UndertowLoop loop) {
    Answering to = new Answering(http, loop);
    if (http.getRequestContentLength() > UndertowServer.MAX_BODY) {
      http.setPersistent(false);
      to.answer(
          KubeStatus.tooLarge("the body is longer than " + UndertowServer.MAX_BODY + " bytes"));
      return;
    }
    http.getRequestReceiver()
        .receiveFullBytes(
            (ex, body) ->
                ex.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> loop.locked(() -> api.handle(request(ex, body), to))),
            (ex, failure) -> {
              ex.setPersistent(false);
              to.answer(KubeStatus.tooLarge("the body cannot be read"));
            });
  }

  private static Exchange.Request request(HttpServerExchange http, byte[] body) {
    Map<String, String> query = new HashMap<>();
    http.getQueryParameters().forEach((name, values) -> query.put(name, values.getLast()));
    return new Exchange.Request(
        http.getRequestMethod().toString(),
        http.getRequestPath(),
        query,
        http.getRequestHeaders().getFirst(Headers.CONTENT_TYPE),
        body);
  }

  private record Answering(HttpServerExchange http, UndertowLoop loop) implements Exchange {
    @Override
    public void answer(int code, ObjectNode body, int againS) {
      if (http.isResponseStarted()) {
        return;
      }
      http.setStatusCode(code);
      http.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
      if (againS > 0) {
        http.getResponseHeaders().put(Headers.RETRY_AFTER, againS);
      }
      http.getResponseSender().send(ByteBuffer.wrap(KubeJson.bytes(body)));
    }

    @Override
    public Stream stream(Runnable closed) {
      http.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
      Lines lines = new Lines(http, loop, closed);
      // An empty line, so that the headers leave: a client waited for them until the first event.
      lines.send(new byte[] {'\n'});
      return lines;
    }
  }

  /** A stream of lines; what a slow client has not read yet is kept up to a bound. */
  private static final class Lines implements Exchange.Stream, IoCallback {
    private final HttpServerExchange http;
    private final UndertowLoop loop;
    private final Runnable closed;
    private final ArrayDeque<byte[]> unread = new ArrayDeque<>();
    private int bytes;
    private boolean sending;
    private boolean ending;
    private boolean over;

    Lines(HttpServerExchange http, UndertowLoop loop, Runnable closed) {
      this.http = http;
      this.loop = loop;
      this.closed = closed;
    }

    @Override
    public boolean send(byte[] lines) {
      if (over || bytes + lines.length > MAX_UNREAD) {
        IoUtils.safeClose(http.getConnection());
        over = true;
        return false;
      }
      unread.add(lines);
      bytes += lines.length;
      next();
      return true;
    }

    private void next() {
      if (sending || over) {
        return;
      }
      byte[] lines = unread.poll();
      if (lines != null) {
        sending = true;
        bytes -= lines.length;
        http.getResponseSender().send(ByteBuffer.wrap(lines), this);
      } else if (ending) {
        over = true;
        http.endExchange();
      }
    }

    @Override
    public void end() {
      ending = true;
      next();
    }

    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
      // Not within the sender's own call, which would nest once for each line that waits.
      loop.execute(
          () -> {
            sending = false;
            next();
          });
    }

    @Override
    public void onException(HttpServerExchange exchange, Sender sender, IOException e) {
      loop.execute(
          () -> {
            over = true;
            IoUtils.safeClose(http.getConnection());
            closed.run();
          });
    }
  }
}
