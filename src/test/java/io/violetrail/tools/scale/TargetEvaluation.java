package io.violetrail.tools.scale;

import java.util.Map;

/** Compares the figures of a scale run with the targets and records the verdicts. */
final class TargetEvaluation {
  private TargetEvaluation() {}

  /** Adds a verdict for each target figure, scaled to the load shape of the run. */
  static void evaluate(ScaleReport report) {
    Map<String, Double> figures = report.figures;
    LoadShape shape = report.shape;
    report.atLeast("workers served", 0.98 * shape.workers(), figures.get("workers_served"));
    report.atLeast("tasks running", 0.95 * shape.runningTasks(), figures.get("running_tasks"));
    report.atLeast("task starts a second", 0.95 * shape.startsPerS(), figures.get("starts_a_s"));
    evaluateUrgentJobs(report, figures);
    report.atLeast(
        "submissions accepted within a second", 0.99, figures.get("accepted_within_1s_share"));
    report.atMost("machines for control", 7, shape.controllers());
    double maxCores =
        report.controllers.values().stream()
            .mapToDouble(ScaleReport.ControllerFigures::cpuCores)
            .max()
            .orElse(0);
    report.atMost("processor cores of the busiest controller", 1, maxCores);
    report.atMost("KB a second of a worker's control", 15, figures.get("kb_a_s_a_worker"));
    report.atMost(
        "cores of a hollow worker's control, with all stand-ins in this process",
        0.01,
        figures.get("stand_ins_cpu_cores") / shape.workers());
    report.atMost(
        "MB of a hollow worker's control, with all stand-ins in this process",
        32,
        figures.get("stand_ins_memory_mib") / shape.workers());
    report.atMost("broken rules", 0, report.brokenRules.size());
    evaluateConfiguration(report, figures);
    report.notRun("regions apart for an hour", "no running task lost");
  }

  private static void evaluateConfiguration(ScaleReport report, Map<String, Double> figures) {
    String figure = "changes of configuration in force everywhere, most seconds";
    if (!figures.containsKey("configuration_in_force_ms_max")) {
      report.notRun(figure, "at most 8");
      return;
    }
    report.atMost(figure, 8, figures.get("configuration_in_force_ms_max") / 1000);
  }

  private static void evaluateUrgentJobs(ScaleReport report, Map<String, Double> figures) {
    String figure = "urgent work starts, p99, seconds";
    if (figures.get("urgent_jobs_started") == 0) {
      report.notRun(figure, "at most " + DeploymentSetup.URGENT_START_SECONDS);
      return;
    }
    report.atMost(
        figure, DeploymentSetup.URGENT_START_SECONDS, figures.get("urgent_start_ms_p99") / 1000);
    report.atMost(
        "part of urgent work that has not started in time", 0.01, figures.get("urgent_late_share"));
  }
}
