package io.violetrail.tools.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The outcome of a scale run, written as one JSON document. */
public final class ScaleReport {
  /** A target figure with the measured value; {@code measured} is null if it was not run. */
  public record Verdict(String figure, String required, Double measured, String outcome) {}

  /** The resource usage and messages of one controller during the measured time. */
  public record ControllerFigures(
      double cpuCores, double residentMib, long sockets, Map<String, MessageRates> messages) {}

  /** Messages of one kind per second, and the bytes per second of their bodies. */
  public record MessageRates(double messages, double requestBytes, double answerBytes) {}

  public static final String PASS = "pass";
  public static final String FAIL = "fail";
  public static final String NOT_RUN = "not run";

  public LoadShape shape;
  public double seconds;
  public long seed;
  public final List<String> events = new ArrayList<>();
  public final Map<String, Double> figures = new TreeMap<>();
  public final Map<String, ControllerFigures> controllers = new TreeMap<>();
  public final Map<String, Double> stateRequestsPerS = new TreeMap<>();
  public final Map<String, Double> stateChangesPerS = new TreeMap<>();
  public final List<String> brokenRules = new ArrayList<>();
  public final List<Verdict> verdicts = new ArrayList<>();

  void atLeast(String figure, double required, double measured) {
    verdict(figure, "at least " + required, measured, measured >= required);
  }

  void atMost(String figure, double required, double measured) {
    verdict(figure, "at most " + required, measured, measured <= required);
  }

  void notRun(String figure, String required) {
    verdicts.add(new Verdict(figure, required, null, NOT_RUN));
  }

  private void verdict(String figure, String required, double measured, boolean passes) {
    verdicts.add(new Verdict(figure, required, measured, passes ? PASS : FAIL));
  }

  boolean passed() {
    return verdicts.stream().noneMatch(v -> v.outcome().equals(FAIL));
  }
}
