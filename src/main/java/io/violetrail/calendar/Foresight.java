package io.violetrail.calendar;

/** When a run will be done, by what is seen of it. A plain decision. */
final class Foresight {
  /** A task that runs longer than expected is taken to go on for this part of its age. */
  private static final double OVERRUN = 0.1;

  private Foresight() {}

  /**
   * What is seen of a run.
   *
   * @param ageS for how long its running tasks have run on average
   * @param runS how long a task runs, by its estimate and what was observed of its class
   * @param startS how long a task waits that is to start now
   */
  record Outlook(int tasks, int done, int running, double ageS, double runS, double startS) {}

  static long doneMs(long nowMs, Outlook o) {
    int left = o.tasks() - o.done();
    if (left <= 0) {
      return nowMs;
    }
    double s;
    if (o.running() == 0) {
      s = o.startS() + o.runS();
    } else {
      int waiting = left - o.running();
      double rounds = Math.ceil(waiting / (double) o.running());
      s = Math.max(o.runS() - o.ageS(), OVERRUN * o.ageS()) + rounds * o.runS();
    }
    return nowMs + (long) (1000 * s);
  }
}
