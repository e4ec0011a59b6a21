package io.violetrail.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import io.violetrail.config.Settings.HostPort;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * An HTTP client on Undertow with a bounded connection pool for each address. A connection carries
 * one request at a time.
 */
public final class UndertowHttpClient implements HttpClient {
  private static final int MAX_CONNECTIONS_PER_ADDRESS = 8;
  private static final int MAX_QUEUED_CALLS = 128;
  private static final int MAX_RESPONSE_BYTES = 4 << 20;

  private final XnioIoThread thread;
  private final UndertowEventLoop loop;
  private final ByteBufferPool buffers;
  private final Map<HostPort, ConnectionPool> pools = new HashMap<>();

  /** Creates a client whose connections and callbacks run on the given I/O thread. */
  public UndertowHttpClient(XnioIoThread thread, UndertowEventLoop loop, ByteBufferPool buffers) {
    this.thread = thread;
    this.loop = loop;
    this.buffers = buffers;
  }

  @Override
  public CompletableFuture<ClientResponse> call(
      HostPort address, String method, String path, byte[] body, double timeoutSeconds) {
    return start(
        pools.computeIfAbsent(address, p -> new ConnectionPool(p, true)),
        method,
        path,
        body,
        timeoutSeconds);
  }

  @Override
  public CompletableFuture<ClientResponse> callOnce(
      HostPort address, String method, String path, byte[] body, double timeoutSeconds) {
    return start(new ConnectionPool(address, false), method, path, body, timeoutSeconds);
  }

  private CompletableFuture<ClientResponse> start(
      ConnectionPool pool, String method, String path, byte[] body, double timeoutSeconds) {
    PendingCall call = new PendingCall(pool, method, path, body);
    call.timer =
        loop.schedule(
            timeoutSeconds,
            () ->
                call.fail(
                    new IOException(
                        "no response from "
                            + pool.address.host()
                            + ":"
                            + pool.address.port()
                            + " within "
                            + timeoutSeconds
                            + " s")));
    pool.startOrQueue(call);
    return call.future;
  }

  private final class ConnectionPool {
    private final HostPort address;
    private final URI uri;
    private final ArrayDeque<ClientConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<PendingCall> queuedCalls = new ArrayDeque<>();
    private final boolean keepsConnections;
    private int openConnectionCount;

    ConnectionPool(HostPort address, boolean keepsConnections) {
      this.address = address;
      this.keepsConnections = keepsConnections;
      this.uri = URI.create("http://" + address.host() + ":" + address.port());
    }

    void startOrQueue(PendingCall call) {
      ClientConnection connection;
      while ((connection = idleConnections.pollLast()) != null) {
        if (connection.isOpen()) {
          call.send(connection);
          return;
        }
        openConnectionCount--;
      }
      if (openConnectionCount < MAX_CONNECTIONS_PER_ADDRESS) {
        openConnectionCount++;
        connect(call);
      } else if (queuedCalls.size() < MAX_QUEUED_CALLS) {
        queuedCalls.add(call);
      } else {
        call.fail(
            new IOException(
                MAX_QUEUED_CALLS
                    + " requests are already queued for "
                    + address.host()
                    + ":"
                    + address.port()));
      }
    }

    private void connect(PendingCall call) {
      call.holdsConnectionSlot = true;
      UndertowClient.getInstance()
          .connect(
              new ClientCallback<ClientConnection>() {
                @Override
                public void completed(ClientConnection connection) {
                  loop.runLocked(
                      () -> {
                        if (call.future.isDone()) {
                          IoUtils.safeClose(connection);
                        } else {
                          call.holdsConnectionSlot = false;
                          call.send(connection);
                        }
                      });
                }

                @Override
                public void failed(IOException exception) {
                  loop.runLocked(() -> call.fail(exception));
                }
              },
              uri,
              thread,
              buffers,
              OptionMap.EMPTY);
    }

    void releaseConnection(ClientConnection connection, boolean reusable) {
      if (keepsConnections && reusable && connection.isOpen()) {
        idleConnections.addLast(connection);
      } else {
        IoUtils.safeClose(connection);
        openConnectionCount--;
      }
      startNextCall();
    }

    void startNextCall() {
      PendingCall call;
      while ((call = queuedCalls.poll()) != null) {
        if (!call.future.isDone()) {
          startOrQueue(call);
          return;
        }
      }
    }
  }

