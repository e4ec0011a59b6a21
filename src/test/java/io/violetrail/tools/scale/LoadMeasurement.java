package io.violetrail.tools.scale;

import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.TrafficCounter;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What a load has cost in a stretch of a simulated deployment's time, as figures by name. */
final class LoadMeasurement {
  private final ClusterSimulation simulation;
  private final OpenLoopLoad load;
  private final double startedAtSeconds;
  private final Map<String, Double> totalsBefore;

  private LoadMeasurement(ClusterSimulation simulation, OpenLoopLoad load) {
    this.simulation = simulation;
    this.load = load;
    this.startedAtSeconds = simulation.nowSeconds();
    this.totalsBefore = totals();
  }

  static LoadMeasurement begin(ClusterSimulation simulation, OpenLoopLoad load) {
    load.beginCounting();
    return new LoadMeasurement(simulation, load);
  }

  /** Everything that only grows. */
  private Map<String, Double> totals() {
    Map<String, Double> sums = new TreeMap<>();
    double controllerSeconds = 0;
    for (String name : simulation.controllers().keySet()) {
      controllerSeconds += simulation.controllerCpuSeconds(name);
    }
    sums.put("cpu_ms_a_s", 1000 * controllerSeconds);
    for (Map.Entry<String, TrafficCounter.MessageCount> entry :
        simulation.traffic().byKind().entrySet()) {
      String kind = entry.getKey().replace(' ', '_');
      sums.put(kind + "/messages_a_s", (double) entry.getValue().messages);
      sums.put(
          kind + "/bytes_a_s",
          (double) entry.getValue().requestBytes + entry.getValue().replyBytes);
    }
    simulation
        .stateService()
        .writeCountByUse()
        .forEach((use, n) -> sums.put("changes/" + use.replace(' ', '_') + "_a_s", (double) n));
    sums.put("changes/all_a_s", (double) simulation.stateService().writeCount());
    long requests =
        simulation.stateService().requestCountByKind().values().stream().mapToLong(n -> n).sum();
    sums.put("state_requests_a_s", (double) requests);
    sums.put("state_over_limit_a_s", (double) simulation.stateService().overLimitCount());
    return sums;
  }

  /** Rates since the beginning, waits, and what was refused. */
  Map<String, Double> end() {
    double seconds = simulation.nowSeconds() - startedAtSeconds;
    Map<String, Double> figures = new TreeMap<>();
    totals()
        .forEach(
            (name, sum) ->
                figures.put(name, (sum - totalsBefore.getOrDefault(name, 0.0)) / seconds));
    int controllers = Math.max(1, simulation.controllers().size());
    figures.put("cpu_ms_a_s_a_controller", figures.get("cpu_ms_a_s") / controllers);
    figures.put("starts_a_s", load.startsPerSecond());
    figures.put("submitted", (double) load.submittedCount);
    figures.put("accepted_share", load.acceptedCount / (double) Math.max(1, load.submittedCount));
    figures.put("answers_503", (double) load.refusedCount);
    figures.put("given_up", (double) load.givenUpCount);
    figures.put(
        "urgent_not_started", (double) load.countLateUrgent(DeploymentSetup.URGENT_START_SECONDS));
    putWaits("accepted_ms", load.acceptedMillis, figures);
    putWaits("urgent_start_ms", load.urgentStartMillis, figures);
    figures.put("broken_rules", (double) simulation.violations().size());
    return figures;
  }

  private static void putWaits(String name, Histogram histogram, Map<String, Double> figures) {
    figures.put(name + "/p50", (double) histogram.getValueAtPercentile(50));
    figures.put(name + "/p99", (double) histogram.getValueAtPercentile(99));
    figures.put(name + "/max", (double) histogram.getMaxValue());
  }
}
