package io.violetrail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.cli.ControllerClient.NoAnswer;
import io.violetrail.cli.ControllerClient.Reply;
import io.violetrail.configuration.ClusterConfiguration;
import io.violetrail.configuration.ConfigurationDiff;
import io.violetrail.configuration.ConfigurationFormat;
import io.violetrail.configuration.ConfigurationFormat.Checked;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubeJson;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The configuration of teams and objectives from the command line. */
@Command(
    name = "config",
    mixinStandardHelpOptions = true,
    description = {
      "Teams and objectives that change while the service runs.",
      "Files are TOML with [[cluster.teams]] and [[cluster.objectives]], as in the platform's file."
    },
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = {
      "0:done; diff: no difference",
      "1:refused, or the file is not valid; diff: there are differences",
      "2:bad usage",
      "3:no controller answers; nothing was changed",
      "4:the outcome is not known; repeat the command with the --request that it names",
      "5:another revision than the expected one is in force; nothing was changed"
    })
final class ConfigCommand implements Callable<Integer> {
  private static final int REFUSED = 1;
  private static final int BAD_USAGE = 2;
  private static final int NO_ANSWER = 3;
  private static final int UNKNOWN = 4;
  private static final int CONFLICT = 5;
  private static final String SERVER = "a controller's API address, host:port; several by commas";

  @Spec private CommandSpec spec;

  @Option(
      names = "--json",
      scope = picocli.CommandLine.ScopeType.INHERIT,
      description = "print what the controller answers as JSON")
  private boolean json;

