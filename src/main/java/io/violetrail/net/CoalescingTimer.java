package io.violetrail.net;

/** Runs a step a moment after it was asked for: once, however often it is asked for until then. */
public final class CoalescingTimer {
  private final EventLoop loop;
  private final Runnable task;
  private boolean scheduled;

  public CoalescingTimer(EventLoop loop, Runnable task) {
    this.loop = loop;
    this.task = task;
  }

  /** Asks for the step; the first who asks decides when. */
  public void schedule(double seconds) {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(
          seconds,
          () -> {
            scheduled = false;
            task.run();
          });
    }
  }
}
