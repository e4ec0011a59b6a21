package io.violetrail.fakes;

import java.util.PriorityQueue;

/**
 * A virtual clock with its queue of events. Events run in the order of their times; events of the
 * same time run in the order in which they were scheduled, so that a seed determines a whole run.
 */
final class VirtualTime {
  private static final double START_SECONDS = 100;
  private static final long WALL_CLOCK_OFFSET_MILLIS = 1_700_000_000_000L;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private double nowSeconds = START_SECONDS;
  private long nextSequence;

  private record Event(double atSeconds, long sequence, Runnable task)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atSeconds != other.atSeconds
          ? Double.compare(atSeconds, other.atSeconds)
          : Long.compare(sequence, other.sequence);
    }
  }

  double nowSeconds() {
    return nowSeconds;
  }

  /** Returns the time of a correct wall clock, in milliseconds since 1970. */
  long wallMillis() {
    return WALL_CLOCK_OFFSET_MILLIS + (long) (nowSeconds * 1000);
  }

  void runAfter(double delaySeconds, Runnable task) {
    events.add(new Event(nowSeconds + delaySeconds, nextSequence++, task));
  }

  /** Runs all events of the next {@code seconds} and advances the clock to their end. */
  void runFor(double seconds) {
    double untilSeconds = nowSeconds + seconds;
    while (!events.isEmpty() && events.peek().atSeconds <= untilSeconds) {
      Event event = events.poll();
      nowSeconds = Math.max(nowSeconds, event.atSeconds);
      event.task.run();
    }
    nowSeconds = untilSeconds;
  }
}
