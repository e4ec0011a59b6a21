package io.violetrail.tools.scale;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** What the scale run is asked for. */
final class ScaleOptions {
  @Option(names = "--controllers", description = "controller processes (${DEFAULT-VALUE})")
  int controllers = LoadShape.TARGET.controllers();

  @Option(names = "--workers", description = "hollow workers (${DEFAULT-VALUE})")
  int workers = LoadShape.TARGET.workers();

  @Option(
      names = "--running",
      description = "tasks that run at the same time once the load is steady (${DEFAULT-VALUE})")
  int runningTasks = LoadShape.TARGET.runningTasks();

  @Option(names = "--starts", description = "task starts a second (${DEFAULT-VALUE})")
  double startsPerSecond = LoadShape.TARGET.startsPerS();

  @Option(names = "--jobs", description = "submissions a second (${DEFAULT-VALUE})")
  double jobsPerSecond = LoadShape.TARGET.jobsPerS();

  @Option(names = "--teams", description = "teams with a limit (${DEFAULT-VALUE})")
  int teams = LoadShape.TARGET.teams();

  @Option(names = "--gang", description = "tasks of the widest gang (${DEFAULT-VALUE})")
  int gangWidth = LoadShape.TARGET.gangWidth();

  @Option(
      names = "--region-delay-ms",
      description = "one way between two regions (${DEFAULT-VALUE})")
  double regionDelayMillis = 1000 * LoadShape.TARGET.regionDelayS();

  @Option(
      names = "--state-changes",
      description = "changes a second that the state service takes (${DEFAULT-VALUE})")
  double changesPerSecond = 200;

  @Option(
      names = "--state-requests",
      description = "requests a second that the state service takes (${DEFAULT-VALUE})")
  double requestsPerSecond = 1_000;

  @Option(names = "--report-s", description = "seconds between reports (${DEFAULT-VALUE})")
  double reportIntervalSeconds = DeploymentSetup.REPORT_INTERVAL_SECONDS;

  @Option(
      names = "--configuration-every",
      paramLabel = "SECONDS",
      description =
          "controllers follow the configuration, and a team's limit is changed so often; default:"
              + " neither")
  Double configurationIntervalSeconds;

  @Option(
      names = "--warm-up",
      description =
          "seconds of load before anything counts; default: until tasks that run are as many as"
              + " are asked for, and 10 more")
  Double warmUpOption;

  @Option(names = "--seconds", description = "measured time (${DEFAULT-VALUE})")
  double measuredSeconds = 60;

  @Option(names = "--seed", description = "of the load and of what fails (${DEFAULT-VALUE})")
  long seed = 1;

  @Option(
      names = "--fault",
      split = ",",
      paramLabel = "KIND@SECOND[:FOR]",
      description =
          "controller, rack, zone or regions, and the measured second at which it happens; zones"
              + " and regions are cut off for so many seconds. Repeat it or separate by commas")
  InjectedFault[] faults = {};

  @Option(names = "--port", description = "first port on loopback; default: a free block")
  Integer firstPort;

  @Option(
      names = "--controller",
      paramLabel = "COMMAND",
      description =
          "a controller's command, to which the settings file is appended; default: that of"
              + " deploy/service.toml once the project is packaged, else this class path")
  String controllerCommand;

  @Option(names = "--directory", description = "for settings and logs (${DEFAULT-VALUE})")
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
