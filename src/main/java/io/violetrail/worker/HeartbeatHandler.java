package io.violetrail.worker;

import io.violetrail.fleet.EntityMachines;
import io.violetrail.fleet.Machine;
import io.violetrail.net.RequestHandler.HttpResponse;
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
 * Receives the workers' heartbeats and chooses the reply to each.
 *
 * <p>A worker runs on a machine, a machine belongs to an entity, and an entity has one owner. Only
 * the owner may renew the worker's lease and send it commands. A worker may report to any
 * controller. The first of these cases that applies decides the reply:
 *
 * <ol>
 *   <li>The heartbeat is malformed: it is answered with status 400.
 *   <li>The heartbeat is not newer than the last one that was accepted from the same worker ({@link
 *       LastHeartbeats}), so the network has delayed or duplicated it. The reply does not renew the
 *       worker's lease, and the heartbeat has no other effect.
 *   <li>The cloud has confirmed that the machine was returned: the worker is sent to the next
 *       controller, and its lease is not renewed.
 *   <li>The machine has no stored record: {@link MachineAdoption} may add it to this controller's
 *       home entity. Once the record is stored, and if the entity is still active here, the reply
 *       is written as in case 8 and sent at once. Otherwise the worker's lease is not renewed.
 *   <li>This controller does not own the machine's entity, or is handing it over: {@link
 *       WorkerRouter} sends the worker to the owner, or keeps it reporting here until an owner is
 *       known.
 *   <li>This controller owns the entity, but has failed to renew its own lease for longer than the
 *       keep-alive grace period: the heartbeat is refused, and the worker tries the next
 *       controller.
 *   <li>The entity's stored state is still being loaded, or the machine's type is not known yet:
 *       {@link LeaseRenewal} decides whether to renew the worker's lease. Nothing is launched.
 *   <li>Otherwise {@link OwnedMachineHeartbeat} reconciles the machine with the report and writes
 *       the reply, which normally renews the worker's lease and carries launches and stops. If the
 *       machine is waiting for work and the reply carries nothing urgent ({@link LongPollReplies}),
 *       {@link LongPolls} holds the reply back until there is work or the long poll times out.
 * </ol>
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
  private final OwnedMachineHeartbeat ownedMachineHeartbeat;
  private final LeaseRenewal leaseRenewal;
  private final LongPollReplies longPollReplies;

  /** Creates a handler that delegates to the given collaborators. */
  public HeartbeatHandler(
      ClusterView clusterView,
      Membership membership,
      EntityMachines machines,
      WorkerReachability workerReachability,
      LongPolls longPolls,
      LastHeartbeats lastHeartbeats,
      WorkerRouter router,
      MachineAdoption adoption,
      OwnedMachineHeartbeat ownedMachineHeartbeat,
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
    this.ownedMachineHeartbeat = ownedMachineHeartbeat;
    this.leaseRenewal = leaseRenewal;
    this.longPollReplies = longPollReplies;
  }

  /**
   * Processes a heartbeat.
   *
   * @param body the encoded body of the request
   * @param replyConsumer receives exactly one answer: before this method returns, after the record
   *     of an adopted machine was written, or when the heartbeat's long poll ends
   */
  public void handle(byte[] body, Consumer<HttpResponse> replyConsumer) {
    WorkerReport report;
    try {
      report = HeartbeatMessages.parseReport(Cbor.parse(body));
    } catch (MalformedMessageException exception) {
      replyConsumer.accept(HttpResponse.error(400, exception.getMessage()));
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
    longPolls.refuseSuperseded(report.machineId());
    if (machines.wasReturned(report.machineId())) {
      // The cloud has confirmed the machine's return, but its record is not removed yet. A report
      // that was delayed in the network must not put the machine back into use: its tasks have been
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
    } else if (!membership.mayRenewWorkerLeases()) {
      replyConsumer.accept(
          HeartbeatReply.refused(
              "this controller could not renew its lease within the keep-alive grace period;"
                  + " report to the next controller"));
    } else {
      handleOwned(entity, row, report, replyConsumer);
    }
  }

  private HeartbeatReply answerAdopted(OwnedEntity entity, MachineRow row, WorkerReport report) {
    Machine machine =
        entity.isActive() && membership.isLeaseValid() ? machines.findOrAdd(entity, row) : null;
    return machine == null
        ? HeartbeatReply.redirected(null)
        : ownedMachineHeartbeat.process(entity, machine, report, new ArrayList<>());
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
    HeartbeatReply reply = ownedMachineHeartbeat.process(entity, machine, report, commands);
    if (longPollReplies.shouldDelay(entity, machine, report, commands)) {
      longPolls.delay(
          machine.id(),
          replyConsumer,
          () -> replyConsumer.accept(longPollReplies.write(machine, report, commands)));
    } else {
      replyConsumer.accept(reply);
    }
  }
}
