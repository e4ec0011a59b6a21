package io.violetrail.scheduling;

import io.violetrail.net.CoalescingTimer;
import io.violetrail.net.EventLoop;
import java.util.function.BooleanSupplier;

/**
 * Decides when a scheduling pass runs. Requests are debounced, since events arrive in bursts. A
 * pass is followed by a pause in proportion to its duration, so that heartbeats and lease renewals
 * are handled in time on a slow processor, too. With hundreds of machines and a small processor, a
 * pass after each event would leave no time for anything else. A pass that has more to place than
 * it may place at once is continued after the pause.
 *
 * <p>Runs on the event loop's thread. Its state is lost with the process.
 */
public final class SchedulingLoop {
  private static final double DEBOUNCE_SECONDS = 0.02;

  /** Duration of the pause after a pass, as a multiple of the duration of the pass. */
  private static final double PAUSE_FACTOR = 5;

  private final EventLoop loop;
  private final CoalescingTimer nextPass;
  private BooleanSupplier pass = () -> false;
  private double pausedUntilSeconds;

  /** Creates a loop that runs passes on the event loop. */
  public SchedulingLoop(EventLoop loop) {
    this.loop = loop;
    this.nextPass = new CoalescingTimer(loop, this::runPass);
  }

  /**
   * Sets what a pass does. Until then requested passes do nothing.
   *
   * @param pass returns whether another pass is needed to place what can be placed
   */
  public void setPass(BooleanSupplier pass) {
    this.pass = pass;
  }

  /** Requests a pass, since something has changed that may let a task be placed. */
  public void requestPass() {
    nextPass.schedule(Math.max(DEBOUNCE_SECONDS, pausedUntilSeconds - loop.monotonicSeconds()));
  }

  private void runPass() {
    double startedAtSeconds = loop.monotonicSeconds();
    boolean unfinished = pass.getAsBoolean();
    double endedAtSeconds = loop.monotonicSeconds();
    pausedUntilSeconds = endedAtSeconds + PAUSE_FACTOR * (endedAtSeconds - startedAtSeconds);
    if (unfinished) {
      requestPass();
    }
  }
}
