package io.violetrail.fleet;

import io.violetrail.fleet.Hires.Offer;
import io.violetrail.model.Amounts;
import io.violetrail.model.MachineType;
import io.violetrail.model.Priority;
import io.violetrail.model.Shape;
import io.violetrail.scheduling.Job;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * What to rent for an entity: its waiting tasks are put into the room that is coming anyway, and
 * the cheapest offers are taken for the rest. A plain decision on what is handed in.
 */
final class RentPlan {
  private final Collection<MachineType> types;
  private final boolean acceleratorsWanted;
  private final Prices prices;
  private final Predicate<Offer> refused;
  private final ToDoubleFunction<Job> worthOf;
  private final int tasteSeed;
  private int mayRent;

  /** Room that is there or coming, in the order in which it is filled. */
  private final List<Bin> bins = new ArrayList<>();

  private final Map<Offer, Integer> wanted = new HashMap<>();

  /** The most urgent priority for which each offer is wanted. */
  private final Map<Offer, Priority> urgency = new HashMap<>();

  /** A machine as room for what waits. */
  private static final class Bin {
    final Offer offer;
    final boolean coming;
    Amounts room;

    /** Further turns, for tasks that need not run side by side. */
    Amounts later;

    Bin(Offer offer, Amounts room, Amounts later, boolean coming) {
      this.offer = offer;
      this.room = room;
      this.later = later;
      this.coming = coming;
    }
  }

  /**
   * Creates a plan for the machines that waiting work needs.
   *
   * @param acceleratorsWanted work with accelerators was here lately: machines that have them are
   *     not for other work, as placement sees it too
   * @param mayRent how many machines more may be on their way
   */
  RentPlan(
      Collection<MachineType> types,
      boolean acceleratorsWanted,
      Prices prices,
      Predicate<Offer> refused,
      ToDoubleFunction<Job> worthOf,
      int mayRent,
      int tasteSeed) {
    this.types = types;
    this.acceleratorsWanted = acceleratorsWanted;
    this.prices = prices;
    this.refused = refused;
    this.mayRent = mayRent;
    this.tasteSeed = tasteSeed;
    this.worthOf = worthOf;
  }

  /** A machine that boots or was asked for. */
  void coming(Offer offer, Amounts size) {
    bins.add(new Bin(offer, size, Amounts.NONE, true));
    mayRent--;
  }

  /**
   * What a machine that is up has free, or will have by the time that another one boots, and what
   * may start there one after the other until then.
   */
  void there(Offer offer, Amounts roomSoon, Amounts later) {
    bins.add(new Bin(offer, roomSoon, later, false));
  }

  Map<Offer, Integer> wanted() {
    return wanted;
  }

  /**
   * What is wanted in the order in which it is to be asked for, since calls are few: the most
   * urgent first, and of those the call that brings the most machines. By numbers alone, the one
   * machine of an urgent job waited for a wide array's.
   */
  List<Map.Entry<Offer, Integer>> inOrder() {
    List<Map.Entry<Offer, Integer>> order = new ArrayList<>(wanted.entrySet());
    order.sort(
        Comparator.comparing((Map.Entry<Offer, Integer> e) -> urgency.get(e.getKey()))
            .thenComparing(e -> -e.getValue()));
    return order;
  }

  /**
   * Rents what the job's waiting tasks lack.
   *
   * @param urgent it does not wait for others to end: only machines on their way count
   */
  void demand(Job job, int tasks, boolean urgent) {
    if (job.spec().shape() == Shape.GANG && job.spec().oneZone()) {
      if (tasks >= job.spec().tasks()) {
        gang(job, urgent);
      }
      return;
    }
    int left = tasks - fill(job, tasks, urgent, null);
    rentRest(job, left, null);
  }

  /** A gang of one zone gets its machines in the zone where the least has to be paid for more. */
  private void gang(Job job, boolean urgent) {
    Set<String> zones = new HashSet<>();
    types.forEach(t -> zones.addAll(t.zones()));
    String best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (String zone : zones) {
      int missing = job.spec().tasks() - room(job, urgent, zone);
      Offer offer = missing > 0 ? cheapest(job, missing, zone) : null;
      if (missing > 0 && offer == null) {
        continue;
      }
      double cost = missing <= 0 ? 0 : missing * perTask(job, offer, missing);
      if (cost < bestCost) {
        best = zone;
        bestCost = cost;
      }
    }
    if (best == null) {
      return;
    }
    int left = job.spec().tasks() - fill(job, job.spec().tasks(), urgent, best);
    rentRest(job, left, best);
  }

