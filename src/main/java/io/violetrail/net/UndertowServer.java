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
 * Serves a {@link RequestHandler} over HTTP. Request bodies are limited in size and are read
 * completely before the handler is called.
 */
public final class UndertowServer {
  public static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int IDLE_TIMEOUT_MILLIS = 90_000;

  private UndertowServer() {}

  /** Opens an HTTP listener for the handler and returns once it accepts connections. */
  public static void start(
      HostPort address,
      RequestHandler handler,
      UndertowEventLoop loop,
      XnioWorker worker,
      ByteBufferPool buffers) {
    boundedListener(address, worker, buffers)
        .setHandler(exchange -> receiveBody(exchange, handler, loop))
        .build()
        .start();
  }

  /** Returns a builder for a listener with limits on body size, header size and idle time. */
  public static Undertow.Builder boundedListener(
      HostPort address, XnioWorker worker, ByteBufferPool buffers) {
    return Undertow.builder()
        .addHttpListener(address.port(), address.host())
        .setWorker(worker)
        .setByteBufferPool(buffers)
        // One byte more than the limit is accepted, so that the handler can reject the request with
        // an error text for the user.
        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_BODY_BYTES + 1)
        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 8192)
        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 10_000)
        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false);
  }

  private static void receiveBody(
      HttpServerExchange exchange, RequestHandler handler, UndertowEventLoop loop) {
    if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
      exchange.setPersistent(false);
      sendAnswer(exchange, RequestHandler.HttpResponse.empty(400));
      return;
    }
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (ex, body) ->
                ex.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> loop.runLocked(() -> handleRequest(ex, body, handler))),
            (ex, failure) -> {
              ex.setPersistent(false);
              sendAnswer(ex, RequestHandler.HttpResponse.empty(400));
            });
  }

  private static void handleRequest(
      HttpServerExchange exchange, byte[] body, RequestHandler handler) {
    String method = exchange.getRequestMethod().toString();
    String query = exchange.getQueryString();
    String path = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
    try {
      handler.handle(method, path, body, answer -> sendAnswer(exchange, answer));
    } catch (RuntimeException exception) {
      sendAnswer(exchange, RequestHandler.HttpResponse.empty(500));
      throw exception;
    }
  }

  private static void sendAnswer(HttpServerExchange exchange, RequestHandler.HttpResponse answer) {
    if (exchange.isResponseStarted()) {
      return;
    }
    exchange.setStatusCode(answer.status());
    if (answer.retryAfterSeconds() > 0) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, answer.retryAfterSeconds());
    }
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, answer.contentType());
    exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
  }
}
