package io.violetrail.fakes;

import io.undertow.server.DefaultByteBufferPool;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.net.RequestHandler;
import io.violetrail.net.UndertowEventLoop;
import io.violetrail.net.UndertowHttpClient;
import io.violetrail.net.UndertowServer;
import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Runs a simulation by the real clock and serves its fakes on loopback, for controllers that are
 * real processes. Everything runs on one I/O thread, under the loop's lock.
 */
public final class RealTimeSimulation {
  public static final String HOST = "127.0.0.1";
  private static final double STEP_SECONDS = 0.002;
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int BUFFER_COUNT = 4_096;

  private final ClusterSimulation simulation;
  private final XnioWorker worker;
  private final UndertowEventLoop loop;
  private final DefaultByteBufferPool buffers =
      new DefaultByteBufferPool(true, BUFFER_BYTES, BUFFER_COUNT, 0);
  private double lastStepAtSeconds;
  private volatile boolean stopped;

  /** Serves the simulated services on real sockets, from a single I/O thread. */
  public RealTimeSimulation(ClusterSimulation simulation) throws IOException {
    this.simulation = simulation;
    this.worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    this.loop = new UndertowEventLoop(worker.getIoThread());
  }

  /** Creates a client with its own connections. */
  public UndertowHttpClient newHttpClient() {
    return new UndertowHttpClient(worker.getIoThread(), loop, buffers);
  }

  public UndertowEventLoop loop() {
    return loop;
  }

  /** Starts to advance the simulation's time with the real clock. */
  public void start() {
    lastStepAtSeconds = loop.monotonicSeconds();
    loop.schedule(STEP_SECONDS, this::advance);
  }

  private void advance() {
    if (stopped) {
      return;
    }
    double nowSeconds = loop.monotonicSeconds();
    simulation.runFor(nowSeconds - lastStepAtSeconds);
    lastStepAtSeconds = nowSeconds;
    loop.schedule(STEP_SECONDS, this::advance);
  }

  /** Serves {@code service} at a port of the loopback address. */
  public void serve(int port, RequestHandler service) {
    UndertowServer.start(new HostPort(HOST, port), service, loop, worker, buffers);
  }

  /** Wraps a service that expects the caller's name in front of the path. */
  public static RequestHandler withCaller(String caller, RequestHandler service) {
    return (method, path, body, done) -> service.handle(method, caller + " " + path, body, done);
  }

  /** Stops the simulation's time and closes all connections. */
  public void stop() {
    stopped = true;
    worker.shutdownNow();
  }
}
