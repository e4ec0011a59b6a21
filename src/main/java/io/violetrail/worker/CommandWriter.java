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
 * Writes the launch and stop commands for a reply to a heartbeat, according to the placements on
 * the machine.
 *
 * <p>Launches are sent only in replies to heartbeats, which workers drop when they are late. The
 * network may deliver a reply twice, however, so the outcome of a launch counts only once it is
 * settled ({@link Machine#isLaunchSettled}). A task is therefore never launched late, when it may
 * already run elsewhere.
 *
 * <p>Called on the event loop's thread; has no state. Each {@link TaskPlacement} records to which
 * report the reply with its launch was sent. This information is lost with the process.
 */
public final class CommandWriter {
  private static final Logger LOG = LoggerFactory.getLogger(CommandWriter.class);

  private final Configuration configuration;
  private final JobTracer jobTracer;
  private final EvidenceLog evidence;

  /**
   * Creates a writer that launches tasks only while {@code configuration} is fresh. It records
   * launches in {@code jobTracer}, and starts of tasks that were on a machine before in {@code
   * evidence}.
   */
  public CommandWriter(Configuration configuration, JobTracer jobTracer, EvidenceLog evidence) {
    this.configuration = configuration;
    this.jobTracer = jobTracer;
    this.evidence = evidence;
  }

  /**
   * Adds a launch for each placement whose launch was not sent yet, and a stop for each placement
   * whose stop is requested.
   *
   * @param commands receives the commands; launches are added only while it has fewer than {@link
   *     LeaseRenewal#MAX_COMMANDS}, stops always
   */
  void addCommands(Machine machine, List<WorkerCommand> commands, double nowSeconds) {
    for (TaskPlacement placement : machine.placements().values()) {
      if (placement.isRevocable()) {
        if (mayLaunch(machine, commands)) {
          launch(machine, placement, commands, nowSeconds);
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

  private void launch(
      Machine machine, TaskPlacement placement, List<WorkerCommand> commands, double nowSeconds) {
    commands.add(WorkerCommands.launch(placement));
    machine.recordLaunch(placement, nowSeconds);
    LOG.debug(
        "sending launch of task {} attempt {} to machine {}",
        placement.taskId(),
        placement.attempt(),
        machine.id());
    jobTracer.taskLaunched(placement.job().spec().id(), machine.id());
    placement
        .job()
        .removeLastDeparture(placement.taskIndex())
        .ifPresent(
            departure ->
                evidence.recordStartElsewhere(
                    placement.taskId(), placement.attempt(), machine.id(), departure));
  }

  /**
   * Returns whether to send a stop. A task that is already saving its checkpoint is not stopped
   * again, unless it must stop without a grace period.
   */
  private static boolean shouldStop(TaskPlacement placement) {
    return placement.isStopRequested()
        && (placement.reportedState() != TaskState.CHECKPOINTING
            || placement.stopGraceSeconds() == 0);
  }
}