  @Override
  public Integer call() {
    spec.commandLine().usage(err());
    return BAD_USAGE;
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private PrintWriter err() {
    return spec.commandLine().getErr();
  }

  private int fail(int status, String why) {
    err().println("violetrail config: " + why);
    return status;
  }

  /** Prints a controller's answer. */
  private interface Printer {
    void print(JsonNode answer);
  }

  private int show(List<String> servers, String path, Printer printer) {
    try {
      Reply reply = new ControllerClient(servers).get(path);
      if (!reply.ok()) {
        return fail(REFUSED, reply.body().path("error").asText("status " + reply.status()));
      }
      if (json) {
        out().println(reply.body().toPrettyString());
      } else {
        printer.print(reply.body());
      }
      return 0;
    } catch (NoAnswer e) {
      return fail(NO_ANSWER, e.getMessage());
    }
  }

  @Command(name = "show", description = "Prints what is in force, in the form that apply reads.")
  int show(
      @Option(names = "--server", split = ",", required = true, description = SERVER)
          List<String> servers) {
    return show(
        servers,
        "/config",
        m -> {
          out().println("# revision " + m.path("revision").asLong());
          out().print(ConfigurationFormat.toToml(ClusterConfiguration.ofTree(m)));
        });
  }

  @Command(name = "history", description = "Lists the kept revisions, the newest first.")
  int history(
      @Option(names = "--server", split = ",", required = true, description = SERVER)
          List<String> servers) {
    return show(
        servers,
        "/config/history",
        m -> {
          for (JsonNode r : m.path("revisions")) {
            out()
                .printf(
                    "%d  %s  %s: %s%n",
                    r.path("revision").asLong(),
                    Instant.ofEpochMilli(r.path("at_ms").asLong()),
                    r.path("who").asText(),
                    r.path("why").asText());
          }
        });
  }

  @Command(name = "status", description = "Says which controllers go by which revision.")
  int status(
      @Option(names = "--server", split = ",", required = true, description = SERVER)
          List<String> servers) {
    return show(servers, "/config/status", m -> m.path("controllers").forEach(this::printState));
  }

  private void printState(JsonNode s) {
    if (!s.path("answers").asBoolean()) {
      out().println(s.path("controller").asText() + ": gives no answer");
      return;
    }
    out()
        .printf(
            "%s: revision %d since %s, confirmed %d ms ago%s%n",
            s.path("controller").asText(),
            s.path("revision").asLong(),
            Instant.ofEpochMilli(s.path("in_force_since_ms").asLong()),
            s.path("confirmed_ms_ago").asLong(),
            s.path("fresh").asBoolean() ? "" : "; starts nothing");
  }

  /** The file's content; null if it is not valid, which is said. */
  private ClusterConfiguration read(Path file) throws IOException {
    Checked checked = ConfigurationFormat.ofToml(Files.readString(file));
    checked.problems().forEach(p -> err().println(file + ": " + p));
    return checked.configuration();
  }

  @Command(name = "check", description = "Checks a file without a controller.")
  int check(@Parameters(paramLabel = "FILE") Path file) {
    try {
      ClusterConfiguration content = read(file);
      if (content == null) {
        return REFUSED;
      }
      out()
          .printf(
              "%s: %d teams, %d objectives%n",
              file, content.teams().size(), content.objectives().size());
      return 0;
    } catch (IOException e) {
      return fail(BAD_USAGE, "cannot read " + file);
    }
  }

  @Command(name = "diff", description = "Says what applying a file would change.")
  int diff(
      @Option(names = "--server", split = ",", required = true, description = SERVER)
          List<String> servers,
      @Parameters(paramLabel = "FILE") Path file) {
    try {
      ClusterConfiguration content = read(file);
      if (content == null) {
        return REFUSED;
      }
      Reply reply = new ControllerClient(servers).get("/config");
      if (!reply.ok()) {
        return fail(NO_ANSWER, reply.body().path("error").asText("status " + reply.status()));
      }
      List<String> changes =
          ConfigurationDiff.between(ClusterConfiguration.ofTree(reply.body()), content);
      changes.forEach(out()::println);
      return changes.isEmpty() ? 0 : REFUSED;
    } catch (IOException e) {
      return fail(BAD_USAGE, "cannot read " + file);
    } catch (NoAnswer e) {
      return fail(NO_ANSWER, e.getMessage());
    }
  }

  /** What every change says of itself. */
  static final class ChangeOptions {
    @Option(names = "--server", split = ",", required = true, description = SERVER)
    private List<String> servers;

    @Option(
        names = "--expect",
        paramLabel = "REVISION",
        required = true,
        description = "the revision that is to be replaced, as show tells it")
    private long expected;

    @Option(names = "--why", paramLabel = "TEXT", required = true, description = "kept with it")
    private String why;

    @Option(
        names = "--who",
        defaultValue = "${sys:user.name}",
        description = "kept with it; default: ${DEFAULT-VALUE}")
    private String who;

    @Option(
        names = "--request",
        paramLabel = "ID",
        description = "names the request; a repeat under the same name changes nothing more")
    private String request;

    private ObjectNode on(ObjectNode body) {
      if (request == null) {
        request = UUID.randomUUID().toString();
      }
      return body.put("expected", expected).put("request", request).put("who", who).put("why", why);
    }
  }

  @Command(name = "apply", description = "Puts a file in force as a whole, or nothing of it.")
  int apply(
      @picocli.CommandLine.Mixin ChangeOptions options,
      @Parameters(paramLabel = "FILE") Path file) {
    try {
      ClusterConfiguration content = read(file);
      return content == null ? REFUSED : change(options, "/config", content.tree());
    } catch (IOException e) {
      return fail(BAD_USAGE, "cannot read " + file);
    }
  }

  @Command(name = "rollback", description = "Puts a kept revision's content in force again.")
  int rollback(
      @picocli.CommandLine.Mixin ChangeOptions options,
      @Parameters(paramLabel = "REVISION") long to) {
    return change(options, "/config/rollback", Cbor.map().put("to", to));
  }

  private int change(ChangeOptions options, String path, ObjectNode body) {
    try {
      Reply reply =
          new ControllerClient(options.servers)
              .send("POST", path, KubeJson.bytes(options.on(body)));
      return told(reply, options);
    } catch (NoAnswer e) {
      return e.maybeCarriedOut()
          ? fail(UNKNOWN, e.getMessage() + "; repeat it with --request " + options.request)
          : fail(NO_ANSWER, e.getMessage());
    }
  }

  private int told(Reply reply, ChangeOptions options) {
    if (json) {
      out().println(reply.body().toPrettyString());
    }
    long revision = reply.body().path("revision").asLong();
    String why = reply.body().path("error").asText("status " + reply.status());
    switch (reply.status()) {
      case 200 -> {
        if (!json) {
          out().println("revision " + revision);
        }
        return 0;
      }
      case 409 -> {
        return fail(CONFLICT, why);
      }
      case 503 -> {
        return fail(UNKNOWN, why + "; repeat it with --request " + options.request);
      }
      default -> {
        for (JsonNode p : reply.body().path("problems")) {
          err().println(p.path("path").asText() + ": " + p.path("why").asText());
        }
        return fail(REFUSED, why);
      }
    }
  }
}
