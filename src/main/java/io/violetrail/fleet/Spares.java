package io.violetrail.fleet;

import io.violetrail.config.Settings.Objective;
import io.violetrail.model.Amounts;
import io.violetrail.model.JobSpec;
import io.violetrail.scheduling.Placement;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How much room to keep ahead of need for classes of jobs that are to start sooner than a machine
 * boots. Peers get at it too, by asking, so each entity keeps only what its own arrivals call for.
 */
public final class Spares {
  /** Arrivals are counted over this long. */
  private static final double WINDOW_S = 240;

  /** Deciding, asking the cloud and the first reports take this long on top of the boot. */
  private static final double LEAD_S = 5;

  private final Set<String> urgent = new HashSet<>();
  private final Map<String, Seen> classes = new HashMap<>();

  private static final class Seen {
    JobSpec example;
    final ArrayDeque<Double> arrivals = new ArrayDeque<>();
  }

  public Spares(List<Objective> objectives) {
    for (Objective o : objectives) {
      if ("wait".equals(o.kind()) && o.jobClass() != null) {
        urgent.add(o.jobClass());
      }
    }
  }

  public boolean urgent(JobSpec job) {
    return urgent.contains(job.jobClass());
  }

  public void arrived(JobSpec job, double now) {
    if (urgent(job) && job.tasks() <= 4) {
      Seen seen = classes.computeIfAbsent(job.jobClass(), c -> new Seen());
      seen.example = job;
      seen.arrivals.addLast(now);
      while (seen.arrivals.size() > 100 || seen.arrivals.peekFirst() < now - WINDOW_S) {
        seen.arrivals.removeFirst();
      }
    }
  }

  /** Examples of jobs for which room is kept, with the tasks for which there is to be room. */
  public Map<JobSpec, Integer> wanted(double bootS, double now) {
    Map<JobSpec, Integer> all = new HashMap<>();
    for (Seen seen : classes.values()) {
      while (!seen.arrivals.isEmpty() && seen.arrivals.peekFirst() < now - WINDOW_S) {
        seen.arrivals.removeFirst();
      }
      if (!seen.arrivals.isEmpty()) {
        double rate = seen.arrivals.size() / WINDOW_S;
        all.put(seen.example, (int) Math.ceil(rate * (bootS + LEAD_S)) * seen.example.tasks());
      }
    }
    return all;
  }

  /** How many more tasks of the job would fit, less urgent ones giving way. */
  public static int room(JobSpec job, Collection<Machine> machines, Prices prices) {
    int n = 0;
    for (Machine m : machines) {
      boolean usable =
          (m.open() || !m.row.up() && !m.returning)
              && job.allows(m.row.type(), m.row.zone(), m.row.spot());
      if (usable && prices.worth(job, m.type, m.row.spot(), job.tasks(), 0)) {
        Amounts room = m.room();
        for (Placement p : m.tasks.values()) {
          if (p.job.spec.priority().compareTo(job.priority()) > 0) {
            room = room.plus(p.job.spec.task());
          }
        }
        n += room.count(job.task());
      }
    }
    return n;
  }
}
