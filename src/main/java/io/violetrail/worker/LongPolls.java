package io.violetrail.worker;

import io.violetrail.model.MachineId;
import io.violetrail.net.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Heartbeats of idle workers that wait for something to do. A launch may travel only in the answer
 * to a heartbeat, and an idle worker sends one an interval: a gang waited for the slowest of its
 * machines. So the answer to a worker that has nothing is kept open for most of the interval, and
 * given the moment that there is something to start, or that the machine passes on.
 */
public final class LongPolls {
  /** Part of the interval; the rest is left for the next heartbeat to come in time. */
  private static final double INTERVAL_PART = 0.8;

  /** Well below the 4 s that a worker waits for an answer. */
  private static final double MAX_WAIT_SECONDS = 2;

  /** A heartbeat whose answer is kept open. */
  private record Parked(
      Consumer<HeartbeatReply> done, Runnable answer, EventLoop.Cancellable timer) {}

  private final EventLoop loop;
  private final double waitSeconds;
  private final Map<MachineId, Parked> parked = new HashMap<>();

  /** Keeps answers open for a part of the workers' heartbeat interval. */
  public LongPolls(EventLoop loop, double heartbeatSeconds) {
    this.loop = loop;
    this.waitSeconds = Math.min(MAX_WAIT_SECONDS, INTERVAL_PART * heartbeatSeconds);
  }

  /**
   * Keeps an answer open.
   *
   * @param replyConsumer takes the reply if the worker gives this heartbeat up
   * @param onTimeout run when there is something to tell the worker, or the time is over
   */
  void park(MachineId machine, Consumer<HeartbeatReply> replyConsumer, Runnable onTimeout) {
    EventLoop.Cancellable timer = loop.schedule(waitSeconds, () -> answer(machine));
    parked.put(machine, new Parked(replyConsumer, onTimeout, timer));
  }

  /** Answers the open heartbeat of a machine now; nothing happens if there is none. */
  public void answer(MachineId machine) {
    Parked open = remove(machine);
    if (open != null) {
      open.answer().run();
    }
  }

  /** A newer heartbeat of the machine is here: its worker has given the open one up. */
  void endSuperseded(MachineId machine) {
    Parked open = remove(machine);
    if (open != null) {
      open.done().accept(HeartbeatReply.refused("a newer report is here"));
    }
  }

  private Parked remove(MachineId machine) {
    Parked open = parked.remove(machine);
    if (open != null) {
      open.timer().cancel();
    }
    return open;
  }
}
