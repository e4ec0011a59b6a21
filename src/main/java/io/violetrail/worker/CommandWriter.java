package io.violetrail.worker;

import io.violetrail.configuration.Configuration;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.evidence.TaskDeparture;
import io.violetrail.fleet.Machine;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.tracing.JobTracer;
import io.violetrail.wire.HeartbeatMessages.TaskState;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand.CommandType;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the commands that the answer to a heartbeat carries.
 *
 * <p>Launches travel in answers only. A worker has one report in flight and drops late answers, so
 * its next report always shows whether a launch was taken: nothing is launched late.
 */
public final class CommandWriter {
  private static final Logger LOG = LoggerFactory.getLogger(CommandWriter.class);

  private final Configuration configuration;
  private final JobTracer jobTracer;
  private final EvidenceLog evidence;

  /** Notes launches in the traces and in the evidence log. */
  public CommandWriter(Configuration configuration, JobTracer jobTracer, EvidenceLog evidence) {
    this.configuration = configuration;
    this.jobTracer = jobTracer;
    this.evidence = evidence;
  }

  /** Adds launches and halts for what is placed on the machine. */
  void addCommands(Machine machine, List<WorkerCommand> commands) {
    for (TaskPlacement placement : machine.placements().values()) {
      if (placement.isRevocable()) {
        if (mayLaunch(machine, commands)) {
          launch(machine, placement, commands);
        }
      } else if (shouldHalt(placement)) {
        commands.add(
            new WorkerCommand(
                CommandType.STOP,
                placement.taskId(),
                placement.attempt(),
                placement.stopGraceSeconds()));
      }
    }
  }

  private boolean mayLaunch(Machine machine, List<WorkerCommand> commands) {
    return machine.isSchedulable()
        && commands.size() < LeaseRenewal.MAX_COMMANDS
        && configuration.isFresh();
  }

  private void launch(Machine machine, TaskPlacement placement, List<WorkerCommand> commands) {
    commands.add(new WorkerCommand(CommandType.LAUNCH, placement.taskId(), placement.attempt(), 0));
    placement.launched();
    LOG.debug(
        "task {} try {} launched on {}", placement.taskId(), placement.attempt(), machine.id());
    jobTracer.taskLaunched(placement.job().spec().id(), machine.id());
    TaskDeparture from = placement.job().removeLastDeparture(placement.taskIndex());
    if (from != null) {
      evidence.recordStartElsewhere(placement.taskId(), placement.attempt(), machine.id(), from);
    }
  }

  private static boolean shouldHalt(TaskPlacement placement) {
    return placement.stopGraceSeconds() >= 0
        && (placement.reportedState() != TaskState.CHECKPOINTING
            || placement.stopGraceSeconds() == 0);
  }
}
