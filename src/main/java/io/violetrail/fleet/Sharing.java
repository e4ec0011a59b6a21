package io.violetrail.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Version;
import io.violetrail.node.Node;
import io.violetrail.ownership.Holding;
import io.violetrail.ownership.Rows;
import io.violetrail.ownership.Rows.EntityRow;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.peer.Need;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Preemption;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Change;
import io.violetrail.wire.StateWire.Entry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes idle machines and unused slices of teams' limits between entities, on demand. */
public final class Sharing {
  private static final Logger LOG = LoggerFactory.getLogger(Sharing.class);
  private static final double ASK_S = 0.7;

  /** Needs asked for of each kind: the most urgent kind alone would leave the others unasked. */
  private static final int MAX_OF_A_KIND = 3;

  /** Nothing is rented for a job before peers have been asked twice for what they have idle. */
  static final double FIRST_S = 2 * ASK_S + 0.1;

  /** Less of a limit than this is not worth a write. */
  private static final double LEAST = 1e-3;

  /** So long a machine is kept free for the need for which it is emptied. */
  private static final double EVICTED_S = 30;

  /** What is used more than this is not emptied for others: too much work would be lost. */
  private static final double HALF = 0.5;

  /** A machine is not emptied for others sooner after it has come. */
  private static final double SETTLED_S = 60;

  private final Node node;

  /** Parts of own slices that are on their way to another entity: no longer used, not yet gone. */
  private final Map<String, Amounts> leaving = new HashMap<>();

  private double askedS = Double.NEGATIVE_INFINITY;

  public Sharing(Node node) {
    this.node = node;
  }

  /** An entity's slice of a team's limit, less what is on its way out. */
  public Amounts slice(ControllerId entity, String team) {
    return stored(entity, team).minus(leaving.getOrDefault(entity + "/" + team, Amounts.NONE));
  }

  private Amounts stored(ControllerId entity, String team) {
    Team t = node.settings.teams().get(team);
    if (t == null) {
      return Amounts.NONE;
    }
    Entry row = node.directory.slice(team);
    if (row != null && row.value().has(entity.value())) {
      var v = row.value().get(entity.value());
      return new Amounts(
          amount(v.path(0).asDouble(), t.cpusMax()),
          amount(v.path(1).asDouble(), t.gpusMax()),
          Double.POSITIVE_INFINITY);
    }
    int parts = node.settings.peers().size() + 1;
    return new Amounts(t.cpusMax() / parts, t.gpusMax() / parts, Double.POSITIVE_INFINITY);
  }

  private static double amount(double stored, double max) {
    return Double.isInfinite(max) ? max : stored;
  }

  /** Asks the peers for what waiting jobs lack. */
  public void ask(Holding h) {
    double now = node.loop.seconds();
    if (now - askedS < ASK_S) {
      return;
    }
    List<Need> needs = new ArrayList<>();
    Map<String, Integer> kinds = new HashMap<>();
    boolean uncertain = h.uncertain(now);
    for (Job job : node.dispatcher.order(h)) {
      int waiting = job.unplaced();
      // Nothing is gathered for what fails wherever it goes.
      if (waiting == 0 || job.trial.suspect() || job.recovered && uncertain) {
        continue;
      }
      // Who asked in vain for long lets others of its kind ask beside it for a while.
      boolean gathers = job.gathers(now);
      String kind =
          String.join(
              " ",
              String.valueOf(job.spec.task().gpus() > 0),
              String.valueOf(job.spec.shape()),
              String.valueOf(job.spareWork),
              String.valueOf(gathers));
      if (kinds.merge(kind, 1, Integer::sum) > MAX_OF_A_KIND) {
        continue;
      }
      Amounts quota = node.dispatcher.quota(h, job.spec.team(), now);
      int allowed = quota.count(job.spec.task());
      if (allowed < waiting && gathers) {
        Amounts lacking = job.spec.task().times(waiting).minus(quota).notNegative();
        needs.add(Need.slice(job.spec, lacking, job.arrivedMs));
      }
      // What runs in spare room alone needs its part of a limit all the same, and in the end a
      // machine of its own.
      if (allowed > 0 && (!job.spareWork || job.starving(now))) {
        needs.add(machines(h, job, Math.min(waiting, allowed)));
      }
    }
    if (!needs.isEmpty()) {
      askedS = now;
      node.peers.askFor(h.entity(), needs);
      asked(h.entity(), needs);
    }
  }