  private final class PendingCall {
    private final ConnectionPool pool;
    private final String method;
    private final String path;
    private final byte[] body;
    private final CompletableFuture<ClientResponse> future = new CompletableFuture<>();
    private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream(256);
    private EventLoop.Cancellable timer;
    private ClientConnection connection;
    private boolean holdsConnectionSlot;

    PendingCall(ConnectionPool pool, String method, String path, byte[] body) {
      this.pool = pool;
      this.method = method;
      this.path = path;
      this.body = body;
    }

    void fail(IOException exception) {
      if (future.isDone()) {
        return;
      }
      timer.cancel();
      future.completeExceptionally(exception);
      if (connection != null) {
        pool.releaseConnection(connection, false);
      } else if (holdsConnectionSlot) {
        pool.openConnectionCount--;
        pool.startNextCall();
      }
    }

    void send(ClientConnection openConnection) {
      connection = openConnection;
      ClientRequest request =
          new ClientRequest()
              .setMethod(new HttpString(method))
              .setPath(path)
              .setProtocol(Protocols.HTTP_1_1);
      request
          .getRequestHeaders()
          .put(Headers.HOST, pool.address.host() + ":" + pool.address.port());
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body == null ? 0 : body.length);
      if (body != null) {
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
      }
      openConnection.sendRequest(
          request,
          new ExchangeCallback() {
            @Override
            void onExchange(ClientExchange exchange) {
              exchange.setResponseListener(
                  new ExchangeCallback() {
                    @Override
                    void onExchange(ClientExchange answeredExchange) {
                      readResponse(answeredExchange, answeredExchange.getResponseChannel());
                    }
                  });
              writeRequest(exchange.getRequestChannel());
            }
          });
    }

    private abstract class ExchangeCallback implements ClientCallback<ClientExchange> {
      abstract void onExchange(ClientExchange exchange);

      @Override
      public void completed(ClientExchange exchange) {
        loop.runLocked(() -> onExchange(exchange));
      }

      @Override
      public void failed(IOException exception) {
        loop.runLocked(() -> fail(exception));
      }
    }

    private void writeRequest(StreamSinkChannel channel) {
      try {
        ByteBuffer remaining = body == null ? ByteBuffer.allocate(0) : ByteBuffer.wrap(body);
        while (remaining.hasRemaining()) {
          if (channel.write(remaining) == 0) {
            channel.getWriteSetter().set(c -> loop.runLocked(() -> writeRemaining(c, remaining)));
            channel.resumeWrites();
            return;
          }
        }
        finishRequest(channel);
      } catch (IOException exception) {
        fail(exception);
      }
    }

    private void writeRemaining(StreamSinkChannel channel, ByteBuffer remaining) {
      try {
        while (remaining.hasRemaining()) {
          if (channel.write(remaining) == 0) {
            return;
          }
        }
        channel.suspendWrites();
        finishRequest(channel);
      } catch (IOException exception) {
        fail(exception);
      }
    }

    private void finishRequest(StreamSinkChannel channel) throws IOException {
      channel.shutdownWrites();
      if (!channel.flush()) {
        channel
            .getWriteSetter()
            .set(
                ChannelListeners.flushingChannelListener(
                    null, (c, exception) -> loop.runLocked(() -> fail(exception))));
        channel.resumeWrites();
      }
    }

    private void readResponse(ClientExchange exchange, StreamSourceChannel channel) {
      try {
        ByteBuffer buffer = ByteBuffer.allocate(8192);
        while (true) {
          int bytesRead = channel.read(buffer);
          if (bytesRead == 0) {
            channel.getReadSetter().set(c -> loop.runLocked(() -> readResponse(exchange, c)));
            channel.resumeReads();
            return;
          }
          if (bytesRead < 0) {
            complete(exchange);
            return;
          }
          responseBody.write(buffer.array(), 0, bytesRead);
          buffer.clear();
          if (responseBody.size() > MAX_RESPONSE_BYTES) {
            throw new IOException("response body exceeds " + MAX_RESPONSE_BYTES + " bytes");
          }
        }
      } catch (IOException exception) {
        fail(exception);
      }
    }

    private void complete(ClientExchange exchange) {
      if (future.isDone()) {
        return;
      }
      timer.cancel();
      boolean reusable =
          !"close"
              .equalsIgnoreCase(
                  exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
      // Undertow finishes the exchange after this callback returns, so the connection can be reused
      // only in a later callback.
      loop.execute(() -> pool.releaseConnection(connection, reusable));
      future.complete(
          new ClientResponse(exchange.getResponse().getResponseCode(), responseBody.toByteArray()));
    }
  }
}
