package io.violetrail.scheduling;

import io.violetrail.net.CoalescingTimer;
import io.violetrail.net.EventLoop;

/**
 * Decides when a scheduling pass runs. Requests are debounced, since events come in bunches, and a
 * pass is followed by a pause in proportion to its own length, so that heartbeats and lease
 * renewals get their turn however slow the processor is: with hundreds of machines and a small
 * processor, a pass after each event would leave no time for anything else.
 *
 * <p>Runs on the event loop's thread; nothing survives the process.
 */
public final class SchedulingLoop {
  private static final double DEBOUNCE_SECONDS = 0.02;

  /** Length of the pause after a pass, as a multiple of the pass. */
  private static final double PAUSE_FACTOR = 5;

  private final EventLoop loop;
  private final CoalescingTimer nextPass;
  private Runnable pass = () -> {};
  private double pausedUntilSeconds;

  /** Runs passes as turns of the event loop. */
  public SchedulingLoop(EventLoop loop) {
    this.loop = loop;
    this.nextPass = new CoalescingTimer(loop, this::runPass);
  }

  /** Sets what a pass does. Until then requested passes do nothing. */
  public void setPass(Runnable pass) {
    this.pass = pass;
  }

  /** Something has changed that may let a task be placed. */
  public void requestPass() {
    nextPass.schedule(Math.max(DEBOUNCE_SECONDS, pausedUntilSeconds - loop.monotonicSeconds()));
  }

  private void runPass() {
    double startedAtSeconds = loop.monotonicSeconds();
    pass.run();
    double endedAtSeconds = loop.monotonicSeconds();
    pausedUntilSeconds = endedAtSeconds + PAUSE_FACTOR * (endedAtSeconds - startedAtSeconds);
  }
}