  /**
   * Machines for a job. A gang of one zone asks in the zone where it has the most room, for what is
   * missing there: machines of several zones would lie idle in parts.
   */
  private Need machines(Holding h, Job job, int tasks) {
    if (!job.spec.oneZone() || job.spec.zone() != null) {
      return need(job, tasks);
    }
    Map<String, Integer> rooms = new HashMap<>();
    for (MachineType t : node.types().values()) {
      if (t.size().count(job.spec.task()) > 0) {
        t.zones().forEach(z -> rooms.put(z, 0));
      }
    }
    for (Machine m : h.machines.values()) {
      if (m.open()
          && suits(m, job.spec.task().gpus())
          && job.spec.allows(m.row.type(), m.row.zone(), m.row.spot())) {
        rooms.merge(m.row.zone(), m.room().count(job.spec.task()), Integer::sum);
      }
    }
    List<String> zones = new ArrayList<>(rooms.keySet());
    Collections.shuffle(zones, node.random);
    String best = "";
    for (String zone : zones) {
      if (best.isEmpty() || rooms.get(zone) > rooms.get(best)) {
        best = zone;
      }
    }
    int missing = Math.max(1, tasks - rooms.getOrDefault(best, 0));
    return need(job, missing).in(best);
  }

  private Need need(Job job, int tasks) {
    boolean starving = job.starving(node.loop.seconds());
    boolean mayEvict = !job.spareWork && job.nothingPlaced();
    return Need.machines(job.spec, tasks, job.arrivedMs, worth(job), starving, mayEvict);
  }

  private double worth(Job job) {
    return node.dispatcher.worth(job, node.loop.seconds());
  }

  /** Another entity, a peer's or one held here too, lacks something: what is idle goes there. */
  public void asked(ControllerId to, List<Need> needs) {
    EntityRow target = node.directory.entity(to);
    if (target == null || !node.membership.valid()) {
      return;
    }
    for (Holding h : node.membership.holdings()) {
      if (h.active() && !h.entity().equals(to)) {
        // Summed up over all machines, so once for all needs.
        Map<String, Amounts> quotas = new HashMap<>();
        for (Need need : needs) {
          if (need.slice()) {
            giveSlice(h, to, need);
          } else {
            giveMachines(h, target, need, quotas);
          }
        }
      }
    }
  }

  private void giveMachines(Holding h, EntityRow target, Need need, Map<String, Amounts> quotas) {
    double now = node.loop.seconds();
    List<Job> first = wantingBefore(h, need, quotas, now);
    if (!need.starving() && wantedHere(h, need)) {
      return;
    }
    int left = need.tasks();
    for (Machine m : List.copyOf(h.machines.values())) {
      if (left <= 0) {
        return;
      }
      int fit = m.type.size().count(need.task());
      // What was emptied for such a need passes, though what was stopped for it waits here now.
      boolean free = need.starving() && now <= m.evictedUntilS || !wantedHere(first, m);
      if (fit > 0 && m.empty() && passable(m, need) && free) {
        left -= fit;
        pass(h, m, target);
      }
    }
    if (!first.isEmpty()) {
      return;
    }
    for (Machine m : h.machines.values()) {
      int fit = m.type.size().count(need.task());
      if (left > 0 && fit > 0 && !m.empty() && m.spare() && passable(m, need)) {
        // It passes at the next asking, once what runs there in spare room has saved.
        left -= fit;
        node.dispatcher.clear(h, m);
      }
    }
    // For the rest of what runs in part already nobody else's work is stopped: wide arrays wait for
    // long, and what was lost elsewhere was more than they gained.
    if (left > 0 && need.starving() && need.mayEvict()) {
      evict(h, need, left, now);
    }
  }

