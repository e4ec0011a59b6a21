package io.violetrail.fleet;

import io.violetrail.config.Settings;
import io.violetrail.fleet.Hires.Offer;
import io.violetrail.model.Amounts;
import io.violetrail.model.MachineType;
import io.violetrail.model.Shape;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Aims;
import io.violetrail.scheduling.Estimates;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.PendingJobs;
import io.violetrail.scheduling.Placement;
import io.violetrail.scheduling.Placer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Rents machines for the pending tasks of an entity that no machine there or coming can take. */
public final class ScaleOut {
  /**
   * Tasks of a job that one place is to run one after the other; estimates are too rough for more.
   */
  private static final double MAX_TURNS = 4;

  private final Settings settings;
  private final Random random;
  private final Directory directory;
  private final MachineTypes machineTypes;
  private final PendingJobs pendingJobs;
  private final Placer placer;
  private final Aims aims;
  private final Estimates estimates;
  private final QuotaTransfer quotas;
  private final Boots bootTimes;
  private final Spares spares;
  private final Hires hires;
  private int tasteSeed;

  /** Rents through the given requests what {@link PendingJobs} calls for. */
  public ScaleOut(
      Settings settings,
      Random random,
      Directory directory,
      MachineTypes machineTypes,
      PendingJobs pendingJobs,
      Placer placer,
      Aims aims,
      Estimates estimates,
      QuotaTransfer quotas,
      Boots bootTimes,
      Spares spares,
      Hires hires) {
    this.settings = settings;
    this.random = random;
    this.directory = directory;
    this.machineTypes = machineTypes;
    this.pendingJobs = pendingJobs;
    this.placer = placer;
    this.aims = aims;
    this.estimates = estimates;
    this.quotas = quotas;
    this.bootTimes = bootTimes;
    this.spares = spares;
    this.hires = hires;
  }

  /** Draws anew which of equally good offers are preferred until the next draw. */
  void drawTaste() {
    tasteSeed = random.nextInt();
  }

  /** Puts what waits into machines that boot, and rents for the rest. */
  void rent(OwnedEntity h, double now) {
    RentPlan plan =
        new RentPlan(
            machineTypes.all(),
            placer.acceleratorsWanted(now),
            machineTypes.prices(),
            hires::refused,
            job -> aims.worth(job, now, estimates.runS(job.spec())),
            mayBoot(),
            tasteSeed);
    int replaced = maxReplaced(h);
    for (Machine m : h.machines().values()) {
      if (!m.row().up() && !m.returning()) {
        if (replaced > 0 && bootTimes.late(m.type(), m.rentedS(), now)) {
          replaced--;
        } else {
          plan.coming(offer(m), m.type().size());
        }
      } else if (m.open()) {
        plan.there(offer(m), roomSoon(m, now), later(m, now));
      }
    }
    Map<Offer, Integer> pending = hires.pending(h);
    pending.forEach(
        (offer, count) -> {
          MachineType type = machineTypes.find(offer.type());
          for (int i = 0; type != null && i < count; i++) {
            plan.coming(offer, type.size());
          }
        });
    boolean uncertain = h.uncertain(now);
    Map<String, Amounts> left = new HashMap<>();
    List<Job> spareWork = new ArrayList<>();
    for (Job job : pendingJobs.inOrder(h)) {
      if (job.spareWork()) {
        spareWork.add(job);
        continue;
      }
      boolean urgent = spares.urgent(job.spec(), machineTypes.all());
      boolean peersFirst =
          !urgent && now - job.arrivedS() < TransferRequests.FIRST_S && directory.aliveCount() > 1;
      boolean probe = job.trial().suspect() && placeable(h, job);
      if (job.mayStart(now) == 0 || (job.recovered() && uncertain) || peersFirst || probe) {
        continue;
      }
      Amounts quota = left.computeIfAbsent(job.spec().team(), t -> quotas.free(h, t, now));
      int tasks = Math.min(wanted(job, now), quota.count(job.spec().task()));
      left.put(job.spec().team(), quota.minus(job.spec().task().times(tasks)));
      plan.demand(job, tasks, urgent);
    }
    if (plan.wanted().isEmpty() && pending.isEmpty()) {
      keepSpares(h, plan, now);
    }
    for (Job job : spareWork) {
      if (!job.trial().suspect() && !(job.recovered() && uncertain)) {
        plan.demand(job, job.unplaced(), false);
      }
    }
    plan.inOrder().forEach(e -> hires.hire(h, e.getKey(), e.getValue()));
  }

