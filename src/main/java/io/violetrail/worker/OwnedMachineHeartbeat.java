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
 * Processes the heartbeat of a machine whose entity this controller owns: reconciles the machine's
 * state with the report, schedules tasks onto capacity that has become free, and writes the reply
 * with its commands.
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

  /** Creates a processor that uses the given collaborators. */
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
   * Processes a report and returns the reply.
   *
   * <p>Reports may arrive late and out of order. A report is accepted as the machine's current
   * state only if it meets all of these conditions:
   *
   * <ul>
   *   <li>It is newer than every earlier report of the machine.
   *   <li>The lease of its session was not considered expired.
   *   <li>Its worker has seen a fencing token that was issued under the current ownership.
   * </ul>
   *
   * <p>If the worker has seen a higher token than the machine's, the machine's token is raised,
   * because the worker rejects lower tokens.
   *
   * @param commands receives the commands that the reply carries
   */
  HeartbeatReply process(
      OwnedEntity entity, Machine machine, WorkerReport report, List<WorkerCommand> commands) {
    Version token = entity.fencingTokenFor(machine);
    if (report.fencingToken().compareTo(token) > 0) {
      machines.raiseFencingToken(entity, machine, report.fencingToken());
      return HeartbeatReply.redirected(null);
    }
    if (!report.isNewerThan(machine.lastSession(), machine.lastSequence())) {
      return HeartbeatReply.withoutRenewal(report);
    }
    machine.recordHeartbeat(HostPort.parse(report.endpoint()), loop.monotonicSeconds());
    if (!machine.row().hasReported()) {
      machines.recordFirstReport(entity, machine);
    }
    if (isExpiredSession(machine, report)) {
      return leaseRenewal.answerExpiredSession(entity, token, report);
    }
    if (report.fencingToken().compareTo(machine.acquiredVersion()) < 0) {
      return answerReportWithEarlierToken(entity, machine, token, report);
    }
    return answerCurrentReport(entity, machine, token, report, commands);
  }

  /**
   * Returns whether the report belongs to a session whose lease was considered expired. Such a
   * report may have been delayed in the network for minutes. A report of a later session was
   * certainly sent after that lease expired.
   */
  private static boolean isExpiredSession(Machine machine, WorkerReport report) {
    return report.session() < machine.firstValidSession();
  }

  /**
   * Replies to a worker that has not seen a fencing token of the current ownership yet. Its report
   * may have been sent before the handover or failover, so it does not prove which tasks run.
   */
  private HeartbeatReply answerReportWithEarlierToken(
      OwnedEntity entity, Machine machine, Version token, WorkerReport report) {
    double nowSeconds = loop.monotonicSeconds();
    if (!machine.tasksKnown() && machine.mayHoldUnreportedTasks(nowSeconds)) {
      machine.extendUnreportedTasksUntil(nowSeconds + leaseTiming.tasksGoneAfterReplySeconds());
    }
    List<WorkerCommand> firstLaunches = new ArrayList<>();
    if (machine.tasksKnown() && machine.lastSession() == 0 && mayCommand(entity)) {
      // The machine was transferred to this entity without tasks, so its worker may receive its
      // first launches before it has seen a token of this owner.
      machine.recordNewestReport(report.session(), report.sequence());
      commandWriter.addCommands(machine, firstLaunches, nowSeconds);
    }
    return leaseRenewal.renew(entity, token, report, firstLaunches);
  }

  private HeartbeatReply answerCurrentReport(
      OwnedEntity entity,
      Machine machine,
      Version token,
      WorkerReport report,
      List<WorkerCommand> commands) {
    final int tasksUsingRoomBefore = machine.countTasksUsingRoom();
    final boolean wasSchedulable = machine.isSchedulable();
    reconciler.reconcile(entity, machine, report, loop.monotonicSeconds(), commands);
    machine.recordNewestReport(report.session(), report.sequence());
    machine.recordReconciledStatus(report.preemptionNoticeSeconds());
    if (!mayCommand(entity)) {
      return leaseRenewal.renew(entity, token, report, List.of());
    }
    drainer.drain(machine);
    if (machine.countTasksUsingRoom() < tasksUsingRoomBefore) {
      // Launches in this reply reuse the capacity of exited tasks at once; the next reply is a
      // heartbeat interval away. Only this machine is examined: with hundreds of machines, a pass
      // over all of them for each exited task would leave a small processor no time for heartbeats.
      taskScheduler.placeTasksOnFreedMachine(entity, machine);
      schedulingLoop.requestPass();
    } else if (!wasSchedulable && machine.isSchedulable()) {
      schedulingLoop.requestPass();
    }
    commandWriter.addCommands(machine, commands, loop.monotonicSeconds());
    return leaseRenewal.renew(entity, token, report, commands);
  }

  private boolean mayCommand(OwnedEntity entity) {
    return membership.isLeaseValid() && entity.isActive();
  }
}
