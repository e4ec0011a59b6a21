package io.violetrail.fleet;

import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.scheduling.SchedulingLoop;
import io.violetrail.scheduling.TaskPlacement;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the machines of the entities that this controller owns: adds them, records their first
 * report, raises their fencing tokens and removes them. What must survive a crash is written
 * through {@link OwnedEntity#machineRecords}. Called on the event loop's thread.
 */
public final class EntityMachines {
  private static final Logger LOG = LoggerFactory.getLogger(EntityMachines.class);

  private final EventLoop loop;
  private final ClusterView clusterView;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final BootTimes bootTimes;
  private final SchedulingLoop schedulingLoop;

  /** Machines that were returned to the provider and whose rows are not removed yet. */
  private final Set<MachineId> returnedMachineIds = new HashSet<>();

  /** Creates an object for one controller; it requests a scheduling pass when machines change. */
  public EntityMachines(
      EventLoop loop,
      ClusterView clusterView,
      Membership membership,
      MachineTypes machineTypes,
      BootTimes bootTimes,
      SchedulingLoop schedulingLoop) {
    this.loop = loop;
    this.clusterView = clusterView;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.bootTimes = bootTimes;
    this.schedulingLoop = schedulingLoop;
  }

  /** Finds or adds a machine of an owned entity; returns null while its type is not known. */
  public Machine findOrAdd(OwnedEntity entity, MachineRow row) {
    Machine machine = entity.machines().get(row.id());
    if (machine != null) {
      return machine;
    }
    // A machine that was not recorded for the entity holds none of the entity's tasks: they start
    // only on recorded machines.
    return add(entity, row, loop.monotonicSeconds());
  }

  private Machine add(OwnedEntity entity, MachineRow row, double unreportedTasksGoneAtSeconds) {
    MachineType type = machineTypes.find(row.type());
    if (type == null) {
      return null;
    }
    double nowSeconds = loop.monotonicSeconds();
    double rentedAtSeconds =
        nowSeconds - Math.max(0, loop.wallMillis() - row.rentedAtMillis()) / 1000.0;
    Machine machine =
        new Machine(
            row,
            type,
            entity.fencingToken(row),
            nowSeconds,
            rentedAtSeconds,
            unreportedTasksGoneAtSeconds);
    entity.addMachine(machine);
    return machine;
  }

  /**
   * Adds all recorded machines of an entity that this controller has just acquired.
   *
   * @param unreportedTasksGoneAtSeconds when the tasks of a machine that has not reported are
   *     certainly gone, in seconds of the monotonic clock
   * @return false if some machine's type is not known; then no machine is added
   */
  public boolean addAllRecorded(OwnedEntity entity, double unreportedTasksGoneAtSeconds) {
    for (MachineRow row : clusterView.machineRowsOf(entity.id())) {
      if (add(entity, row, unreportedTasksGoneAtSeconds) == null) {
        entity.removeAllMachines();
        return false;
      }
    }
    return true;
  }

  /** Adds machines that other entities have transferred to entities that this controller owns. */
  public void addTransferred() {
    for (OwnedEntity entity : membership.ownedEntities()) {
      if (entity.isActive()) {
        clusterView.machineRowsOf(entity.id()).forEach(row -> addTransferred(entity, row));
      }
    }
  }

  private void addTransferred(OwnedEntity entity, MachineRow row) {
    if (entity.machines().containsKey(row.id()) || returnedMachineIds.contains(row.id())) {
      return;
    }
    Machine machine = add(entity, row, loop.monotonicSeconds());
    if (machine != null) {
      // Machines are transferred empty, so this one has no unreported tasks.
      machine.markTasksKnown();
      LOG.info(
          "machine {} joined entity {} with fencing token {}",
          row.id(),
          entity.id(),
          machine.acquiredVersion());
      schedulingLoop.requestPass();
    }
  }

  /**
   * Stores that a machine has sent its first report. No task may be launched on it before that is
   * stored.
   */
  public void recordFirstReport(OwnedEntity entity, Machine machine) {
    if (mayWriteRow(entity, machine)) {
      writeRow(entity, machine, machine.row().withReported());
    }
  }

  /**
   * Raises the machine's fencing token above the higher token that its worker has seen, since the
   * worker rejects commands with a lower token.
   */
  public void raiseFencingToken(OwnedEntity entity, Machine machine, Version seenToken) {
    if (mayWriteRow(entity, machine)) {
      Version newToken = seenToken.nextOwnedBy(entity.row().version().ownerIndex());
      LOG.info(
          "machine {}: worker has seen higher fencing token {}, raising the machine's token to {}",
          machine.id(),
          seenToken,
          newToken);
      writeRow(entity, machine, machine.row().withTerm(newToken));
    }
  }

  private boolean mayWriteRow(OwnedEntity entity, Machine machine) {
    return !machine.isRowWriteInFlight() && entity.isActive() && membership.isLeaseValid();
  }

  private void writeRow(OwnedEntity entity, Machine machine, MachineRow newRow) {
    machine.startRowWrite();
    Futures.logFailure(
        entity
            .machineRecords()
            .rewrite(machine.row(), newRow)
            .whenComplete(
                (stored, failure) -> {
                  machine.endRowWrite();
                  if (failure == null) {
                    applyWrittenRow(machine, stored);
                  } else {
                    membership.relist();
                  }
                }),
        "rewrite a machine's record");
  }

  private void applyWrittenRow(Machine machine, MachineRow stored) {
    double nowSeconds = loop.monotonicSeconds();
    if (!machine.row().hasReported()) {
      bootTimes.recordBoot(machine.type(), nowSeconds - machine.rentedAtSeconds(), nowSeconds);
      // The boot time must not count as idle time: expensive machines were returned as soon as they
      // had booted.
      machine.markIdle(nowSeconds);
    }
    machine.replaceRow(stored);
    schedulingLoop.requestPass();
  }

  /** Removes a machine that was certainly returned to the provider, with its placements. */
  public void remove(OwnedEntity entity, Machine machine) {
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      entity.removePlacement(placement, loop.monotonicSeconds(), TerminationEvidence.RETURNED);
    }
    entity.removeMachine(machine);
    returnedMachineIds.add(machine.id());
    schedulingLoop.requestPass();
  }

  /** Returns whether the machine was returned to the provider and its row is not removed yet. */
  public boolean wasReturned(MachineId machineId) {
    return returnedMachineIds.contains(machineId);
  }

  /** Removes a machine from the returned machines, since its row is removed. */
  void forgetReturned(MachineId machineId) {
    returnedMachineIds.remove(machineId);
  }

  /**
   * Determines after a transfer with an uncertain outcome whether the machine still belongs to the
   * entity, by listing the stored rows again; if not, removes it.
   */
  public void verifyOwner(OwnedEntity entity, Machine machine) {
    membership.relistThen(
        () -> {
          MachineRow row = clusterView.findMachineRow(machine.id());
          if (row == null || !row.entity().equals(entity.id())) {
            entity.removeMachine(machine);
          } else {
            machine.abortTransfer(row);
          }
        });
  }
}
