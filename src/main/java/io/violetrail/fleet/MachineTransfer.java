package io.violetrail.fleet;

import io.violetrail.model.Amounts;
import io.violetrail.model.Version;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows.EntityRow;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.peer.ResourceRequest;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.MachineDrainer;
import io.violetrail.scheduling.Preemption;
import io.violetrail.worker.LongPolls;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes machines to entities that lack them: idle ones, or emptied ones for starving jobs. */
public final class MachineTransfer {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTransfer.class);

  /** So long a machine is kept free for the request for which it is emptied. */
  private static final double EVICTED_S = 30;

  /** What is used more than this is not emptied for others: too much work would be lost. */
  private static final double HALF = 0.5;

  /** A machine is not emptied for others sooner after it has come. */
  private static final double SETTLED_S = 60;

  private final Loop loop;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final EntityMachines entityMachines;
  private final MachineDrainer drainer;
  private final QuotaTransfer quotas;
  private final LongPolls longPolls;

  /** Passes machines by conditional writes, once the drainer has emptied them. */
  public MachineTransfer(
      Loop loop,
      Membership membership,
      MachineTypes machineTypes,
      EntityMachines entityMachines,
      MachineDrainer drainer,
      QuotaTransfer quotas,
      LongPolls longPolls) {
    this.loop = loop;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.entityMachines = entityMachines;
    this.drainer = drainer;
    this.quotas = quotas;
    this.longPolls = longPolls;
  }

  /** Gives idle machines of a held entity that suit the request. */
  void give(
      OwnedEntity h, EntityRow target, ResourceRequest request, Map<String, Amounts> freeQuotas) {
    double now = loop.seconds();
    List<Job> first = wantingBefore(h, request, freeQuotas, now);
    if (!request.starving() && wantedHere(h, request)) {
      return;
    }
    int left = request.tasks();
    for (Machine m : List.copyOf(h.machines().values())) {
      if (left <= 0) {
        return;
      }
      int fit = m.type().size().count(request.task());
      // What was emptied for such a request passes, though what was stopped for it waits here now.
      boolean free = (request.starving() && now <= m.evictedUntilS()) || !wantedHere(first, m);
      if (fit > 0 && m.empty() && passable(m, request) && free) {
        left -= fit;
        pass(h, m, target);
      }
    }
    if (!first.isEmpty()) {
      return;
    }
    for (Machine m : h.machines().values()) {
      int fit = m.type().size().count(request.task());
      if (left > 0 && fit > 0 && !m.empty() && m.spare() && passable(m, request)) {
        // It passes at the next asking, once what runs there in spare room has saved.
        left -= fit;
        drainer.clearSpareWork(h, m);
      }
    }
    // For the rest of what runs in part already nobody else's work is stopped: wide arrays wait for
    // long, and what was lost elsewhere was more than they gained.
    if (left > 0 && request.starving() && request.mayEvict()) {
      evict(h, request, left, now);
    }
  }

  /**
   * Empties machines with room for a job that has waited too long, where least work is lost: tasks
   * of two entities cannot share a machine. They pass at a later asking. What waits here itself, or
   * came just now, is not touched, so that no machine goes to and fro.
   */
  private void evict(OwnedEntity h, ResourceRequest request, int tasks, double now) {
    List<Machine> used = new ArrayList<>();
    int left = tasks;
    for (Machine m : h.machines().values()) {
      boolean useful = passable(m, request) && m.type().size().count(request.task()) > 0;
      if (useful && now <= m.evictedUntilS()) {
        left -= m.type().size().count(request.task());
      } else if (useful
          && !m.empty()
          && m.share() <= HALF
          && m.room().count(request.task()) > 0
          && now - m.joinedS() > SETTLED_S) {
        used.add(m);
      }
    }
    if (left <= 0 || used.isEmpty() || waitsHere(h)) {
      return;
    }
    used.sort(Comparator.comparingDouble(m -> Preemption.loss(m, now)));
    for (Machine m : used) {
      if (left > 0) {
        left -= m.type().size().count(request.task());
        LOG.info("machine {} is emptied for {} of another entity", m.id(), request.job());
        drainer.evictAll(h, m, EVICTED_S);
      }
    }
  }

  private static boolean waitsHere(OwnedEntity h) {
    for (Job job : h.jobs().values()) {
      if (job.phase() == Job.Phase.OPEN && job.unplaced() > 0 && !job.spareWork()) {
        return true;
      }
    }
    return false;
  }

  private boolean passable(Machine m, ResourceRequest request) {
    // Too dear for the request, a machine only passed to and fro, idle and paid for.
    double ratio =
        machineTypes
            .prices()
            .ratio(request.task(), request.typeList(), m.type(), m.row().spot(), request.tasks());
    return m.open()
        && ratio <= request.worth()
        && suits(m, request.gpus())
        && request.allows(m.row().type(), m.row().zone(), m.row().spot());
  }

  /** Accelerators do not go to work that needs none. */
  static boolean suits(Machine m, double gpus) {
    return m.type().size().gpus() == 0 || gpus > 0;
  }

  /**
   * Whether an own job that is more urgent, or has waited longer, waits for the same kind of room.
   */
  private static boolean wantedHere(OwnedEntity h, ResourceRequest request) {
    return h.jobs().values().stream().anyMatch(job -> waitsBefore(job, request));
  }

  private static boolean waitsBefore(Job job, ResourceRequest request) {
    return job.phase() == Job.Phase.OPEN
        && job.unplaced() > 0
        && !job.spareWork()
        && !job.trial().suspect()
        && RequestOrder.before(job, request)
        && (job.spec().task().gpus() > 0) == (request.gpus() > 0);
  }

  /**
   * Own jobs that are more urgent, or have waited longer, wait for the same kind of room, and have
   * the part of their team's limit for it.
   */
  private List<Job> wantingBefore(
      OwnedEntity h, ResourceRequest request, Map<String, Amounts> freeQuotas, double now) {
    List<Job> first = new ArrayList<>();
    for (Job job : h.jobs().values()) {
      if (waitsBefore(job, request)
          && job.gathers(now)
          && freeQuotas
                  .computeIfAbsent(job.spec().team(), t -> quotas.free(h, t, now))
                  .count(job.spec().task())
              > 0) {
        first.add(job);
      }
    }
    return first;
  }

  /** Whether one of the jobs may and could start on the machine. */
  private static boolean wantedHere(List<Job> jobs, Machine m) {
    for (Job job : jobs) {
      if (job.spec().allows(m.row().type(), m.row().zone(), m.row().spot())
          && m.type().size().count(job.spec().task()) > 0) {
        return true;
      }
    }
    return false;
  }

  /** One conditional write gives the machine to the other entity and raises its term. */
  private void pass(OwnedEntity h, Machine m, EntityRow target) {
    m.promise();
    Version above = h.token(m).compareTo(target.version()) > 0 ? h.token(m) : target.version();
    MachineRow next = m.row().passedTo(target.entity(), above.nextFor(target.version().owner()));
    Futures.logFailure(
        h.register()
            .pass(m.row(), next, target)
            .whenComplete(
                (row, failure) -> {
                  if (failure == null) {
                    LOG.info(
                        "machine {} passes from entity {} to {} with term {}",
                        m.id(),
                        h.entity(),
                        next.entity(),
                        next.term());
                    h.removeMachine(m);
                    membership.rowsChanged();
                    longPolls.answer(m.id());
                  } else {
                    entityMachines.verifyOwner(h, m);
                  }
                }),
        "transfer a machine");
  }
}
