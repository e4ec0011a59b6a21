package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.Amounts;
import io.violetrail.ownership.Holding;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Stops less urgent tasks where that makes room for a more urgent one at the least loss. */
final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

  /**
   * Room that is being made is kept this long beyond the time to save, in which two reports pass.
   */
  private static final double RESERVED_S = 6;

  /** Makes room for one task of a job that waits. It is placed once the stopped tasks are gone. */
  void makeRoom(Holding h, Job job, double now) {
    for (Machine m : h.machines.values()) {
      if (m.reservedFor == job && now <= m.reservedUntilS) {
        return;
      }
    }
    Machine best = null;
    List<Placement> bestVictims = null;
    double bestLoss = Double.POSITIVE_INFINITY;
    for (Machine m : h.machines.values()) {
      boolean taken = m.reservedFor != null && now <= m.reservedUntilS;
      if (!m.open()
          || taken
          || !job.spec.task().fitsIn(m.type.size())
          || !Dispatcher.allowed(job, m, Map.of())) {
        continue;
      }
      List<Placement> victims = victims(job, m, now);
      double loss =
          victims == null
              ? Double.POSITIVE_INFINITY
              : loss(victims, now) + (wastes(job, m) ? 1e6 : 0);
      if (loss < bestLoss) {
        best = m;
        bestVictims = victims;
        bestLoss = loss;
      }
    }
    if (best == null || bestVictims.isEmpty()) {
      return;
    }
    double grace = 0;
    for (Placement p : bestVictims) {
      double save = p.job.spec.checkpointS() > 0 ? p.job.spec.saveS() : 0;
      grace = Math.max(grace, save);
      stop(h, p, save, now);
    }
    best.reservedFor = job;
    best.reservedUntilS = now + grace + RESERVED_S;
    LOG.info(
        "job {}: {} less urgent tasks stop on {}", job.spec.id(), bestVictims.size(), best.id());
  }

  private static void stop(Holding h, Placement p, double save, double now) {
    if (p.job.spec.shape() == io.violetrail.model.Shape.GANG) {
      p.job.placed.values().forEach(q -> q.halt(save));
    } else if (p.revocable()) {
      h.unplace(p, now);
    } else {
      p.halt(save);
    }
  }

  private static boolean wastes(Job job, Machine m) {
    return m.type.size().gpus() > 0 && job.spec.task().gpus() == 0;
  }

  /** The less urgent tasks to stop; null if that does not make enough room. */
  private static List<Placement> victims(Job job, Machine m, double now) {
    List<Placement> lower = new ArrayList<>();
    for (Placement p : m.tasks.values()) {
      if (p.job.spec.priority().compareTo(job.spec.priority()) > 0) {
        lower.add(p);
      }
    }
    lower.sort(Comparator.comparingDouble(p -> loss(p, now)));
    Amounts room = m.room();
    List<Placement> victims = new ArrayList<>();
    for (Placement p : lower) {
      if (job.spec.task().fitsIn(room)) {
        break;
      }
      room = room.plus(p.job.spec.task());
      victims.add(p);
    }
    return job.spec.task().fitsIn(room) ? victims : null;
  }

  private static double loss(List<Placement> victims, double now) {
    return victims.stream().mapToDouble(p -> loss(p, now)).sum();
  }

  /** Work lost with a task, in cpu seconds; what saves loses little. */
  private static double loss(Placement p, double now) {
    double age = now - p.sinceS;
    double lost = p.job.spec.checkpointS() > 0 ? Math.min(age, p.job.spec.saveS()) : age;
    return lost * (p.job.spec.task().cpus() + 8 * p.job.spec.task().gpus());
  }
}
