package io.violetrail.worker;

import io.violetrail.configuration.Configuration;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.fleet.Machine;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.tracing.JobTracer;
import io.violetrail.wire.HeartbeatMessages.TaskState;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the launch and stop commands that the reply to a heartbeat carries, from what is placed on
 * the machine.
 *
 * <p>Launches travel in these replies only. A worker has one report in flight and drops late
 * replies, so its next report always shows whether a launch arrived: no task is launched late, when
 * it may already run elsewhere.
 *
 * <p>Called on the event loop's thread. It has no state; which report carried a launch is kept in
 * the {@link TaskPlacement} and is lost with the process.
 */
public final class CommandWriter {
  private static final Logger LOG = LoggerFactory.getLogger(CommandWriter.class);

  private final Configuration configuration;
  private final JobTracer jobTracer;
  private final EvidenceLog evidence;

  /** Records launches in the traces, and starts of tasks that ran before in the evidence log. */
  public CommandWriter(Configuration configuration, JobTracer jobTracer, EvidenceLog evidence) {
    this.configuration = configuration;
    this.jobTracer = jobTracer;
    this.evidence = evidence;
  }

  /**
   * Adds launches for placements that no worker was sent yet, and stops for those that are to stop.
   *
   * @param commands gets at most {@link LeaseRenewal#MAX_COMMANDS} commands by launches; stops are
   *     always added
   */
  void addCommands(Machine machine, List<WorkerCommand> commands) {
    for (TaskPlacement placement : machine.placements().values()) {
      if (placement.isRevocable()) {
        if (mayLaunch(machine, commands)) {
          launch(machine, placement, commands);
        }
      } else if (shouldStop(placement)) {
        commands.add(WorkerCommands.stop(placement));
      }
    }
  }

  private boolean mayLaunch(Machine machine, List<WorkerCommand> commands) {
    return machine.isSchedulable()
        && commands.size() < LeaseRenewal.MAX_COMMANDS
        && configuration.isFresh();
  }

  private void launch(Machine machine, TaskPlacement placement, List<WorkerCommand> commands) {
    commands.add(WorkerCommands.launch(placement));
    placement.launched();
    LOG.debug(
        "task {} attempt {} launched on {}", placement.taskId(), placement.attempt(), machine.id());
    jobTracer.taskLaunched(placement.job().spec().id(), machine.id());
    placement
        .job()
        .removeLastDeparture(placement.taskIndex())
        .ifPresent(
            departure ->
                evidence.recordStartElsewhere(
                    placement.taskId(), placement.attempt(), machine.id(), departure));
  }

  /** A task that is saving its checkpoint is left to it, unless it is to stop at once. */
  private static boolean shouldStop(TaskPlacement placement) {
    return placement.isStopRequested()
        && (placement.reportedState() != TaskState.CHECKPOINTING
            || placement.stopGraceSeconds() == 0);
  }
}
