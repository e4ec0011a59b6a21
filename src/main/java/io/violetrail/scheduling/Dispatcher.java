package io.violetrail.scheduling;

import io.violetrail.configuration.Configuration;
import io.violetrail.fleet.Machine;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.fleet.QuotaTransfer;
import io.violetrail.fleet.TransferRequests;
import io.violetrail.model.Amounts;
import io.violetrail.model.MachineId;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.worker.LongPolls;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Decides which task goes to which machine of its entity. */
public final class Dispatcher {
  /** Gangs that one report may try to place; the next pass tries the rest. */
  private static final int GANGS_A_REPORT = 2;

  private final Loop loop;
  private final Membership membership;
  private final Configuration configuration;
  private final MachineTypes machineTypes;
  private final PendingJobs pendingJobs;
  private final Placer placer;
  private final Preemption preemption;
  private final MachineDrainer drainer;
  private final QuotaTransfer quotas;
  private final TransferRequests transfers;
  private final LongPolls longPolls;

  /** Machines with new placements whose workers may be waiting. */
  private final Set<MachineId> given = new LinkedHashSet<>();

  /** Places what {@link PendingJobs} holds through the placer, within the teams' quotas. */
  public Dispatcher(
      Loop loop,
      Membership membership,
      Configuration configuration,
      MachineTypes machineTypes,
      PendingJobs pendingJobs,
      Placer placer,
      Preemption preemption,
      MachineDrainer drainer,
      QuotaTransfer quotas,
      TransferRequests transfers,
      LongPolls longPolls) {
    this.loop = loop;
    this.membership = membership;
    this.configuration = configuration;
    this.machineTypes = machineTypes;
    this.pendingJobs = pendingJobs;
    this.placer = placer;
    this.preemption = preemption;
    this.drainer = drainer;
    this.quotas = quotas;
    this.transfers = transfers;
    this.longPolls = longPolls;
  }

  /** Places what is pending in all owned entities, if this controller may start tasks now. */
  public void runPass() {
    if (!membership.valid() || !configuration.fresh()) {
      return;
    }
    for (OwnedEntity h : membership.holdings()) {
      if (h.active()) {
        place(h);
      }
    }
    answerWaitingWorkers();
  }

  /** Machines examined so far, a measure of what placement costs. */
  public long machinesExamined() {
    return placer.looked();
  }

  /** Finds places for what waits in an entity. */
  private void place(OwnedEntity h) {
    List<Job> order = pendingJobs.inOrder(h);
    if (order.isEmpty()) {
      return;
    }
    double now = loop.seconds();
    placer.with(now, machineTypes.prices(), order);
    List<Machine> open = new ArrayList<>();
    for (Machine m : h.machines().values()) {
      if (m.open() && m.room().cpus() > 0) {
        open.add(m);
      }
    }
    boolean uncertain = h.uncertain(now);
    Map<String, Amounts> left = new HashMap<>();
    for (Job job : order) {
      placer.seen(job.spec(), now);
      if (!startable(job, uncertain, now)) {
        continue;
      }
      Amounts quota = left.computeIfAbsent(job.spec().team(), t -> quotas.free(h, t, now));
      Amounts used =
          Placer.singly(job)
              ? placeTasks(h, job, open, quota, now)
              : placeGang(h, job, open, quota, now);
      left.put(job.spec().team(), quota.minus(used));
    }
    transfers.ask(h);
  }

  /** Fills what has become free on a machine, for the answer to its report. */
  public void fill(OwnedEntity h, Machine m) {
    double now = loop.seconds();
    if (!m.open() || !configuration.fresh()) {
      return;
    }
    List<Job> order = pendingJobs.inOrder(h);
    placer.with(now, machineTypes.prices(), order);
    boolean uncertain = h.uncertain(now);
    int gangs = 0;
    List<Machine> open = List.of(m);
    Map<String, Amounts> left = new HashMap<>();
    for (Job job : order) {
      if (!startable(job, uncertain, now) || !placer.fits(job, m, Placer.perZone(job), now)) {
        continue;
      }
      Amounts quota = left.computeIfAbsent(job.spec().team(), t -> quotas.free(h, t, now));
      Amounts used = Amounts.NONE;
      if (Placer.singly(job)) {
        if (placer.roomOnFuller(job, m, h.machines().values(), now)) {
          continue;
        }
        used = placeTasks(h, job, open, quota, now);
      } else if (gangs++ < GANGS_A_REPORT) {
        used =
            placeGang(
                h, job, h.machines().values().stream().filter(Machine::open).toList(), quota, now);
      }
      left.put(job.spec().team(), quota.minus(used));
    }
    answerWaitingWorkers();
  }

