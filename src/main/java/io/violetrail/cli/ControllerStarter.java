package io.violetrail.cli;

import io.undertow.server.DefaultByteBufferPool;
import io.violetrail.config.Options;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.controller.Controller;
import io.violetrail.kubernetes.KubernetesHttpServer;
import io.violetrail.net.EventLoop;
import io.violetrail.net.HttpClient;
import io.violetrail.net.RequestHandler;
import io.violetrail.net.UndertowEventLoop;
import io.violetrail.net.UndertowHttpClient;
import io.violetrail.net.UndertowServer;
import io.violetrail.tracing.JobTracer;
import io.violetrail.tracing.OpenTelemetryJobTracer;
import java.io.IOException;
import java.util.Random;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Gives a controller its thread, its servers and its HTTP client, and starts it. All of a start
 * happens on the I/O thread, which is the event loop's: the main thread has nothing left to do once
 * that thread runs, and two threads never share a start. Parts that are not switched on are not
 * loaded.
 */
final class ControllerStarter {
  /**
   * Callbacks nest deeply on the I/O thread, and native code and signal handlers run on what is
   * left of its stack. Only what is touched counts as memory.
   */
  private static final long STACK_BYTES = 1024L * 1024;

  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int MAX_POOLED_BUFFERS = 256;

  private final Settings settings;
  private final XnioWorker worker;
  private final DefaultByteBufferPool buffers;
  private final UndertowEventLoop loop;
  private final UndertowHttpClient http;

  /** The edges of a started controller. */
  record StartedController(EventLoop loop, HttpClient http) {}

  private ControllerStarter(Settings settings) throws IOException {
    this.settings = settings;
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(org.xnio.Options.WORKER_IO_THREADS, 1)
                    .set(org.xnio.Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(org.xnio.Options.WORKER_TASK_MAX_THREADS, 2)
                    .set(org.xnio.Options.STACK_SIZE, STACK_BYTES)
                    .set(org.xnio.Options.TCP_NODELAY, true)
                    .getMap());
    buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    loop = new UndertowEventLoop(worker.getIoThread());
    http = new UndertowHttpClient(worker.getIoThread(), loop, buffers);
  }

  /**
   * Starts a controller; returns before it serves.
   *
   * @throws IOException if the I/O thread cannot be started
   */
  static StartedController start(Settings settings, Options options) throws IOException {
    ControllerStarter starter = new ControllerStarter(settings);
    starter.loop.execute(() -> starter.startController(options));
    return new StartedController(starter.loop, starter.http);
  }

  /** Serves a script at both of the settings' addresses, in the place of a controller. */
  static void startScript(Settings settings, RequestHandler script) throws IOException {
    ControllerStarter starter = new ControllerStarter(settings);
    starter.loop.execute(
        () -> {
          starter.serve(settings.apiAddress(), script);
          starter.serve(settings.clusterListenAddress(), script);
        });
  }

  private void startController(Options options) {
    JobTracer jobTracer =
        options.maxTraceSpans() == null
            ? JobTracer.NO_OP
            : new OpenTelemetryJobTracer(loop, options.maxTraceSpans());
    Controller controller = new Controller(settings, options, loop, http, new Random(), jobTracer);
    // The first calls are on their way while the servers come up.
    controller.start();
    serve(settings.apiAddress(), controller.api());
    serve(settings.clusterListenAddress(), controller.peerService());
    startOptionalParts(controller, options);
    LoggerFactory.getLogger(Main.class)
        .info("{} serves at {}", settings.self(), settings.apiAddress());
  }

  private void startOptionalParts(Controller controller, Options options) {
    if (options.calendarEnabled()) {
      controller.serveSchedules();
    }
    if (options.configurationEnabled()) {
      controller.serveConfiguration();
    }
    if (options.kubernetesPort() != null) {
      KubernetesHttpServer.start(
          new HostPort(settings.apiAddress().host(), options.kubernetesPort()),
          controller.startKubernetes(options.kubernetesPort()),
          loop,
          worker,
          buffers);
    }
  }

  private void serve(HostPort address, RequestHandler handler) {
    UndertowServer.start(address, handler, loop, worker, buffers);
  }
}
