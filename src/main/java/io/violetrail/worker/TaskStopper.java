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
import io.violetrail.wire.HeartbeatMessages.WorkerCommand.CommandType;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells workers at once to stop tasks whose room a more urgent job waits for, or whose job was
 * cancelled; the answer to their next report, which says so too, may be seconds away.
 *
 * <p>Nothing is concluded from the answers. Such a command may overtake a launch that is on its way
 * in the answer to a report, and be executed minutes late; but it names the attempt, which was to
 * end anyway, so a late one stops nothing else. Launches never travel this way.
 */
public final class TaskStopper {
  private static final double TIMEOUT_SECONDS = 2;

  /** Commands under way; beyond that the answers to reports must do. */
  private static final int MAX_CALLS_IN_FLIGHT = 64;

  private final EventLoop loop;
  private final Membership membership;
  private final HttpClient http;

  /** Commands under way to machines that are silent, most of which are gone. */
  private static final int MAX_CALLS_TO_UNRESPONSIVE = 16;

  private static final double RESEND_INTERVAL_SECONDS = 1;

  /** Cancelled tasks that are remembered for repeats; the others' leases must do. */
  private static final int MAX_UNCONFIRMED_CANCELLATIONS = 4_000;

  private final Map<Machine, List<TaskPlacement>> pendingStops = new LinkedHashMap<>();

  /** Cancelled tasks of which it is not known yet that they are gone. */
  private final Set<TaskPlacement> unconfirmedCancellations = new LinkedHashSet<>();

  private int callsInFlight;
  private int callsInFlightToUnresponsive;

  /** Sends commands to the machines of the entities owned here. */
  public TaskStopper(EventLoop loop, Membership membership, HttpClient http) {
    this.loop = loop;
    this.membership = membership;
    this.http = http;
  }

  public void start() {
    loop.scheduleWithFixedDelay(RESEND_INTERVAL_SECONDS, this::resendUnconfirmed);
  }

  /**
   * A cancelled job's placement is to be halted. Until its machine is known to be rid of it this is
   * repeated where no reports come: a worker may reach no controller and still be reached. Told
   * with the next report alone, tasks whose image was being fetched began after their user had been
   * told that the job was cancelled.
   */
  public void stopUntilGone(TaskPlacement placement) {
    enqueueStop(placement);
    if (unconfirmedCancellations.size() < MAX_UNCONFIRMED_CANCELLATIONS) {
      unconfirmedCancellations.add(placement);
    }
  }

  private void resendUnconfirmed() {
    unconfirmedCancellations.removeIf(p -> p.machine().findPlacement(p.taskId()) != p);
    Map<Machine, List<TaskPlacement>> unresponsive = new LinkedHashMap<>();
    for (TaskPlacement placement : unconfirmedCancellations) {
      if (placement.machine().unresponsive()
          && (unresponsive.containsKey(placement.machine())
              || unresponsive.size() < MAX_CALLS_TO_UNRESPONSIVE)) {
        unresponsive.computeIfAbsent(placement.machine(), m -> new ArrayList<>()).add(placement);
      }
    }
    unresponsive.forEach(
        (machine, placements) -> {
          // To the end of the line, so that all have their turn.
          placements.forEach(unconfirmedCancellations::remove);
          unconfirmedCancellations.addAll(placements);
          if (callsInFlightToUnresponsive < MAX_CALLS_TO_UNRESPONSIVE) {
            callsInFlightToUnresponsive++;
            sendStops(machine, placements, () -> callsInFlightToUnresponsive--);
          }
        });
  }

  /** A placement is to be halted; what is halted in the same moment goes together. */
  public void enqueueStop(TaskPlacement placement) {
    if (placement.isRevocable() || placement.stopGraceSeconds() < 0) {
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

  /** {@code onCompleted} is run in any case. */
  private void sendStops(Machine machine, List<TaskPlacement> placements, Runnable onCompleted) {
    OwnedEntity entity = membership.findOwnedEntity(machine.row().entity());
    boolean isOwnedHere =
        entity != null && entity.isActive() && entity.machines().get(machine.id()) == machine;
    List<WorkerCommand> commands = new ArrayList<>();
    for (TaskPlacement placement : placements) {
      if (machine.findPlacement(placement.taskId()) == placement) {
        commands.add(
            new WorkerCommand(
                CommandType.STOP,
                placement.taskId(),
                placement.attempt(),
                placement.stopGraceSeconds()));
      }
    }
    if (!isOwnedHere
        || !membership.isLeaseValid()
        || machine.endpoint() == null
        || machine.lastSession() == 0
        || commands.isEmpty()) {
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
}
