package io.violetrail.worker;

import io.violetrail.fleet.EntityMachines;
import io.violetrail.fleet.Machine;
import io.violetrail.net.Loop;
import io.violetrail.net.Service.Answer;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.Malformed;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.Command;
import io.violetrail.wire.HeartbeatMessages.Command.Verb;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Receives the workers' heartbeats and decides who answers them: this controller as the owner of
 * the machine's entity, another controller, or nobody yet.
 */
public final class HeartbeatHandler {
  private final Loop loop;
  private final Directory directory;
  private final Membership membership;
  private final EntityMachines machines;
  private final WorkerReachability reachability;
  private final LongPolls longPolls;
  private final WorkerContacts contacts;
  private final WorkerRouter router;
  private final MachineAdoption adoption;
  private final OwnedMachineHeartbeat ownedMachine;
  private final LeaseRenewal leaseRenewal;
  private final CommandWriter commandWriter;

  /** Routes heartbeats between the given parts. */
  public HeartbeatHandler(
      Loop loop,
      Directory directory,
      Membership membership,
      EntityMachines machines,
      WorkerReachability reachability,
      LongPolls longPolls,
      WorkerContacts contacts,
      WorkerRouter router,
      MachineAdoption adoption,
      OwnedMachineHeartbeat ownedMachine,
      LeaseRenewal leaseRenewal,
      CommandWriter commandWriter) {
    this.loop = loop;
    this.directory = directory;
    this.membership = membership;
    this.machines = machines;
    this.reachability = reachability;
    this.longPolls = longPolls;
    this.contacts = contacts;
    this.router = router;
    this.adoption = adoption;
    this.ownedMachine = ownedMachine;
    this.leaseRenewal = leaseRenewal;
    this.commandWriter = commandWriter;
  }

  /** Takes the body of a heartbeat; the answer is given at once or when its long poll ends. */
  public void handle(byte[] body, Consumer<Answer> done) {
    WorkerReport report;
    try {
      report = HeartbeatMessages.report(Cbor.parse(body));
    } catch (Malformed e) {
      done.accept(Answer.error(400, e.getMessage()));
      return;
    }
    WorkerContacts.Contact contact = contacts.take(report);
    if (contact == null) {
      done.accept(HeartbeatReply.stay(report).answer());
      return;
    }
    handle(
        report,
        reply -> {
          contacts.replied(report.machine(), contact, reply);
          done.accept(reply.answer());
        });
  }

  private void handle(WorkerReport report, Consumer<HeartbeatReply> done) {
    reachability.heard(report);
    longPolls.endSuperseded(report.machine());
    if (machines.wasReturned(report.machine())) {
      // Taken back for certain, though its record still stands: a report that was held back brought
      // the machine into use again, with tasks that had been started elsewhere since.
      done.accept(HeartbeatReply.elsewhere(null));
      return;
    }
    MachineRow row = directory.machine(report.machine());
    if (row == null) {
      adoption.adopt(
          report, (entity, stored) -> done.accept(answerAdopted(entity, stored, report)), done);
      return;
    }
    OwnedEntity entity = membership.holding(row.entity());
    if (entity == null || entity.phase() == OwnedEntity.Phase.RELEASING) {
      done.accept(router.route(row, entity, report));
    } else if (!membership.mayKeepAlive()) {
      done.accept(HeartbeatReply.refused("not entitled"));
    } else {
      handleOwned(entity, row, report, done);
    }
  }

  private HeartbeatReply answerAdopted(OwnedEntity entity, MachineRow row, WorkerReport report) {
    Machine machine =
        entity.active() && membership.valid() ? machines.findOrAdd(entity, row) : null;
    return machine == null
        ? HeartbeatReply.elsewhere(null)
        : ownedMachine.process(entity, machine, report, new ArrayList<>());
  }

  private void handleOwned(
      OwnedEntity entity, MachineRow row, WorkerReport report, Consumer<HeartbeatReply> done) {
    Machine machine = entity.active() ? machines.findOrAdd(entity, row) : null;
    if (machine == null) {
      done.accept(leaseRenewal.renew(entity, entity.fencingToken(row), report, List.of()));
      return;
    }
    List<Command> commands = new ArrayList<>();
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
      OwnedEntity entity, Machine machine, WorkerReport report, List<Command> commands) {
    return entity.active()
        && membership.valid()
        && machine.open()
        && (machine.empty() || hasReservedRoom(machine))
        && isNewestReport(machine, report)
        && report.token().equals(entity.token(machine))
        && commands.size() < LeaseRenewal.MAX_COMMANDS
        && commands.stream().allMatch(command -> command.verb() == Verb.FORGET);
  }

  private boolean hasReservedRoom(Machine machine) {
    return machine.reservedFor() != null
        && loop.seconds() <= machine.reservedUntilS()
        && machine.reservedFor().unplaced() > 0
        && machine.room().count(machine.reservedFor().spec().task()) > 0;
  }

  private static boolean isNewestReport(Machine machine, WorkerReport report) {
    return machine.session() == report.session() && machine.sequence() == report.sequence();
  }

  /** The answer to a report that was kept open, with what there is to do by now. */
  private HeartbeatReply answerParked(
      Machine machine, WorkerReport report, List<Command> parkedCommands) {
    MachineRow row = directory.machine(machine.id());
    OwnedEntity entity = row == null ? null : membership.holding(row.entity());
    if (row != null && (entity == null || entity.phase() == OwnedEntity.Phase.RELEASING)) {
      return router.route(row, entity, report);
    }
    if (entity == null
        || entity.machines().get(machine.id()) != machine
        || !membership.mayKeepAlive()) {
      return HeartbeatReply.refused("the machine has passed on");
    }
    // The worker counts its lease from the report's sending; this is later, so on the safe side.
    machine.reportAnswered(loop.seconds());
    List<Command> commands = new ArrayList<>(parkedCommands);
    if (isNewestReport(machine, report) && membership.valid() && entity.active()) {
      commandWriter.addCommands(machine, commands);
    }
    return leaseRenewal.renew(entity, entity.token(machine), report, commands);
  }
}
