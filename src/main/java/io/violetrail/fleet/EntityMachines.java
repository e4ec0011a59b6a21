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
 * The machines of the entities owned here: how they join an entity, come up, get another fencing
 * token and leave. What must outlive the process goes through {@link OwnedEntity#machineRecords}.
 * Called on the event loop's thread.
 */
public final class EntityMachines {
  private static final Logger LOG = LoggerFactory.getLogger(EntityMachines.class);

  private final EventLoop loop;
  private final ClusterView clusterView;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final BootTimes bootTimes;
  private final SchedulingLoop schedulingLoop;

  /** Machines that the provider has taken back while their rows are not removed yet. */
  private final Set<MachineId> returned = new HashSet<>();

  /** Creates the machines' keeper, which requests scheduling passes as machines become usable. */
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

  /** Finds a machine of an owned entity, or adds it; null while its type is not known. */
  public Machine findOrAdd(OwnedEntity entity, MachineRow row) {
    Machine machine = entity.machines().get(row.id());
    if (machine != null) {
      return machine;
    }
    // A machine from outside the entity can hide none of its tasks: they start only on recorded
    // machines.
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
   * Adds all recorded machines of an entity that was just taken over.
   *
   * @param unreportedTasksGoneAtSeconds when the tasks of a machine that has not reported until
   *     then are certainly gone, in seconds of the steady clock
   * @return false, with no machine added, while some machine's type is not known
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

  /** Adds machines that other entities have transferred to entities owned here. */
  public void addTransferred() {
    for (OwnedEntity entity : membership.ownedEntities()) {
      if (entity.isActive()) {
        clusterView.machineRowsOf(entity.id()).forEach(row -> addTransferred(entity, row));
      }
    }
  }

  private void addTransferred(OwnedEntity entity, MachineRow row) {
    if (entity.machines().containsKey(row.id()) || returned.contains(row.id())) {
      return;
    }
    Machine machine = add(entity, row, loop.monotonicSeconds());
    if (machine != null) {
      // A machine is transferred empty, so it hides nothing.
      machine.markJoinedEmpty();
      LOG.info(
          "machine {} joins entity {} with fencing token {}",
          row.id(),
          entity.id(),
          machine.acquiredVersion());
      schedulingLoop.requestPass();
    }
  }

  /** Records that a machine has reported, before anything may be launched on it. */
  public void markUp(OwnedEntity entity, Machine machine) {
    if (mayWriteRow(entity, machine)) {
      writeRow(entity, machine, machine.row().withReported());
    }
  }

  /**
   * The worker has seen a higher fencing token than this controller's: the machine's is raised
   * above that one, since the worker obeys no lower one.
   */
  public void raiseTerm(OwnedEntity entity, Machine machine, Version seen) {
    if (mayWriteRow(entity, machine)) {
      Version term = seen.nextOwnedBy(entity.row().version().ownerIndex());
      LOG.info(
          "machine {} has seen fencing token {}: its own becomes {}", machine.id(), seen, term);
      writeRow(entity, machine, machine.row().withTerm(term));
    }
  }

  private boolean mayWriteRow(OwnedEntity entity, Machine machine) {
    return !machine.rowWriteInFlight() && entity.isActive() && membership.isLeaseValid();
  }

  private void writeRow(OwnedEntity entity, Machine machine, MachineRow next) {
    machine.startRowWrite();
    Futures.logFailure(
        entity
            .machineRecords()
            .rewrite(machine.row(), next)
            .whenComplete(
                (stored, failure) -> {
                  machine.endRowWrite();
                  if (failure == null) {
                    rowWritten(machine, stored);
                  } else {
                    membership.relist();
                  }
                }),
        "rewrite a machine's record");
  }

  private void rowWritten(Machine machine, MachineRow stored) {
    double nowSeconds = loop.monotonicSeconds();
    if (!machine.row().hasReported()) {
      bootTimes.recordBoot(machine.type(), nowSeconds - machine.rentedAtSeconds(), nowSeconds);
      // Its boot is not idleness: dear machines were returned the moment they came up.
      machine.markIdle(nowSeconds);
    }
    machine.replaceRow(stored);
    schedulingLoop.requestPass();
  }

  /** Removes a machine that the provider has certainly taken back. */
  public void remove(OwnedEntity entity, Machine machine) {
    for (TaskPlacement placement : List.copyOf(machine.placements().values())) {
      entity.removePlacement(placement, loop.monotonicSeconds(), TerminationEvidence.RETURNED);
    }
    entity.removeMachine(machine);
    returned.add(machine.id());
    schedulingLoop.requestPass();
  }

  /** Whether the provider has taken the machine back while its row is not removed yet. */
  public boolean wasReturned(MachineId machine) {
    return returned.contains(machine);
  }

  /** The row of a machine that was taken back is removed. */
  void rowRemoved(MachineId machine) {
    returned.remove(machine);
  }

  /** After a write with an uncertain outcome: finds out whether the machine is still here. */
  public void verifyOwner(OwnedEntity entity, Machine machine) {
    membership.relistThen(
        () -> {
          MachineRow row = clusterView.findMachineRow(machine.id());
          if (row == null || !row.entity().equals(entity.id())) {
            entity.removeMachine(machine);
          } else {
            machine.transferFailed(row);
          }
        });
  }
}
