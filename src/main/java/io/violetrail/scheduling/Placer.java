package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.fleet.Prices;
import io.violetrail.model.Amounts;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Shape;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Chooses machines for tasks: the best fit among a few sampled ones with room. Plain decisions on
 * what is handed in; nothing is changed here.
 */
public final class Placer {
  /** A class of jobs not seen for this long is not kept room for. */
  private static final double RECENT_S = 600;

  /** Weight of a fetch that takes all of the time within which the job is to start. */
  private static final double URGENT_FETCH = 1.5;

  private final Aims aims;
  private final Estimates estimates;
  private final Random random;
  private final int sample;

  /** Classes of jobs with accelerators that were here lately, with what their tasks take. */
  private final Map<String, Accelerated> accelerated = new HashMap<>();

  /** Weight of a machine's idleness, below those of price and images. */
  private static final double LONGEST_IDLE = 0.3;

  /** The idle time at which a machine gets all of that weight. */
  private static final double IDLE_S = 60;

  private double nowS;
  private Prices prices;
  private boolean acceleratedWaits;

  /** A machine used less than this may be emptied by and by. */
  private static final double LIGHT = 0.5;

  /** Machines looked at so far: what placement costs, for the metrics and the stories. */
  private long looked;

  private record Accelerated(Amounts task, double seenS) {}

  /** Compares {@code sample} machines for each task. */
  public Placer(Aims aims, Estimates estimates, Random random, int sample) {
    this.aims = aims;
    this.estimates = estimates;
    this.random = random;
    this.sample = sample;
  }

  /** What the next decisions go by: the time, prices, and the jobs that wait. */
  void with(double now, Prices current, List<Job> order) {
    nowS = now;
    prices = current;
    acceleratedWaits = order.stream().anyMatch(j -> j.spec().task().gpus() > 0);
  }

  long looked() {
    return looked;
  }

  /** A job waits or runs here; work without accelerators leaves room for its class from now on. */
  void seen(JobSpec job, double now) {
    if (job.task().gpus() > 0) {
      accelerated.put(job.jobClass(), new Accelerated(job.task(), now));
    }
  }

  public boolean acceleratorsWanted(double now) {
    return accelerated.values().stream().anyMatch(a -> now - a.seenS() < RECENT_S);
  }

  /** The machines among {@code open} on which a next task of the job could start. */
  List<Machine> fitting(
      Job job, Collection<Machine> open, Map<String, Integer> perZone, double now) {
    List<Machine> fitting = new ArrayList<>();
    for (Machine m : open) {
      if (fits(job, m, perZone, now)) {
        fitting.add(m);
      }
    }
    return fitting;
  }

  boolean fits(Job job, Machine m, Map<String, Integer> perZone, double now) {
    looked++;
    return job.spec().task().fitsIn(m.room())
        && (m.reservedFor() == null || m.reservedFor() == job || now > m.reservedUntilS())
        && now > m.evictedUntilS()
        && !(job.spareWork() && now < m.clearedUntilS())
        && allowed(job, m, perZone)
        && leavesAccelerators(job, m, now)
        && affordable(job, m, now);
  }

  /** Whether a task of the job could start there if there were room. */
  boolean suits(Job job, Machine m, double now) {
    return (m.type().size().gpus() == 0 || job.spec().task().gpus() > 0)
        && allowed(job, m, perZone(job))
        && affordable(job, m, now);
  }

  /**
   * Whether all that waits of the job has room on machines that are used more than this one. Then
   * it is left alone, so that it falls idle and can be passed over or returned: filled again after
   * each report, every machine of a half-used fleet stayed half used.
   */
  boolean roomOnFuller(Job job, Machine m, Collection<Machine> machines, double now) {
    double share = m.share();
    if (share >= LIGHT) {
      return false;
    }
    int room = 0;
    int waiting = job.unplaced();
    Map<String, Integer> perZone = perZone(job);
    for (Machine other : machines) {
      if (other != m && other.open() && other.share() > share && fits(job, other, perZone, now)) {
        room += other.room().count(job.spec().task());
        if (room >= waiting) {
          return true;
        }
      }
    }
    return false;
  }

  /** The best of a few sampled machines. The list's order is lost; null if it is empty. */
  Machine best(Job job, List<Machine> fitting) {
    Machine best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    int n = Math.min(sample, fitting.size());
    for (int i = 0; i < n; i++) {
      // The first steps of a shuffle: a sample without repetition at the cost of the sample alone.
      Collections.swap(fitting, i, i + random.nextInt(fitting.size() - i));
      Machine m = fitting.get(i);
      double score = score(job, m);
      if (score < bestScore) {
        bestScore = score;
        best = m;
      }
    }
    looked += n;
    return best;
  }

  /** How many of the job's placed tasks are in each zone; empty where zones do not matter. */
  static Map<String, Integer> perZone(Job job) {
    if (!job.spec().oneZone() && !job.spec().spread()) {
      return Map.of();
    }
    Map<String, Integer> perZone = new HashMap<>();
    job.placements().forEach(p -> perZone.merge(p.machine().row().zone(), 1, Integer::sum));
    return perZone;
  }

