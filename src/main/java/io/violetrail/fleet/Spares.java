package io.violetrail.fleet;

import io.violetrail.config.Settings.Objective;
import io.violetrail.configuration.Configuration;
import io.violetrail.model.Amounts;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import io.violetrail.scheduling.Placement;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How much room to keep ahead of need for classes of jobs that are to start sooner than a machine
 * boots. Peers get at it too, by asking, so each entity keeps only what its own arrivals call for.
 */
public final class Spares {
  /** Arrivals are counted over this long. */
  private static final double WINDOW_S = 240;

  /** Room kept ahead may cost this many times the cheapest ordinary price. */
  private static final double SPARE_WORTH = 3;

  /** Arrivals remembered of a class; more tell nothing new. */
  private static final int MOST = 400;

  /** A boot may take half as long again as its type says. */
  private static final double SLOW_BOOT = 1.5;

  private final Configuration configuration;

  /** The soonest start that the objectives ask for, by class. */
  private final Map<String, Double> startsS = new HashMap<>();

  private List<Objective> startsFrom = List.of();

  private final Map<String, Seen> classes = new HashMap<>();

  private record Arrival(double atS, int tasks) {}

  private static final class Seen {
    JobSpec example;
    int tasks;
    final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

    void since(double from) {
      while (!arrivals.isEmpty() && arrivals.peekFirst().atS() < from) {
        tasks -= arrivals.removeFirst().tasks();
      }
    }
  }

  public Spares(Configuration configuration) {
    this.configuration = configuration;
  }

  private Map<String, Double> startsS() {
    List<Objective> objectives = configuration.objectives();
    if (objectives != startsFrom) {
      startsFrom = objectives;
      startsS.clear();
      for (Objective o : objectives) {
        if ("wait".equals(o.kind()) && o.jobClass() != null) {
          startsS.merge(o.jobClass(), o.withinS(), Math::min);
        }
      }
    }
    return startsS;
  }

  /** Whether the job is to start sooner than a machine for it boots. */
  public boolean urgent(JobSpec job, Collection<MachineType> types) {
    Double startS = startsS().get(job.jobClass());
    return startS != null && startS < SLOW_BOOT * bootS(job, types) + Boots.LEAD_S;
  }

  /** How long until a task could run on a machine rented now. */
  public double startsInS(JobSpec job, Collection<MachineType> types) {
    double fetch = 0;
    for (MachineType t : types) {
      fetch = Math.max(fetch, job.imageGb() / t.fetchGbPerS());
    }
    return bootS(job, types) + Boots.LEAD_S + fetch;
  }

  private static double bootS(JobSpec job, Collection<MachineType> types) {
    double boot = Double.POSITIVE_INFINITY;
    for (MachineType t : types) {
      if (t.size().count(job.task()) > 0) {
        boot = Math.min(boot, t.bootS());
      }
    }
    return boot;
  }

  /**
   * Records a submitted job as a sample of its class's demand, if that class has a start time
   * objective.
   *
   * @param now steady clock reading, in seconds
   */
  public void arrived(JobSpec job, double now) {
    if (startsS().containsKey(job.jobClass())) {
      Seen seen = classes.computeIfAbsent(job.jobClass(), c -> new Seen());
      seen.example = job;
      seen.tasks += job.tasks();
      seen.arrivals.addLast(new Arrival(now, job.tasks()));
      seen.since(
          seen.arrivals.size() > MOST ? seen.arrivals.peekFirst().atS() + 1e-9 : now - WINDOW_S);
    }
  }

  /** Examples of jobs for which room is kept, with the tasks for which there is to be room. */
  public Map<JobSpec, Integer> wanted(Collection<MachineType> types, double now) {
    Map<JobSpec, Integer> all = new HashMap<>();
    for (Seen seen : classes.values()) {
      seen.since(now - WINDOW_S);
      if (seen.tasks > 0 && urgent(seen.example, types)) {
        double lead = bootS(seen.example, types) + Boots.LEAD_S;
        all.put(seen.example, (int) Math.ceil(seen.tasks / WINDOW_S * lead));
      }
    }
    return all;
  }

  /** How many more tasks of the job would fit, less urgent ones giving way. */
  public static int room(JobSpec job, Collection<Machine> machines, Prices prices) {
    int n = 0;
    for (Machine m : machines) {
      boolean usable =
          (m.open() || (!m.row().up() && !m.returning()))
              && job.allows(m.row().type(), m.row().zone(), m.row().spot());
      if (usable && prices.worth(job, m.type(), m.row().spot(), job.tasks(), SPARE_WORTH)) {
        Amounts room = m.room();
        for (Placement p : m.tasks().values()) {
          if (p.job().spec().priority().compareTo(job.priority()) > 0) {
            room = room.plus(p.job().spec().task());
          }
        }
        n += room.count(job.task());
      }
    }
    return n;
  }
}