  /**
   * Empties machines with room for a job that has waited too long, where least work is lost: tasks
   * of two entities cannot share a machine. They pass at a later asking. What waits here itself, or
   * came just now, is not touched, so that no machine goes to and fro.
   */
  private void evict(Holding h, Need need, int tasks, double now) {
    List<Machine> used = new ArrayList<>();
    int left = tasks;
    for (Machine m : h.machines.values()) {
      boolean useful = passable(m, need) && m.type.size().count(need.task()) > 0;
      if (useful && now <= m.evictedUntilS) {
        left -= m.type.size().count(need.task());
      } else if (useful
          && !m.empty()
          && m.share() <= HALF
          && m.room().count(need.task()) > 0
          && now - m.joinedS > SETTLED_S) {
        used.add(m);
      }
    }
    if (left <= 0 || used.isEmpty() || waitsHere(h)) {
      return;
    }
    used.sort(Comparator.comparingDouble(m -> Preemption.loss(m, now)));
    for (Machine m : used) {
      if (left > 0) {
        left -= m.type.size().count(need.task());
        LOG.info("machine {} is emptied for {} of another entity", m.id(), need.job());
        node.dispatcher.evict(h, m, EVICTED_S);
      }
    }
  }

  private static boolean waitsHere(Holding h) {
    for (Job job : h.jobs.values()) {
      if (job.phase == Job.Phase.OPEN && job.unplaced() > 0 && !job.spareWork) {
        return true;
      }
    }
    return false;
  }

  private boolean passable(Machine m, Need need) {
    // Too dear for the need, a machine only passed to and fro, idle and paid for.
    double ratio =
        node.prices().ratio(need.task(), need.typeList(), m.type, m.row.spot(), need.tasks());
    return m.open()
        && ratio <= need.worth()
        && suits(m, need.gpus())
        && need.allows(m.row.type(), m.row.zone(), m.row.spot());
  }

  /** Accelerators do not go to work that needs none. */
  private static boolean suits(Machine m, double gpus) {
    return m.type.size().gpus() == 0 || gpus > 0;
  }

