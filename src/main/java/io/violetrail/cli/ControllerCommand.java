package io.violetrail.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command whose subcommands ask a controller; by itself it prints its usage. */
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
   * Prints a reason to the standard error.
   *
   * @return the given exit status
   */
  final int fail(int exitStatus, String reason) {
    err().println("violetrail " + spec.name() + ": " + reason);
    return exitStatus;
  }

  final int failToRead(Path file) {
    return fail(ExitStatus.BAD_USAGE, "cannot read " + file);
  }
}
