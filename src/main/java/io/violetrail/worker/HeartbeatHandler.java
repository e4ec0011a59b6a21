package io.violetrail.worker;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.api.Jobs;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.fleet.Machine;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.model.Shape;
import io.violetrail.model.TaskId;
import io.violetrail.model.Version;
import io.violetrail.net.Service.Answer;
import io.violetrail.node.Node;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.ownership.Timing;
import io.violetrail.scheduling.Blame;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.Malformed;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.Command;
import io.violetrail.wire.HeartbeatMessages.Command.Verb;
import io.violetrail.wire.HeartbeatMessages.ExitCause;
import io.violetrail.wire.HeartbeatMessages.State;
import io.violetrail.wire.HeartbeatMessages.TaskReport;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes the workers' reports and answers with commands.
 *
 * <p>Launches travel in answers only. A worker has one report in flight and drops late answers, so
 * its next report always shows whether a launch was taken: nothing is launched late.
 */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  /** Keeps an answer below the protocol's 64 KiB. */
  private static final int MAX_ORDERS = 400;

  /** From a lapse until it is known everywhere. */
  private static final double LAPSE_SHOWS_S = 0.5;

  private static final int MAX_SENT_AWAY = 2_000;

  /** A rental's answer and its record take this long when the services are slow. */
  private static final double RECORDED_S = 2.5;

  /** Before that, workers without a record are those that were there before the controllers. */
  private static final double SETTLED_S = 10;

  private final Node node;
  private final Jobs jobs;

  /** When each worker was last told to report to its owner. */
  private final Map<MachineId, Double> sentAwayS = new HashMap<>();

  /** When each worker without a record was first heard. */
  private final Cache<MachineId, Double> firstSeenS =
      CacheBuilder.newBuilder().maximumSize(MAX_SENT_AWAY).build();

  private final double startedS;
  private final LongPolls parked;
  private final ReportSequence newest = new ReportSequence();

  public HeartbeatHandler(Node node, Jobs jobs) {
    this.node = node;
    this.jobs = jobs;
    this.startedS = node.loop.seconds();
    this.parked = new LongPolls(node.loop, node.settings.workers().reportS());
  }

  public void handle(byte[] body, Consumer<Answer> done) {
    WorkerReport beat;
    try {
      beat = HeartbeatMessages.beat(Cbor.parse(body));
    } catch (Malformed e) {
      done.accept(Answer.error(400, e.getMessage()));
      return;
    }
    if (!newest.take(beat)) {
      done.accept(stay(beat));
      return;
    }
    node.reachability.heard(beat);
    LongPolls.Report before = parked.take(beat.machine());
    if (before != null) {
      // Its worker has given that one up.
      before.done().accept(Answer.later("a newer report is here"));
    }
    if (node.gone.contains(beat.machine())) {
      // Taken back for certain, though its record still stands: a report that was held back brought
      // the machine into use again, with tasks that had been started elsewhere since.
      done.accept(Answer.of(421, HeartbeatMessages.elsewhere(null)));
      return;
    }
    MachineRow row = node.directory.machine(beat.machine());
    if (row == null) {
      adopt(beat, done);
      return;
    }
    OwnedEntity holding = node.membership.holding(row.entity());
    if (holding == null || holding.phase == OwnedEntity.Phase.RELEASING) {
      done.accept(elsewhere(row, holding, beat));
      return;
    }
    if (!node.membership.mayKeepAlive()) {
      done.accept(Answer.later("not entitled"));
      return;
    }
    Machine machine = holding.active() ? node.machine(holding, row) : null;
    if (machine == null) {
      Version token =
          holding.row.version().compareTo(row.term()) >= 0 ? holding.row.version() : row.term();
      done.accept(renew(holding, token, beat, List.of()));
      return;
    }
    List<Command> orders = new ArrayList<>();
    Answer now = report(holding, machine, beat, orders);
    if (mayWait(holding, machine, beat, orders)) {
      parked.park(machine, beat, orders, done, () -> answer(machine.id()));
    } else {
      done.accept(now);
    }
  }

  /**
   * Renews a worker's lease, which is done here and nowhere else: with the same answer it is told
   * to halt what its report shows of jobs that are over. It takes both or neither, so no lease is
   * kept for a task whose end this owner knows, whether its own lease stands or is in doubt.
   *
   * <p>An owner that has not read its entity's rows yet knows no ends. Then only workers without
   * tasks are sure of their lease; the others are for {@link Timing#unknowingS} at most, and stay
   * here while theirs run on.
   */
  private Answer renew(OwnedEntity h, Version token, WorkerReport beat, List<Command> orders) {
    if (!h.active()) {
      return beat.holdsTasks() && !node.membership.mayRenewUnknowing(h)
          ? stay(beat)
          : Answer.of(200, HeartbeatMessages.reply(token, List.of()));
    }
    Set<Command> all = new LinkedHashSet<>();
    for (TaskReport p : beat.pieces()) {
      if (p.state() != State.EXITED && jobs.over(h, p.task().job())) {
        all.add(new Command(Verb.HALT, p.task(), p.attempt(), 0));
      }
    }
    all.addAll(orders);
    return Answer.of(
        200,
        HeartbeatMessages.reply(
            token, List.copyOf(all).subList(0, Math.min(MAX_ORDERS, all.size()))));
  }

  /**
   * Lets a worker stay here while its lease runs on. The answer carries a token lower than the
   * worker's. There is none for a worker that has seen no token: with tasks, which only programs
   * that gave out version 0 can have started there, it is refused and tries the next controller.
   */
  private static Answer stay(WorkerReport beat) {
    return beat.token().equals(Version.NONE) && beat.holdsTasks()
        ? Answer.later("no owner is known")
        : Answer.of(200, HeartbeatMessages.stay());
  }

  /**
   * Whether the worker has nothing to run and nothing to learn but what it may forget, or room was
   * made there for a job that waits for other machines: then the answer waits for what is to start.
   */
  private boolean mayWait(OwnedEntity holding, Machine m, WorkerReport beat, List<Command> orders) {
    return holding.active()
        && node.membership.valid()
        && m.open()
        && (m.empty() || roomWasMade(m))
        && m.session == beat.session()
        && m.seq == beat.seq()
        && beat.token().equals(holding.token(m))
        && orders.size() < MAX_ORDERS
        && orders.stream().allMatch(o -> o.verb() == Verb.FORGET);
  }

  private boolean roomWasMade(Machine m) {
    return m.reservedFor != null
        && node.loop.seconds() <= m.reservedUntilS
        && m.reservedFor.unplaced() > 0
        && m.room().count(m.reservedFor.spec.task()) > 0;
  }

  /** Answers a report that was kept open, if there is one, with what there is to do by now. */
  public void answer(MachineId id) {
    LongPolls.Report r = parked.take(id);
    if (r == null) {
      return;
    }
    MachineRow row = node.directory.machine(id);
    OwnedEntity holding = row == null ? null : node.membership.holding(row.entity());
    Machine m = r.machine();
    if (row != null && (holding == null || holding.phase == OwnedEntity.Phase.RELEASING)) {
      r.done().accept(elsewhere(row, holding, r.beat()));
    } else if (holding == null
        || holding.machines.get(id) != m
        || !node.membership.mayKeepAlive()) {
      r.done().accept(Answer.later("the machine has passed on"));
    } else {
      // The worker counts its lease from the report's sending; this is later, so on the safe side.
      double now = node.loop.seconds();
      m.answeredS = now;
      List<Command> orders = new ArrayList<>(r.first());
      boolean newest = m.session == r.beat().session() && m.seq == r.beat().seq();
      if (newest && node.membership.valid() && holding.active()) {
        command(m, now, orders);
      }
      r.done().accept(renew(holding, holding.token(m), r.beat(), orders));
    }
  }

  /** Sends a worker to its machine's owner, or lets it stay until there is one. */
  private Answer elsewhere(MachineRow row, OwnedEntity holding, WorkerReport beat) {
    ControllerId owner = node.directory.ownerOf(row.entity());
    boolean elsewhere =
        owner != null && !owner.equals(node.settings.self()) && node.directory.isAlive(owner);
    // While the entity has no owner, its workers stay here, where the next one is soon known.
    // Sent away, each came back only after all dead controllers, and a second failure soon after
    // the first then ended the leases of a whole fleet.
    boolean orphan =
        holding == null && node.membership.valid() && (!elsewhere || backSoon(row.id()));
    return orphan
        ? stay(beat)
        : Answer.of(421, HeartbeatMessages.elsewhere(elsewhere ? owner.value() : null));
  }

  /**
   * Whether the worker was sent to its owner just now and is here again: the owner may be dead,
   * which shows only when its lease lapses.
   */
  private boolean backSoon(MachineId machine) {
    double now = node.loop.seconds();
    Double before = sentAwayS.get(machine);
    if (before != null && now - before < node.timing.ttlS() + LAPSE_SHOWS_S) {
      return true;
    }
    if (sentAwayS.size() >= MAX_SENT_AWAY) {
      sentAwayS.clear();
    }
    sentAwayS.put(machine, now);
    return false;
  }

  /** A machine that no entity knows: taken into this controller's entity by a conditional write. */
  private void adopt(WorkerReport beat, Consumer<Answer> done) {
    OwnedEntity own = node.membership.own();
    if (own == null
        || !own.active()
        || !node.membership.valid()
        || node.directory.wasReturned(beat.machine())
        || node.type(beat.type()) == null) {
      done.accept(Answer.of(421, HeartbeatMessages.elsewhere(null)));
      return;
    }
    if (justBooted(beat)) {
      done.accept(stay(beat));
      return;
    }
    // Strictly above what its worker has seen: a report held back for minutes then shows its age.
    Version seen = beat.token().compareTo(own.row.version()) > 0 ? beat.token() : own.row.version();
    Version term = seen.nextFor(own.row.version().owner());
    MachineRow row =
        new MachineRow(
            beat.machine(),
            own.entity(),
            beat.type(),
            beat.zone(),
            beat.spot(),
            true,
            term,
            node.loop.wallMillis());
    own.register
        .add(row)
        .whenComplete(
            (stored, failure) -> {
              if (failure != null) {
                done.accept(Answer.of(421, HeartbeatMessages.elsewhere(null)));
                return;
              }
              LOG.info("machine {} adopted by entity {} version {}", row.id(), own.entity(), term);
              handleAgain(own, stored, beat, done);
            });
  }

  /**
   * Whether the worker may be of a rental request whose answer or record is still under way: some
   * are up within a second or two. Adopted at once by whoever heard it first, it was missing where
   * it had been rented, and another was rented in its place.
   */
  private boolean justBooted(WorkerReport beat) {
    double now = node.loop.seconds();
    if (beat.session() > 1 || !beat.pieces().isEmpty() || now - startedS < SETTLED_S) {
      return false;
    }
    Double first = firstSeenS.getIfPresent(beat.machine());
    if (first == null) {
      firstSeenS.put(beat.machine(), (Double) now);
      return true;
    }
    return now - first < RECORDED_S;
  }

  private void handleAgain(
      OwnedEntity holding, MachineRow row, WorkerReport beat, Consumer<Answer> done) {
    Machine machine =
        holding.active() && node.membership.valid() ? node.machine(holding, row) : null;
    done.accept(
        machine == null
            ? Answer.of(421, HeartbeatMessages.elsewhere(null))
            : report(holding, machine, beat, new ArrayList<>()));
  }

  private Answer report(OwnedEntity holding, Machine m, WorkerReport beat, List<Command> orders) {
    Version token = holding.token(m);
    if (beat.token().compareTo(token) > 0) {
      node.raiseTerm(holding, m, beat.token());
      return Answer.of(421, HeartbeatMessages.elsewhere(null));
    }
    if (!beat.newerThan(m.session, m.seq)) {
      return stay(beat);
    }
    double now = node.loop.seconds();
    m.heardS = now;
    m.answeredS = now;
    m.endpoint = HostPort.parse(beat.endpoint());
    if (!m.row.up()) {
      node.markUp(holding, m);
    }
    // A report may have been held back in the network for minutes. It is as old as it may be,
    // unless
    // its worker has seen our term, or its session has begun after a lease that is surely over.
    if (beat.token().compareTo(m.since) < 0 || beat.session() < m.firstSession) {
      if (!m.heard && m.uncertain(now)) {
        m.unheardGoneS = Math.max(m.unheardGoneS, now + node.timing.goneAfterAnswerS());
      }
      List<Command> first = new ArrayList<>();
      if (m.heard && m.session == 0 && node.membership.valid() && holding.active()) {
        // Passed over empty: it can be given its first tasks before it has seen its new term.
        m.session = beat.session();
        m.seq = beat.seq();
        command(m, now, first);
      }
      return renew(holding, token, beat, first);
    }
    int before = m.tasks().size();
    boolean wasOpen = m.open();
    take(holding, m, beat, now, orders);
    m.session = beat.session();
    m.seq = beat.seq();
    m.noticeS = beat.noticeS();
    m.heard = true;
    m.silent = false;
    if (!node.membership.valid() || !holding.active()) {
      return renew(holding, token, beat, List.of());
    }
    node.dispatcher.drain(m);
    if (m.tasks().size() < before) {
      // What has ended makes room that this very answer can fill; the next one is a report away.
      // Only this machine is looked at: a pass over all of them for each ended task left a small
      // processor nothing for the reports of hundreds of machines.
      node.dispatcher.fill(holding, m);
      node.dispatcher.wake();
    } else if (!wasOpen && m.open()) {
      node.dispatcher.wake();
    }
    command(m, now, orders);
    return renew(holding, token, beat, orders);
  }

  /** Brings the picture of a machine in line with its newest report. */
  private void take(
      OwnedEntity holding, Machine m, WorkerReport beat, double now, List<Command> orders) {
    Set<TaskId> present = new HashSet<>();
    Map<TaskId, Amounts> strays = new HashMap<>();
    for (TaskReport piece : beat.pieces()) {
      Job job = holding.jobs.get(piece.task().job());
      if (job == null || piece.task().index() >= job.spec.tasks()) {
        stray(holding, m, piece, strays, orders);
      } else if (piece.state() == State.EXITED) {
        exited(holding, m, job, piece, now, orders);
      } else {
        present.add(piece.task());
        if (!active(holding, m, job, piece, now)) {
          strays.put(piece.task(), job.spec.task());
          orders.add(new Command(Verb.HALT, piece.task(), piece.attempt(), 0));
        }
      }
    }
    m.strays(strays);
    for (Placement p : List.copyOf(m.tasks().values())) {
      // Sent in the answer to an earlier report and not in this newer one: it was never taken, or
      // is over.
      if (!p.revocable() && !present.contains(p.task()) && m.task(p.task()) == p) {
        LOG.debug("task {} try {} is no longer on {}", p.task(), p.attempt, m.id());
        holding.unplace(p, now);
      }
    }
  }

  /** False if the task is known to be on another machine. */
  private boolean active(OwnedEntity holding, Machine m, Job job, TaskReport piece, double now) {
    int index = piece.task().index();
    Placement p = m.task(piece.task());
    if (p != null && p.attempt != piece.attempt() && p.revocable()) {
      holding.unplace(p, now);
      p = null;
    }
    if (p == null || p.attempt != piece.attempt()) {
      Placement elsewhere = job.placed(index);
      if (elsewhere != null && elsewhere.machine != m) {
        if (elsewhere.revocable()) {
          holding.unplace(elsewhere, now);
        } else {
          LOG.error("task {} is on {} and on {}", piece.task(), m.id(), elsewhere.machine.id());
          return false;
        }
      }
      p = new Placement(job, index, m, piece.attempt(), now);
      p.sent = new Placement.Sent(0, 0);
      holding.place(p);
    }
    if (p.state != piece.state() && piece.state() == State.RUNNING) {
      m.images.add(job.spec.image());
      p.runningS = now;
    }
    p.state = piece.state();
    if (p.state == State.RUNNING && p.runningS > 0) {
      Blame.runs(job, now - p.runningS);
    }
    if (job.phase != Job.Phase.OPEN || job.isDone(index)) {
      p.halt(0);
    }
    return true;
  }

  private void exited(
      OwnedEntity holding, Machine m, Job job, TaskReport piece, double now, List<Command> orders) {
    int index = piece.task().index();
    Placement p = m.task(piece.task());
    boolean current = p != null && p.attempt == piece.attempt() && !p.revocable();
    // A replica is never done: one that ends is started again.
    boolean done = piece.why() == ExitCause.DONE && job.spec.shape() != Shape.SERVICE;
    if (done && !job.isDone(index)) {
      job.markDone(index);
      Blame.endedWell(m, job);
      m.images.add(job.spec.image());
    }
    if (current) {
      if (piece.why() == ExitCause.DONE && p.runningS > 0 && p.haltGraceS < 0) {
        node.estimates.learn(job.spec, now - p.runningS);
      }
      holding.unplace(p, now);
      if (piece.why() != ExitCause.DONE) {
        node.dispatcher.failed(holding, m, p, piece.why());
      }
    }
    if (job.isDone(index)) {
      jobs.progressed(holding, job);
      if (piece.why() == ExitCause.DONE && !job.stored.get(index) && job.phase != Job.Phase.OVER) {
        return;
      }
    }
    orders.add(new Command(Verb.FORGET, piece.task(), piece.attempt(), 0));
  }

  /** A task of a job that is over, or that this owner has not loaded. */
  private void stray(
      OwnedEntity holding,
      Machine m,
      TaskReport piece,
      Map<TaskId, Amounts> strays,
      List<Command> orders) {
    Jobs.Known known = jobs.known(holding, piece.task().job());
    if (piece.state() != State.EXITED) {
      // Its halt goes with whatever renews the lease.
      strays.put(piece.task(), known == null ? m.type.size() : known.amounts());
    } else if (known != null) {
      orders.add(new Command(Verb.FORGET, piece.task(), piece.attempt(), 0));
    }
  }

  private void command(Machine m, double now, List<Command> orders) {
    for (Placement p : m.tasks().values()) {
      if (p.revocable()) {
        if (m.open() && orders.size() < MAX_ORDERS && node.configuration.fresh()) {
          orders.add(new Command(Verb.LAUNCH, p.task(), p.attempt, 0));
          p.sent = new Placement.Sent(m.session, m.seq);
          LOG.debug("task {} try {} launched on {}", p.task(), p.attempt, m.id());
          node.traces.launched(p.job.spec.id(), m.id());
        }
      } else if (p.haltGraceS >= 0 && (p.state != State.SAVING || p.haltGraceS == 0)) {
        orders.add(new Command(Verb.HALT, p.task(), p.attempt, p.haltGraceS));
      }
    }
  }
}
