package io.violetrail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.violetrail.config.Options;
import io.violetrail.config.Settings;
import io.violetrail.model.Amounts;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Priority;
import io.violetrail.model.Shape;
import io.violetrail.net.Futures;
import io.violetrail.net.Service;
import io.violetrail.peer.PeerClient;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.JobWire;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.function.Consumer;

/**
 * Runs a controller for a moment against services that answer from a script, all in this process,
 * so that the build can archive the classes a start needs. Takes no part in serving.
 */
final class Rehearsal {
  private static final double FOR_S = 2.5;
  private static long revision = 1;

  private Rehearsal() {}

  static int run() throws Exception {
    int[] ports = new int[4];
    for (int i = 0; i < ports.length; i++) {
      try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        ports[i] = s.getLocalPort();
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
    Settings settings = Settings.read(new TomlMapper().readTree(toml));
    Main.Running controller = Main.start(settings, Options.DEFAULTS, null);
    Main.start(
        new Settings(
            settings.self(),
            "z",
            settings.cloud(),
            settings.state(),
            settings.peers(),
            settings.cloud(),
            settings.state(),
            0,
            settings.teams(),
            settings.objectives(),
            settings.workers(),
            settings.stateLimits(),
            settings.cloudLimits(),
            settings.limits()),
        Options.DEFAULTS,
        Rehearsal::script);
    JobSpec spec =
        new JobSpec(
            new JobId("job-1"),
            "c",
            "t",
            Shape.ARRAY,
            Priority.HIGH,
            2,
            new Amounts(1, 0, 1),
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
        .after(
            1,
            () -> {
              for (String path :
                  new String[] {"/ready", "/work/job-1", "/work/job-2", "/metrics"}) {
                Futures.logFailure(
                    controller.http().call(settings.api(), "GET", path, null, 1), "warm up a read");
              }
              Futures.logFailure(
                  controller
                      .http()
                      .call(settings.api(), "POST", "/work", Cbor.bytes(JobWire.spec(spec)), 1),
                  "warm up a submission");
              Futures.logFailure(
                  controller
                      .http()
                      .call(settings.api(), "POST", "/agent/beat", Cbor.bytes(beat(1)), 1),
                  "warm up the first heartbeat");
            });
    controller
        .loop()
        .after(
            1.6,
            () ->
                Futures.logFailure(
                    controller
                        .http()
                        .call(settings.api(), "POST", "/agent/beat", Cbor.bytes(beat(2)), 1),
                    "warm up the second heartbeat"));
    controller
        .loop()
        .after(
            2,
            () ->
                Futures.logFailure(
                    controller
                        .http()
                        .call(
                            settings.api(), "POST", "/work/job-1/abort", Cbor.bytes(Cbor.map()), 1),
                    "warm up a cancellation"));
    Thread.sleep((long) (FOR_S * 1000));
    System.exit(0);
    return 0;
  }

  private static JsonNode beat(int seq) {
    var m =
        Cbor.map().put("host", "vm-1").put("hosttype", "t").put("yard", "z").put("loaners", false);
    m.put("tenure", 1).put("tick", seq).put("baton", seq == 1 ? 0 : 100).putArray("pieces");
    return m;
  }

  private static void script(
      String method, String path, byte[] body, Consumer<Service.Answer> done) {
    var m = Cbor.map().put("epoch", ++revision).put("hold", 7);
    m.putArray("entries");
    m.putArray("log");
    if (path.equals("/flavors")) {
      var type =
          m.putArray("hosttypes")
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
      m.putArray("hosts").add("vm-9");
    } else if (path.startsWith("/keys/")) {
      done.accept(Service.Answer.of(404, m));
      return;
    } else if (path.startsWith("/changes")) {
      return;
    }
    done.accept(Service.Answer.of(200, m));
  }
}
