package io.violetrail.worker;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.fleet.EntityMachines;
import io.violetrail.fleet.Machine;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.LeaseTiming;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.MachineDrainer;
import io.violetrail.scheduling.SchedulingLoop;
import io.violetrail.scheduling.TaskScheduler;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.ArrayList;
import java.util.List;

/**
 * Processes the heartbeat of a machine whose entity is owned here: what follows for the machine,
 * and the answer with its commands.
 */
public final class OwnedMachineHeartbeat {
  private final EventLoop loop;
  private final LeaseTiming leaseTiming;
  private final Membership membership;
  private final EntityMachines machines;
  private final TaskScheduler taskScheduler;
  private final MachineDrainer drainer;
  private final SchedulingLoop schedulingLoop;
  private final ReportReconciler reconciler;
  private final LeaseRenewal leaseRenewal;
  private final CommandWriter commandWriter;

  /** Processes heartbeats through the given parts. */
  public OwnedMachineHeartbeat(
      EventLoop loop,
      LeaseTiming leaseTiming,
      Membership membership,
      EntityMachines machines,
      TaskScheduler taskScheduler,
      MachineDrainer drainer,
      SchedulingLoop schedulingLoop,
      ReportReconciler reconciler,
      LeaseRenewal leaseRenewal,
      CommandWriter commandWriter) {
    this.loop = loop;
    this.leaseTiming = leaseTiming;
    this.membership = membership;
    this.machines = machines;
    this.taskScheduler = taskScheduler;
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
      OwnedEntity entity, Machine machine, WorkerReport report, List<WorkerCommand> commands) {
    Version token = entity.fencingTokenFor(machine);
    if (report.fencingToken().compareTo(token) > 0) {
      machines.raiseTerm(entity, machine, report.fencingToken());
      return HeartbeatReply.redirected(null);
    }
    if (!report.isNewerThan(machine.lastSession(), machine.lastSequence())) {
      return HeartbeatReply.withoutRenewal(report);
    }
    machine.recordHeartbeat(HostPort.parse(report.endpoint()), loop.monotonicSeconds());
    if (!machine.row().hasReported()) {
      machines.markUp(entity, machine);
    }
    if (isOutdatedSession(machine, report)) {
      return leaseRenewal.haltExpiredSession(entity, token, report);
    }
    if (report.fencingToken().compareTo(machine.acquiredVersion()) < 0) {
      return answerReportOfEarlierTerm(entity, machine, token, report);
    }
    return answerCurrentReport(entity, machine, token, report, commands);
  }

  // A report may have been held back in the network for minutes. It is as old as it may be, unless
  // its worker has seen our term, or its session has begun after a lease that is surely over.
  private static boolean isOutdatedSession(Machine machine, WorkerReport report) {
    return report.session() < machine.firstValidSession();
  }

  private HeartbeatReply answerReportOfEarlierTerm(
      OwnedEntity entity, Machine machine, Version token, WorkerReport report) {
    double now = loop.monotonicSeconds();
    if (!machine.tasksKnown() && machine.mayHoldUnreportedTasks(now)) {
      machine.extendUnreportedTasksUntil(now + leaseTiming.tasksGoneAfterReplySeconds());
    }
    List<WorkerCommand> first = new ArrayList<>();
    if (machine.tasksKnown() && machine.lastSession() == 0 && mayCommand(entity)) {
      // Passed over empty: it can be given its first tasks before it has seen its new term.
      machine.recordNewestReport(report.session(), report.sequence());
      commandWriter.addCommands(machine, first);
    }
    return leaseRenewal.renew(entity, token, report, first);
  }

  private HeartbeatReply answerCurrentReport(
      OwnedEntity entity,
      Machine machine,
      Version token,
      WorkerReport report,
      List<WorkerCommand> commands) {
    final int tasksBefore = machine.placements().size();
    final boolean wasOpen = machine.isSchedulable();
    reconciler.reconcile(entity, machine, report, loop.monotonicSeconds(), commands);
    machine.recordNewestReport(report.session(), report.sequence());
    machine.recordStatus(report.spotNoticeSeconds());
    if (!mayCommand(entity)) {
      return leaseRenewal.renew(entity, token, report, List.of());
    }
    drainer.drain(machine);
    if (machine.placements().size() < tasksBefore) {
      // What has ended makes room that this very answer can fill; the next one is a report away.
      // Only this machine is looked at: a pass over all of them for each ended task left a small
      // processor nothing for the reports of hundreds of machines.
      taskScheduler.fillMachine(entity, machine);
      schedulingLoop.requestPass();
    } else if (!wasOpen && machine.isSchedulable()) {
      schedulingLoop.requestPass();
    }
    commandWriter.addCommands(machine, commands);
    return leaseRenewal.renew(entity, token, report, commands);
  }

  private boolean mayCommand(OwnedEntity entity) {
    return membership.isLeaseValid() && entity.isActive();
  }
}
