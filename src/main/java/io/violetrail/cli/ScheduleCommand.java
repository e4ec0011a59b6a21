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

/** Shows and changes schedules at a running controller; previews due times without one. */
@Command(
    name = "schedule",
    mixinStandardHelpOptions = true,
    subcommands = {SchedulePreviewCommand.class},
    description = {
      "Recurring jobs tied to calendars.",
      "Exit status: 0 done, 1 refused or torn, 2 bad usage, 3 no answer; nothing is half done."
    })
final class ScheduleCommand extends ControllerCommand {
  private static final String SERVER_DESCRIPTION = "a controller's API address, host:port";

  private int sendRequest(String server, String method, String path, byte[] body) {
    try {
      Reply reply = new ControllerClient(List.of(server)).send(method, path, body);
      out().println(reply.body().toPrettyString());
      boolean torn = !reply.body().path("torn").isEmpty();
      return reply.isSuccessful() && !torn ? ExitStatus.DONE : ExitStatus.REFUSED;
    } catch (NoAnswerException exception) {
      return fail(ExitStatus.NO_ANSWER, exception.getMessage());
    }
  }

  private int sendFile(String server, String method, String path, Path file) {
    try {
      return sendRequest(server, method, path, Files.readAllBytes(file));
    } catch (IOException exception) {
      return failToRead(file);
    }
  }

  @Command(name = "create", description = "Creates the schedule that a JSON file describes.")
  int create(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "FILE") Path file) {
    return sendFile(server, "POST", "/schedules", file);
  }

  @Command(name = "change", description = "Replaces a schedule; the file names its version.")
  int change(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name,
      @Parameters(paramLabel = "FILE") Path file) {
    return sendFile(server, "PUT", "/schedules/" + name, file);
  }

  @Command(name = "list", description = "Lists schedules by name.")
  int list(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Option(names = "--after", defaultValue = "", description = "begin after a name")
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

  @Command(name = "pause", description = "Nothing is due until it is resumed, or made up then.")
  int pause(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "POST", "/schedules/" + name + "/pause", null);
  }

  @Command(name = "resume", description = "Ends a pause.")
  int resume(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "POST", "/schedules/" + name + "/resume", null);
  }

  @Command(name = "delete", description = "Deletes a schedule; runs under way go on.")
  int delete(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "DELETE", "/schedules/" + name, null);
  }

  @Command(name = "history", description = "Ended runs; a torn block is named, status 1.")
  int history(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name) {
    return sendRequest(server, "GET", "/schedules/" + name + "/history", null);
  }

  @Command(
      name = "reports",
      description = "Deadlines that will be or were missed, at a controller.")
  int reports(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION)
          String server) {
    return sendRequest(server, "GET", "/reports", null);
  }

  @Command(name = "days", description = "Keeps the local days of a JSON file under a name.")
  int days(
      @Option(names = "--server", required = true, description = SERVER_DESCRIPTION) String server,
      @Parameters(paramLabel = "NAME") String name,
      @Parameters(paramLabel = "FILE") Path file) {
    return sendFile(server, "PUT", "/calendars/" + name, file);
  }
}
