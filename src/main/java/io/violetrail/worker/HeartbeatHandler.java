package io.violetrail.worker;

import io.violetrail.fleet.EntityMachines;
import io.violetrail.fleet.Machine;
import io.violetrail.net.EventLoop;
import io.violetrail.net.RequestHandler.HttpAnswer;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand.CommandType;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Receives the workers' heartbeats and decides who answers them: this controller as the owner of
 * the machine's entity, another controller, or nobody yet.
 */
public final class HeartbeatHandler {
  private final EventLoop loop;
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
  private final CommandWriter commandWriter;

  /** Routes heartbeats between the given parts. */
  public HeartbeatHandler(
      EventLoop loop,
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
      CommandWriter commandWriter) {
    this.loop = loop;
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
    this.commandWriter = commandWriter;
  }

  /** Takes the body of a heartbeat; the answer is given at once or when its long poll ends. */
  public void handle(byte[] body, Consumer<HttpAnswer> replyConsumer) {
    WorkerReport report;
    try {
      report = HeartbeatMessages.parseReport(Cbor.parse(body));
    } catch (MalformedMessageException exception) {
      replyConsumer.accept(HttpAnswer.error(400, exception.getMessage()));
      return;
    }
    LastHeartbeats.LastHeartbeat lastHeartbeat = lastHeartbeats.acceptIfNewer(report);
    if (lastHeartbeat == null) {
      replyConsumer.accept(HeartbeatReply.withoutRenewal(report).answer());
      return;
    }
    handle(
        report,
        reply -> {
          lastHeartbeats.recordReply(report.machineId(), lastHeartbeat, reply);
          replyConsumer.accept(reply.answer());
        });
  }

  private void handle(WorkerReport report, Consumer<HeartbeatReply> replyConsumer) {
    workerReachability.recordHeartbeat(report);
    longPolls.endSuperseded(report.machineId());
    if (machines.wasReturned(report.machineId())) {
      // Taken back for certain, though its record still stands: a report that was held back brought
      // the machine into use again, with tasks that had been started elsewhere since.
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
      OwnedEntity entity, MachineRow row, WorkerReport report, Consumer<HeartbeatReply> done) {
    Machine machine = entity.isActive() ? machines.findOrAdd(entity, row) : null;
    if (machine == null) {
      done.accept(leaseRenewal.renew(entity, entity.fencingToken(row), report, List.of()));
      return;
    }
    List<WorkerCommand> commands = new ArrayList<>();
    HeartbeatReply reply = ownedMachine.process(entity, machine, report, commands);
    if (mayWaitForWork(entity, machine, report, commands)) {
      longPolls.park(
          machine.id(), done, () -> done.accept(answerParked(machine, report, commands)));
    } else {
      done.accept(reply);
    }
  }

  /**
   * Whether the worker has nothing to run and nothing to learn but what it may forget, or room was
   * made there for a job that waits for other machines: then the answer waits for what is to start.
   */
  private boolean mayWaitForWork(
      OwnedEntity entity, Machine machine, WorkerReport report, List<WorkerCommand> commands) {
    return entity.isActive()
        && membership.isLeaseValid()
        && machine.isSchedulable()
        && (machine.isEmpty() || hasReservedRoom(machine))
        && isNewestReport(machine, report)
        && report.fencingToken().equals(entity.fencingTokenFor(machine))
        && commands.size() < LeaseRenewal.MAX_COMMANDS
        && commands.stream().allMatch(command -> command.type() == CommandType.FORGET);
  }

  private boolean hasReservedRoom(Machine machine) {
    return machine.reservedForJob() != null
        && loop.monotonicSeconds() <= machine.reservedUntilSeconds()
        && machine.reservedForJob().unplacedCount() > 0
        && machine.freeCapacity().countFitting(machine.reservedForJob().spec().taskResources()) > 0;
  }

  private static boolean isNewestReport(Machine machine, WorkerReport report) {
    return machine.lastSession() == report.session() && machine.lastSequence() == report.sequence();
  }

  /** The answer to a report that was kept open, with what there is to do by now. */
  private HeartbeatReply answerParked(
      Machine machine, WorkerReport report, List<WorkerCommand> parkedCommands) {
    MachineRow row = clusterView.findMachineRow(machine.id());
    OwnedEntity entity = row == null ? null : membership.findOwnedEntity(row.entity());
    if (row != null && (entity == null || entity.phase() == OwnedEntity.Phase.RELEASING)) {
      return router.route(row, entity, report);
    }
    if (entity == null
        || entity.machines().get(machine.id()) != machine
        || !membership.mayKeepWorkersAlive()) {
      return HeartbeatReply.refused("the machine has passed on");
    }
    // The worker counts its lease from the report's sending; this is later, so on the safe side.
    machine.recordReply(loop.monotonicSeconds());
    List<WorkerCommand> commands = new ArrayList<>(parkedCommands);
    if (isNewestReport(machine, report) && membership.isLeaseValid() && entity.isActive()) {
      commandWriter.addCommands(machine, commands);
    }
    return leaseRenewal.renew(entity, entity.fencingTokenFor(machine), report, commands);
  }
}
