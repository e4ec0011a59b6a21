package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.Amounts;
import io.violetrail.model.JobSpec;
import io.violetrail.model.Shape;
import io.violetrail.node.Node;
import io.violetrail.ownership.Holding;
import io.violetrail.wire.BeatWire.Why;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
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
  private static final double MAX_BACKOFF_S = 60;

  /** A class of jobs not seen for this long is not kept room for. */
  private static final double RECENT_S = 600;

  private final Node node;
  private final Preemption preemption;
  private final Aims aims;

  /** Classes of jobs with accelerators that were here lately, with what their tasks take. */
  private final Map<String, Accelerated> accelerated = new HashMap<>();

  private boolean awake;

  private record Accelerated(Amounts task, double seenS) {}

  public Dispatcher(Node node) {
    this.node = node;
    this.preemption = new Preemption();
    this.aims = new Aims(node.settings.objectives());
  }

  public void start() {
    node.loop.every(TICK_S, this::tick);
  }

  /** Something has changed that may let a task be placed. */
  public void wake() {
    if (!awake) {
      awake = true;
      node.loop.after(
          GATHER_S,
          () -> {
            awake = false;
            if (node.membership.valid()) {
              node.membership.holdings().stream().filter(Holding::active).forEach(this::place);
            }
          });
    }
  }

  private void tick() {
    double now = node.loop.seconds();
    for (Holding h : node.membership.holdings()) {
      if (h.active()) {
        for (Machine m : List.copyOf(h.machines.values())) {
          watch(h, m, now);
        }
        for (Job job : List.copyOf(h.jobs.values())) {
          mendGang(h, job, now);
          node.jobs.progressed(h, job);
        }
      }
    }
    wake();
  }

  /**
   * Notices silence: first nothing more is placed, and after the worker's lease its tasks are gone.
   */
  private void watch(Holding h, Machine m, double now) {
    if (!m.row.up()) {
      return;
    }
    m.usedS += TICK_S * m.share();
    double report = node.settings.workers().reportS();
    if (!m.silent && now - m.heardS > 3 * report + 1) {
      m.silent = true;
      LOG.info("machine {} of entity {} is silent", m.id(), h.entity());
      for (Placement p : List.copyOf(m.tasks.values())) {
        if (p.revocable()) {
          h.unplace(p, now);
        }
      }
    }
    boolean gone =
        m.heard ? now - m.answeredS > node.timing.goneAfterAnswerS() : now > m.unheardGoneS;
    if (m.silent && gone && m.firstSession <= m.session) {
      LOG.info(
          "machine {}: its worker's lease is over, and so are {} tasks", m.id(), m.tasks.size());
      m.firstSession = m.session + 1;
      m.strays.clear();
      for (Placement p : List.copyOf(m.tasks.values())) {
        h.unplace(p, now);
      }
    }
  }

  /** A gang that has lost a task cannot go on: the rest is stopped, so that it can start anew. */
  private void mendGang(Holding h, Job job, double now) {
    if (job.spec.shape() != Shape.GANG || job.placed.isEmpty() || job.unplaced() == 0) {
      return;
    }
    for (Placement p : List.copyOf(job.placed.values())) {
      if (p.revocable()) {
        h.unplace(p, now);
      } else {
        p.halt(0);
      }
    }
  }

  /** Saves and stops what runs on a machine that its cloud takes back or that goes out of use. */
  public void drain(Machine m) {
    if (m.noticeS == null && !m.draining) {
      return;
    }
    for (Placement p : List.copyOf(m.tasks.values())) {
      if (p.revocable() || p.haltGraceS >= 0) {
        continue;
      }
      JobSpec spec = p.job.spec;
      if (spec.shape() == Shape.GANG) {
        p.job.placed.values().forEach(q -> q.halt(spec.saveS()));
      } else if (spec.checkpointS() > 0 || m.draining) {
        p.halt(spec.saveS());
      }
    }
  }

  /** A task has ended without being done. */
  public void failed(Holding h, Machine m, Job job, int index, Why why) {
    double now = node.loop.seconds();
    switch (why) {
      case ERROR -> {
        job.failures++;
        job.failedOn.add(m.id());
        m.failures++;
        m.failedJobs.add(job.spec.id());
        job.notBefore.put(
            index,
            (Double)
                (now + Math.min(MAX_BACKOFF_S, Math.pow(2, Math.min(10, job.failures / 2.0)))));
        LOG.info("task {}/{} failed on {}", job.spec.id(), index, m.id());
        // A job that fails wherever it goes says nothing about a machine.
        boolean machine = m.failedJobs.size() >= 2 || m.failures >= 3 && job.failedOn.size() <= 2;
        if (machine && !m.draining) {
          m.draining = true;
          LOG.info("machine {} fails what it starts: out of use", m.id());
        }
      }
      case NO_ROOM, BUSY -> job.notBefore.put(index, (Double) (now + 1.5));
      case UNKNOWN -> job.notBefore.put(index, (Double) (now + 5));
      default -> job.notBefore.remove(index);
    }
  }

  /** Finds places for what waits in an entity. */
  public void place(Holding h) {
    double now = node.loop.seconds();
    boolean uncertain = h.uncertain(now);
    Map<Machine, Amounts> rooms = new HashMap<>();
    for (Machine m : h.machines.values()) {
      if (m.open()) {
        rooms.put(m, m.room());
      }
    }
    Map<String, Amounts> left = new HashMap<>();
    for (Job job : order(h)) {
      if (job.spec.task().gpus() > 0) {
        accelerated.put(job.spec.jobClass(), new Accelerated(job.spec.task(), now));
      }
      if (job.unplaced() == 0 || job.recovered && uncertain) {
        continue;
      }
      Amounts quota = left.computeIfAbsent(job.spec.team(), t -> quota(h, t, now));
      Amounts used =
          job.spec.shape() == Shape.GANG
              ? placeGang(h, job, rooms, quota, now)
              : placeTasks(h, job, rooms, quota, now);
      left.put(job.spec.team(), quota.minus(used));
    }
    node.sharing.ask(h);
  }

  /** Open jobs, the most urgent first. */
  public List<Job> order(Holding h) {
    List<Job> jobs = new ArrayList<>();
    for (Job job : h.jobs.values()) {
      if (job.phase == Job.Phase.OPEN) {
        jobs.add(job);
      }
    }
    double now = node.loop.seconds();
    Map<Job, Double> dues = new HashMap<>();
    jobs.forEach(job -> dues.put(job, aims.nextDueS(job, now, node.estimates.runS(job.spec))));
    jobs.sort(
        Comparator.comparing((Job j) -> j.spec.priority())
            .thenComparing(dues::get)
            .thenComparing(j -> j.arrivedS));
    return jobs;
  }

  /** What is left of the entity's slice of a team's limit. */
  public Amounts quota(Holding h, String team, double now) {
    return node.sharing.slice(h.entity(), team).minus(h.used(team, now));
  }

  private Amounts placeTasks(
      Holding h, Job job, Map<Machine, Amounts> rooms, Amounts quota, double now) {
    Amounts used = Amounts.NONE;
    Amounts task = job.spec.task();
    for (int i = job.nextFree(0); i >= 0; i = job.nextFree(i + 1)) {
      if (!used.plus(task).fitsIn(quota)) {
        break;
      }
      Double notBefore = job.notBefore.get(i);
      if (notBefore != null && notBefore > now) {
        continue;
      }
      Machine m = choose(job, rooms, job.placed.values(), now);
      if (m == null) {
        preemption.makeRoom(h, job, now);
        break;
      }
      h.place(new Placement(job, i, m, h.newAttempt(), now));
      rooms.put(m, rooms.get(m).minus(task));
      used = used.plus(task);
    }
    return used;
  }

  /** All of a gang's tasks get their places at once, or none does. */
  private Amounts placeGang(
      Holding h, Job job, Map<Machine, Amounts> rooms, Amounts quota, double now) {
    Amounts all = job.spec.task().times(job.spec.tasks());
    if (!job.placed.isEmpty() || !all.fitsIn(quota)) {
      return Amounts.NONE;
    }
    Double notBefore = job.notBefore.values().stream().max(Comparator.naturalOrder()).orElse(0.0);
    if (notBefore > now) {
      return Amounts.NONE;
    }
    Set<String> zones = new HashSet<>();
    rooms.keySet().forEach(m -> zones.add(m.row.zone()));
    List<String> tries = new ArrayList<>(zones);
    Collections.shuffle(tries, node.random);
    if (!job.spec.oneZone()) {
      tries = Collections.singletonList(null);
    }
    for (String zone : tries) {
      long attempt = h.newAttempt();
      Map<Machine, Amounts> free = new HashMap<>(rooms);
      List<Placement> plan = new ArrayList<>();
      if (zone != null) {
        free.keySet().removeIf(m -> !m.row.zone().equals(zone));
      }
      while (plan.size() < job.spec.tasks()) {
        Machine m = choose(job, free, plan, now);
        if (m == null) {
          break;
        }
        plan.add(new Placement(job, plan.size(), m, attempt, now));
        free.put(m, free.get(m).minus(job.spec.task()));
      }
      if (plan.size() == job.spec.tasks()) {
        plan.forEach(h::place);
        rooms.putAll(free);
        return all;
      }
    }
    preemption.makeRoom(h, job, now);
    return Amounts.NONE;
  }

  /**
   * Best fit among a few sampled machines that have room and are allowed, given the job's other
   * tasks.
   */
  private Machine choose(
      Job job, Map<Machine, Amounts> rooms, Iterable<Placement> others, double now) {
    Map<String, Integer> perZone = new HashMap<>();
    if (job.spec.oneZone() || job.spec.spread()) {
      others.forEach(p -> perZone.merge(p.machine.row.zone(), 1, Integer::sum));
    }
    List<Machine> fitting = new ArrayList<>();
    for (var e : rooms.entrySet()) {
      Machine m = e.getKey();
      boolean free = m.reservedFor == null || m.reservedFor == job || now > m.reservedUntilS;
      if (free
          && job.spec.task().fitsIn(e.getValue())
          && allowed(job, m, perZone)
          && leavesAccelerators(job, m, e.getValue(), now)
          && affordable(job, m, now)) {
        fitting.add(e.getKey());
      }
    }
    if (fitting.size() > node.options.sample()) {
      Collections.shuffle(fitting, node.random);
      fitting = fitting.subList(0, node.options.sample());
    }
    Machine best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    for (Machine m : fitting) {
      double score = score(job, m, rooms.get(m));
      if (score < bestScore) {
        bestScore = score;
        best = m;
      }
    }
    return best;
  }

  /** Work without accelerators takes only what work with accelerators seen lately cannot use. */
  private boolean leavesAccelerators(Job job, Machine m, Amounts room, double now) {
    if (job.spec.task().gpus() > 0 || m.type.size().gpus() == 0) {
      return true;
    }
    Amounts rest = room.minus(job.spec.task());
    return accelerated.values().stream()
        .filter(a -> now - a.seenS() < RECENT_S)
        .allMatch(a -> rest.count(a.task()) >= room.count(a.task()));
  }

  /** A dear machine is not kept from being returned by work that could run on a cheap one. */
  private boolean affordable(Job job, Machine m, double now) {
    if (node.prices()
        .worth(
            job.spec, m.type, m.row.spot(), job.unplaced() + m.tasks.size(), now - job.arrivedS)) {
      return true;
    }
    // It is kept by other work anyway.
    return m.tasks.values().stream()
        .anyMatch(p -> p.job.spec.task().gpus() > job.spec.task().gpus());
  }

  static boolean allowed(Job job, Machine m, Map<String, Integer> perZone) {
    JobSpec s = job.spec;
    if (!s.allows(m.row.type(), m.row.zone(), m.row.spot())) {
      return false;
    }
    // A machine on which the job failed gets it again only once it has failed in several places.
    if (job.failedOn.contains(m.id()) && job.failedOn.size() < 3) {
      return false;
    }
    if (s.oneZone()
        && !perZone.isEmpty()
        && !(perZone.size() == 1 && perZone.containsKey(m.row.zone()))) {
      return false;
    }
    return !s.spread() || perZone.getOrDefault(m.row.zone(), 0) < s.perZone();
  }

  /** Lower is better: little left over, no idle accelerators, the image at hand. */
  private double score(Job job, Machine m, Amounts room) {
    Amounts size = m.type.size();
    Amounts rest = room.minus(job.spec.task());
    double score =
        rest.cpus() / size.cpus()
            + 0.6 * node.prices().ratio(job.spec, m.type, m.row.spot(), Integer.MAX_VALUE);
    if (size.gpus() > 0) {
      score += job.spec.task().gpus() > 0 ? rest.gpus() / size.gpus() : 1;
    }
    if (!m.images.contains(job.spec.image())) {
      score += Math.min(1, job.spec.imageGb() / m.type.fetchGbPerS() / 20);
    }
    return score;
  }
}
