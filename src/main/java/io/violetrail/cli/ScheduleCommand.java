package io.violetrail.cli;

import io.violetrail.cli.ControllerClient.NoAnswerException;
import io.violetrail.cli.ControllerClient.Reply;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Shows and changes schedules through a running controller; previews due times without one. */
@Command(
    name = "schedule",
    mixinStandardHelpOptions = true,
    subcommands = {SchedulePreviewCommand.class},
    description = {
      "Shows and changes schedules of recurring jobs.",
      "Exit status: 0 success, 1 refused or a history block is unreadable, 2 bad usage,",
      "3 no answer. A change takes effect completely or not at all."
    })
final class ScheduleCommand extends ControllerCommand {
  private static final String SERVER_DESCRIPTION = "a controller's API address, host:port";

  private int sendRequest(String server, String method, String path, byte[] body) {
    try {
      Reply reply = new ControllerClient(List.of(server)).send(method, path, body);
      out().println(reply.body().toPrettyString());
      boolean hasTornBlocks = !reply.body().path("torn").isEmpty();
      return reply.isSuccessful() && !hasTornBlocks ? ExitStatus.DONE : ExitStatus.REFUSED;
    } catch (NoAnswerException exception) {
      return fail(ExitStatus.NO_ANSWER, exception.getMessage());
    }
  }

  private int sendFile(String server, String method, String path, Path file) {
    try {
      return sendRequest(server, method, path, Files.readAllBytes(file));
    } catch (IOException exception) {
      return reportUnreadableFile(file);
    }
  }

  @Command(name = "create", description = "Creates a schedule from a JSON file.")
  int create(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "FILE") Path file) {
    return sendFile(server, "POST", "/schedules", file);
  }

  @Command(
      name = "change",
      description = "Replaces a schedule; the file must state the version that it replaces.")
  int change(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name,
      @Parameters(paramLabel = "FILE") Path file) {
    return sendFile(server, "PUT", "/schedules/" + name, file);
  }

  @Command(name = "list", description = "Lists schedules by name.")
  int list(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Option(names = "--after", defaultValue = "", description = "list names after this one")
          String after) {
    return sendRequest(
        server, "GET", "/schedules" + (after.isEmpty() ? "" : "?after=" + after), null);
  }

  @Command(name = "show", description = "Shows a schedule, its runs and their reports.")
  int show(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "GET", "/schedules/" + name, null);
  }

  @Command(
      name = "pause",
      description = "Pauses a schedule; runs due during a pause are not caught up.")
  int pause(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "POST", "/schedules/" + name + "/pause", null);
  }

  @Command(name = "resume", description = "Resumes a paused schedule.")
  int resume(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "POST", "/schedules/" + name + "/resume", null);
  }

  @Command(name = "delete", description = "Deletes a schedule; its current runs continue.")
  int delete(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "DELETE", "/schedules/" + name, null);
  }

  @Command(
      name = "history",
      description = "Shows ended runs; exits with 1 if a history block is unreadable.")
  int history(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "GET", "/schedules/" + name + "/history", null);
  }

  @Command(
      name = "reports",
      description = "Shows a controller's reports of missed and foreseen missed deadlines.")
  int reports(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION)
          String server) {
    return sendRequest(server, "GET", "/reports", null);
  }

  @Command(name = "days", description = "Stores the local days in a JSON file as a named calendar.")
  int days(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name,
      @Parameters(paramLabel = "FILE") Path file) {
    return sendFile(server, "PUT", "/calendars/" + name, file);
  }
}
