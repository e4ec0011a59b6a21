package io.violetrail.worker;

import io.violetrail.model.MachineId;
import io.violetrail.net.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Heartbeats whose replies are delayed until there is work for their workers.
 *
 * <p>A launch is sent only in the reply to a heartbeat, and a worker sends one heartbeat in each
 * interval. Without long polls, a gang would wait for the last of its machines to send a heartbeat.
 * The reply to an idle worker is therefore delayed for most of the interval. It is sent as soon as
 * there is a task to launch or the machine is transferred to another entity.
 *
 * <p>Called on the event loop's thread. The state is lost with the process, as are the connections.
 */
public final class LongPolls {
  /** Maximum share of the heartbeat interval; the rest lets the next heartbeat arrive in time. */
  private static final double MAX_INTERVAL_SHARE = 0.8;

  /** Far below the 4 s for which a worker waits for a reply. */
  private static final double MAX_WAIT_SECONDS = 2;

  /** A heartbeat whose reply is delayed. */
  private record OpenHeartbeat(
      Consumer<HeartbeatReply> replyConsumer, Runnable sendReply, EventLoop.Cancellable timer) {}

  private final EventLoop loop;
  private final double waitSeconds;
  private final Map<MachineId, OpenHeartbeat> openHeartbeats = new HashMap<>();

  /** Creates an empty set of long polls for workers with the given heartbeat interval. */
  public LongPolls(EventLoop loop, double heartbeatIntervalSeconds) {
    this.loop = loop;
    this.waitSeconds = Math.min(MAX_WAIT_SECONDS, MAX_INTERVAL_SHARE * heartbeatIntervalSeconds);
  }

  /**
   * Delays the reply to a heartbeat.
   *
   * @param replyConsumer receives a refusal if a newer heartbeat of the machine arrives first
   * @param sendReply otherwise run once to send the reply, when {@link #sendDelayedReply} is called
   *     or the long poll times out
   */
  void delay(MachineId machine, Consumer<HeartbeatReply> replyConsumer, Runnable sendReply) {
    EventLoop.Cancellable timer = loop.schedule(waitSeconds, () -> sendDelayedReply(machine));
    openHeartbeats.put(machine, new OpenHeartbeat(replyConsumer, sendReply, timer));
  }

  /** Sends the delayed reply to a machine's worker now; does nothing if there is none. */
  public void sendDelayedReply(MachineId machine) {
    OpenHeartbeat openHeartbeat = remove(machine);
    if (openHeartbeat != null) {
      openHeartbeat.sendReply().run();
    }
  }

  /**
   * Refuses the machine's open heartbeat, if any, because a newer one has arrived. The worker no
   * longer waits for the reply to the open one.
   */
  void refuseSuperseded(MachineId machine) {
    OpenHeartbeat openHeartbeat = remove(machine);
    if (openHeartbeat != null) {
      openHeartbeat
          .replyConsumer()
          .accept(HeartbeatReply.refused("superseded by a newer heartbeat of the same worker"));
    }
  }

  private OpenHeartbeat remove(MachineId machine) {
    OpenHeartbeat openHeartbeat = openHeartbeats.remove(machine);
    if (openHeartbeat != null) {
      openHeartbeat.timer().cancel();
    }
    return openHeartbeat;
  }
}
