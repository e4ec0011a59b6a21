package io.violetrail.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command whose subcommands call a controller. Without a subcommand it prints its usage. */
abstract class ControllerCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public final Integer call() {
    spec.commandLine().usage(err());
    return ExitStatus.BAD_USAGE;
  }

  final PrintWriter out() {
    return spec.commandLine().getOut();
  }

  final PrintWriter err() {
    return spec.commandLine().getErr();
  }

  /**
   * Prints the reason of a failure to the standard error.
   *
   * @return the given exit status
   */
  final int fail(int exitStatus, String reason) {
    err().println("violetrail " + spec.name() + ": " + reason);
    return exitStatus;
  }

  final int reportUnreadableFile(Path file) {
    return fail(ExitStatus.BAD_USAGE, "cannot read file " + file);
  }
}
