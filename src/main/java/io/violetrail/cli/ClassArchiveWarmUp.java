package io.violetrail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.violetrail.config.Options;
import io.violetrail.config.Settings;
import io.violetrail.model.JobId;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestHandler;
import io.violetrail.peer.PeerClient;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.JobMessages;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.function.Consumer;

/**
 * Runs a controller for a moment against services that answer from a script, all in this process,
 * so that the build can archive the classes a start needs. Takes no part in serving.
 */
final class ClassArchiveWarmUp {
  private static final double RUN_SECONDS = 2.5;
  private static long revision = 1;

  private ClassArchiveWarmUp() {}

  static int run() throws Exception {
    int[] ports = new int[4];
    for (int i = 0; i < ports.length; i++) {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        ports[i] = socket.getLocalPort();
      }
    }
    String toml =
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
        """
            .formatted(ports[0], ports[1], ports[1], ports[2], ports[3]);
    Settings settings = Settings.parse(new TomlMapper().readTree(toml));
    Main.StartedController controller = Main.start(settings, Options.DEFAULTS, null);
    Main.start(
        new Settings(
            settings.self(),
            "z",
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
            settings.processLimits()),
        Options.DEFAULTS,
        ClassArchiveWarmUp::answerFromScript);
    JobSpec spec =
        new JobSpec(
            new JobId("job-1"),
            "c",
            "t",
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
    PeerClient.exerciseCodec(spec);
    controller
        .loop()
        .schedule(
            1,
            () -> {
              for (String path :
                  new String[] {"/ready", "/work/job-1", "/work/job-2", "/metrics"}) {
                Futures.logFailure(
                    controller.http().call(settings.apiAddress(), "GET", path, null, 1),
                    "warm up a read");
              }
              Futures.logFailure(
                  controller
                      .http()
                      .call(
                          settings.apiAddress(),
                          "POST",
                          "/work",
                          Cbor.encode(JobMessages.submissionMessage(spec)),
                          1),
                  "warm up a submission");
              Futures.logFailure(
                  controller
                      .http()
                      .call(
                          settings.apiAddress(),
                          "POST",
                          "/agent/beat",
                          Cbor.encode(heartbeat(1)),
                          1),
                  "warm up the first heartbeat");
            });
    controller
        .loop()
        .schedule(
            1.6,
            () ->
                Futures.logFailure(
                    controller
                        .http()
                        .call(
                            settings.apiAddress(),
                            "POST",
                            "/agent/beat",
                            Cbor.encode(heartbeat(2)),
                            1),
                    "warm up the second heartbeat"));
    controller
        .loop()
        .schedule(
            2,
            () ->
                Futures.logFailure(
                    controller
                        .http()
                        .call(
                            settings.apiAddress(),
                            "POST",
                            "/work/job-1/abort",
                            Cbor.encode(Cbor.newMap()),
                            1),
                    "warm up a cancellation"));
    Thread.sleep((long) (RUN_SECONDS * 1000));
    System.exit(0);
    return 0;
  }

  private static JsonNode heartbeat(int sequence) {
    var heartbeat =
        Cbor.newMap()
            .put("host", "vm-1")
            .put("hosttype", "t")
            .put("yard", "z")
            .put("loaners", false);
    heartbeat
        .put("tenure", 1)
        .put("tick", sequence)
        .put("baton", sequence == 1 ? 0 : 100)
        .putArray("pieces");
    return heartbeat;
  }

  private static void answerFromScript(
      String method, String path, byte[] body, Consumer<RequestHandler.HttpAnswer> responder) {
    var answer = Cbor.newMap().put("epoch", ++revision).put("hold", 7);
    answer.putArray("entries");
    answer.putArray("log");
    if (path.equals("/flavors")) {
      var type =
          answer
              .putArray("hosttypes")
              .addObject()
              .put("sku", "t")
              .put("cores", 4)
              .put("gpus", 0)
              .put("mem_gb", 8)
              .put("cache_gb", 9);
      type.put("pull_gb_per_s", 1)
          .put("rate", 1)
          .put("spot_price", 1)
          .put("ready_s", 5)
          .putArray("yards")
          .add("z");
    } else if (path.equals("/hosts")) {
      answer.putArray("hosts").add("vm-9");
    } else if (path.startsWith("/keys/")) {
      responder.accept(RequestHandler.HttpAnswer.of(404, answer));
      return;
    } else if (path.startsWith("/changes")) {
      return;
    }
    responder.accept(RequestHandler.HttpAnswer.of(200, answer));
  }
}
