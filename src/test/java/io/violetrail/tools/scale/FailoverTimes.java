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

/**
 * Measures failover: the time from the end of a controller's process until a controller logs that
 * the entity of the same name is active, that is, has an owner that can place tasks. Thread-safe.
 */
final class FailoverTimes {
  private static final Pattern ENTITY_ACTIVE = Pattern.compile("entity (\\S+) version \\d+ active");

  private final DoubleSupplier clock;
  private final double startedAtSeconds;
  private final Map<String, Double> endedAtSeconds = new HashMap<>();
  private final List<String> events = new ArrayList<>();
  private double longestSeconds = -1;

  FailoverTimes(DoubleSupplier clock) {
    this.clock = clock;
    this.startedAtSeconds = clock.getAsDouble();
  }

  synchronized void recordEvent(String event) {
    events.add(
        String.format(Locale.ROOT, "%.1f s: %s", clock.getAsDouble() - startedAtSeconds, event));
  }

  /** Records that a controller's process is being ended now. */
  synchronized void recordControllerEnd(String controller) {
    endedAtSeconds.put(controller, clock.getAsDouble());
  }

  /** Reads a line of a controller's log, and records a failover that it completes. */
  synchronized void readLogLine(String controller, String line) {
    Matcher active = ENTITY_ACTIVE.matcher(line);
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
              "entity %s is active at %s, %.2f s after its owner ended",
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
