package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineId;
import io.violetrail.ownership.Holding;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Room that less urgent work leaves to the urgent jobs of the next moments. Without it, what an
 * urgent task left free was filled with small tasks at once, and half a second later thirty of them
 * were stopped for the next urgent task: a tenth of all small tasks ran in vain.
 */
final class Headroom {
  /**
   * Room is held for the arrivals of so many seconds. Held longer than stopped tasks have run, it
   * would cost more than stopping them.
   */
  static final double HOLD_S = 5;

  /** Machines come and go unseen; the sums are made anew this often. */
  private static final double RECOUNT_S = 2;

  private final Holding h;
  private final List<Kept> kept = new ArrayList<>();
  private double countedS = Double.NEGATIVE_INFINITY;

  /** What is held for one class of jobs, and how many of its tasks have room, by machine. */
  private static final class Kept {
    final JobSpec example;
    final int tasks;
    final Map<MachineId, Integer> rooms = new HashMap<>();
    int sum;

    Kept(JobSpec example, int tasks) {
      this.example = example;
      this.tasks = tasks;
    }

    int count(Machine m) {
      boolean usable =
          m.open()
              && (m.type.size().gpus() == 0 || example.task().gpus() > 0)
              && example.allows(m.row.type(), m.row.zone(), m.row.spot());
      int room = usable ? m.room().count(example.task()) : 0;
      Integer before = rooms.put(m.id(), (Integer) room);
      sum += room - (before == null ? 0 : before);
      return room;
    }
  }

  Headroom(Holding h) {
    this.h = h;
  }

  /** Sees to it that the sums are of late; {@code perSecond}: urgent tasks that arrive a second. */
  void refresh(Map<JobSpec, Double> perSecond, double now) {
    if (now - countedS < RECOUNT_S) {
      return;
    }
    countedS = now;
    kept.clear();
    perSecond.forEach(
        (job, rate) -> {
          Kept k = new Kept(job, (int) Math.ceil(rate * HOLD_S));
          h.machines.values().forEach(k::count);
          kept.add(k);
        });
  }

  /** Something was placed on the machine. */
  void changed(Machine m) {
    kept.forEach(k -> k.count(m));
  }

  /** Whether the job may take room on the machine without what is held for more urgent ones. */
  boolean leaves(JobSpec job, Machine m) {
    for (Kept k : kept) {
      if (job.priority().compareTo(k.example.priority()) > 0) {
        int room = k.count(m);
        int rest = m.room().minus(job.task()).count(k.example.task());
        if (rest < room && k.sum - (room - rest) < k.tasks) {
          return false;
        }
      }
    }
    return true;
  }
}
