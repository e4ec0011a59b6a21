package io.violetrail.fakes;

import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.net.Service;
import io.violetrail.net.UndertowHttp;
import io.violetrail.net.UndertowLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The state service, the cloud and its workers as one process on loopback, for controllers that are
 * real processes: to try violetrail without anything else, and to measure its interfaces. The
 * stories' own fakes, run by the real clock.
 */
public final class StandIns {
  private static final String HOST = "127.0.0.1";
  private static final double STEP_S = 0.005;
  private final World world;
  private final int port;
  private final int controllers;
  private UndertowLoop loop;
  private double lastS;

  private StandIns(int port, int controllers, double taskS) {
    this.port = port;
    this.controllers = controllers;
    this.world = new World(controllers, System.nanoTime());
    this.world.cloud.runS = taskS;
  }

  /** Arguments: directory for the settings files, first port, controllers, seconds a task runs. */
  public static void main(String[] args) throws IOException {
    Path dir = Path.of(args[0]);
    StandIns all =
        new StandIns(
            Integer.parseInt(args[1]), Integer.parseInt(args[2]), Double.parseDouble(args[3]));
    Files.createDirectories(dir);
    for (int i = 0; i < all.controllers; i++) {
      Files.writeString(dir.resolve(World.name(i) + ".toml"), all.settings(i));
    }
    all.start();
    System.out.println("settings in " + dir + ", users at port " + all.api(0).port());
  }

  private HostPort api(int i) {
    return new HostPort(HOST, port + 10 + i);
  }

  private String settings(int i) {
    StringBuilder known = new StringBuilder();
    for (int k = 0; k < controllers; k++) {
      if (k != i) {
        known.append(
            "[[known]]\nlabel = \"c%d\"\nzone = \"a\"\naddress = \"%s:%d\"\n"
                .formatted(k, HOST, port + 20 + k));
      }
    }
    return """
        label = "c%d"
        zone = "a"
        api_addr = "%s:%d"
        cluster_listen = "%s:%d"
        %s
        [external]
        cloud = "%s:%d"
        state = "%s:%d"
        [cluster]
        time_bound_ms = 50.0
        [[cluster.teams]]
        name = "red"
        [cluster.workers]
        report_s = 1.0
        lease_s = 10.0
        gang_wait_s = 45.0
        gang_peer_s = 4.0
        cancel_s = 40.0
        [cluster.state]
        rps = %.1f
        write_rps = %.1f
        value_kb = 8.0
        txn_ops = 24
        [cluster.cloud]
        rps = 20.0
        list_lag_s = 5.0
        [cluster.limits]
        cpu_share = 1.0
        memory_mb = 176.0
        sockets = 700
        """
        .formatted(
            i,
            HOST,
            api(i).port(),
            HOST,
            port + 20 + i,
            known,
            HOST,
            port + 1,
            HOST,
            port,
            world.stateLimits.rps(),
            world.stateLimits.writeRps());
  }

  private void start() throws IOException {
    XnioWorker worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .getMap());
    var buffers = new DefaultByteBufferPool(true, 8 * 1024, 256, 0);
    loop = new UndertowLoop(worker.getIoThread());
    var http = new UndertowHttp(worker.getIoThread(), loop, buffers);
    world.outside =
        (node, method, path, body) ->
            http.call(api(Integer.parseInt(node.substring(1))), method, path, body, 4);
    lastS = loop.seconds();
    loop.every(
        STEP_S,
        () -> {
          double now = loop.seconds();
          world.run(now - lastS);
          lastS = now;
        });
    serve(port, world.state, worker, buffers);
    serve(port + 1, world.cloud, worker, buffers);
  }

  private void serve(int at, Service service, XnioWorker worker, DefaultByteBufferPool buffers) {
    Undertow.builder()
        .addHttpListener(at, HOST)
        .setWorker(worker)
        .setByteBufferPool(buffers)
        .setHandler(handler(service))
        .build()
        .start();
  }

  private HttpHandler handler(Service service) {
    return exchange ->
        exchange
            .getRequestReceiver()
            .receiveFullBytes(
                (ex, body) ->
                    ex.dispatch(
                        SameThreadExecutor.INSTANCE,
                        () -> loop.locked(() -> serve(ex, body, service))));
  }

  private static void serve(HttpServerExchange ex, byte[] body, Service service) {
    String query = ex.getQueryString();
    String path = ex.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
    service.handle(
        ex.getRequestMethod().toString(),
        "process " + path,
        body,
        answer -> {
          ex.setStatusCode(answer.status());
          ex.getResponseHeaders().put(Headers.CONTENT_TYPE, answer.type());
          ex.getResponseSender().send(ByteBuffer.wrap(answer.body()));
        });
  }
}
