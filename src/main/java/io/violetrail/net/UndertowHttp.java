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

/** Undertow's client with a bounded pool of connections to each place, one request on each. */
public final class UndertowHttp implements Http {
  private static final int MAX_CONNECTIONS = 8;
  private static final int MAX_WAITING = 128;
  private static final int MAX_ANSWER = 4 << 20;

  private final XnioIoThread thread;
  private final UndertowLoop loop;
  private final ByteBufferPool buffers;
  private final Map<HostPort, Pool> pools = new HashMap<>();

  /** Creates a client whose connections and callbacks run on the given I/O thread. */
  public UndertowHttp(XnioIoThread thread, UndertowLoop loop, ByteBufferPool buffers) {
    this.thread = thread;
    this.loop = loop;
    this.buffers = buffers;
  }

  @Override
  public CompletableFuture<Reply> call(
      HostPort to, String method, String path, byte[] body, double timeoutS) {
    return start(pools.computeIfAbsent(to, p -> new Pool(p, true)), method, path, body, timeoutS);
  }

  @Override
  public CompletableFuture<Reply> callOnce(
      HostPort to, String method, String path, byte[] body, double timeoutS) {
    return start(new Pool(to, false), method, path, body, timeoutS);
  }

  private CompletableFuture<Reply> start(
      Pool pool, String method, String path, byte[] body, double timeoutS) {
    Call call = new Call(pool, method, path, body);
    call.timer = loop.after(timeoutS, () -> call.fail(new IOException("no answer in time")));
    pool.start(call);
    return call.future;
  }

  private final class Pool {
    private final HostPort to;
    private final URI uri;
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private final boolean keeps;
    private int open;

    Pool(HostPort to, boolean keeps) {
      this.to = to;
      this.keeps = keeps;
      this.uri = URI.create("http://" + to.host() + ":" + to.port());
    }

    void start(Call call) {
      ClientConnection connection;
      while ((connection = idle.pollLast()) != null) {
        if (connection.isOpen()) {
          call.send(connection);
          return;
        }
        open--;
      }
      if (open < MAX_CONNECTIONS) {
        open++;
        connect(call);
      } else if (waiting.size() < MAX_WAITING) {
        waiting.add(call);
      } else {
        call.fail(new IOException("too many requests wait for " + to.host()));
      }
    }

    private void connect(Call call) {
      call.holdsSlot = true;
      UndertowClient.getInstance()
          .connect(
              new ClientCallback<ClientConnection>() {
                @Override
                public void completed(ClientConnection connection) {
                  loop.locked(
                      () -> {
                        if (call.future.isDone()) {
                          IoUtils.safeClose(connection);
                        } else {
                          call.holdsSlot = false;
                          call.send(connection);
                        }
                      });
                }

                @Override
                public void failed(IOException e) {
                  loop.locked(() -> call.fail(e));
                }
              },
              uri,
              thread,
              buffers,
              OptionMap.EMPTY);
    }

    void released(ClientConnection connection, boolean reusable) {
      if (keeps && reusable && connection.isOpen()) {
        idle.addLast(connection);
      } else {
        IoUtils.safeClose(connection);
        open--;
      }
      next();
    }

    void next() {
      Call call;
      while ((call = waiting.poll()) != null) {
        if (!call.future.isDone()) {
          start(call);
          return;
        }
      }
    }
  }

  private final class Call {
    private final Pool pool;
    private final String method;
    private final String path;
    private final byte[] body;
    private final CompletableFuture<Reply> future = new CompletableFuture<>();
    private final ByteArrayOutputStream answer = new ByteArrayOutputStream(256);
    private Loop.Cancellable timer;
    private ClientConnection connection;
    private boolean holdsSlot;

    Call(Pool pool, String method, String path, byte[] body) {
      this.pool = pool;
      this.method = method;
      this.path = path;
      this.body = body;
    }

    void fail(IOException e) {
      if (future.isDone()) {
        return;
      }
      timer.cancel();
      future.completeExceptionally(e);
      if (connection != null) {
        pool.released(connection, false);
      } else if (holdsSlot) {
        pool.open--;
        pool.next();
      }
    }

    void send(ClientConnection on) {
      connection = on;
      ClientRequest request =
          new ClientRequest()
              .setMethod(new HttpString(method))
              .setPath(path)
              .setProtocol(Protocols.HTTP_1_1);
      request.getRequestHeaders().put(Headers.HOST, pool.to.host() + ":" + pool.to.port());
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body == null ? 0 : body.length);
      if (body != null) {
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
      }
      on.sendRequest(
          request,
          new Step() {
            @Override
            void run(ClientExchange exchange) {
              exchange.setResponseListener(
                  new Step() {
                    @Override
                    void run(ClientExchange answered) {
                      read(answered, answered.getResponseChannel());
                    }
                  });
              write(exchange.getRequestChannel());
            }
          });
    }

    private abstract class Step implements ClientCallback<ClientExchange> {
      abstract void run(ClientExchange exchange);

      @Override
      public void completed(ClientExchange exchange) {
        loop.locked(() -> run(exchange));
      }

      @Override
      public void failed(IOException e) {
        loop.locked(() -> fail(e));
      }
    }

    private void write(StreamSinkChannel channel) {
      try {
        ByteBuffer rest = body == null ? ByteBuffer.allocate(0) : ByteBuffer.wrap(body);
        while (rest.hasRemaining()) {
          if (channel.write(rest) == 0) {
            channel.getWriteSetter().set(c -> loop.locked(() -> writeRest(c, rest)));
            channel.resumeWrites();
            return;
          }
        }
        finish(channel);
      } catch (IOException e) {
        fail(e);
      }
    }

    private void writeRest(StreamSinkChannel channel, ByteBuffer rest) {
      try {
        while (rest.hasRemaining()) {
          if (channel.write(rest) == 0) {
            return;
          }
        }
        channel.suspendWrites();
        finish(channel);
      } catch (IOException e) {
        fail(e);
      }
    }

    private void finish(StreamSinkChannel channel) throws IOException {
      channel.shutdownWrites();
      if (!channel.flush()) {
        channel
            .getWriteSetter()
            .set(
                ChannelListeners.flushingChannelListener(
                    null, (c, e) -> loop.locked(() -> fail(e))));
        channel.resumeWrites();
      }
    }

    private void read(ClientExchange exchange, StreamSourceChannel channel) {
      try {
        ByteBuffer buffer = ByteBuffer.allocate(8192);
        while (true) {
          int n = channel.read(buffer);
          if (n == 0) {
            channel.getReadSetter().set(c -> loop.locked(() -> read(exchange, c)));
            channel.resumeReads();
            return;
          }
          if (n < 0) {
            complete(exchange);
            return;
          }
          answer.write(buffer.array(), 0, n);
          buffer.clear();
          if (answer.size() > MAX_ANSWER) {
            throw new IOException("the answer is too long");
          }
        }
      } catch (IOException e) {
        fail(e);
      }
    }

    private void complete(ClientExchange exchange) {
      if (future.isDone()) {
        return;
      }
      timer.cancel();
      boolean keep =
          !"close"
              .equalsIgnoreCase(
                  exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
      // The connection is free only once Undertow has finished the exchange, which is after this
      // turn.
      loop.execute(() -> pool.released(connection, keep));
      future.complete(new Reply(exchange.getResponse().getResponseCode(), answer.toByteArray()));
    }
  }
}
