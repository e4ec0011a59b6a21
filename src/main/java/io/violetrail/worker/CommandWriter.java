package io.violetrail.worker;

import io.violetrail.configuration.Configuration;
import io.violetrail.evidence.Departure;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.fleet.Machine;
import io.violetrail.scheduling.Placement;
import io.violetrail.tracing.Traces;
import io.violetrail.wire.HeartbeatMessages.Command;
import io.violetrail.wire.HeartbeatMessages.Command.Verb;
import io.violetrail.wire.HeartbeatMessages.State;
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
  private final Traces traces;
  private final EvidenceLog evidence;

  /** Notes launches in the traces and in the evidence log. */
  public CommandWriter(Configuration configuration, Traces traces, EvidenceLog evidence) {
    this.configuration = configuration;
    this.traces = traces;
    this.evidence = evidence;
  }

  /** Adds launches and halts for what is placed on the machine. */
  void addCommands(Machine machine, List<Command> commands) {
    for (Placement placement : machine.tasks().values()) {
      if (placement.revocable()) {
        if (mayLaunch(machine, commands)) {
          launch(machine, placement, commands);
        }
      } else if (shouldHalt(placement)) {
        commands.add(
            new Command(Verb.HALT, placement.task(), placement.attempt(), placement.haltGraceS()));
      }
    }
  }

  private boolean mayLaunch(Machine machine, List<Command> commands) {
    return machine.open() && commands.size() < LeaseRenewal.MAX_COMMANDS && configuration.fresh();
  }

  private void launch(Machine machine, Placement placement, List<Command> commands) {
    commands.add(new Command(Verb.LAUNCH, placement.task(), placement.attempt(), 0));
    placement.launched();
    LOG.debug("task {} try {} launched on {}", placement.task(), placement.attempt(), machine.id());
    traces.launched(placement.job().spec().id(), machine.id());
    Departure from = placement.job().takeDeparture(placement.index());
    if (from != null) {
      evidence.startsElsewhere(placement.task(), placement.attempt(), machine.id(), from);
    }
  }

  private static boolean shouldHalt(Placement placement) {
    return placement.haltGraceS() >= 0
        && (placement.state() != State.SAVING || placement.haltGraceS() == 0);
  }
}