  /**
   * Machines for all of a gang's tasks at once, one entry a task; null if they do not fit whole.
   * Gangs of one zone get the zone whose room exceeds their need the least: a wide one later finds
   * the widest room whole.
   */
  List<Machine> gang(Job job, Collection<Machine> open, double now) {
    List<Machine> fitting = fitting(job, open, Map.of(), now);
    if (!job.spec().oneZone()) {
      return fill(job, fitting);
    }
    Map<String, List<Machine>> zones = new HashMap<>();
    for (Machine m : fitting) {
      zones.computeIfAbsent(m.row().zone(), z -> new ArrayList<>()).add(m);
    }
    List<Machine> best = null;
    int bestRoom = Integer.MAX_VALUE;
    for (List<Machine> zone : zones.values()) {
      int room = 0;
      for (Machine m : zone) {
        room += m.room().count(job.spec().task());
      }
      if (room >= job.spec().tasks() && room < bestRoom) {
        best = zone;
        bestRoom = room;
      }
    }
    return best == null ? null : fill(job, best);
  }

  private List<Machine> fill(Job job, List<Machine> fitting) {
    List<Machine> plan = new ArrayList<>();
    Map<String, Integer> perZone = new HashMap<>();
    Map<Machine, Integer> planned = new HashMap<>();
    while (plan.size() < job.spec().tasks()) {
      Machine m = best(job, fitting);
      if (m == null) {
        return null;
      }
      int used = planned.getOrDefault(m, 0);
      boolean zoneFull =
          job.spec().spread() && perZone.getOrDefault(m.row().zone(), 0) >= job.spec().perZone();
      if (zoneFull || !job.spec().task().times(used + 1).fitsIn(m.room())) {
        fitting.remove(m);
        continue;
      }
      plan.add(m);
      planned.put(m, used + 1);
      perZone.merge(m.row().zone(), 1, Integer::sum);
    }
    return plan;
  }

  static boolean allowed(Job job, Machine m, Map<String, Integer> perZone) {
    JobSpec s = job.spec();
    if (!s.allows(m.row().type(), m.row().zone(), m.row().spot())) {
      return false;
    }
    if (job.trial().avoids(m.id())) {
      return false;
    }
    if (s.oneZone()
        && !perZone.isEmpty()
        && !(perZone.size() == 1 && perZone.containsKey(m.row().zone()))) {
      return false;
    }
    return !s.spread() || perZone.getOrDefault(m.row().zone(), 0) < s.perZone();
  }

  /** Work without accelerators takes only what work with accelerators seen lately cannot use. */
  private boolean leavesAccelerators(Job job, Machine m, double now) {
    if (job.spec().task().gpus() > 0 || m.type().size().gpus() == 0) {
      return true;
    }
    if (job.atLastResort(now) && !acceleratedWaits) {
      // Kept for work that may come, rooms stayed empty while this waited.
      return true;
    }
    Amounts room = m.room();
    Amounts rest = room.minus(job.spec().task());
    for (Accelerated a : accelerated.values()) {
      if (now - a.seenS() < RECENT_S && rest.count(a.task()) < room.count(a.task())) {
        return false;
      }
    }
    return true;
  }

  /** A dear machine is not kept from being returned by work that could run on a cheap one. */
  private boolean affordable(Job job, Machine m, double now) {
    int sharers = job.unplaced() + m.tasks().size();
    double worth = job.worthAt(now, () -> aims.worth(job, now, estimates.runS(job.spec())));
    // Late small tasks in the processors left over kept dear machines rented that had no other use.
    boolean leftover =
        job.spec().task().gpus() == 0 && m.type().size().gpus() > 0 && acceleratorsWanted(now);
    if (!leftover && job.spareWork()) {
      // It may use what is there; it does not keep an ordinary machine from being returned.
      return true;
    }
    if (!leftover && prices.worth(job.spec(), m.type(), m.row().spot(), sharers, worth)) {
      return true;
    }
    // It is kept by other work anyway.
    for (Placement p : m.tasks().values()) {
      if (p.job().spec().task().gpus() > job.spec().task().gpus()) {
        return true;
      }
    }
    return false;
  }

  /** Lower is better: little left over, no idle accelerators, the image at hand. */
  private double score(Job job, Machine m) {
    Amounts size = m.type().size();
    Amounts rest = m.room().minus(job.spec().task());
    double score =
        rest.cpus() / size.cpus()
            + 0.6 * prices.ratio(job.spec(), m.type(), m.row().spot(), Integer.MAX_VALUE);
    if (size.gpus() > 0) {
      score += job.spec().task().gpus() > 0 ? rest.gpus() / size.gpus() : 1;
    }
    if (m.empty()) {
      // The one that fell idle last: taken at random, each of many idle machines was used again
      // just before it would have been returned.
      score += LONGEST_IDLE * Math.min(1, (nowS - m.idleSinceS()) / IDLE_S);
    }
    if (!m.hasImage(job.spec().image())) {
      double fetchS = job.spec().imageGb() / m.type().fetchGbPerS();
      score +=
          Math.min(1, fetchS / 20) + URGENT_FETCH * Math.min(1, fetchS / aims.startS(job.spec()));
    }
    return score;
  }

  /** Whether the job's tasks start one by one. */
  static boolean singly(Job job) {
    return job.spec().shape() != Shape.GANG;
  }
}
