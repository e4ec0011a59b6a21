package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.Amounts;
import io.violetrail.model.Shape;
import io.violetrail.ownership.OwnedEntity;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Jobs of an entity with tasks that wait, the most urgent first. The order is kept for a moment:
 * due times pass slowly, and reports that need the order come many times a second.
 */
final class Waiting {
  private static final double KEPT_S = 0.5;

  /**
   * So long at most an array waits for its first task because others fit in time and it does not.
   * While there was more work than room, the widest made way without end: a third of them had not
   * begun after four minutes of a bad day. Sooner than after three, too many went before those that
   * could still be in time. A gang is not helped by going first: its room is never free at once.
   */
  private static final double LONGEST_S = 180;

  private final OwnedEntity h;
  private final Aims aims;
  private final Estimates estimates;
  private List<Job> order = List.of();
  private double orderedS = Double.NEGATIVE_INFINITY;

  Waiting(OwnedEntity h, Aims aims, Estimates estimates) {
    this.h = h;
    this.aims = aims;
    this.estimates = estimates;
  }

  /** A job has come, or tasks wait again. */
  void changed() {
    orderedS = Double.NEGATIVE_INFINITY;
  }

  List<Job> order(double now) {
    if (now - orderedS >= KEPT_S) {
      orderedS = now;
      order = sorted(now);
    }
    return order;
  }

  private List<Job> sorted(double now) {
    Map<String, List<Job>> kinds = new TreeMap<>();
    for (Job job : h.jobs().values()) {
      if (job.phase() == Job.Phase.OPEN && job.unplaced() > 0) {
        // Priorities come one after the other; kinds of one priority do not compete for room.
        String kind = job.spec().priority().ordinal() + (accelerated(job) ? " a" : " b");
        kinds.computeIfAbsent(kind, k -> new ArrayList<>()).add(job);
      }
    }
    List<Job> order = new ArrayList<>();
    for (List<Job> jobs : kinds.values()) {
      double room = room(jobs.get(0));
      List<InTime.Due> dues = new ArrayList<>();
      List<Job> longest = new ArrayList<>();
      for (Job job : jobs) {
        job.setToBegin(waitsTooLong(job, now));
        if (job.toBegin()) {
          longest.add(job);
          continue;
        }
        double run = estimates.runS(job.spec());
        // What fails wherever it goes comes after all that may be in time.
        boolean suspect = job.trial().suspect();
        double due = suspect ? Double.POSITIVE_INFINITY : aims.nextAimS(job, now, run);
        double work = job.unplaced() * run * amount(job.spec().task(), accelerated(job)) / room;
        dues.add(new InTime.Due(job, due, work, run));
      }
      // Only to begin: with its first task it makes way again, so that others stay in time.
      longest.sort(Comparator.comparingDouble(j -> j.arrivedS()));
      order.addAll(longest);
      InTime.order(dues, now).forEach(d -> order.add(d.job()));
    }
    return order;
  }

  private static boolean waitsTooLong(Job job, double now) {
    return now - job.arrivedS() > LONGEST_S
        && job.spec().shape() == Shape.ARRAY
        && job.nothingPlaced()
        && job.doneCount() == 0
        && !job.spareWork()
        && !job.trial().suspect();
  }

  private static boolean accelerated(Job job) {
    return job.spec().task().gpus() > 0;
  }

  private static double amount(Amounts a, boolean gpus) {
    return gpus ? a.gpus() : a.cpus();
  }

  /** What the entity's machines hold for work of this kind, beside what is more urgent. */
  private double room(Job like) {
    boolean gpus = accelerated(like);
    double room = 0;
    for (Machine m : h.machines().values()) {
      if (m.open() && (m.type().size().gpus() > 0) == gpus) {
        room += amount(m.type().size(), gpus);
        for (Placement p : m.tasks().values()) {
          if (p.job().spec().priority().compareTo(like.spec().priority()) < 0) {
            room -= amount(p.job().spec().task(), gpus);
          }
        }
      }
    }
    return Math.max(1, room);
  }
}
