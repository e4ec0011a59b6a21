package io.violetrail.tools.scale;

import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.TrafficCounter;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Measures the cost of a load over a period of a simulated deployment, as figures by name. */
final class LoadMeasurement {
  private final ClusterSimulation simulation;
  private final OpenLoopLoad load;
  private final double startedAtSeconds;
  private final Map<String, Double> startTotals;

  private LoadMeasurement(ClusterSimulation simulation, OpenLoopLoad load) {
    this.simulation = simulation;
    this.load = load;
    this.startedAtSeconds = simulation.nowSeconds();
    this.startTotals = currentTotals();
  }

  static LoadMeasurement start(ClusterSimulation simulation, OpenLoopLoad load) {
    load.startCounting();
    return new LoadMeasurement(simulation, load);
  }

  /** Returns the cumulative counters, under the names of the rates derived from them. */
  private Map<String, Double> currentTotals() {
    Map<String, Double> totals = new TreeMap<>();
    double controllerCpuSeconds = 0;
    for (String name : simulation.controllers().keySet()) {
      controllerCpuSeconds += simulation.controllerCpuSeconds(name);
    }
    totals.put("cpu_ms_a_s", 1000 * controllerCpuSeconds);
    for (Map.Entry<String, TrafficCounter.MessageCount> entry :
        simulation.traffic().byKind().entrySet()) {
      String kind = entry.getKey().replace(' ', '_');
      totals.put(kind + "/messages_a_s", (double) entry.getValue().messages);
      totals.put(
          kind + "/bytes_a_s",
          (double) entry.getValue().requestBytes + entry.getValue().replyBytes);
    }
    simulation
        .stateService()
        .writeCountByPurpose()
        .forEach(
            (use, count) ->
                totals.put("changes/" + use.replace(' ', '_') + "_a_s", (double) count));
    totals.put("changes/all_a_s", (double) simulation.stateService().writeCount());
    long requests =
        simulation.stateService().requestCountByKind().values().stream()
            .mapToLong(count -> count)
            .sum();
    totals.put("state_requests_a_s", (double) requests);
    totals.put("state_over_limit_a_s", (double) simulation.stateService().overLimitCount());
    return totals;
  }

  /** Returns rates since the start, latency percentiles, and counts of refused requests. */
  Map<String, Double> finish() {
    double seconds = simulation.nowSeconds() - startedAtSeconds;
    Map<String, Double> figures = new TreeMap<>();
    currentTotals()
        .forEach(
            (name, sum) ->
                figures.put(name, (sum - startTotals.getOrDefault(name, 0.0)) / seconds));
    int controllers = Math.max(1, simulation.controllers().size());
    figures.put("cpu_ms_a_s_a_controller", figures.get("cpu_ms_a_s") / controllers);
    figures.put("starts_a_s", load.startsPerSecond());
    figures.put("submitted", (double) load.submittedCount);
    figures.put("accepted_share", load.acceptedCount / (double) Math.max(1, load.submittedCount));
    figures.put("answers_503", (double) load.refusedCount);
    figures.put("given_up", (double) load.givenUpCount);
    figures.put(
        "urgent_not_started",
        (double) load.countLateUrgentJobs(DeploymentSetup.URGENT_START_SECONDS));
    putLatencies("accepted_ms", load.acceptedMillis, figures);
    putLatencies("urgent_start_ms", load.urgentStartMillis, figures);
    figures.put("broken_rules", (double) simulation.violations().size());
    return figures;
  }

  private static void putLatencies(String name, Histogram histogram, Map<String, Double> figures) {
    figures.put(name + "/p50", (double) histogram.getValueAtPercentile(50));
    figures.put(name + "/p99", (double) histogram.getValueAtPercentile(99));
    figures.put(name + "/max", (double) histogram.getMaxValue());
  }
}
