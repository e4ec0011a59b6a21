package io.violetrail.worker;

import io.violetrail.fleet.Machine;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sends stop commands directly to workers, without waiting for their next heartbeats. It stops
 * tasks that are preempted for a more urgent job and tasks of cancelled jobs. The reply to the next
 * heartbeat carries the same stops, but may be seconds away.
 *
 * <p>The workers' answers are ignored. A direct stop may overtake a launch that is in flight in the
 * reply to a heartbeat, and it may be executed minutes late. It names the attempt, which was to end
 * anyway, so a late stop affects nothing else. Launches are never sent directly.
 *
 * <p>Called on the event loop's thread. No state survives a crash: the next owner stops the tasks
 * of cancelled jobs in its replies to heartbeats.
 */
public final class TaskStopper {
  private static final double TIMEOUT_SECONDS = 2;

  /**
   * Maximum number of requests in flight to responsive machines. Further stops are sent only in
   * replies to heartbeats.
   */
  private static final int MAX_CALLS_IN_FLIGHT = 64;

  /** Maximum number of requests in flight to unresponsive machines, most of which have failed. */
  private static final int MAX_CALLS_IN_FLIGHT_TO_UNRESPONSIVE = 16;

  private static final double RESEND_INTERVAL_SECONDS = 1;

  /**
   * Maximum number of cancelled tasks that are remembered for resends. The others end at the latest
   * when their workers' leases expire.
   */
  private static final int MAX_UNCONFIRMED_CANCELLATIONS = 4_000;

  private final EventLoop loop;
  private final Membership membership;
  private final HttpClient http;

  /** Stops to send at the end of the current turn of the event loop, by machine. */
  private final Map<Machine, List<TaskPlacement>> pendingStops = new LinkedHashMap<>();

  /** Cancelled tasks that may still be on their machines, in the order of the next resends. */
  private final Set<TaskPlacement> unconfirmedCancellations = new LinkedHashSet<>();

  private int callsInFlight;
  private int callsInFlightToUnresponsive;

  /** Creates a stopper whose resends begin only with {@link #start}. */
  public TaskStopper(EventLoop loop, Membership membership, HttpClient http) {
    this.loop = loop;
    this.membership = membership;
    this.http = http;
  }

  /** Starts the periodic resending of unconfirmed cancellations. */
  public void start() {
    loop.scheduleWithFixedDelay(RESEND_INTERVAL_SECONDS, this::resendUnconfirmed);
  }

  /**
   * Stops a placement of a cancelled job. While the placement remains and its machine sends no
   * heartbeats, the stop is resent, because a worker that reaches no controller may still be
   * reachable. Otherwise a task whose image is being fetched could start after the cancellation was
   * confirmed to the user.
   */
  public void stopUntilGone(TaskPlacement placement) {
    enqueueStop(placement);
    if (unconfirmedCancellations.size() < MAX_UNCONFIRMED_CANCELLATIONS) {
      unconfirmedCancellations.add(placement);
    }
  }

  /**
   * Enqueues the stop that was requested for a placement. Each machine receives the stops of one
   * turn of the event loop in a single request. Does nothing if the placement's launch was never
   * sent or no stop is requested.
   */
  public void enqueueStop(TaskPlacement placement) {
    if (placement.isRevocable() || !placement.isStopRequested()) {
      return;
    }
    if (pendingStops.isEmpty()) {
      loop.execute(this::sendPendingStops);
    }
    pendingStops.computeIfAbsent(placement.machine(), machine -> new ArrayList<>()).add(placement);
  }

  private void sendPendingStops() {
    Map<Machine, List<TaskPlacement>> toSend = new LinkedHashMap<>(pendingStops);
    pendingStops.clear();
    toSend.forEach(
        (machine, placements) -> {
          if (!machine.isUnresponsive() && callsInFlight < MAX_CALLS_IN_FLIGHT) {
            callsInFlight++;
            sendStops(machine, placements, () -> callsInFlight--);
          }
        });
  }

  private void resendUnconfirmed() {
    unconfirmedCancellations.removeIf(placement -> !isStillPlaced(placement));
    groupByUnresponsiveMachine()
        .forEach(
            (machine, placements) -> {
              // Moves the placements to the end of the set, for a round-robin order.
              placements.forEach(unconfirmedCancellations::remove);
              unconfirmedCancellations.addAll(placements);
              if (callsInFlightToUnresponsive < MAX_CALLS_IN_FLIGHT_TO_UNRESPONSIVE) {
                callsInFlightToUnresponsive++;
                sendStops(machine, placements, () -> callsInFlightToUnresponsive--);
              }
            });
  }

  /**
   * Returns the unconfirmed cancellations of the first {@link #MAX_CALLS_IN_FLIGHT_TO_UNRESPONSIVE}
   * unresponsive machines, by machine.
   */
  private Map<Machine, List<TaskPlacement>> groupByUnresponsiveMachine() {
    Map<Machine, List<TaskPlacement>> unresponsive = new LinkedHashMap<>();
    for (TaskPlacement placement : unconfirmedCancellations) {
      if (placement.machine().isUnresponsive()
          && (unresponsive.containsKey(placement.machine())
              || unresponsive.size() < MAX_CALLS_IN_FLIGHT_TO_UNRESPONSIVE)) {
        unresponsive
            .computeIfAbsent(placement.machine(), machine -> new ArrayList<>())
            .add(placement);
      }
    }
    return unresponsive;
  }

  /**
   * Sends the stops of those placements that are still on the machine.
   *
   * @param onCompleted always run once, even if nothing is sent
   */
  private void sendStops(Machine machine, List<TaskPlacement> placements, Runnable onCompleted) {
    OwnedEntity entity = membership.findOwnedEntity(machine.row().entity());
    List<WorkerCommand> commands =
        placements.stream().filter(TaskStopper::isStillPlaced).map(WorkerCommands::stop).toList();
    if (entity == null || commands.isEmpty() || !mayCommand(entity, machine)) {
      onCompleted.run();
      return;
    }
    byte[] body =
        Cbor.encode(
            HeartbeatMessages.directCommands(
                entity.fencingTokenFor(machine), machine.lastSession(), commands));
    Futures.logFailure(
        http.callOnce(
                machine.endpoint(), "POST", HeartbeatMessages.COMMANDS_PATH, body, TIMEOUT_SECONDS)
            .whenComplete((response, failure) -> onCompleted.run()),
        "send commands to a worker");
  }

  private boolean mayCommand(OwnedEntity entity, Machine machine) {
    return entity.isActive()
        && entity.machines().get(machine.id()) == machine
        && membership.isLeaseValid()
        && machine.endpoint() != null
        && machine.lastSession() != 0;
  }

  private static boolean isStillPlaced(TaskPlacement placement) {
    return placement.machine().findPlacement(placement.taskId()) == placement;
  }
}