  /**
   * How many machines that are late may be replaced at the same time: where all boots are slow, the
   * fleet must not double.
   */
  private static int maxReplaced(OwnedEntity h) {
    int up = 0;
    for (Machine m : h.machines().values()) {
      up += m.row().up() ? 1 : 0;
    }
    return Math.max(2, up / 4);
  }

  /** Whether a probe of a job that fails everywhere finds a machine that is there anyway. */
  private static boolean placeable(OwnedEntity h, Job job) {
    int room = 0;
    for (Machine m : h.machines().values()) {
      if (m.open() && job.spec().allows(m.row().type(), m.row().zone(), m.row().spot())) {
        room += m.type().size().count(job.spec().task());
      }
    }
    return room >= (job.spec().shape() == Shape.GANG ? job.spec().tasks() : 1);
  }

  /**
   * How many machines may be on their way: each takes about three writes until it works, and those
   * must not take longer than a boot.
   */
  private int mayBoot() {
    double writes = settings.stateLimits().writeRps() / (settings.peers().size() + 1);
    return (int) Math.max(4, writes * boot() / 3);
  }

  private void keepSpares(OwnedEntity h, RentPlan plan, double now) {
    spares
        .wanted(machineTypes.all(), now)
        .forEach(
            (spec, tasks) -> {
              int have = Spares.room(spec, h.machines().values(), machineTypes.prices());
              if (have < tasks && h.entity().equals(settings.self())) {
                plan.spare(new Job(spec, 0, now, false));
              }
            });
  }

  private double boot() {
    return machineTypes.all().stream().mapToDouble(MachineType::bootS).min().orElse(0);
  }

  private static Offer offer(Machine m) {
    return new Offer(m.row().type(), m.row().zone(), m.row().spot());
  }

  /** What a machine will have free by the time that another of its type would be up. */
  private Amounts roomSoon(Machine m, double now) {
    Amounts room = m.room();
    for (Placement p : m.tasks().values()) {
      if (endsInS(p, now) < m.type().bootS()) {
        room = room.plus(p.job().spec().task());
      }
    }
    return room;
  }

  /**
   * What may start there after those, one task after the other like what runs there now, before
   * another machine would be up. Dear machines were rented for short tasks, and had nothing to do
   * when they came up.
   */
  private Amounts later(Machine m, double now) {
    Amounts room = Amounts.NONE;
    for (Placement p : m.tasks().values()) {
      double left = m.type().bootS() - endsInS(p, now);
      int turns = (int) (left / estimates.runS(p.job().spec()));
      if (left > 0 && turns > 0 && p.job().spec().shape() == Shape.ARRAY) {
        room = room.plus(p.job().spec().task().times((int) Math.min(MAX_TURNS, turns)));
      }
    }
    return room;
  }

  private double endsInS(Placement p, double now) {
    double began =
        p.runningS() > 0
            ? p.runningS()
            : now + p.job().spec().imageGb() / p.machine().type().fetchGbPerS();
    return Math.max(0, began + estimates.runS(p.job().spec()) - now);
  }

  /** How many of a job's waiting tasks are worth machines of their own, the rest taking turns. */
  private int wanted(Job job, double now) {
    int waiting = job.mayStart(now);
    if (job.spec().shape() != Shape.ARRAY) {
      return waiting;
    }
    double run = estimates.runS(job.spec());
    double due = aims.nextDueS(job, now, run);
    if (Double.isInfinite(due)) {
      return waiting;
    }
    double left = due - now - spares.startsInS(job.spec(), machineTypes.all());
    double turns = Math.max(1, Math.min(MAX_TURNS, Math.floor(left / run)));
    return (int) Math.ceil(waiting / turns);
  }
}
