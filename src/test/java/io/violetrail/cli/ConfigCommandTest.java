package io.violetrail.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Options;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.RealTimeSimulation;
import io.violetrail.net.RequestHandler;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Runs the config command against a simulated controller that is served on loopback. */
class ConfigCommandTest {
  @TempDir private Path directory;
  private RealTimeSimulation realTimeSimulation;
  private ClusterSimulation simulation;
  private String server;
  private int port;
  private String standardOutput;
  private String standardError;

  /** Answers instead of the controller; null if the controller itself answers. */
  private volatile RequestHandler substituteService;

  @BeforeEach
  void start() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = socket.getLocalPort();
    }
    server = RealTimeSimulation.HOST + ":" + port;
    simulation = new ClusterSimulation(1, 1);
    simulation.setOptions(
        new Options(
            null,
            Options.DEFAULTS.maxIdleSeconds(),
            Options.DEFAULTS.placementSampleSize(),
            null,
            null,
            false,
            true));
    simulation.startAllControllers();
    realTimeSimulation = new RealTimeSimulation(simulation);
    realTimeSimulation.serve(
        port,
        (method, path, body, responder) ->
            (substituteService != null
                    ? substituteService
                    : simulation.controllers().get("c0").api())
                .handle(method, path, body, responder));
    realTimeSimulation.start();
  }

  @AfterEach
  void stop() {
    realTimeSimulation.stop();
  }

  private int run(String... args) {
    StringWriter outText = new StringWriter();
    StringWriter errText = new StringWriter();
    int status =
        new CommandLine(new ConfigCommand())
            .setOut(new PrintWriter(outText, true))
            .setErr(new PrintWriter(errText, true))
            .execute(args);
    standardOutput = outText.toString();
    standardError = errText.toString();
    return status;
  }

  private String writeFile(String content) throws IOException {
    return Files.writeString(directory.resolve("teams.toml"), content).toString();
  }

  private static String teamToml(double limit) {
    return "[[cluster.teams]]\nname = \"red\"\ncpus_max = " + limit + "\n";
  }

  @Test
  void fileIsCheckedDiffedAppliedAndShown() throws Exception {
    String file = writeFile(teamToml(20));
    assertEquals(0, run("check", file));
    assertEquals(1, run("diff", "--server", server, file), "there are differences");
    assertTrue(standardOutput.contains("~ team red: cpus_max no limit -> 20.0"), standardOutput);
    assertEquals(
        0, run("apply", "--server", server, "--expect", "0", "--why", "less", "--who", "me", file));
    assertEquals("revision 1", standardOutput.strip());
    assertEquals(0, run("history", "--server", server));
    assertTrue(
        standardOutput.startsWith("1  ") && standardOutput.contains("me: less"), standardOutput);
    assertEquals(0, run("--json", "status", "--server", server));
    assertEquals(
        1,
        KubernetesJson.parse(standardOutput.getBytes(StandardCharsets.UTF_8))
            .at("/controllers/0/revision")
            .asInt());
    assertEquals(0, run("diff", "--server", server, file));
    assertEquals(0, run("show", "--server", server));
    assertTrue(standardOutput.startsWith("# revision 1"), standardOutput);
    String shown = standardOutput;
    assertEquals(0, run("check", writeFile(shown)), "the output of show is a valid file");
  }

  @Test
  void conflictingChangeReportsTheRevisionInForce() throws Exception {
    String[] apply = {
      "apply", "--server", server, "--expect", "0", "--why", "x", writeFile(teamToml(20))
    };
    assertEquals(0, run(apply));
    assertEquals(5, run(apply));
    assertTrue(standardError.contains("revision 1 is in force"), standardError);
    assertEquals(
        0,
        run("apply", "--server", server, "--expect", "1", "--why", "y", writeFile(teamToml(30))));
    assertEquals(0, run("rollback", "--server", server, "--expect", "2", "--why", "z", "1"));
    assertEquals("revision 3", standardOutput.strip());
    assertEquals(1, run("rollback", "--server", server, "--expect", "3", "--why", "z", "77"));
  }

  @Test
  void invalidFileIsRejectedBeforeAnythingIsSent() throws Exception {
    String file = writeFile("[[cluster.teams]]\nname = \"red\"\ncpu = 1\n");
    assertEquals(1, run("apply", "--server", server, "--expect", "0", "--why", "x", file));
    assertTrue(standardError.contains("teams[0].cpu: is not known"), standardError);
    assertEquals(2, run("check", directory.resolve("missing").toString()));
    assertEquals(2, run("apply", "--server", server, file), "--expect and --why are required");
    assertEquals(2, run());
  }

  @Test
  void unreachableServerAndUnknownOutcomeHaveDistinctExitCodes() throws Exception {
    String file = writeFile(teamToml(20));
    assertEquals(3, run("show", "--server", "127.0.0.1:1"));
    assertEquals(3, run("apply", "--server", "127.0.0.1:1", "--expect", "0", "--why", "x", file));
    substituteService =
        (method, path, body, responder) ->
            responder.accept(
                new HttpResponse(
                    503,
                    KubernetesJson.toBytes(Cbor.newMap().put("error", "no decision in time")),
                    1,
                    "application/json"));
    String[] apply = {
      "apply", "--server", server, "--expect", "0", "--why", "x", "--request", "one", file
    };
    assertEquals(4, run(apply));
    assertTrue(standardError.contains("--request one"), standardError);
    substituteService = null;
    assertEquals(0, run(apply));
    assertEquals(0, run(apply), "a repeat of the same request");
    assertEquals("revision 1", standardOutput.strip());
    assertEquals(0, run("show", "--server", "127.0.0.1:1," + server), "the next server is tried");
  }
}