  /**
   * Whether an own job that is more urgent, or has waited longer, waits for the same kind of room.
   */
  private static boolean wantedHere(Holding h, Need need) {
    for (Job job : h.jobs.values()) {
      boolean waits = job.phase == Job.Phase.OPEN && job.unplaced() > 0;
      if (waits
          && !job.spareWork
          && !job.trial.suspect()
          && before(job, need)
          && (job.spec.task().gpus() > 0) == (need.gpus() > 0)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Own jobs that are more urgent, or have waited longer, wait for the same kind of room, and have
   * the part of their team's limit for it.
   */
  private List<Job> wantingBefore(Holding h, Need need, Map<String, Amounts> quotas, double now) {
    List<Job> first = new ArrayList<>();
    for (Job job : h.jobs.values()) {
      boolean waits = job.phase == Job.Phase.OPEN && job.unplaced() > 0;
      if (waits
          && !job.spareWork
          && !job.trial.suspect()
          && job.gathers(now)
          && before(job, need)
          && (job.spec.task().gpus() > 0) == (need.gpus() > 0)
          && quotas
                  .computeIfAbsent(job.spec.team(), t -> node.dispatcher.quota(h, t, now))
                  .count(job.spec.task())
              > 0) {
        first.add(job);
      }
    }
    return first;
  }

  /** Whether one of the jobs may and could start on the machine. */
  private static boolean wantedHere(List<Job> jobs, Machine m) {
    for (Job job : jobs) {
      if (job.spec.allows(m.row.type(), m.row.zone(), m.row.spot())
          && m.type.size().count(job.spec.task()) > 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether an own job goes before another entity's need: it is more urgent, or as urgent and has
   * waited longer. One order for both sides, with the id for those that came in the same
   * millisecond: with two that differed, a slice went to and fro between two entities every second,
   * and neither job started; where both sides saw themselves first, neither gave its part.
   */
  private static boolean before(Job job, Need need) {
    int priority = job.spec.priority().ordinal();
    if (priority != need.priority() || job.arrivedMs != need.arrivedMs()) {
      return priority < need.priority()
          || priority == need.priority() && job.arrivedMs < need.arrivedMs();
    }
    return job.spec.id().value().compareTo(need.job()) < 0;
  }

  /** One conditional write gives the machine to the other entity and raises its term. */
  private void pass(Holding h, Machine m, EntityRow target) {
    m.promised = true;
    Version above = h.token(m).compareTo(target.version()) > 0 ? h.token(m) : target.version();
    MachineRow next = m.row.passedTo(target.entity(), above.nextFor(target.version().owner()));
    h.register
        .pass(m.row, next, target)
        .whenComplete(
            (row, failure) -> {
              if (failure == null) {
                LOG.info(
                    "machine {} passes from entity {} to {} with term {}",
                    m.id(),
                    h.entity(),
                    next.entity(),
                    next.term());
                h.machines.remove(m.id(), m);
                node.changed();
                node.beats.answer(m.id());
              } else {
                node.checkMachine(h, m);
              }
            });
  }

  private void giveSlice(Holding h, ControllerId to, Need need) {
    String key = h.entity() + "/" + need.team();
    Team team = node.settings.teams().get(need.team());
    if (team == null || leaving.containsKey(key)) {
      return;
    }
    double now = node.loop.seconds();
    // Any part of it, not whole tasks alone: a task that needs more than one entity's slice, or a
    // gang that needs all of the limit, is put together from what each of the others can spare.
    Amounts spare =
        node.dispatcher.quota(h, need.team(), now).minus(waiting(h, need)).notNegative();
    Amounts moved =
        new Amounts(
            finite(Math.min(need.cpus(), spare.cpus()), team.cpusMax()),
            finite(Math.min(need.gpus(), spare.gpus()), team.gpusMax()),
            0);
    if (moved.cpus() < LEAST && moved.gpus() < LEAST) {
      return;
    }
    leaving.put(key, moved);
    String row = Rows.SLICE + need.team();
    Entry before = node.directory.slice(need.team());
    ObjectNode value = Cbor.map();
    for (ControllerId e : node.settings.controllers()) {
      Amounts s = stored(e, need.team());
      s = e.equals(h.entity()) ? s.minus(moved) : e.equals(to) ? s.plus(moved) : s;
      value
          .putArray(e.value())
          .add(finite(s.cpus(), team.cpusMax()))
          .add(finite(s.gpus(), team.gpusMax()));
    }
    node.store
        .settle(h.fenced().when(row, before == null ? 0 : before.stamp()).set(row, value))
        .whenComplete(
            (outcome, failure) -> {
              if (failure == null && outcome.applied()) {
                node.directory.apply(new Change(row, value, outcome.revision()));
                leaving.remove(key);
                LOG.info(
                    "entity {} gives {} {} cpus and {} gpus of team {}",
                    h.entity(),
                    to,
                    moved.cpus(),
                    moved.gpus(),
                    need.team());
              } else {
                // An earlier try may have applied: the part counts as gone until a fresh reading.
                node.membership.relistThen(() -> leaving.remove(key));
              }
            });
  }

  private static double finite(double amount, double max) {
    return Double.isInfinite(max) ? 0 : amount;
  }

  /** What jobs here that are at least as urgent still wait for. */
  private Amounts waiting(Holding h, Need need) {
    Amounts sum = Amounts.NONE;
    for (Job job : h.jobs.values()) {
      if (job.phase == Job.Phase.OPEN
          && before(job, need)
          && job.spec.team().equals(need.team())
          && job.gathers(node.loop.seconds())) {
        sum = sum.plus(job.spec.task().times(job.mayStart(node.loop.seconds())));
      }
    }
    return new Amounts(sum.cpus(), sum.gpus(), 0);
  }
}
