package io.violetrail.scheduling;

import io.violetrail.evidence.GoneProof;
import io.violetrail.fleet.Machine;
import io.violetrail.model.Amounts;
import io.violetrail.model.Shape;
import io.violetrail.ownership.OwnedEntity;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Stops less urgent tasks where that makes room for a more urgent job at the least loss. */
public final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

  /**
   * Room that is being made is kept this long beyond the time to save, in which two reports pass.
   */
  static final double RESERVED_S = 6;

  /** A job for which no room could be made is not tried again sooner: the search is the dearest. */
  private static final double AGAIN_S = 1;

  private final Consumer<Placement> halted;

  /**
   * Creates a preemption that stops tasks through a callback.
   *
   * @param halted told of each task that is to stop
   */
  public Preemption(Consumer<Placement> halted) {
    this.halted = halted;
  }

  /** A machine that would take some tasks of the job, after stopping some of others. */
  private record Offer(Machine machine, int tasks, List<Placement> victims, double loss) {}

  /**
   * Makes room for a job that waits: for one task of an array, and for a gang whole or not at all,
   * since gangs that hold parts of each other's room would all wait. The job is placed once the
   * stopped tasks are gone; until then the room is reserved for it.
   */
  void makeRoom(OwnedEntity h, Job job, double now) {
    if (now < job.makeRoomS() || !h.placedBelow(job.spec().priority())) {
      return;
    }
    job.makeRoomNotBefore(now + AGAIN_S);
    Map<String, List<Offer>> zones = new HashMap<>();
    for (Machine m : h.machines().values()) {
      if (m.reservedFor() == job && now <= m.reservedUntilS()) {
        return;
      }
      Offer offer = offer(job, m, now);
      if (offer != null) {
        String zone = job.spec().oneZone() ? m.row().zone() : "";
        zones.computeIfAbsent(zone, z -> new ArrayList<>()).add(offer);
      }
    }
    int tasks = job.spec().shape() == Shape.GANG ? job.spec().tasks() : 1;
    List<Offer> best = null;
    double bestLoss = Double.POSITIVE_INFINITY;
    for (List<Offer> zone : zones.values()) {
      List<Offer> cheapest = cheapest(zone, tasks);
      double loss = 0;
      for (Offer o : cheapest) {
        loss += o.loss();
      }
      if (!cheapest.isEmpty() && loss < bestLoss) {
        best = cheapest;
        bestLoss = loss;
      }
    }
    if (best != null) {
      take(h, job, best, now);
    }
  }

  /** The offers with the least loss a task that hold so many tasks; empty if all do not. */
  private static List<Offer> cheapest(List<Offer> offers, int tasks) {
    offers.sort(Comparator.comparingDouble(o -> o.loss() / o.tasks()));
    List<Offer> chosen = new ArrayList<>();
    int held = 0;
    for (Offer o : offers) {
      if (held >= tasks) {
        break;
      }
      chosen.add(o);
      held += o.tasks();
    }
    return held >= tasks ? chosen : List.of();
  }

  private void take(OwnedEntity h, Job job, List<Offer> offers, double now) {
    double grace = 0;
    int stopped = 0;
    for (Offer o : offers) {
      for (Placement p : o.victims()) {
        grace = Math.max(grace, stop(h, p, now));
        stopped++;
      }
    }
    for (Offer o : offers) {
      o.machine().reserve(job, now + grace + RESERVED_S);
    }
    LOG.info(
        "job {}: {} less urgent tasks stop on {} machines",
        job.spec().id(),
        stopped,
        offers.size());
  }

  /** Stops a task, letting it save if it can; returns how long that may take. */
  double stop(OwnedEntity h, Placement p, double now) {
    double save = p.job().spec().checkpointS() > 0 ? p.job().spec().saveS() : 0;
    if (p.job().spec().shape() == Shape.GANG) {
      for (Placement q : p.job().placements()) {
        q.halt(save);
        halted.accept(q);
      }
    } else if (p.revocable()) {
      h.unplace(p, now, GoneProof.NEVER_SENT);
    } else {
      p.halt(save);
      halted.accept(p);
    }
    return save;
  }

  /** What the machine could hold of the job; null if nothing. */
  private static Offer offer(Job job, Machine m, double now) {
    Amounts task = job.spec().task();
    boolean taken = m.reservedFor() != null && now <= m.reservedUntilS();
    if (taken || !m.open() || !task.fitsIn(m.type().size()) || !Placer.allowed(job, m, Map.of())) {
      return null;
    }
    if (m.type().size().gpus() > 0 && task.gpus() == 0) {
      // Work without accelerators is not placed there either while others may want them.
      return null;
    }
    // Waiting for the image counts like work lost.
    double fetch =
        m.hasImage(job.spec().image())
            ? 0
            : job.spec().imageGb() / m.type().fetchGbPerS() * task.cpus();
    int free = m.room().count(task);
    if (free > 0) {
      return new Offer(m, free, List.of(), fetch * free);
    }
    List<Placement> lower = new ArrayList<>();
    Amounts room = m.room();
    for (Placement p : m.tasks().values()) {
      if (p.job().spec().priority().compareTo(job.spec().priority()) > 0) {
        lower.add(p);
        room = room.plus(p.job().spec().task());
      }
    }
    if (!task.fitsIn(room)) {
      return null;
    }
    lower.sort(Comparator.comparingDouble(p -> loss(p, now)));
    room = m.room();
    List<Placement> victims = new ArrayList<>();
    double loss = 0;
    for (Placement p : lower) {
      if (task.fitsIn(room)) {
        break;
      }
      room = room.plus(p.job().spec().task());
      victims.add(p);
      loss += loss(p, now);
    }
    return new Offer(m, 1, victims, loss + fetch);
  }

  /**
   * Work lost if all of a machine's tasks are stopped, gangs with all of theirs, in cpu seconds.
   */
  public static double loss(Machine m, double now) {
    double sum = 0;
    for (Placement p : m.tasks().values()) {
      List<Placement> stopped =
          p.job().spec().shape() == Shape.GANG ? p.job().placements() : List.of(p);
      for (Placement q : stopped) {
        sum += loss(q, now);
      }
    }
    return sum;
  }

  /** Work lost with a task, in cpu seconds; what saves loses little. */
  private static double loss(Placement p, double now) {
    double age = now - p.sinceS();
    double lost = p.job().spec().checkpointS() > 0 ? Math.min(age, p.job().spec().saveS()) : age;
    return lost * (p.job().spec().task().cpus() + 8 * p.job().spec().task().gpus());
  }
}
