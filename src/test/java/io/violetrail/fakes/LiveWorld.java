package io.violetrail.fakes;

import io.undertow.server.DefaultByteBufferPool;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.net.Service;
import io.violetrail.net.UndertowHttp;
import io.violetrail.net.UndertowLoop;
import io.violetrail.net.UndertowServer;
import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Runs a world's parts by the real clock and serves them on loopback, for controllers that are real
 * processes. Everything happens on one I/O thread, under the loop's lock.
 */
public final class LiveWorld {
  public static final String HOST = "127.0.0.1";
  private static final double STEP_S = 0.002;
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int BUFFERS = 4_096;

  private final World world;
  private final XnioWorker worker;
  private final UndertowLoop loop;
  private final DefaultByteBufferPool buffers =
      new DefaultByteBufferPool(true, BUFFER_BYTES, BUFFERS, 0);
  private double lastS;
  private volatile boolean stopped;

  /** Serves the simulated services on real sockets, from a single I/O thread. */
  public LiveWorld(World world) throws IOException {
    this.world = world;
    this.worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    this.loop = new UndertowLoop(worker.getIoThread());
  }

  /** A client with connections of its own. */
  public UndertowHttp newHttp() {
    return new UndertowHttp(worker.getIoThread(), loop, buffers);
  }

  public UndertowLoop loop() {
    return loop;
  }

  /** Lets the world's time pass from now on. */
  public void start() {
    lastS = loop.seconds();
    loop.after(STEP_S, this::step);
  }

  private void step() {
    if (stopped) {
      return;
    }
    double now = loop.seconds();
    world.run(now - lastS);
    lastS = now;
    loop.after(STEP_S, this::step);
  }

  /** Serves at a port of the loopback address. */
  public void serve(int port, Service service) {
    UndertowServer.start(new HostPort(HOST, port), service, loop, worker, buffers);
  }

  /** The state service or the cloud, which are told who asks. */
  public static Service askedBy(String who, Service service) {
    return (method, path, body, done) -> service.handle(method, who + " " + path, body, done);
  }

  /** Ends the world's time and all connections. */
  public void stop() {
    stopped = true;
    worker.shutdownNow();
  }
}
