package io.violetrail.scheduling;

import io.violetrail.evidence.GoneProof;
import io.violetrail.fleet.Machine;
import io.violetrail.model.Amounts;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineId;
import io.violetrail.model.Shape;
import io.violetrail.net.Soon;
import io.violetrail.node.Node;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.wire.HeartbeatMessages.ExitCause;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides which task goes to which machine of its entity, and reacts to tasks that end badly. */
public final class Dispatcher {
  private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);

  /** Decisions are gathered for a moment, since events come in bunches. */
  private static final double GATHER_S = 0.02;

  private static final double TICK_S = 0.5;

  /**
   * A pass is followed by this many times its own length without one, so that reports and renewals
   * get their turn however slow the processor is: with hundreds of machines and little processor,
   * passes after each event left nothing for anything else.
   */
  private static final double REST = 5;

  /** Gangs that one report may try to place; the next pass tries the rest. */
  private static final int GANGS_A_REPORT = 2;

  private final Node node;
  private final Preemption preemption;
  private final Placer placer;
  private final Map<OwnedEntity, Waiting> waiting = new HashMap<>();
  private final Aims aims;

  /** Machines with new placements whose workers may be waiting. */
  private final Set<MachineId> given = new LinkedHashSet<>();

  private final Soon next;
  private double notBeforeS;

  /** Creates the dispatcher of one controller; no scheduling pass runs before it is asked for. */
  public Dispatcher(Node node) {
    this.node = node;
    this.aims = new Aims(node.configuration);
    this.next = new Soon(node.loop, this::pass);
    this.preemption = new Preemption(node.taskStopper::halted);
    this.placer = new Placer(aims, node.estimates, node.random, node.options.sample());
  }

  public void start() {
    node.loop.every(TICK_S, this::tick);
  }

  /** Something has changed that may let a task be placed. */
  public void wake() {
    next.in(Math.max(GATHER_S, notBeforeS - node.loop.seconds()));
  }

  private void pass() {
    if (!node.membership.valid() || !node.configuration.fresh()) {
      return;
    }
    double began = node.loop.seconds();
    for (OwnedEntity h : node.membership.holdings()) {
      if (h.active()) {
        place(h);
      }
    }
    tellWaiting();
    double ended = node.loop.seconds();
    notBeforeS = ended + REST * (ended - began);
  }

  private void tick() {
    double now = node.loop.seconds();
    waiting.keySet().retainAll(node.membership.holdings());
    for (OwnedEntity h : node.membership.holdings()) {
      if (h.active()) {
        for (Machine m : List.copyOf(h.machines.values())) {
          watch(h, m, now);
        }
        for (Job job : List.copyOf(h.jobs.values())) {
          mendGang(h, job, now);
          node.jobs.progressed(h, job);
        }
        node.jobs.flush(h);
        if (!order(h).isEmpty()) {
          wake();
        }
        noteRecovery(h, now);
      }
    }
  }

  /** From here on tasks start that were open before the move and that no report has shown since. */
  private static void noteRecovery(OwnedEntity h, double now) {
    if (h.recovered || h.uncertain(now)) {
      return;
    }
    h.recovered = true;
    LOG.info(
        "entity {} version {}: {} s after the move all of {} machines have reported or hold"
            + " nothing; what no report shows may start",
        h.entity(),
        h.row.version(),
        tenths(now - h.gainedS),
        h.machines.size());
  }

  /**
   * Notices silence: first nothing more is placed, and after the worker's lease its tasks are gone.
   */
  private void watch(OwnedEntity h, Machine m, double now) {
    if (!m.row.up()) {
      return;
    }
    m.usedS += TICK_S * m.share();
    double report = node.settings.workers().reportS();
    if (!m.silent && now - m.heardS > 3 * report + 1) {
      m.silent = true;
      LOG.info(
          "machine {} of entity {} is silent: last report {} s ago in session {}, {} tasks",
          m.id(),
          h.entity(),
          tenths(now - m.heardS),
          m.session,
          m.tasks().size());
      for (Placement p : List.copyOf(m.tasks().values())) {
        if (p.revocable()) {
          h.unplace(p, now, GoneProof.NEVER_SENT);
        }
      }
    }
    if (!m.heard && node.directory.anyAnswersWithoutToken()) {
      // Its worker may have seen no token yet, and then that controller's answers keep its lease.
      // This ends with the upgrade, or with the machine's return to the cloud.
      double keptUntilS = now + TICK_S + node.timing.goneAfterAnswerS();
      m.unheardGoneS = Math.max(m.unheardGoneS, keptUntilS);
    }
    boolean gone =
        m.heard ? now - m.answeredS > node.timing.goneAfterAnswerS() : now > m.unheardGoneS;
    if (m.silent && gone && m.firstSession <= m.session) {
      LOG.info(
          "machine {}: its worker's lease is over, and so are {} tasks: last answer {} s ago, a"
              + " lease ends after {} s; heard under this version: {}",
          m.id(),
          m.tasks().size(),
          tenths(now - m.answeredS),
          tenths(node.timing.goneAfterAnswerS()),
          m.heard);
      m.firstSession = m.session + 1;
      m.strays(Map.of());
      for (Placement p : List.copyOf(m.tasks().values())) {
        h.unplace(p, now, GoneProof.LEASE_OVER);
      }
    }
  }

  private static double tenths(double seconds) {
    return Math.round(seconds * 10) / 10.0;
  }

  /** A gang that has lost a task cannot go on: the rest is stopped, so that it can start anew. */
  private void mendGang(OwnedEntity h, Job job, double now) {
    if (job.spec.shape() != Shape.GANG || job.nothingPlaced() || job.unplaced() == 0) {
      return;
    }
    // After a move its tasks are seen one by one, as their machines report: what has not been seen
    // yet is not lost. Without this every move of an entity stopped all of its gangs.
    if (job.recovered && h.uncertain(now)) {
      return;
    }
    for (Placement p : job.placements()) {
      if (p.revocable()) {
        h.unplace(p, now, GoneProof.NEVER_SENT);
      } else {
        p.halt(0);
        // The sooner the rest is gone, the sooner it starts anew.
        node.taskStopper.halted(p);
      }
    }
  }

  /** Saves and stops what runs on a machine that its cloud takes back or that goes out of use. */
  public void drain(Machine m) {
    if (m.noticeS == null && !m.draining) {
      return;
    }
    for (Placement p : List.copyOf(m.tasks().values())) {
      if (p.revocable() || p.haltGraceS >= 0) {
        continue;
      }
      JobSpec spec = p.job.spec;
      if (spec.shape() == Shape.GANG) {
        p.job.placements().forEach(q -> q.halt(spec.saveS()));
      } else if (spec.checkpointS() > 0 || m.draining) {
        p.halt(spec.saveS());
      }
    }
  }

  /** A task has ended without being done. */
  public void failed(OwnedEntity h, Machine m, Placement p, ExitCause why) {
    double now = node.loop.seconds();
    Job job = p.job;
    int index = p.index;
    switch (why) {
      case ERROR -> {
        double ran = p.runningS > 0 ? now - p.runningS : 0;
        LOG.info(
            "task {}/{} failed on {} after {} s", job.spec.id(), index, m.id(), Math.round(ran));
        job.errors++;
        Blame.failed(m, job, ran, now);
        job.notBefore.put(index, (Double) job.trial.againS());
      }
      case NO_ROOM, BUSY -> job.notBefore.put(index, (Double) (now + 1.5));
      case UNKNOWN -> job.notBefore.put(index, (Double) (now + 5));
      default -> job.notBefore.remove(index);
    }
  }

  /** Jobs with tasks that wait, the most urgent first. */
  public List<Job> order(OwnedEntity h) {
    return waiting
        .computeIfAbsent(h, x -> new Waiting(x, aims, node.estimates))
        .order(node.loop.seconds());
  }

  /** A job has come, or tasks of one wait again. */
  public void changed(OwnedEntity h) {
    Waiting w = waiting.get(h);
    if (w != null) {
      w.changed();
    }
    wake();
  }

  /** The next moment at which the job can still be in time; infinite if there is none. */
  public double nextDueS(Job job, double now) {
    return aims.nextDueS(job, now, node.estimates.runS(job.spec));
  }

  /** Whether a job is to run in spare room only. */
  public boolean spareWork(JobSpec job) {
    return aims.spareWork(job);
  }

  /** Stops spare work on a machine that others need, and keeps it away for a while. */
  public void clear(OwnedEntity h, Machine m) {
    double now = node.loop.seconds();
    if (now < m.clearedUntilS) {
      return;
    }
    double grace = 0;
    for (Placement p : List.copyOf(m.tasks().values())) {
      if (p.job.spareWork) {
        grace = Math.max(grace, preemption.stop(h, p, now));
      }
    }
    m.clearedUntilS = now + grace + Preemption.RESERVED_S;
  }

  /** Stops all that runs on a machine and starts nothing there for a while. */
  public void evict(OwnedEntity h, Machine m, double forS) {
    double now = node.loop.seconds();
    double grace = 0;
    for (Placement p : List.copyOf(m.tasks().values())) {
      grace = Math.max(grace, preemption.stop(h, p, now));
    }
    m.evictedUntilS = now + grace + forS;
  }

  /** How many times the cheapest ordinary price a waiting task is worth. */
  public double worth(Job job, double now) {
    return aims.worth(job, now, node.estimates.runS(job.spec));
  }

  /** Whether work with accelerators was here lately. */
  public boolean acceleratorsWanted(double now) {
    return placer.acceleratorsWanted(now);
  }

  /** Machines looked at so far, a measure of what placement costs. */
  public long looked() {
    return placer.looked();
  }

  /** Finds places for what waits in an entity. */
  private void place(OwnedEntity h) {
    List<Job> order = order(h);
    if (order.isEmpty()) {
      return;
    }
    double now = node.loop.seconds();
    placer.with(now, node.prices(), order);
    List<Machine> open = new ArrayList<>();
    for (Machine m : h.machines.values()) {
      if (m.open() && m.room().cpus() > 0) {
        open.add(m);
      }
    }
    boolean uncertain = h.uncertain(now);
    Map<String, Amounts> left = new HashMap<>();
    for (Job job : order) {
      placer.seen(job.spec, now);
      if (!startable(job, uncertain, now)) {
        continue;
      }
      Amounts quota = left.computeIfAbsent(job.spec.team(), t -> quota(h, t, now));
      Amounts used =
          Placer.singly(job)
              ? placeTasks(h, job, open, quota, now)
              : placeGang(h, job, open, quota, now);
      left.put(job.spec.team(), quota.minus(used));
    }
    node.transfers.ask(h);
  }

  /** Fills what has become free on a machine, for the answer to its report. */
  public void fill(OwnedEntity h, Machine m) {
    double now = node.loop.seconds();
    if (!m.open() || !node.configuration.fresh()) {
      return;
    }
    List<Job> order = order(h);
    placer.with(now, node.prices(), order);
    boolean uncertain = h.uncertain(now);
    int gangs = 0;
    List<Machine> open = List.of(m);
    Map<String, Amounts> left = new HashMap<>();
    for (Job job : order) {
      if (!startable(job, uncertain, now) || !placer.fits(job, m, Placer.perZone(job), now)) {
        continue;
      }
      Amounts quota = left.computeIfAbsent(job.spec.team(), t -> quota(h, t, now));
      Amounts used = Amounts.NONE;
      if (Placer.singly(job)) {
        if (placer.roomOnFuller(job, m, h.machines.values(), now)) {
          continue;
        }
        used = placeTasks(h, job, open, quota, now);
      } else if (gangs++ < GANGS_A_REPORT) {
        used =
            placeGang(
                h, job, h.machines.values().stream().filter(Machine::open).toList(), quota, now);
      }
      left.put(job.spec.team(), quota.minus(used));
    }
    tellWaiting();
  }

  private void placed(Machine m) {
    given.add(m.id());
  }

  /** Workers that wait for something to do get it now. */
  private void tellWaiting() {
    List<MachineId> all = List.copyOf(given);
    given.clear();
    all.forEach(node.heartbeats::answer);
  }

  private static boolean startable(Job job, boolean uncertain, double now) {
    return job.phase == Job.Phase.OPEN && job.mayStart(now) > 0 && !(job.recovered && uncertain);
  }

  /** What is left of the entity's slice of a team's limit. */
  public Amounts quota(OwnedEntity h, String team, double now) {
    return node.quotas.free(h, team, now);
  }

  private Amounts placeTasks(
      OwnedEntity h, Job job, Collection<Machine> open, Amounts quota, double now) {
    Amounts task = job.spec.task();
    Map<String, Integer> perZone = Placer.perZone(job);
    boolean zones = job.spec.oneZone() || job.spec.spread();
    int allowed = Math.min(quota.count(task), job.toBegin ? 1 : job.mayStart(now));
    int placed = 0;
    List<Machine> fitting = null;
    Machine m = null;
    for (int i = job.nextFree(0); i >= 0 && placed < allowed; i = job.nextFree(i + 1)) {
      Double notBefore = job.notBefore.get(i);
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
      job.toBegin = false;
      placed(m);
      placed++;
      if (zones) {
        perZone.merge(m.row.zone(), 1, Integer::sum);
      }
    }
    return task.times(placed);
  }

  /** Nothing that runs well is stopped for a job that fails wherever it goes. */
  private void makeRoom(OwnedEntity h, Job job, double now) {
    if (!job.trial.suspect() && !(Placer.singly(job) && displace(h, job, now))) {
      preemption.makeRoom(h, job, now);
    }
  }

  /**
   * Clears spare work from machines that then hold what waits of the job, all at once: it is there
   * on sufferance, and one task a second would be too slow.
   */
  private boolean displace(OwnedEntity h, Job job, double now) {
    if (job.spareWork || !h.placedBelow(job.spec.priority())) {
      return false;
    }
    Amounts task = job.spec.task();
    int lacking = job.mayStart(now);
    boolean cleared = false;
    for (Machine m : h.machines.values()) {
      int more = m.withoutSpare().count(task) - m.room().count(task);
      if (lacking > 0 && more > 0 && m.open() && placer.suits(job, m, now)) {
        lacking -= more;
        cleared = true;
        clear(h, m);
      }
    }
    return cleared;
  }

  /** All of a gang's tasks get their places at once, or none does. */
  private Amounts placeGang(
      OwnedEntity h, Job job, Collection<Machine> open, Amounts quota, double now) {
    Amounts all = job.spec.task().times(job.spec.tasks());
    if (!job.nothingPlaced() || !all.fitsIn(quota)) {
      return Amounts.NONE;
    }
    for (Double notBefore : job.notBefore.values()) {
      if (notBefore > now) {
        return Amounts.NONE;
      }
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
