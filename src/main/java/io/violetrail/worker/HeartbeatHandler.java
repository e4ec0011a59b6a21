package io.violetrail.worker;

import io.violetrail.fleet.EntityMachines;
import io.violetrail.fleet.Machine;
import io.violetrail.net.RequestHandler.HttpAnswer;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Receives the workers' heartbeats and decides who replies: this controller as the owner of the
 * machine's entity ({@link OwnedMachineHeartbeat}, {@link LeaseRenewal}), another controller
 * ({@link WorkerRouter}), or this one after it has adopted the machine ({@link MachineAdoption}).
 *
 * <p>Called on the event loop's thread; has no state of its own.
 */
public final class HeartbeatHandler {
  private final ClusterView clusterView;
  private final Membership membership;
  private final EntityMachines machines;
  private final WorkerReachability workerReachability;
  private final LongPolls longPolls;
  private final LastHeartbeats lastHeartbeats;
  private final WorkerRouter router;
  private final MachineAdoption adoption;
  private final OwnedMachineHeartbeat ownedMachine;
  private final LeaseRenewal leaseRenewal;
  private final LongPollReplies longPollReplies;

  /** Routes heartbeats between the given collaborators. */
  public HeartbeatHandler(
      ClusterView clusterView,
      Membership membership,
      EntityMachines machines,
      WorkerReachability workerReachability,
      LongPolls longPolls,
      LastHeartbeats lastHeartbeats,
      WorkerRouter router,
      MachineAdoption adoption,
      OwnedMachineHeartbeat ownedMachine,
      LeaseRenewal leaseRenewal,
      LongPollReplies longPollReplies) {
    this.clusterView = clusterView;
    this.membership = membership;
    this.machines = machines;
    this.workerReachability = workerReachability;
    this.longPolls = longPolls;
    this.lastHeartbeats = lastHeartbeats;
    this.router = router;
    this.adoption = adoption;
    this.ownedMachine = ownedMachine;
    this.leaseRenewal = leaseRenewal;
    this.longPollReplies = longPollReplies;
  }

  /**
   * Processes a heartbeat.
   *
   * @param body the request's body as it came; malformed ones are answered with status 400
   * @param replyConsumer gets the answer once, at once or when the heartbeat's long poll ends
   */
  public void handle(byte[] body, Consumer<HttpAnswer> replyConsumer) {
    WorkerReport report;
    try {
      report = HeartbeatMessages.parseReport(Cbor.parse(body));
    } catch (MalformedMessageException exception) {
      replyConsumer.accept(HttpAnswer.error(400, exception.getMessage()));
      return;
    }
    Optional<LastHeartbeat> lastHeartbeat = lastHeartbeats.acceptIfNewer(report);
    if (lastHeartbeat.isEmpty()) {
      replyConsumer.accept(HeartbeatReply.withoutRenewal(report).answer());
      return;
    }
    handle(
        report,
        reply -> {
          lastHeartbeats.recordReply(report.machineId(), lastHeartbeat.get(), reply);
          replyConsumer.accept(reply.answer());
        });
  }

  private void handle(WorkerReport report, Consumer<HeartbeatReply> replyConsumer) {
    workerReachability.recordHeartbeat(report);
    longPolls.endSuperseded(report.machineId());
    if (machines.wasReturned(report.machineId())) {
      // The cloud has confirmed its return, though its record still stands: a report that was
      // delayed in the network must not bring the machine into use again, with tasks that have been
      // started elsewhere since.
      replyConsumer.accept(HeartbeatReply.redirected(null));
      return;
    }
    MachineRow row = clusterView.findMachineRow(report.machineId());
    if (row == null) {
      adoption.adopt(
          report,
          (entity, stored) -> replyConsumer.accept(answerAdopted(entity, stored, report)),
          replyConsumer);
      return;
    }
    OwnedEntity entity = membership.findOwnedEntity(row.entity());
    if (entity == null || entity.phase() == OwnedEntity.Phase.RELEASING) {
      replyConsumer.accept(router.route(row, entity, report));
    } else if (!membership.mayKeepWorkersAlive()) {
      replyConsumer.accept(HeartbeatReply.refused("not entitled"));
    } else {
      handleOwned(entity, row, report, replyConsumer);
    }
  }

  private HeartbeatReply answerAdopted(OwnedEntity entity, MachineRow row, WorkerReport report) {
    Machine machine =
        entity.isActive() && membership.isLeaseValid() ? machines.findOrAdd(entity, row) : null;
    return machine == null
        ? HeartbeatReply.redirected(null)
        : ownedMachine.process(entity, machine, report, new ArrayList<>());
  }

  private void handleOwned(
      OwnedEntity entity,
      MachineRow row,
      WorkerReport report,
      Consumer<HeartbeatReply> replyConsumer) {
    Machine machine = entity.isActive() ? machines.findOrAdd(entity, row) : null;
    if (machine == null) {
      replyConsumer.accept(leaseRenewal.renew(entity, entity.fencingToken(row), report, List.of()));
      return;
    }
    List<WorkerCommand> commands = new ArrayList<>();
    HeartbeatReply reply = ownedMachine.process(entity, machine, report, commands);
    if (longPollReplies.mayDelay(entity, machine, report, commands)) {
      longPolls.park(
          machine.id(),
          replyConsumer,
          () -> replyConsumer.accept(longPollReplies.write(machine, report, commands)));
    } else {
      replyConsumer.accept(reply);
    }
  }
}
