package io.violetrail.scale;

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
final class Takeovers {
  private static final Pattern ACTIVE = Pattern.compile("entity (\\S+) version \\d+ active");

  private final DoubleSupplier clock;
  private final double beganS;
  private final Map<String, Double> endedS = new HashMap<>();
  private final List<String> events = new ArrayList<>();
  private double longestS = -1;

  Takeovers(DoubleSupplier clock) {
    this.clock = clock;
    this.beganS = clock.getAsDouble();
  }

  synchronized void event(String what) {
    events.add(String.format(Locale.ROOT, "%.1f s: %s", clock.getAsDouble() - beganS, what));
  }

  /** A controller's process is ended now. */
  synchronized void ended(String controller) {
    endedS.put(controller, clock.getAsDouble());
  }

  /** A line of a controller's log. */
  synchronized void logged(String controller, String line) {
    Matcher active = ACTIVE.matcher(line);
    if (!active.find()) {
      return;
    }
    Double since = endedS.remove(active.group(1));
    if (since != null) {
      double took = clock.getAsDouble() - since;
      longestS = Math.max(longestS, took);
      event(
          String.format(
              Locale.ROOT,
              "entity %s is active at %s, %.2f s after its owner's end",
              active.group(1),
              controller,
              took));
    }
  }

  synchronized List<String> events() {
    return List.copyOf(events);
  }

  synchronized OptionalDouble longestS() {
    return longestS < 0 ? OptionalDouble.empty() : OptionalDouble.of(longestS);
  }
}
