package io.violetrail.tools.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.DoubleSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How long entities of controllers that ended stay without an owner that can place tasks. */
final class FailoverTimes {
  private static final Pattern ACTIVE = Pattern.compile("entity (\\S+) version \\d+ active");

  private final DoubleSupplier clock;
  private final double startedAtSeconds;
  private final Map<String, Double> endedAtSeconds = new HashMap<>();
  private final List<String> events = new ArrayList<>();
  private double longestSeconds = -1;

  FailoverTimes(DoubleSupplier clock) {
    this.clock = clock;
    this.startedAtSeconds = clock.getAsDouble();
  }

  synchronized void recordEvent(String what) {
    events.add(
        String.format(Locale.ROOT, "%.1f s: %s", clock.getAsDouble() - startedAtSeconds, what));
  }

  /** A controller's process is ended now. */
  synchronized void recordEnd(String controller) {
    endedAtSeconds.put(controller, clock.getAsDouble());
  }

  /** A line of a controller's log. */
  synchronized void readLogLine(String controller, String line) {
    Matcher active = ACTIVE.matcher(line);
    if (!active.find()) {
      return;
    }
    Double endedAt = endedAtSeconds.remove(active.group(1));
    if (endedAt != null) {
      double elapsedSeconds = clock.getAsDouble() - endedAt;
      longestSeconds = Math.max(longestSeconds, elapsedSeconds);
      recordEvent(
          String.format(
              Locale.ROOT,
              "entity %s is active at %s, %.2f s after its owner's end",
              active.group(1),
              controller,
              elapsedSeconds));
    }
  }

  synchronized List<String> events() {
    return List.copyOf(events);
  }

  synchronized OptionalDouble longestSeconds() {
    return longestSeconds < 0 ? OptionalDouble.empty() : OptionalDouble.of(longestSeconds);
  }
}