  private void placed(Machine m) {
    given.add(m.id());
  }

  /** Workers that wait for something to do get it now. */
  private void answerWaitingWorkers() {
    List<MachineId> all = List.copyOf(given);
    given.clear();
    all.forEach(longPolls::answer);
  }

  private static boolean startable(Job job, boolean uncertain, double now) {
    return job.phase() == Job.Phase.OPEN
        && job.mayStart(now) > 0
        && !(job.recovered() && uncertain);
  }

  private Amounts placeTasks(
      OwnedEntity h, Job job, Collection<Machine> open, Amounts quota, double now) {
    Amounts task = job.spec().task();
    Map<String, Integer> perZone = Placer.perZone(job);
    boolean zones = job.spec().oneZone() || job.spec().spread();
    int allowed = Math.min(quota.count(task), job.toBegin() ? 1 : job.mayStart(now));
    int placed = 0;
    List<Machine> fitting = null;
    Machine m = null;
    for (int i = job.nextFree(0); i >= 0 && placed < allowed; i = job.nextFree(i + 1)) {
      Double notBefore = job.notBefore(i);
      if (notBefore != null && notBefore > now) {
        continue;
      }
      if (fitting == null) {
        fitting = placer.fitting(job, open, perZone, now);
      }
      // A machine once chosen takes as many as it can: they share its image.
      while (m == null || !placer.fits(job, m, perZone, now)) {
        fitting.remove(m);
        m = placer.best(job, fitting);
        if (m == null) {
          makeRoom(h, job, now);
          return task.times(placed);
        }
      }
      h.place(new Placement(job, i, m, h.newAttempt(), now));
      job.setToBegin(false);
      placed(m);
      placed++;
      if (zones) {
        perZone.merge(m.row().zone(), 1, Integer::sum);
      }
    }
    return task.times(placed);
  }

  /** Nothing that runs well is stopped for a job that fails wherever it goes. */
  private void makeRoom(OwnedEntity h, Job job, double now) {
    if (!job.trial().suspect() && !(Placer.singly(job) && displace(h, job, now))) {
      preemption.makeRoom(h, job, now);
    }
  }

  /**
   * Clears spare work from machines that then hold what waits of the job, all at once: it is there
   * on sufferance, and one task a second would be too slow.
   */
  private boolean displace(OwnedEntity h, Job job, double now) {
    if (job.spareWork() || !h.placedBelow(job.spec().priority())) {
      return false;
    }
    Amounts task = job.spec().task();
    int lacking = job.mayStart(now);
    boolean cleared = false;
    for (Machine m : h.machines().values()) {
      int more = m.withoutSpare().count(task) - m.room().count(task);
      if (lacking > 0 && more > 0 && m.open() && placer.suits(job, m, now)) {
        lacking -= more;
        cleared = true;
        drainer.clearSpareWork(h, m);
      }
    }
    return cleared;
  }

  /** All of a gang's tasks get their places at once, or none does. */
  private Amounts placeGang(
      OwnedEntity h, Job job, Collection<Machine> open, Amounts quota, double now) {
    Amounts all = job.spec().task().times(job.spec().tasks());
    if (!job.nothingPlaced() || !all.fitsIn(quota)) {
      return Amounts.NONE;
    }
    if (job.anyRetryLater(now)) {
      return Amounts.NONE;
    }
    List<Machine> plan = placer.gang(job, open, now);
    if (plan == null) {
      makeRoom(h, job, now);
      return Amounts.NONE;
    }
    long attempt = h.newAttempt();
    for (int i = 0; i < plan.size(); i++) {
      h.place(new Placement(job, i, plan.get(i), attempt, now));
      placed(plan.get(i));
    }
    return all;
  }
}
