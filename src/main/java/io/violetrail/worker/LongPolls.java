package io.violetrail.worker;

import io.violetrail.model.MachineId;
import io.violetrail.net.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Long polls: heartbeats of idle workers whose replies are delayed until there is work.
 *
 * <p>A launch may travel only in the reply to a heartbeat, and a worker sends one in each interval.
 * Without long polls a gang would wait for the heartbeat of the slowest of its machines. So the
 * reply to an idle worker is delayed for most of the interval, and sent the moment that there is a
 * task to launch, or that the machine is handed over.
 *
 * <p>Called on the event loop's thread. Lost with the process, as are the connections.
 */
public final class LongPolls {
  /** Share of the interval; the rest is left for the next heartbeat to arrive in time. */
  private static final double MAX_INTERVAL_SHARE = 0.8;

  /** Well below the 4 s that a worker waits for a reply. */
  private static final double MAX_WAIT_SECONDS = 2;

  /** A heartbeat whose reply is delayed. */
  private record OpenHeartbeat(
      Consumer<HeartbeatReply> replyConsumer, Runnable onWork, EventLoop.Cancellable timer) {}

  private final EventLoop loop;
  private final double waitSeconds;
  private final Map<MachineId, OpenHeartbeat> openHeartbeats = new HashMap<>();

  /** Delays replies for a share of the workers' heartbeat interval. */
  public LongPolls(EventLoop loop, double heartbeatIntervalSeconds) {
    this.loop = loop;
    this.waitSeconds = Math.min(MAX_WAIT_SECONDS, MAX_INTERVAL_SHARE * heartbeatIntervalSeconds);
  }

  /**
   * Delays the reply to a heartbeat.
   *
   * @param replyConsumer gets a refusal if a newer heartbeat of the machine takes its place
   * @param onWork otherwise run once, to send the reply: when {@link #answer} is called, or when
   *     the time is over
   */
  void park(MachineId machine, Consumer<HeartbeatReply> replyConsumer, Runnable onWork) {
    EventLoop.Cancellable timer = loop.schedule(waitSeconds, () -> answer(machine));
    openHeartbeats.put(machine, new OpenHeartbeat(replyConsumer, onWork, timer));
  }

  /** Sends the delayed reply to a machine now; nothing happens if there is none. */
  public void answer(MachineId machine) {
    OpenHeartbeat open = remove(machine);
    if (open != null) {
      open.onWork().run();
    }
  }

  /** A newer heartbeat of the machine has arrived: its worker no longer waits for the open one. */
  void endSuperseded(MachineId machine) {
    OpenHeartbeat open = remove(machine);
    if (open != null) {
      open.replyConsumer().accept(HeartbeatReply.refused("a newer report is here"));
    }
  }

  private OpenHeartbeat remove(MachineId machine) {
    OpenHeartbeat open = openHeartbeats.remove(machine);
    if (open != null) {
      open.timer().cancel();
    }
    return open;
  }
}
