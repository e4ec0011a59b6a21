package io.violetrail.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.config.Options;
import io.violetrail.fakes.LiveWorld;
import io.violetrail.fakes.World;
import io.violetrail.net.Service;
import io.violetrail.net.Service.Answer;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubeJson;
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

/** The command line against a controller that is served on loopback. */
class ConfigCommandTest {
  @TempDir private Path dir;
  private LiveWorld live;
  private World world;
  private String server;
  private int port;
  private String out;
  private String err;

  /** What answers in a controller's place; null: the controller does. */
  private volatile Service instead;

  @BeforeEach
  void start() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = socket.getLocalPort();
    }
    server = LiveWorld.HOST + ":" + port;
    world = new World(1, 1);
    world.options =
        new Options(
            null, Options.DEFAULTS.idleS(), Options.DEFAULTS.sample(), null, null, false, true);
    world.up();
    live = new LiveWorld(world);
    live.serve(
        port,
        (method, path, body, done) ->
            (instead != null ? instead : world.nodes.get("c0").api())
                .handle(method, path, body, done));
    live.start();
  }

  @AfterEach
  void stop() {
    live.stop();
  }

  private int run(String... args) {
    StringWriter outText = new StringWriter();
    StringWriter errText = new StringWriter();
    int status =
        new CommandLine(new ConfigCommand())
            .setOut(new PrintWriter(outText, true))
            .setErr(new PrintWriter(errText, true))
            .execute(args);
    out = outText.toString();
    err = errText.toString();
    return status;
  }

  private String file(String content) throws IOException {
    return Files.writeString(dir.resolve("teams.toml"), content).toString();
  }

  private static String team(double limit) {
    return "[[cluster.teams]]\nname = \"red\"\ncpus_max = " + limit + "\n";
  }

  @Test
  void aFileIsCheckedComparedAppliedAndShown() throws Exception {
    String file = file(team(20));
    assertEquals(0, run("check", file));
    assertEquals(1, run("diff", "--server", server, file), "there are differences");
    assertTrue(out.contains("~ team red: cpus_max no limit -> 20.0"), out);
    assertEquals(
        0, run("apply", "--server", server, "--expect", "0", "--why", "less", "--who", "me", file));
    assertEquals("revision 1", out.strip());
    assertEquals(0, run("history", "--server", server));
    assertTrue(out.startsWith("1  ") && out.contains("me: less"), out);
    assertEquals(0, run("--json", "status", "--server", server));
    assertEquals(
        1,
        KubeJson.parse(out.getBytes(StandardCharsets.UTF_8)).at("/controllers/0/revision").asInt());
    assertEquals(0, run("diff", "--server", server, file));
    assertEquals(0, run("show", "--server", server));
    assertTrue(out.startsWith("# revision 1"), out);
    String shown = out;
    assertEquals(0, run("check", file(shown)), "what is shown can be applied");
  }

  @Test
  void aChangeThatLostSaysWhichRevisionIsInForce() throws Exception {
    String[] apply = {"apply", "--server", server, "--expect", "0", "--why", "x", file(team(20))};
    assertEquals(0, run(apply));
    assertEquals(5, run(apply));
    assertTrue(err.contains("revision 1 is in force"), err);
    assertEquals(
        0, run("apply", "--server", server, "--expect", "1", "--why", "y", file(team(30))));
    assertEquals(0, run("rollback", "--server", server, "--expect", "2", "--why", "z", "1"));
    assertEquals("revision 3", out.strip());
    assertEquals(1, run("rollback", "--server", server, "--expect", "3", "--why", "z", "77"));
  }

  @Test
  void aFileThatIsNotValidIsRefusedBeforeAnythingIsSent() throws Exception {
    String file = file("[[cluster.teams]]\nname = \"red\"\ncpu = 1\n");
    assertEquals(1, run("apply", "--server", server, "--expect", "0", "--why", "x", file));
    assertTrue(err.contains("teams[0].cpu: is not known"), err);
    assertEquals(2, run("check", dir.resolve("missing").toString()));
    assertEquals(2, run("apply", "--server", server, file), "--expect and --why are required");
    assertEquals(2, run());
  }

  @Test
  void noAnswerAndAnUnknownOutcomeAreToldApart() throws Exception {
    String file = file(team(20));
    assertEquals(3, run("show", "--server", "127.0.0.1:1"));
    assertEquals(3, run("apply", "--server", "127.0.0.1:1", "--expect", "0", "--why", "x", file));
    instead =
        (method, path, body, done) ->
            done.accept(
                new Answer(
                    503,
                    KubeJson.bytes(Cbor.map().put("error", "no decision in time")),
                    1,
                    "application/json"));
    String[] apply = {
      "apply", "--server", server, "--expect", "0", "--why", "x", "--request", "one", file
    };
    assertEquals(4, run(apply));
    assertTrue(err.contains("--request one"), err);
    instead = null;
    assertEquals(0, run(apply));
    assertEquals(0, run(apply), "a repeat of the same request");
    assertEquals("revision 1", out.strip());
    assertEquals(0, run("show", "--server", "127.0.0.1:1," + server), "the next server is asked");
  }
}
