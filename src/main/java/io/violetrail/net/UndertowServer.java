package io.violetrail.net;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.violetrail.config.Settings.HostPort;
import java.nio.ByteBuffer;
import org.xnio.XnioWorker;

/**
 * Serves a {@link Service} over HTTP. Bodies are bounded and read whole before the service sees
 * them.
 */
public final class UndertowServer {
  public static final int MAX_BODY = 64 * 1024;
  private static final int IDLE_MS = 90_000;

  private UndertowServer() {}

  /** Opens an HTTP listener for the service and returns once it accepts connections. */
  public static void start(
      HostPort at, Service service, UndertowLoop loop, XnioWorker worker, ByteBufferPool buffers) {
    bounded(at, worker, buffers)
        .setHandler(exchange -> accept(exchange, service, loop))
        .build()
        .start();
  }

  /** A listener whose requests, headers and waits are bounded. */
  public static Undertow.Builder bounded(HostPort at, XnioWorker worker, ByteBufferPool buffers) {
    return Undertow.builder()
        .addHttpListener(at.port(), at.host())
        .setWorker(worker)
        .setByteBufferPool(buffers)
        // One byte more than the limit is let through, so that the service itself can tell the
        // user.
        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_BODY + 1)
        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 8192)
        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MS)
        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 10_000)
        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false);
  }

  private static void accept(HttpServerExchange exchange, Service service, UndertowLoop loop) {
    if (exchange.getRequestContentLength() > MAX_BODY) {
      exchange.setPersistent(false);
      answer(exchange, Service.Answer.empty(400));
      return;
    }
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (ex, body) ->
                ex.dispatch(
                    SameThreadExecutor.INSTANCE, () -> loop.locked(() -> serve(ex, body, service))),
            (ex, failure) -> {
              ex.setPersistent(false);
              answer(ex, Service.Answer.empty(400));
            });
  }

  private static void serve(HttpServerExchange exchange, byte[] body, Service service) {
    String method = exchange.getRequestMethod().toString();
    String query = exchange.getQueryString();
    String path = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
    try {
      service.handle(method, path, body, answer -> answer(exchange, answer));
    } catch (RuntimeException e) {
      answer(exchange, Service.Answer.empty(500));
      throw e;
    }
  }

  private static void answer(HttpServerExchange exchange, Service.Answer answer) {
    if (exchange.isResponseStarted()) {
      return;
    }
    exchange.setStatusCode(answer.status());
    if (answer.retryAfterS() > 0) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, answer.retryAfterS());
    }
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, answer.type());
    exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
  }
}
