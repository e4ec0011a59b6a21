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
 * Processes the heartbeat of a machine whose entity is owned here: brings the machine's state in
 * line with the report, fills room that has become free, and writes the reply with its commands.
 *
 * <p>Called by {@link HeartbeatHandler} on the event loop's thread; has no state of its own.
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

  /** Processes heartbeats through the given collaborators. */
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
   * Processes a report and writes the reply.
   *
   * <p>Reports may arrive late and out of order. Only one that is newer than all before it, of a
   * session that may still run, and of a worker that has seen a token of this ownership is taken
   * for the machine's present state.
   *
   * @param commands gets the commands that the reply carries
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
      return leaseRenewal.answerExpiredSession(entity, token, report);
    }
    if (report.fencingToken().compareTo(machine.acquiredVersion()) < 0) {
      return answerReportOfEarlierTerm(entity, machine, token, report);
    }
    return answerCurrentReport(entity, machine, token, report, commands);
  }

  /**
   * Whether the report is of a session whose lease was taken for expired. A report may have been
   * delayed in the network for minutes; one of a later session was sent after that lease expired.
   */
  private static boolean isOutdatedSession(Machine machine, WorkerReport report) {
    return report.session() < machine.firstValidSession();
  }

  /**
   * The worker has not seen a token of this ownership yet, so its report may be from before the
   * handover or failover and says nothing certain about tasks.
   */
  private HeartbeatReply answerReportOfEarlierTerm(
      OwnedEntity entity, Machine machine, Version token, WorkerReport report) {
    double now = loop.monotonicSeconds();
    if (!machine.tasksKnown() && machine.mayHoldUnreportedTasks(now)) {
      machine.extendUnreportedTasksUntil(now + leaseTiming.tasksGoneAfterReplySeconds());
    }
    List<WorkerCommand> firstLaunches = new ArrayList<>();
    if (machine.tasksKnown() && machine.lastSession() == 0 && mayCommand(entity)) {
      // Handed over empty: it may get its first tasks before it has seen a token of this owner.
      machine.recordNewestReport(report.session(), report.sequence());
      commandWriter.addCommands(machine, firstLaunches);
    }
    return leaseRenewal.renew(entity, token, report, firstLaunches);
  }

  private HeartbeatReply answerCurrentReport(
      OwnedEntity entity,
      Machine machine,
      Version token,
      WorkerReport report,
      List<WorkerCommand> commands) {
    final int tasksBefore = machine.placements().size();
    final boolean wasSchedulable = machine.isSchedulable();
    reconciler.reconcile(entity, machine, report, loop.monotonicSeconds(), commands);
    machine.recordNewestReport(report.session(), report.sequence());
    machine.markReconciled(report.spotNoticeSeconds());
    if (!mayCommand(entity)) {
      return leaseRenewal.renew(entity, token, report, List.of());
    }
    drainer.drain(machine);
    if (machine.placements().size() < tasksBefore) {
      // This reply can fill the room of ended tasks; the next reply is an interval away. Only this
      // machine is examined: a pass over all machines for each ended task would leave a small
      // processor no time for the heartbeats of hundreds of machines.
      taskScheduler.fillMachine(entity, machine);
      schedulingLoop.requestPass();
    } else if (!wasSchedulable && machine.isSchedulable()) {
      schedulingLoop.requestPass();
    }
    commandWriter.addCommands(machine, commands);
    return leaseRenewal.renew(entity, token, report, commands);
  }

  private boolean mayCommand(OwnedEntity entity) {
    return membership.isLeaseValid() && entity.isActive();
  }
}