  /** Rents the cheapest, in the zone if one is named, until all of the tasks fit. */
  private void rentRest(Job job, int tasks, String zone) {
    int left = tasks;
    while (left > 0 && mayRent > 0) {
      Offer offer = cheapest(job, left, zone);
      if (offer == null) {
        return;
      }
      left -= rent(job, offer, left);
    }
  }

  private int rent(Job job, Offer offer, int tasks) {
    MachineType type = type(offer);
    Bin bin = new Bin(offer, type.size(), Amounts.NONE, true);
    bins.add(bin);
    wanted.merge(offer, 1, Integer::sum);
    urgency.merge(offer, job.spec().priority(), (a, b) -> a.compareTo(b) < 0 ? a : b);
    mayRent--;
    return take(job, bin, tasks);
  }

  private static int take(Job job, Bin bin, int tasks) {
    int n = Math.min(tasks, bin.room.count(job.spec().task()));
    bin.room = bin.room.minus(job.spec().task().times(n));
    if (n < tasks && job.spec().shape() == Shape.ARRAY) {
      int more = Math.min(tasks - n, bin.later.count(job.spec().task()));
      bin.later = bin.later.minus(job.spec().task().times(more));
      n += more;
    }
    return n;
  }

  private boolean usable(Job job, Bin bin, boolean urgent, String zone) {
    return (bin.coming || !urgent)
        && suits(job, type(bin.offer))
        && (zone == null || zone.equals(bin.offer.zone()))
        && job.spec().allows(bin.offer.type(), bin.offer.zone(), bin.offer.spot());
  }

  /**
   * Dear machines with accelerators were rented for work that waited long, which was then not
   * placed there: one in seven hours of a day's cost.
   */
  private boolean suits(Job job, MachineType type) {
    return job.spec().task().gpus() > 0 || type.size().gpus() == 0 || !acceleratorsWanted;
  }

  private int fill(Job job, int tasks, boolean urgent, String zone) {
    int filled = 0;
    for (Bin bin : bins) {
      if (filled < tasks && usable(job, bin, urgent, zone)) {
        filled += take(job, bin, tasks - filled);
      }
    }
    return filled;
  }

  private int room(Job job, boolean urgent, String zone) {
    int n = 0;
    for (Bin bin : bins) {
      n += usable(job, bin, urgent, zone) ? bin.room.count(job.spec().task()) : 0;
    }
    return n;
  }

  /** Room ahead of need: one machine more for tasks like these. */
  void spare(Job job) {
    Offer offer = mayRent > 0 ? cheapest(job, 1, null) : null;
    if (offer != null) {
      rent(job, offer, 1);
    }
  }

  private MachineType type(Offer offer) {
    for (MachineType t : types) {
      if (t.name().equals(offer.type())) {
        return t;
      }
    }
    throw new IllegalStateException("unknown type " + offer.type());
  }

  /** What a task costs on the offer, counting boot and fetch. */
  private double perTask(Job job, Offer offer, int tasks) {
    MachineType t = type(offer);
    double run = Math.max(30, job.spec().estimateS());
    double time = (run + t.bootS() + job.spec().imageGb() / t.fetchGbPerS()) / run;
    int sharers = Math.min(t.size().count(job.spec().task()), tasks);
    return t.price(offer.spot()) * time / sharers * (1 + 0.01 * taste(offer));
  }

  /** The cheapest offer for what waits, in the zone if one is named; null if all is sold out. */
  private Offer cheapest(Job job, int tasks, String onlyZone) {
    Offer best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    double worth = worthOf.applyAsDouble(job);
    for (MachineType t : types) {
      if (t.size().count(job.spec().task()) == 0 || !suits(job, t)) {
        continue;
      }
      for (String zone : t.zones()) {
        if (onlyZone != null && !onlyZone.equals(zone)) {
          continue;
        }
        for (boolean spot : new boolean[] {true, false}) {
          Offer offer = new Offer(t.name(), zone, spot);
          if (!job.spec().allows(t.name(), zone, spot)
              || refused.test(offer)
              || !prices.worth(job.spec(), t, spot, tasks, worth)) {
            continue;
          }
          double cost = perTask(job, offer, tasks);
          if (cost < bestCost) {
            bestCost = cost;
            best = offer;
          }
        }
      }
    }
    return best;
  }

  /**
   * Between 0 and 1: an order of equal offers that lasts a while, so that requests for one gather.
   */
  private double taste(Offer offer) {
    return (Objects.hash(offer, tasteSeed) & 0xffff) / 65536.0;
  }
}
