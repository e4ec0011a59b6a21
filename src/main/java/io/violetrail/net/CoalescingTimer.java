package io.violetrail.net;

/** Runs a task once after a delay, however often it is requested during that delay. */
public final class CoalescingTimer {
  private final EventLoop loop;
  private final Runnable task;
  private boolean scheduled;

  public CoalescingTimer(EventLoop loop, Runnable task) {
    this.loop = loop;
    this.task = task;
  }

  /**
   * Schedules a run of the task after a delay. Has no effect while a run is scheduled: the first
   * call determines the time.
   */
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
