package io.violetrail.scale;

import io.violetrail.fakes.Traffic;
import io.violetrail.fakes.World;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What a load has cost in a stretch of a simulated deployment's time, as figures by name. */
final class Sample {
  private final World world;
  private final OpenLoad load;
  private final double beganS;
  private final Map<String, Double> before;

  private Sample(World world, OpenLoad load) {
    this.world = world;
    this.load = load;
    this.beganS = world.now();
    this.before = totals();
  }

  static Sample begin(World world, OpenLoad load) {
    load.beginCounting();
    return new Sample(world, load);
  }

  /** Everything that only grows. */
  private Map<String, Double> totals() {
    Map<String, Double> sums = new TreeMap<>();
    double program = 0;
    for (String name : world.nodes.keySet()) {
      program += world.controllerCpuS(name);
    }
    sums.put("cpu_ms_a_s", 1000 * program);
    for (Map.Entry<String, Traffic.Count> e : world.traffic.byKind().entrySet()) {
      String kind = e.getKey().replace(' ', '_');
      sums.put(kind + "/messages_a_s", (double) e.getValue().messages);
      sums.put(kind + "/bytes_a_s", (double) e.getValue().requestBytes + e.getValue().answerBytes);
    }
    world.state.writesByUse.forEach(
        (use, n) -> sums.put("changes/" + use.replace(' ', '_') + "_a_s", (double) n));
    sums.put("changes/all_a_s", (double) world.state.writes);
    long requests = world.state.requestsByKind.values().stream().mapToLong(n -> n).sum();
    sums.put("state_requests_a_s", (double) requests);
    sums.put("state_over_limit_a_s", (double) world.state.overLimit);
    return sums;
  }

  /** Rates since the beginning, waits, and what was refused. */
  Map<String, Double> end() {
    double seconds = world.now() - beganS;
    Map<String, Double> figures = new TreeMap<>();
    totals()
        .forEach(
            (name, sum) -> figures.put(name, (sum - before.getOrDefault(name, 0.0)) / seconds));
    int controllers = Math.max(1, world.nodes.size());
    figures.put("cpu_ms_a_s_a_controller", figures.get("cpu_ms_a_s") / controllers);
    figures.put("starts_a_s", load.startsPerS());
    figures.put("submitted", (double) load.submitted);
    figures.put("accepted_share", load.accepted / (double) Math.max(1, load.submitted));
    figures.put("answers_503", (double) load.refused);
    figures.put("given_up", (double) load.givenUp);
    figures.put("urgent_not_started", (double) load.urgentLate(Deployment.URGENT_START_S));
    waits("accepted_ms", load.acceptedMs, figures);
    waits("urgent_start_ms", load.urgentStartMs, figures);
    figures.put("broken_rules", (double) world.broken.size());
    return figures;
  }

  private static void waits(String name, Histogram h, Map<String, Double> figures) {
    figures.put(name + "/p50", (double) h.getValueAtPercentile(50));
    figures.put(name + "/p99", (double) h.getValueAtPercentile(99));
    figures.put(name + "/max", (double) h.getMaxValue());
  }
}
