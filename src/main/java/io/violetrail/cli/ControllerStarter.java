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
 * Creates the I/O thread, the servers and the HTTP client of a controller and starts it.
 *
 * <p>The controller is started on the I/O thread, which is also the event loop's thread. Once that
 * thread runs, the main thread has nothing left to do, so two threads never share the start of a
 * controller. Classes of optional parts are loaded only if the part is enabled.
 */
final class ControllerStarter {
  /**
   * The stack size of the I/O thread. Callbacks nest deeply on this thread, and native code and
   * signal handlers run on the rest of its stack. Only touched pages count as used memory.
   */
  private static final long STACK_BYTES = 1024L * 1024;

  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int MAX_POOLED_BUFFERS = 256;

  private final Settings settings;
  private final XnioWorker worker;
  private final DefaultByteBufferPool buffers;
  private final UndertowEventLoop loop;
  private final UndertowHttpClient http;

  /** The event loop and the HTTP client of a started controller. */
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
   * Starts a controller. Returns before the controller accepts requests.
   *
   * @throws IOException if the I/O thread cannot be started
   */
  static StartedController start(Settings settings, Options options) throws IOException {
    ControllerStarter starter = new ControllerStarter(settings);
    starter.loop.execute(() -> starter.startController(options));
    return new StartedController(starter.loop, starter.http);
  }

  /** Serves a script at the API and the cluster address of the settings instead of a controller. */
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
    // The controller's first requests are in progress while the servers are started.
    controller.start();
    serve(settings.apiAddress(), controller.api());
    serve(settings.clusterListenAddress(), controller.peerService());
    startOptionalParts(controller, options);
    LoggerFactory.getLogger(Main.class)
        .info("controller {} serves its API at {}", settings.self(), settings.apiAddress());
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
