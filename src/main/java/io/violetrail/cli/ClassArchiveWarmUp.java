package io.violetrail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.violetrail.config.Options;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.InvalidSettingsException;
import io.violetrail.model.JobId;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestHandler;
import io.violetrail.peer.PeerClient;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.JobMessages;
import io.violetrail.wire.ScriptedMessages;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs a controller for a short time against scripted services in the same process, so that the
 * build can archive the classes that a start loads. A start without the archive takes about two
 * seconds longer, and this time adds to an outage. Not used in production.
 *
 * <p>{@link #run} is called on the main thread. Requests and scripted answers run on the event
 * loops' threads.
 */
final class ClassArchiveWarmUp {
  private static final long RUN_MILLIS = 2_500;
  private static final double FIRST_REQUESTS_AFTER_SECONDS = 1;
  private static final double SECOND_HEARTBEAT_AFTER_SECONDS = 1.6;
  private static final double CANCELLATION_AFTER_SECONDS = 2;
  private static final double REQUEST_TIMEOUT_SECONDS = 1;

  private static final String ZONE = "z";
  private static final String TEAM = "t";
  private static final String JOB_CLASS = "c";
  private static final String JOB_ID = "job-1";
  private static final MachineId REPORTING_MACHINE = new MachineId("vm-1");
  private static final MachineId RENTED_MACHINE = new MachineId("vm-9");
  private static final MachineType MACHINE_TYPE =
      new MachineType("t", new Resources(4, 0, 8), 9, 1, 1, 1, 5, List.of(ZONE));
  private static final long LEASE_ID = 7;

  /**
   * Exceeds every fencing token that the controller has acquired by then, so that the second
   * heartbeat carries a higher token than the controller's own.
   */
  private static final long HIGH_FENCING_TOKEN = 100;

  private static final String SETTINGS_TOML =
      """
      label = "a-0"
      zone = "z"
      api_addr = "127.0.0.1:%d"
      cluster_listen = "127.0.0.1:%d"
      [[known]]
      label = "a-1"
      zone = "z"
      address = "127.0.0.1:%d"
      [external]
      cloud = "127.0.0.1:%d"
      state = "127.0.0.1:%d"
      [cluster]
      time_bound_ms = 5.0
      [[cluster.teams]]
      name = "t"
      [[cluster.objectives]]
      kind = "wait"
      class = "c"
      within_s = 8.0
      share = 0.5
      [cluster.workers]
      report_s = 1.0
      lease_s = 10.0
      gang_wait_s = 45.0
      gang_peer_s = 4.0
      cancel_s = 40.0
      [cluster.state]
      rps = 250.0
      write_rps = 50.0
      value_kb = 8.0
      txn_ops = 24
      [cluster.cloud]
      rps = 5.0
      list_lag_s = 10.0
      [cluster.limits]
      cpu_share = 1.0
      memory_mb = 176.0
      sockets = 700
      """;

  private final Settings settings;
  private final ControllerStarter.StartedController controller;
  private long revision = 1;

  private ClassArchiveWarmUp(Settings settings) throws IOException {
    this.settings = settings;
    this.controller = ControllerStarter.start(settings, Options.DEFAULTS);
  }

  /**
   * Runs the script and exits the process with status 0. The JVM writes the archive at exit.
   *
   * @return never returns
   */
  static int run() throws IOException, InvalidSettingsException, InterruptedException {
    ClassArchiveWarmUp warmUp = new ClassArchiveWarmUp(createSettingsWithFreePorts());
    warmUp.startScriptedServices();
    warmUp.scheduleRequests(exampleJob());
    Thread.sleep(RUN_MILLIS);
    System.exit(0);
    return 0;
  }

  private static Settings createSettingsWithFreePorts()
      throws IOException, InvalidSettingsException {
    int[] ports = new int[4];
    for (int i = 0; i < ports.length; i++) {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        ports[i] = socket.getLocalPort();
      }
    }
    String toml = SETTINGS_TOML.formatted(ports[0], ports[1], ports[1], ports[2], ports[3]);
    return Settings.parse(new TomlMapper().readTree(toml));
  }

  /** Serves the cloud provider and the state service at the addresses in the settings. */
  private void startScriptedServices() throws IOException {
    Settings scriptSettings =
        new Settings(
            settings.self(),
            ZONE,
            settings.cloudAddress(),
            settings.stateStoreAddress(),
            settings.peers(),
            settings.cloudAddress(),
            settings.stateStoreAddress(),
            0,
            settings.teams(),
            settings.objectives(),
            settings.workerTiming(),
            settings.stateStoreLimits(),
            settings.cloudLimits(),
            settings.processLimits());
    ControllerStarter.startScript(scriptSettings, this::answerFromScript);
  }

  private static JobSpec exampleJob() {
    return new JobSpec(
        new JobId(JOB_ID),
        JOB_CLASS,
        TEAM,
        JobShape.ARRAY,
        Priority.HIGH,
        2,
        new Resources(1, 0, 1),
        "i",
        1,
        null,
        null,
        false,
        false,
        true,
        10,
        0,
        0,
        null);
  }

  private void scheduleRequests(JobSpec spec) {
    PeerClient.exerciseCodec(spec);
    var loop = controller.loop();
    loop.schedule(
        FIRST_REQUESTS_AFTER_SECONDS,
        () -> {
          for (String path : List.of("/ready", "/work/" + JOB_ID, "/work/job-2", "/metrics")) {
            send("GET", path, null, "warm up a read");
          }
          send("POST", "/work", JobMessages.submissionMessage(spec), "warm up a submission");
          sendHeartbeat(1, 0, "warm up the first heartbeat");
        });
    loop.schedule(
        SECOND_HEARTBEAT_AFTER_SECONDS,
        () -> sendHeartbeat(2, HIGH_FENCING_TOKEN, "warm up the second heartbeat"));
    loop.schedule(
        CANCELLATION_AFTER_SECONDS,
        () -> send("POST", "/work/" + JOB_ID + "/abort", Cbor.newMap(), "warm up a cancellation"));
  }

  private void sendHeartbeat(long sequence, long fencingToken, String purpose) {
    JsonNode heartbeat =
        ScriptedMessages.idleHeartbeat(
            REPORTING_MACHINE, MACHINE_TYPE.name(), ZONE, sequence, fencingToken);
    send("POST", "/agent/beat", heartbeat, purpose);
  }

  private void send(String method, String path, JsonNode body, String purpose) {
    byte[] encoded = body == null ? null : Cbor.encode(body);
    Futures.logFailure(
        controller
            .http()
            .call(settings.apiAddress(), method, path, encoded, REQUEST_TIMEOUT_SECONDS),
        purpose);
  }

  private void answerFromScript(
      String method, String path, byte[] body, Consumer<RequestHandler.HttpResponse> responder) {
    revision++;
    if (path.startsWith("/changes")) {
      return; // A watch stays open as long as there are no changes.
    }
    if (path.equals("/flavors")) {
      responder.accept(
          RequestHandler.HttpResponse.of(200, ScriptedMessages.machineTypeReply(MACHINE_TYPE)));
      return;
    }
    if (path.equals("/hosts")) {
      responder.accept(
          RequestHandler.HttpResponse.of(200, ScriptedMessages.rentalReply(RENTED_MACHINE)));
      return;
    }
    int status = path.startsWith("/keys/") ? 404 : 200;
    responder.accept(
        RequestHandler.HttpResponse.of(
            status, ScriptedMessages.emptyStateReply(revision, LEASE_ID)));
  }
}
