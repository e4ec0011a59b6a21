package io.violetrail.worker;

import io.violetrail.fleet.Machine;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand.CommandType;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides whether the reply to a heartbeat is delayed in a long poll until there is work for the
 * machine, and writes the delayed reply from the state at the time it is sent.
 *
 * <p>Called by {@link HeartbeatHandler} on the event loop's thread; has no state. {@link LongPolls}
 * keeps the heartbeats whose replies are delayed.
 */
public final class LongPollReplies {
  private final EventLoop loop;
  private final ClusterView clusterView;
  private final Membership membership;
  private final WorkerRouter router;
  private final LeaseRenewal leaseRenewal;
  private final CommandWriter commandWriter;

  /** Creates a writer of delayed replies that uses the given collaborators. */
  public LongPollReplies(
      EventLoop loop,
      ClusterView clusterView,
      Membership membership,
      WorkerRouter router,
      LeaseRenewal leaseRenewal,
      CommandWriter commandWriter) {
    this.loop = loop;
    this.clusterView = clusterView;
    this.membership = membership;
    this.router = router;
    this.leaseRenewal = leaseRenewal;
    this.commandWriter = commandWriter;
  }

  /**
   * Returns whether the reply may be delayed until there is work. This requires that the machine is
   * empty, or has capacity reserved for a job that also waits for other machines. It also requires
   * that the reply carries nothing urgent.
   *
   * @param commands the commands that the reply would carry if it were sent now
   */
  boolean shouldDelay(
      OwnedEntity entity, Machine machine, WorkerReport report, List<WorkerCommand> commands) {
    return entity.isActive()
        && membership.isLeaseValid()
        && machine.isSchedulable()
        && (machine.isEmpty() || hasReservedCapacity(machine))
        && isNewestReport(machine, report)
        && report.fencingToken().equals(entity.fencingTokenFor(machine))
        && commands.size() < LeaseRenewal.MAX_COMMANDS
        && commands.stream().allMatch(command -> command.type() == CommandType.FORGET);
  }

  private boolean hasReservedCapacity(Machine machine) {
    return machine.reservedForJob() != null
        && loop.monotonicSeconds() <= machine.reservedUntilSeconds()
        && machine.reservedForJob().unplacedCount() > 0
        && machine.freeCapacity().countFitting(machine.reservedForJob().spec().taskResources()) > 0;
  }

  private static boolean isNewestReport(Machine machine, WorkerReport report) {
    return machine.lastSession() == report.session() && machine.lastSequence() == report.sequence();
  }

  /**
   * Returns the delayed reply to a report. Since the report arrived, the entity may have been
   * handed over to another controller, or the machine transferred to another entity.
   *
   * @param delayedCommands the commands that the reply would have carried without the delay
   */
  HeartbeatReply write(Machine machine, WorkerReport report, List<WorkerCommand> delayedCommands) {
    MachineRow row = clusterView.findMachineRow(machine.id());
    OwnedEntity entity = row == null ? null : membership.findOwnedEntity(row.entity());
    if (row != null && (entity == null || entity.phase() == OwnedEntity.Phase.RELEASING)) {
      return router.route(row, entity, report);
    }
    if (entity == null
        || entity.machines().get(machine.id()) != machine
        || !membership.mayRenewWorkerLeases()) {
      return HeartbeatReply.refused(
          "the machine has left its entity, or this controller could not renew its lease within the"
              + " keep-alive grace period; report to the next controller");
    }
    // The worker's lease starts when it sends its report. The reply is sent later, so counting from
    // the reply treats the lease as expired too late rather than too early.
    machine.recordReply(loop.monotonicSeconds());
    List<WorkerCommand> commands = new ArrayList<>(delayedCommands);
    if (isNewestReport(machine, report) && membership.isLeaseValid() && entity.isActive()) {
      commandWriter.addCommands(machine, commands, loop.monotonicSeconds());
    }
    return leaseRenewal.renew(entity, entity.fencingTokenFor(machine), report, commands);
  }
}
