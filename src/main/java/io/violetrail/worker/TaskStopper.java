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
 * Sends stop commands to workers at once, for tasks whose room a more urgent job waits for or whose
 * job was cancelled; the reply to their next heartbeat, which carries them too, may be seconds
 * away.
 *
 * <p>Nothing is concluded from the answers. Such a command may overtake a launch that is in flight
 * in the reply to a heartbeat, and be executed minutes late; but it names the attempt, which was to
 * end anyway, so a late one stops nothing else. Launches never travel this way.
 *
 * <p>Called on the event loop's thread. Nothing survives a crash: the next owner stops the tasks of
 * cancelled jobs with the replies to heartbeats.
 */
public final class TaskStopper {
  private static final double TIMEOUT_SECONDS = 2;

  /** Beyond so many requests in flight the replies to heartbeats must do. */
  private static final int MAX_CALLS_IN_FLIGHT = 64;

  /** Requests in flight to machines that are silent, most of which are gone. */
  private static final int MAX_CALLS_TO_UNRESPONSIVE = 16;

  private static final double RESEND_INTERVAL_SECONDS = 1;

  /** Cancelled tasks remembered for resends; beyond that the expiry of leases must do. */
  private static final int MAX_UNCONFIRMED_CANCELLATIONS = 4_000;

  private final EventLoop loop;
  private final Membership membership;
  private final HttpClient http;

  /** What is to stop, collected until the end of this turn of the event loop. */
  private final Map<Machine, List<TaskPlacement>> pendingStops = new LinkedHashMap<>();

  /** Cancelled tasks that are not known to be gone yet, the next to be resent first. */
  private final Set<TaskPlacement> unconfirmedCancellations = new LinkedHashSet<>();

  private int callsInFlight;
  private int callsInFlightToUnresponsive;

  /** Sends commands to the machines of the entities owned here. */
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
   * Stops a cancelled job's placement. Until its machine is known to be rid of it, this is repeated
   * while no heartbeats arrive: a worker that reaches no controller may still be reached. Without
   * that, a task whose image is being fetched could start after its user has been told that the job
   * is cancelled.
   */
  public void stopUntilGone(TaskPlacement placement) {
    enqueueStop(placement);
    if (unconfirmedCancellations.size() < MAX_UNCONFIRMED_CANCELLATIONS) {
      unconfirmedCancellations.add(placement);
    }
  }

  /**
   * Sends the stop that was requested for a placement; the stops of one turn of the event loop go
   * to each machine together. Nothing is sent for a placement that its worker was never sent, or
   * that is not to stop.
   */
  public void enqueueStop(TaskPlacement placement) {
    if (placement.isRevocable() || !placement.isStopRequested()) {
      return;
    }
    if (pendingStops.isEmpty()) {
      loop.execute(this::sendPendingStops);
    }
    pendingStops.computeIfAbsent(placement.machine(), m -> new ArrayList<>()).add(placement);
  }

  private void sendPendingStops() {
    Map<Machine, List<TaskPlacement>> toSend = new LinkedHashMap<>(pendingStops);
    pendingStops.clear();
    toSend.forEach(
        (machine, placements) -> {
          if (!machine.unresponsive() && callsInFlight < MAX_CALLS_IN_FLIGHT) {
            callsInFlight++;
            sendStops(machine, placements, () -> callsInFlight--);
          }
        });
  }

  private void resendUnconfirmed() {
    unconfirmedCancellations.removeIf(placement -> !isOnItsMachine(placement));
    groupByUnresponsiveMachine()
        .forEach(
            (machine, placements) -> {
              // To the end of the set, so that all have their turn.
              placements.forEach(unconfirmedCancellations::remove);
              unconfirmedCancellations.addAll(placements);
              if (callsInFlightToUnresponsive < MAX_CALLS_TO_UNRESPONSIVE) {
                callsInFlightToUnresponsive++;
                sendStops(machine, placements, () -> callsInFlightToUnresponsive--);
              }
            });
  }

  /** The unconfirmed cancellations on the first few of the machines that are silent. */
  private Map<Machine, List<TaskPlacement>> groupByUnresponsiveMachine() {
    Map<Machine, List<TaskPlacement>> unresponsive = new LinkedHashMap<>();
    for (TaskPlacement placement : unconfirmedCancellations) {
      if (placement.machine().unresponsive()
          && (unresponsive.containsKey(placement.machine())
              || unresponsive.size() < MAX_CALLS_TO_UNRESPONSIVE)) {
        unresponsive.computeIfAbsent(placement.machine(), m -> new ArrayList<>()).add(placement);
      }
    }
    return unresponsive;
  }

  /**
   * Sends the stops that still apply, if any.
   *
   * @param onCompleted run in any case, also if nothing is sent
   */
  private void sendStops(Machine machine, List<TaskPlacement> placements, Runnable onCompleted) {
    OwnedEntity entity = membership.findOwnedEntity(machine.row().entity());
    List<WorkerCommand> commands =
        placements.stream().filter(TaskStopper::isOnItsMachine).map(WorkerCommands::stop).toList();
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

  private static boolean isOnItsMachine(TaskPlacement placement) {
    return placement.machine().findPlacement(placement.taskId()) == placement;
  }
}
