package io.violetrail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.cli.ControllerClient.NoAnswerException;
import io.violetrail.cli.ControllerClient.Reply;
import io.violetrail.configuration.ClusterConfiguration;
import io.violetrail.configuration.ConfigurationDiff;
import io.violetrail.configuration.ConfigurationFormat;
import io.violetrail.configuration.ConfigurationFormat.ValidationResult;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.UUID;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ScopeType;

/** Shows and changes the configuration of teams and objectives through a running controller. */
@Command(
    name = "config",
    mixinStandardHelpOptions = true,
    description = {
      "Shows and changes teams and objectives while the controllers run.",
      "Files are TOML with [[cluster.teams]] and [[cluster.objectives]], as in the settings file."
    },
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = {
      "0:success; diff: no differences",
      "1:refused, or the file is invalid; diff: there are differences",
      "2:bad usage",
      "3:no controller answered; nothing was changed",
      "4:the outcome is unknown; repeat the command with the --request id that it prints",
      "5:the revision in force is not the expected one; nothing was changed"
    })
final class ConfigCommand extends ControllerCommand {
  private static final String SERVER_DESCRIPTION =
      "a controller's API address, host:port; several are separated by commas";

  @Option(
      names = "--json",
      scope = ScopeType.INHERIT,
      description = "print the controller's reply as JSON")
  private boolean json;

  /** Prints a controller's reply in human-readable form. */
  private interface Printer {
    void print(JsonNode reply);
  }

  private int printReply(List<String> servers, String path, Printer printer) {
    try {
      Reply reply = new ControllerClient(servers).get(path);
      if (!reply.isSuccessful()) {
        return fail(ExitStatus.REFUSED, reply.errorText());
      }
      if (json) {
        out().println(reply.body().toPrettyString());
      } else {
        printer.print(reply.body());
      }
      return ExitStatus.DONE;
    } catch (NoAnswerException exception) {
      return fail(ExitStatus.NO_ANSWER, exception.getMessage());
    }
  }

  @Command(
      name = "show",
      description = "Prints the configuration in force in the form that apply reads.")
  int show(
      @Option(names = "--server", split = ",", required = true, description = SERVER_DESCRIPTION)
          List<String> servers) {
    return printReply(
        servers,
        "/config",
        reply -> {
          out().println("# revision " + reply.path("revision").asLong());
          out().print(ConfigurationFormat.toToml(ClusterConfiguration.fromTree(reply)));
        });
  }

  @Command(name = "history", description = "Lists the kept revisions, newest first.")
  int history(
      @Option(names = "--server", split = ",", required = true, description = SERVER_DESCRIPTION)
          List<String> servers) {
    return printReply(
        servers,
        "/config/history",
        reply -> {
          for (JsonNode revision : reply.path("revisions")) {
            out()
                .printf(
                    "%d  %s  %s: %s%n",
                    revision.path("revision").asLong(),
                    Instant.ofEpochMilli(revision.path("at_ms").asLong()),
                    revision.path("who").asText(),
                    revision.path("why").asText());
          }
        });
  }

  @Command(name = "status", description = "Prints the revision in force at each controller.")
  int status(
      @Option(names = "--server", split = ",", required = true, description = SERVER_DESCRIPTION)
          List<String> servers) {
    return printReply(
        servers, "/config/status", reply -> reply.path("controllers").forEach(this::printState));
  }

  private void printState(JsonNode state) {
    if (!state.path("answers").asBoolean()) {
      out().println(state.path("controller").asText() + ": does not answer");
      return;
    }
    out()
        .printf(
            "%s: revision %d since %s, confirmed %d ms ago%s%n",
            state.path("controller").asText(),
            state.path("revision").asLong(),
            Instant.ofEpochMilli(state.path("in_force_since_ms").asLong()),
            state.path("confirmed_ms_ago").asLong(),
            state.path("fresh").asBoolean() ? "" : "; starts no tasks");
  }

  /**
   * Reads a configuration file and prints its problems to the standard error.
   *
   * @return null if the file is invalid
   */
  private ClusterConfiguration readFile(Path file) throws IOException {
    ValidationResult validation = ConfigurationFormat.parseToml(Files.readString(file));
    validation.problems().forEach(problem -> err().println(file + ": " + problem));
    return validation.configuration();
  }

