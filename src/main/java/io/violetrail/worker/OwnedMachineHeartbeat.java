package io.violetrail.worker;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.fleet.EntityMachines;
import io.violetrail.fleet.Machine;
import io.violetrail.model.Version;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Timing;
import io.violetrail.scheduling.Dispatcher;
import io.violetrail.scheduling.MachineDrainer;
import io.violetrail.scheduling.SchedulingLoop;
import io.violetrail.wire.HeartbeatMessages.Command;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.ArrayList;
import java.util.List;

/**
 * Processes the heartbeat of a machine whose entity is owned here: what follows for the machine,
 * and the answer with its commands.
 */
public final class OwnedMachineHeartbeat {
  private final Loop loop;
  private final Timing timing;
  private final Membership membership;
  private final EntityMachines machines;
  private final Dispatcher dispatcher;
  private final MachineDrainer drainer;
  private final SchedulingLoop schedulingLoop;
  private final ReportReconciler reconciler;
  private final LeaseRenewal leaseRenewal;
  private final CommandWriter commandWriter;

  /** Processes heartbeats through the given parts. */
  public OwnedMachineHeartbeat(
      Loop loop,
      Timing timing,
      Membership membership,
      EntityMachines machines,
      Dispatcher dispatcher,
      MachineDrainer drainer,
      SchedulingLoop schedulingLoop,
      ReportReconciler reconciler,
      LeaseRenewal leaseRenewal,
      CommandWriter commandWriter) {
    this.loop = loop;
    this.timing = timing;
    this.membership = membership;
    this.machines = machines;
    this.dispatcher = dispatcher;
    this.drainer = drainer;
    this.schedulingLoop = schedulingLoop;
    this.reconciler = reconciler;
    this.leaseRenewal = leaseRenewal;
    this.commandWriter = commandWriter;
  }

  /**
   * Takes a report and answers it.
   *
   * @param commands gets the commands that the answer carries
   */
  HeartbeatReply process(
      OwnedEntity entity, Machine machine, WorkerReport report, List<Command> commands) {
    Version token = entity.token(machine);
    if (report.token().compareTo(token) > 0) {
      machines.raiseTerm(entity, machine, report.token());
      return HeartbeatReply.elsewhere(null);
    }
    if (!report.newerThan(machine.session(), machine.sequence())) {
      return HeartbeatReply.stay(report);
    }
    machine.reportArrived(HostPort.parse(report.endpoint()), loop.seconds());
    if (!machine.row().up()) {
      machines.markUp(entity, machine);
    }
    if (isOutdatedSession(machine, report)) {
      return leaseRenewal.haltExpiredSession(entity, token, report);
    }
    if (report.token().compareTo(machine.since()) < 0) {
      return answerReportOfEarlierTerm(entity, machine, token, report);
    }
    return answerCurrentReport(entity, machine, token, report, commands);
  }

  // A report may have been held back in the network for minutes. It is as old as it may be, unless
  // its worker has seen our term, or its session has begun after a lease that is surely over.
  private static boolean isOutdatedSession(Machine machine, WorkerReport report) {
    return report.session() < machine.firstSession();
  }

  private HeartbeatReply answerReportOfEarlierTerm(
      OwnedEntity entity, Machine machine, Version token, WorkerReport report) {
    double now = loop.seconds();
    if (!machine.heard() && machine.uncertain(now)) {
      machine.mayHoldTasksUntil(now + timing.goneAfterAnswerS());
    }
    List<Command> first = new ArrayList<>();
    if (machine.heard() && machine.session() == 0 && mayCommand(entity)) {
      // Passed over empty: it can be given its first tasks before it has seen its new term.
      machine.newestReport(report.session(), report.sequence());
      commandWriter.addCommands(machine, first);
    }
    return leaseRenewal.renew(entity, token, report, first);
  }

  private HeartbeatReply answerCurrentReport(
      OwnedEntity entity,
      Machine machine,
      Version token,
      WorkerReport report,
      List<Command> commands) {
    final int tasksBefore = machine.tasks().size();
    final boolean wasOpen = machine.open();
    reconciler.take(entity, machine, report, loop.seconds(), commands);
    machine.newestReport(report.session(), report.sequence());
    machine.reportTaken(report.noticeS());
    if (!mayCommand(entity)) {
      return leaseRenewal.renew(entity, token, report, List.of());
    }
    drainer.drain(machine);
    if (machine.tasks().size() < tasksBefore) {
      // What has ended makes room that this very answer can fill; the next one is a report away.
      // Only this machine is looked at: a pass over all of them for each ended task left a small
      // processor nothing for the reports of hundreds of machines.
      dispatcher.fill(entity, machine);
      schedulingLoop.requestPass();
    } else if (!wasOpen && machine.open()) {
      schedulingLoop.requestPass();
    }
    commandWriter.addCommands(machine, commands);
    return leaseRenewal.renew(entity, token, report, commands);
  }

  private boolean mayCommand(OwnedEntity entity) {
    return membership.valid() && entity.active();
  }
}
