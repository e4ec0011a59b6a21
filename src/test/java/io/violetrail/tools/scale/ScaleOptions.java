package io.violetrail.tools.scale;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The command-line options of the scale run. */
final class ScaleOptions {
  @Option(names = "--controllers", description = "controller processes (${DEFAULT-VALUE})")
  int controllers = LoadShape.TARGET.controllers();

  @Option(names = "--workers", description = "hollow workers (${DEFAULT-VALUE})")
  int workers = LoadShape.TARGET.workers();

  @Option(
      names = "--running",
      description = "tasks that run at the same time once the load is steady (${DEFAULT-VALUE})")
  int runningTasks = LoadShape.TARGET.runningTasks();

  @Option(names = "--starts", description = "task starts per second (${DEFAULT-VALUE})")
  double startsPerSecond = LoadShape.TARGET.startsPerS();

  @Option(names = "--jobs", description = "submissions per second (${DEFAULT-VALUE})")
  double jobsPerSecond = LoadShape.TARGET.jobsPerS();

  @Option(names = "--teams", description = "teams with a limit (${DEFAULT-VALUE})")
  int teams = LoadShape.TARGET.teams();

  @Option(names = "--gang", description = "tasks of the widest gang (${DEFAULT-VALUE})")
  int gangWidth = LoadShape.TARGET.gangWidth();

  @Option(
      names = "--region-delay-ms",
      description = "one-way delay between two regions in ms (${DEFAULT-VALUE})")
  double regionDelayMillis = 1000 * LoadShape.TARGET.regionDelayS();

  @Option(
      names = "--state-changes",
      description = "limit of the state service on changes per second (${DEFAULT-VALUE})")
  double changesPerSecond = 200;

  @Option(
      names = "--state-requests",
      description = "limit of the state service on requests per second (${DEFAULT-VALUE})")
  double requestsPerSecond = 1_000;

  @Option(
      names = "--report-s",
      description = "seconds between a worker's reports (${DEFAULT-VALUE})")
  double reportIntervalSeconds = DeploymentSetup.REPORT_INTERVAL_SECONDS;

  @Option(
      names = "--configuration-every",
      paramLabel = "SECONDS",
      description =
          "interval at which a team's limit is changed; also lets the controllers follow the"
              + " shared configuration. Default: neither")
  Double configurationIntervalSeconds;

  @Option(
      names = "--warm-up",
      description =
          "seconds of load before the measured time; default: the duration of a task, after which"
              + " the requested number of tasks is running, plus 10")
  Double warmUpOption;

  @Option(names = "--seconds", description = "measured time in seconds (${DEFAULT-VALUE})")
  double measuredSeconds = 60;

  @Option(names = "--seed", description = "seed of the load and of the faults (${DEFAULT-VALUE})")
  long seed = 1;

  @Option(
      names = "--fault",
      split = ",",
      paramLabel = "KIND@SECOND[:FOR]",
      description =
          "kind of fault (controller, rack, zone or regions) and the second of the measured time"
              + " at which it is injected; for zone and regions also the duration of the partition"
              + " in seconds. Repeat the option or separate faults by commas")
  InjectedFault[] faults = {};

  @Option(names = "--port", description = "first port on loopback; default: a free block")
  Integer firstPort;

  @Option(
      names = "--controller",
      paramLabel = "COMMAND",
      description =
          "command that starts a controller, to which the settings file is appended; default: the"
              + " command in deploy/service.toml if the project is packaged, otherwise java with"
              + " this process's class path")
  String controllerCommand;

  @Option(
      names = "--directory",
      description = "directory for settings files and logs (${DEFAULT-VALUE})")
  Path directory = Path.of("target", "scale");

  @Option(names = "--report", description = "JSON file for all figures")
  Path reportFile;

  LoadShape shape() {
    return new LoadShape(
        controllers,
        workers,
        runningTasks,
        startsPerSecond,
        jobsPerSecond,
        teams,
        gangWidth,
        regionDelayMillis / 1000);
  }

  double warmUpSeconds() {
    return warmUpOption == null ? shape().taskDurationSeconds() + 10 : warmUpOption;
  }
}