  @Command(name = "check", description = "Validates a file without calling a controller.")
  int check(@Parameters(paramLabel = "FILE") Path file) {
    try {
      ClusterConfiguration content = readFile(file);
      if (content == null) {
        return ExitStatus.REFUSED;
      }
      out()
          .printf(
              "%s: %d teams, %d objectives%n",
              file, content.teams().size(), content.objectives().size());
      return ExitStatus.DONE;
    } catch (IOException exception) {
      return reportUnreadableFile(file);
    }
  }

  @Command(name = "diff", description = "Prints the changes that applying a file would make.")
  int diff(
      @Option(names = "--server", split = ",", required = true, description = SERVER_DESCRIPTION)
          List<String> servers,
      @Parameters(paramLabel = "FILE") Path file) {
    try {
      ClusterConfiguration content = readFile(file);
      if (content == null) {
        return ExitStatus.REFUSED;
      }
      Reply reply = new ControllerClient(servers).get("/config");
      if (!reply.isSuccessful()) {
        return fail(ExitStatus.NO_ANSWER, reply.errorText());
      }
      List<String> changes =
          ConfigurationDiff.between(ClusterConfiguration.fromTree(reply.body()), content);
      changes.forEach(out()::println);
      return changes.isEmpty() ? ExitStatus.DONE : ExitStatus.REFUSED;
    } catch (IOException exception) {
      return reportUnreadableFile(file);
    } catch (NoAnswerException exception) {
      return fail(ExitStatus.NO_ANSWER, exception.getMessage());
    }
  }

  /** The options that all commands that change the configuration share. */
  static final class ChangeOptions {
    @Option(names = "--server", split = ",", required = true, description = SERVER_DESCRIPTION)
    private List<String> servers;

    @Option(
        names = "--expect",
        paramLabel = "REVISION",
        required = true,
        description = "the revision to replace, as printed by show")
    private long expected;

    @Option(
        names = "--why",
        paramLabel = "TEXT",
        required = true,
        description = "the reason, kept in the history")
    private String why;

    @Option(
        names = "--who",
        defaultValue = "${sys:user.name}",
        description = "the author, kept in the history; default: ${DEFAULT-VALUE}")
    private String who;

    @Option(
        names = "--request",
        paramLabel = "ID",
        description =
            "id of the request; a repeat with the same id has no further effect; default: random")
    private String request;

    private ObjectNode addTo(ObjectNode body) {
      if (request == null) {
        request = UUID.randomUUID().toString();
      }
      return body.put("expected", expected).put("request", request).put("who", who).put("why", why);
    }
  }

  @Command(name = "apply", description = "Puts a file in force, either completely or not at all.")
  int apply(@Mixin ChangeOptions options, @Parameters(paramLabel = "FILE") Path file) {
    try {
      ClusterConfiguration content = readFile(file);
      return content == null
          ? ExitStatus.REFUSED
          : submitChange(options, "/config", content.toTree());
    } catch (IOException exception) {
      return reportUnreadableFile(file);
    }
  }

  @Command(
      name = "rollback",
      description = "Stores the content of a kept revision as a new revision.")
  int rollback(@Mixin ChangeOptions options, @Parameters(paramLabel = "REVISION") long revision) {
    return submitChange(options, "/config/rollback", Cbor.newMap().put("to", revision));
  }

  private int submitChange(ChangeOptions options, String path, ObjectNode body) {
    try {
      Reply reply =
          new ControllerClient(options.servers)
              .send("POST", path, KubernetesJson.toBytes(options.addTo(body)));
      return reportOutcome(reply, options);
    } catch (NoAnswerException exception) {
      return exception.mayHaveBeenReceived()
          ? fail(
              ExitStatus.UNKNOWN_OUTCOME,
              exception.getMessage() + "; repeat the command with --request " + options.request)
          : fail(ExitStatus.NO_ANSWER, exception.getMessage());
    }
  }

  private int reportOutcome(Reply reply, ChangeOptions options) {
    if (json) {
      out().println(reply.body().toPrettyString());
    }
    long revision = reply.body().path("revision").asLong();
    String reason = reply.errorText();
    switch (reply.status()) {
      case 200 -> {
        if (!json) {
          out().println("revision " + revision);
        }
        return ExitStatus.DONE;
      }
      case 409 -> {
        return fail(ExitStatus.CONFLICT, reason);
      }
      case 503 -> {
        return fail(
            ExitStatus.UNKNOWN_OUTCOME,
            reason + "; repeat the command with --request " + options.request);
      }
      default -> {
        for (JsonNode problem : reply.body().path("problems")) {
          err().println(problem.path("path").asText() + ": " + problem.path("why").asText());
        }
        return fail(ExitStatus.REFUSED, reason);
      }
    }
  }
}
